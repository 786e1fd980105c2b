//! Demo program: all roles of hyssoptrack in one process over loopback, with stand-ins for the
//! platform and the backend servers.

use std::time::Duration;

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};
use hyssop_demo::runs::{RunOptions, run};
use tokio::time::timeout;

/// Timeout of the whole run, which normally takes about half a minute.
const RUN_TIMEOUT: Duration = Duration::from_secs(110);

/// Runs a fleet of hyssoptrack over loopback, empties and refills a failure domain under load, and
/// prints the four measures. Ends with 1 if anything does not happen as expected.
#[derive(FromArgs)]
struct Args {
    /// requests per second, 20 to 2000 (default 400)
    #[argh(option, default = "400")]
    rate: u32,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    ensure!(
        (20..=2_000).contains(&args.rate),
        "--rate {}: allowed: 20 to 2000",
        args.rate
    );
    let summary = timeout(RUN_TIMEOUT, run(RunOptions { rate: args.rate })).await;
    let summary =
        summary.wrap_err_with(|| format!("the run has not ended within {RUN_TIMEOUT:?}"))??;
    println!("\n{summary}");
    Ok(())
}
