//! Stand-ins and checks of the review's cases: `review-standin CASE RECORD`. Exit codes: 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run.

mod discovery;
mod fleet;
mod http;
mod memory;
mod platform;
mod record;
mod reload;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = platform::run_folder();
    let record = match Record::create(Path::new(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let held = match case.as_str() {
        "memory" => memory::run(trouble, &folder, &record),
        "reload" => reload::run(trouble, &folder, &record),
        "fleet" => fleet::run(trouble, &folder, &record),
        _ => Err(std::io::Error::other("no such case")),
    };
    match held {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
