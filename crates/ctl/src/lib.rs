//! The operators' command line as a library: arguments, client with failover, commands and output.
//!
//! [`run`] executes a command line without depending on the process, so that tests can call it and
//! capture the output.

mod args;
mod clients;
mod commands;
mod consoles;
mod errors;
mod exits;
mod settings;
mod tables;

pub use consoles::Console;
pub use exits::Exit;
pub use settings::Env;

use args::{Parsed, parse};
use errors::CtlError;

/// Runs one command line and returns its exit code. `args` excludes the program name.
///
/// Results go to the console's output; errors, progress and next steps go to its error output.
pub async fn run(args: &[String], env: Env, console: &mut Console<'_>) -> Exit {
    let args = match parse(args) {
        Parsed::Run(args) => *args,
        Parsed::Help(text) => return console.emit_help(&text),
        Parsed::Usage(text) => return console.emit_error(&CtlError::Usage(text)),
    };
    console.set_json(args.json);
    match commands::run(args, env, console).await {
        Ok(()) => Exit::Ok,
        Err(error) => console.emit_error(&error),
    }
}
