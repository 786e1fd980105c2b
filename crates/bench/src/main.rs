//! Command line of `hyssop-bench`.

use argh::FromArgs;
use eyre::{Result, WrapErr};
use hyssop_bench::owners::Pattern;
use hyssop_bench::reports::Report;
use hyssop_bench::{costs, owners, path, policy};
use hyssop_core::Millis;

/// Measures the costs, the scheduling policy and the request path of hyssoptrack.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Core(Core),
    Owner(OwnerCost),
    Policy(Policy),
    Path(Path),
}

/// Measures processor time, message sizes and memory of the cores by their load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "core")]
struct Core {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Measures the processor time of the owner of jobs by the number of workers, in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "owner")]
struct OwnerCost {
    /// numbers of workers, separated by commas (default 30,100,300,1000,1500)
    #[argh(option, default = "\"30,100,300,1000,1500\".to_owned()")]
    workers: String,
    /// let best-effort jobs arrive that need this multiple of the idle processors, while less than
    /// half of the capacity is reserved
    #[argh(option)]
    backlog: Option<f64>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Measures the scheduling policy against three baselines in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
struct Policy {
    /// number of runs with different seeds (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// virtual seconds measured in each run (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// factor on all slowdowns caused by batch jobs, in percent (default 100)
    #[argh(option, default = "100.0")]
    noise: f64,
    /// number of threads that runs are spread over (default 3)
    #[argh(option, default = "3")]
    threads: usize,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Measures latency and throughput of the request path through entry and agent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
struct Path {
    /// number of requests for each path and round (default 2000)
    #[argh(option, default = "2000")]
    requests: usize,
    /// time that the backend server takes for a request, in milliseconds (default 0, at which the
    /// cost of the path is most visible)
    #[argh(option, default = "0")]
    service_time: u64,
    /// number of rounds; each measures every path once (default 5)
    #[argh(option, default = "5")]
    rounds: usize,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

fn measure_path(args: &Path) -> Result<()> {
    let options = path::Options {
        requests: args.requests,
        rounds: args.rounds,
        service_time: Millis(args.service_time),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let rows = runtime.block_on(path::measure(options))?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", path::table(&rows));
    }
    Ok(())
}

fn measure_owner(args: &OwnerCost) -> Result<Report> {
    let sizes = args.workers.split(',').map(|size| size.trim().parse());
    let sizes: Vec<usize> = sizes
        .collect::<Result<_, _>>()
        .wrap_err("workers: numbers separated by commas")?;
    let pattern = args.backlog.map_or(Pattern::Mixed, Pattern::Backlog);
    Ok(owners::measure(&sizes, pattern))
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

fn print_report(report: &Report, json: bool) -> Result<()> {
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
        Command::Core(core) => print_report(&costs::measure()?, core.json),
        Command::Owner(owner) => print_report(&measure_owner(&owner)?, owner.json),
        Command::Policy(policy) => measure_policy(&policy),
        Command::Path(path) => measure_path(&path),
    }
}
