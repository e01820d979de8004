//! Stand-ins and cases of the second independent review: `review-standin-2 CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the case runs without its disruption.

mod client;
mod fleet;
mod http;
mod improper;
mod record;
mod restart;
mod silence;
mod stalled;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, record) = (Path::new(root), Record::new(Path::new(folder)));
    record.line(format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "stalled" => stalled::run(root, &record, trouble),
        "restart" => restart::run(root, &record, trouble),
        "improper" => improper::run(root, &record, trouble),
        "silence" => silence::run(root, &record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok((broken, lines)) => {
            record.write(&lines);
            ExitCode::from(u8::from(broken))
        }
        Err(error) => {
            record.write(&[format!("the case could not run: {error}")]);
            ExitCode::from(2)
        }
    }
}
