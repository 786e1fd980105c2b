//! Cases of the second review. Each starts the project's programs as processes on loopback addresses, with
//! stand-ins of the platform, and judges what clients and minions have seen.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod minions;
mod record;
mod services;
mod store;
mod wire;

use std::path::Path;

use fleet::Failure;
use record::Record;

/// Outcome of a case: what broke the rule, or none if it held.
type Verdict = Result<Option<String>, Failure>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let verdict = match name.as_str() {
        "reborn" => cases::reborn(&record),
        "upkeep" => cases::upkeep(&record),
        "advice" => cases::advice(&record),
        "crashes" => cases::crashes(&record),
        "throttle" => cases::throttle(&record),
        "starved" => cases::starved(&record),
        "startup" => cases::startup(&record),
        _ => Err("no such case".into()),
    };
    let (text, code) = match verdict {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(text)) => (format!("the rule was broken: {text}"), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
