//! Stand-ins and cases of the second independent review: `review-standin-2 CASE ROOT RECORD`.
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
    let [_, case, root, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = Path::new(root);
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "stalled" => stalled::run(root, &record, trouble),
        "restart" => restart::run(root, &record, trouble),
        "improper" => improper::run(root, &record, trouble),
        "silence" => silence::run(root, &record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, lines) = match result {
        Ok((broken, lines)) => (u8::from(broken), lines),
        Err(error) => (2, vec![format!("the case could not run: {error}")]),
    };
    match record.finish(&lines) {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{path}: {error}");
            ExitCode::from(2)
        }
    }
}
