//! Scenarios of the review, with stand-ins of the platform. Exits with 1 if a rule was broken, 0 if it
//! held and 2 if the scenario could not run.

mod clocks;
mod crashes;
mod departures;
mod fleet;
mod foreign;
mod freezes;
mod hidden;
mod http;
mod json;
mod record;
mod setting;
mod store;
mod twice;
mod wire;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = args.as_slice() else {
        eprintln!("usage: scenario NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE")
        .is_ok_and(|value| value == "0")
        .eq(&false);
    let folder = PathBuf::from(folder);
    let result = match scenario.as_str() {
        "crashes" => crashes::run(&folder, has_trouble),
        "departures" => departures::run(&folder, has_trouble),
        "clocks" => clocks::run(&folder, has_trouble),
        "freezes" => freezes::run(&folder, has_trouble),
        "hidden" => hidden::run(&folder, has_trouble),
        "foreign" => foreign::run(&folder, has_trouble),
        _ => Err(std::io::ErrorKind::NotFound.into()),
    };
    match result {
        Ok(0) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            println!("the rule was broken {count} times");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the scenario could not run: {error}");
            ExitCode::from(2)
        }
    }
}
