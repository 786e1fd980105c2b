//! Latency and throughput of the request path, compared with direct requests and with a relay of
//! the same two hops without any checks.

mod fleets;
mod relays;
mod tables;

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use hyssop_core::Millis;
use reqwest::Client;

use crate::clocks::process_cpu_time;
use fleets::{Fleet, TEAM_TOKEN};
pub use tables::{Row, table};

/// Number of connections between the hops of the relay, as many as between an entry and an agent.
const RELAY_CONNECTIONS: usize = 4;
/// Number of requests that each caller sends before a measurement.
const WARMUP_REQUESTS: usize = 20;

/// Settings of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of requests for each path and round, split among the callers and rounded up.
    pub requests: usize,
    /// Number of rounds, each of which measures every path once.
    pub rounds: usize,
    /// Time that the backend server takes for a request.
    pub service_time: Millis,
}

/// A path that requests take to the backend server.
#[derive(Clone, Debug)]
struct Path {
    name: &'static str,
    url: String,
    kind: RequestKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Get,
    /// A `GET` request through the entry, with the token of the team.
    WithToken,
    /// A `POST` request through the entry that runs only once, with a ticket obtained before the
    /// measurement.
    WithTicket,
}

/// Results of a path over all rounds with the same number of callers.
struct PathTotals {
    latency: Histogram<u64>,
    cpu: Duration,
    elapsed: Duration,
    requests: usize,
}

/// Measures all paths with 1, 16 and 64 callers.
///
/// # Errors
///
/// Returns an error if a part of the fleet cannot be started or a request fails.
pub async fn measure(options: Options) -> Result<Vec<Row>> {
    let client = Client::builder().no_proxy().build()?;
    let fleet = Fleet::start(&client, options.service_time).await?;
    let relay = relays::start(fleet.backend_address(), RELAY_CONNECTIONS).await?;
    let single_relay = relays::start(fleet.backend_address(), 1).await?;
    let path = |name, url, kind| Path { name, url, kind };
    let paths = [
        path(
            "direct",
            format!("http://{}", fleet.backend_address()),
            RequestKind::Get,
        ),
        path(
            "bare",
            format!("http://{}", relay.address),
            RequestKind::Get,
        ),
        path(
            "bare, one connection",
            format!("http://{}", single_relay.address),
            RequestKind::Get,
        ),
        path(
            "entry and agent",
            fleet.service_url(),
            RequestKind::WithToken,
        ),
        path(
            "entry and agent, with ticket",
            fleet.service_url(),
            RequestKind::WithTicket,
        ),
    ];
    let mut rows = Vec::new();
    for callers in [1, 16, 64] {
        let mut path_totals: Vec<PathTotals> = paths.iter().map(|_| PathTotals::new()).collect();
        for round in 0..options.rounds {
            // Each round starts with another path, so that no path is always measured first or
            // last.
            for step in 0..paths.len() {
                let index = (step + round) % paths.len();
                let totals = &mut path_totals[index];
                measure_path(
                    &client,
                    &fleet,
                    &paths[index],
                    callers,
                    options.requests,
                    totals,
                )
                .await?;
            }
        }
        for (path, totals) in paths.iter().zip(&path_totals) {
            rows.push(Row::new(path.name, callers, totals));
        }
    }
    Ok(rows)
}

impl PathTotals {
    fn new() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are allowed"),
            cpu: Duration::ZERO,
            elapsed: Duration::ZERO,
            requests: 0,
        }
    }
}

async fn measure_path(
    client: &Client,
    fleet: &Fleet,
    path: &Path,
    callers: usize,
    requests: usize,
    totals: &mut PathTotals,
) -> Result<()> {
    let requests_per_caller = requests.div_ceil(callers);
    let mut tickets = match path.kind {
        RequestKind::WithTicket => {
            fleet
                .obtain_tickets(client, (requests_per_caller + WARMUP_REQUESTS) * callers)
                .await?
        }
        RequestKind::Get | RequestKind::WithToken => Vec::new(),
    };
    let mut split_tickets = |count: usize| -> Vec<Vec<String>> {
        let mut take_batch = || tickets.split_off(tickets.len() - count.min(tickets.len()));
        (0..callers).map(|_| take_batch()).collect()
    };
    let (warmup, measured) = (
        split_tickets(WARMUP_REQUESTS),
        split_tickets(requests_per_caller),
    );
    run_callers(client, path, warmup, WARMUP_REQUESTS).await?;
    let (cpu, start) = (process_cpu_time(), Instant::now());
    let latencies = run_callers(client, path, measured, requests_per_caller).await?;
    totals.elapsed += start.elapsed();
    totals.cpu += process_cpu_time().saturating_sub(cpu);
    totals.requests += latencies.len();
    for latency in latencies {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        totals.latency.saturating_record(micros);
    }
    Ok(())
}

/// Runs one caller at once for each list of tickets, and returns the latencies of all requests.
/// The lists are empty for paths without tickets.
async fn run_callers(
    client: &Client,
    path: &Path,
    tickets: Vec<Vec<String>>,
    requests_per_caller: usize,
) -> Result<Vec<Duration>> {
    let mut tasks = tokio::task::JoinSet::new();
    for tickets in tickets {
        let (client, path) = (client.clone(), path.clone());
        tasks.spawn(async move {
            let mut latencies = Vec::with_capacity(requests_per_caller);
            for n in 0..requests_per_caller {
                latencies.push(send_request(&client, &path, tickets.get(n)).await?);
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

async fn send_request(client: &Client, path: &Path, ticket: Option<&String>) -> Result<Duration> {
    let url = format!("{}/fittings", path.url);
    let request = match (path.kind, ticket) {
        (RequestKind::Get, _) => client.get(url),
        (RequestKind::WithToken, _) => client.get(url).bearer_auth(TEAM_TOKEN),
        (RequestKind::WithTicket, ticket) => {
            let ticket = ticket.map_or("", String::as_str);
            let request = client.post(url).bearer_auth(TEAM_TOKEN);
            request
                .header("Idempotency-Key", ticket)
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
