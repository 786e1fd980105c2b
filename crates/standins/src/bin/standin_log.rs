//! Program of the stand-in for the log service.

use argh::FromArgs;
use hyssop_core::Millis;
use hyssop_standins::{LogServer, LogServerOptions, wait_for_stop_signal};

/// Stand-in for the platform's log service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:7300)
    #[argh(option, default = "String::from(\"127.0.0.1:7300\")")]
    listen: String,
    /// most records kept in a stream (default 1000000)
    #[argh(option, default = "1_000_000")]
    keep: usize,
    /// time for which records are kept, in milliseconds (default one day)
    #[argh(option, default = "86_400_000")]
    keep_for: u64,
    /// appends taken per second (default 500)
    #[argh(option, default = "500")]
    rate: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let options = LogServerOptions::default()
        .with_listen(args.listen)
        .with_max_records(args.keep)
        .with_retention(Millis(args.keep_for))
        .with_append_rate(args.rate);
    let log = LogServer::start(options).await?;
    println!("listening on {}", log.address());
    wait_for_stop_signal().await?;
    log.stop().await;
    Ok(())
}
