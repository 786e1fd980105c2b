//! Command line of the measurements.

use argh::FromArgs;
use eyre::Result;
use hyssop_bench::reports::Report;
use hyssop_bench::{costs, policy};

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
    Policy(Policy),
}

/// Measures processor time, bytes and memory of the cores by size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "core")]
struct Core {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Measures the policy against three baselines in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
struct Policy {
    /// number of seeds (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// seconds measured in each run, in virtual time (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// factor on all slowdowns that batch jobs cause, in percent (default 100)
    #[argh(option, default = "100.0")]
    noise: f64,
    /// threads (default 3)
    #[argh(option, default = "3")]
    threads: usize,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

fn measure_policy(args: &Policy) -> Result<()> {
    let rows = policy::measure(policy::Options {
        seeds: args.seeds,
        seconds: args.seconds,
        noise: args.noise / 100.0,
        threads: args.threads,
    });
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", policy::table(&rows));
    }
    Ok(())
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
        Command::Policy(policy) => measure_policy(&policy),
    }
}
