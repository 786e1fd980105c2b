//! Added latency and throughput of the request path, against a direct call and against the same
//! two hops without decisions.

mod fleets;
mod relays;
mod tables;

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use hyssop_core::Millis;
use reqwest::Client;

use crate::clocks::process_time;
use fleets::{Fleet, TOKEN};
pub use tables::{Row, table};

/// Connections of the bare path between its hops: as many as between an entry and an agent.
const CONNECTIONS: usize = 4;
/// Requests of each caller before a measurement.
const WARM: usize = 20;

/// Settings of a call.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Requests of each path and round.
    pub requests: usize,
    /// Rounds, in which the paths take turns.
    pub rounds: usize,
    /// Time that the backend server takes for a request.
    pub service_time: Millis,
}

/// A path that requests take.
#[derive(Clone, Debug)]
struct Path {
    name: &'static str,
    url: String,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Get,
    /// Through the entry, with the team's token.
    Own,
    /// A request that runs once, with a ticket obtained before the measurement.
    Once,
}

/// What a path cost in all rounds of one number of callers.
struct Sum {
    latency: Histogram<u64>,
    cpu: Duration,
    time: Duration,
    requests: usize,
}

/// Measures all paths with 1, 16 and 64 callers.
///
/// # Errors
///
/// Returns an error if a part can't be started or a request fails.
pub async fn measure(options: Options) -> Result<Vec<Row>> {
    let client = Client::builder().no_proxy().build()?;
    let fleet = Fleet::start(&client, options.service_time).await?;
    let bare = relays::start(fleet.backend(), CONNECTIONS).await?;
    let single = relays::start(fleet.backend(), 1).await?;
    let path = |name, url, kind| Path { name, url, kind };
    let paths = [
        path("direct", format!("http://{}", fleet.backend()), Kind::Get),
        path("bare", format!("http://{}", bare.address), Kind::Get),
        path(
            "bare, one connection",
            format!("http://{}", single.address),
            Kind::Get,
        ),
        path("entry and agent", fleet.url(), Kind::Own),
        path("entry and agent, with ticket", fleet.url(), Kind::Once),
    ];
    let mut rows = Vec::new();
    for callers in [1, 16, 64] {
        let mut sums: Vec<Sum> = paths.iter().map(|_| Sum::new()).collect();
        for round in 0..options.rounds {
            // The order turns, so that no path always follows the same other one.
            for step in 0..paths.len() {
                let at = (step + round) % paths.len();
                let sum = &mut sums[at];
                drive(&client, &fleet, &paths[at], callers, options.requests, sum).await?;
            }
        }
        for (path, sum) in paths.iter().zip(&sums) {
            rows.push(Row::new(path.name, callers, sum));
        }
    }
    Ok(rows)
}

impl Sum {
    fn new() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are allowed"),
            cpu: Duration::ZERO,
            time: Duration::ZERO,
            requests: 0,
        }
    }
}

async fn drive(
    client: &Client,
    fleet: &Fleet,
    path: &Path,
    callers: usize,
    requests: usize,
    sum: &mut Sum,
) -> Result<()> {
    let each = requests.div_ceil(callers);
    let mut keys = match path.kind {
        Kind::Once => fleet.tickets(client, (each + WARM) * callers).await?,
        Kind::Get | Kind::Own => Vec::new(),
    };
    let mut split = |count: usize| -> Vec<Vec<String>> {
        let mut take = || keys.split_off(keys.len() - count.min(keys.len()));
        (0..callers).map(|_| take()).collect()
    };
    let (warm, measured) = (split(WARM), split(each));
    all(client, path, warm, WARM).await?;
    let (cpu, start) = (process_time(), Instant::now());
    let latencies = all(client, path, measured, each).await?;
    sum.time += start.elapsed();
    sum.cpu += process_time().saturating_sub(cpu);
    sum.requests += latencies.len();
    for latency in latencies {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        sum.latency.saturating_record(micros);
    }
    Ok(())
}

/// Runs as many callers at once as there are lists of keys.
async fn all(
    client: &Client,
    path: &Path,
    keys: Vec<Vec<String>>,
    each: usize,
) -> Result<Vec<Duration>> {
    let mut tasks = tokio::task::JoinSet::new();
    for keys in keys {
        let (client, path) = (client.clone(), path.clone());
        tasks.spawn(async move {
            let mut latencies = Vec::with_capacity(each);
            for n in 0..each {
                latencies.push(one(&client, &path, keys.get(n)).await?);
            }
            Ok::<_, eyre::Report>(latencies)
        });
    }
    let mut latencies = Vec::new();
    while let Some(done) = tasks.join_next().await {
        latencies.extend(done??);
    }
    Ok(latencies)
}

async fn one(client: &Client, path: &Path, key: Option<&String>) -> Result<Duration> {
    let url = format!("{}/fittings", path.url);
    let request = match (path.kind, key) {
        (Kind::Get, _) => client.get(url),
        (Kind::Own, _) => client.get(url).bearer_auth(TOKEN),
        (Kind::Once, key) => {
            let key = key.map_or("", String::as_str);
            let request = client.post(url).bearer_auth(TOKEN);
            request
                .header("Idempotency-Key", key)
                .body("{\"slot\":\"0900\"}")
        }
    };
    let start = Instant::now();
    let response = request.send().await?;
    let status = response.status();
    let body = response.bytes().await?;
    let latency = start.elapsed();
    ensure!(status.is_success(), "{}: {status} {body:?}", path.name);
    Ok(latency)
}
