//! Processor time that the sender of a request spends on one HTTP exchange.

use eyre::Result;
use hyssop_core::{
    AppendRequest, EntryName, PollReply, PollRequest, RackName, Renewal, Resources, Term,
    WorkerName,
};
use hyssop_standins::{LogServer, LogServerOptions, WorkerOptions, WorkerServer};

use crate::clocks::thread_cpu_time;
use crate::reports::{Report, Series};

/// Number of exchanges in each measurement.
const EXCHANGE_COUNTS: [u32; 4] = [100, 200, 400, 800];

/// Measures the sender on the calling thread; the servers run on a thread of their own.
pub(super) fn measure(report: &mut Report) -> Result<()> {
    let servers = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let worker = servers.block_on(WorkerServer::start(WorkerOptions::new(
        WorkerName::new("bergen-a-w1")?,
        RackName::new("bergen-a-r1")?,
        Resources::new(16_000, 60_000, 0),
    )))?;
    let log = LogServerOptions {
        append_rate: 1_000_000,
        ..LogServerOptions::default()
    };
    let log = servers.block_on(LogServer::start(log))?;
    let local = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = reqwest::Client::new();
    let url = format!("http://{}/v1/poll", worker.address());
    let points = local.block_on(measure_exchanges(
        &client,
        &url,
        &poll_request()?,
        |body_bytes| serde_json::from_slice::<PollReply>(body_bytes).is_ok(),
    ))?;
    let name = "processor time of the owner's side of polls over HTTP, encoded and decoded";
    report.add_series(Series::new(name, "polls", "us", points));
    let url = format!("http://{}/v1/streams/cell.bergen-a.0", log.address());
    let request = AppendRequest {
        records: vec!["r".repeat(166); 4],
    };
    let points = local.block_on(measure_exchanges(&client, &url, &request, |body_bytes| {
        !body_bytes.is_empty()
    }))?;
    let name = "processor time of the writer's side of appends of four records over HTTP";
    report.add_series(Series::new(name, "appends", "us", points));
    Ok(())
}

fn poll_request() -> Result<PollRequest> {
    Ok(PollRequest {
        term: Term(4_711),
        owner: EntryName::new("entry-a")?,
        timestamp: None,
        renewal: Renewal::All,
        wants_inventory: false,
        acked_seq: 0,
        orders: Vec::new(),
    })
}

/// Returns the processor time in microseconds for each of the [`EXCHANGE_COUNTS`].
async fn measure_exchanges<T: serde::Serialize>(
    client: &reqwest::Client,
    url: &str,
    body: &T,
    is_valid: impl Fn(&[u8]) -> bool,
) -> Result<Vec<(f64, f64)>> {
    exchange(client, url, body, &is_valid).await?;
    let mut points = Vec::new();
    for count in EXCHANGE_COUNTS {
        let start = thread_cpu_time();
        for _ in 0..count {
            exchange(client, url, body, &is_valid).await?;
        }
        let elapsed = thread_cpu_time().saturating_sub(start);
        points.push((f64::from(count), elapsed.as_secs_f64() * 1e6));
    }
    Ok(points)
}

async fn exchange<T: serde::Serialize>(
    client: &reqwest::Client,
    url: &str,
    body: &T,
    is_valid: impl Fn(&[u8]) -> bool,
) -> Result<()> {
    let reply = client.post(url).json(body).send().await?;
    let body_bytes = reply.error_for_status()?.bytes().await?;
    eyre::ensure!(is_valid(&body_bytes), "unexpected response from {url}");
    Ok(())
}
