//! Program of the stand-in for a backend server.

use argh::FromArgs;
use hyssop_core::{Millis, ServiceName};
use hyssop_standins::{BackendOptions, BackendServer, wait_for_stop_signal};

/// Stand-in for a backend server. SIGTERM makes it leave in order.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:7500)
    #[argh(option, default = "String::from(\"127.0.0.1:7500\")")]
    listen: String,
    /// service
    #[argh(option)]
    service: ServiceName,
    /// address of the agent, ip:port; without it nothing is announced
    #[argh(option)]
    agent: Option<String>,
    /// time that a request takes, in milliseconds (default 5)
    #[argh(option, default = "5")]
    service_time: u64,
    /// announced slots (default 8)
    #[argh(option, default = "8")]
    slots: u32,
    /// announced connections (default 64)
    #[argh(option, default = "64")]
    connections: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut options = BackendOptions::new(args.service)
        .with_listen(args.listen)
        .with_slots(args.slots, args.connections)
        .with_service_time(Millis(args.service_time));
    options.agent = args.agent;
    let backend = BackendServer::start(options).await?;
    println!("listening on {}", backend.address());
    wait_for_stop_signal().await?;
    backend.stop().await;
    Ok(())
}
