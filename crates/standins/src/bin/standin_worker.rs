//! Program of the stand-in for a worker.

use argh::FromArgs;
use hyssop_core::{Millis, RackName, Resources, WorkerName};
use hyssop_standins::{WorkerFaults, WorkerOptions, WorkerServer, wait_for_stop_signal};

/// Stand-in for a worker of the platform.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:7400)
    #[argh(option, default = "String::from(\"127.0.0.1:7400\")")]
    listen: String,
    /// name of the worker
    #[argh(option)]
    name: WorkerName,
    /// rack of the worker
    #[argh(option)]
    rack: RackName,
    /// processors, in thousandths of a core (default 16000)
    #[argh(option, default = "16_000")]
    cpu: u32,
    /// memory in MiB (default 61440)
    #[argh(option, default = "61_440")]
    mem: u32,
    /// accelerators (default 0)
    #[argh(option, default = "0")]
    accel: u32,
    /// age at which measurements are reported, in milliseconds (default 2000)
    #[argh(option, default = "2_000")]
    lag: u64,
    /// speed of all tasks, in percent (default 100)
    #[argh(option, default = "100")]
    speed: u32,
    /// fails every task that starts
    #[argh(switch)]
    fails: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let capacity = Resources::new(args.cpu, args.mem, args.accel);
    let faults = WorkerFaults {
        has_failing_tasks: args.fails,
        speed_percent: args.speed,
        ..WorkerFaults::default()
    };
    let options = WorkerOptions::new(args.name, args.rack, capacity)
        .with_listen(args.listen)
        .with_report_delay(Millis(args.lag))
        .with_faults(faults);
    let worker = WorkerServer::start(options).await?;
    println!("listening on {}", worker.address());
    wait_for_stop_signal().await?;
    worker.stop().await;
    Ok(())
}
