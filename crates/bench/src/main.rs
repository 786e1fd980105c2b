//! Command line of the measurements.

use argh::FromArgs;
use eyre::Result;
use hyssop_bench::costs;
use hyssop_bench::reports::Report;

/// Measures hyssoptrack.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Core(Core),
}

/// Measures processor time, bytes and memory of the cores by size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "core")]
struct Core {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

fn print(report: &Report, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Core(core) => print(&costs::measure()?, core.json),
    }
}
