//! Startup and shutdown of the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_platform::{Advisor, MachinesClient, Settings, Store};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::http::{CallerHandler, ReadinessHandler};
use super::policies::PolicyFollower;
use super::requests::RequestForwarder;
use super::rpcs;
use crate::clocks;
use crate::elections::{Election, ElectionOptions};
use crate::metrics;
use crate::owners::{Ownership, Services, announce_entry, follow_peers, run_election};
use crate::reloads::SettingsWatcher;
use crate::servers::HttpServer;

/// Delay from the end of readiness until connections are no longer accepted. The balancer stops
/// sending requests after two failed checks, one per second.
const UNREADY_DELAY: Duration = Duration::from_millis(2_100);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(1_300);
/// Part of the grace period that is reserved for writing the last responses before connections
/// close.
const RESPONSE_RESERVE: Duration = Duration::from_millis(1_400);
/// Upper limit of the random part of a candidate's claim delay.
const MAX_CLAIM_DELAY_SPREAD_MS: u64 = 250;
/// Claim delay of a candidate with a whole core, without the random part. It is longer for a smaller share, for example 200 ms
/// with a tenth of a core, so that candidates with more CPU claim first.
const WHOLE_CORE_CLAIM_DELAY_MS: f64 = 20.0;

/// Runs the entry until SIGTERM.
///
/// # Errors
///
/// Returns an error if the servers or clients cannot be set up.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut settings_watcher = SettingsWatcher::new(settings.clone())?;
    let mut grace = Duration::from_secs_f64(settings.grace_s);
    let store = Store::new(settings.store_address)?;
    let election = Election::new(clocks::now(), election_options(&settings));
    let ownership = Arc::new(Ownership::new(election));
    let is_stopping = Arc::new(AtomicBool::new(false));
    let follower = PolicyFollower::new(store.clone(), Arc::clone(&ownership));
    let routes = follower.routes();

    let front = settings
        .front_address
        .ok_or_else(|| eyre::eyre!("no address for callers"))?;
    let ready = settings
        .ready_address
        .ok_or_else(|| eyre::eyre!("no address for the readiness check"))?;
    let _rpc = rpcs::start(settings.peer_address, Arc::clone(&ownership))?;
    let forwarder = RequestForwarder::new(Arc::clone(&ownership));
    let (stop, stopping) = watch::channel(None);
    let callers = HttpServer::start(
        front,
        CallerHandler {
            stop_deadline: stopping,
            forwarder,
            routes: routes.clone(),
        },
    )?;
    let readiness = ReadinessHandler {
        routes,
        is_stopping: Arc::clone(&is_stopping),
    };
    let _ready = HttpServer::start(ready, readiness)?;
    let _metrics = metrics::serve(settings.peer_address);

    tokio::spawn(follower.run());
    tokio::spawn(announce_entry(
        store.clone(),
        Arc::clone(&settings.node),
        settings.peer_address,
    ));
    let peers = follow_peers(store.clone(), Arc::clone(&ownership), settings.peer_address);
    tokio::spawn(peers);
    let services = Services {
        store: store.clone(),
        advisor: settings.advice_address.map(Advisor::new).transpose()?,
        machines: match settings.machines_address {
            Some(address) => Some(MachinesClient::new(address, Arc::clone(&settings.node))?),
            None => None,
        },
        max_lease: settings.max_lease,
        max_record_bytes: settings.max_record_bytes,
        max_append_bytes: settings.max_append_bytes,
        append_rate: settings.append_rate,
    };
    let election = tokio::spawn(run_election(services, Arc::clone(&ownership)));
    log::info!(node:% = settings.node, front:% = front; "entry started");

    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            settings = settings_watcher.next_change() => {
                store.set_address(settings.store_address);
                grace = Duration::from_secs_f64(settings.grace_s);
            }
        }
    }
    log::info!(node:% = settings.node; "entry stopping");
    is_stopping.store(true, Ordering::Relaxed);
    ownership.is_stopping.send_replace(true);
    stop.send_replace(Some(
        Instant::now() + grace.saturating_sub(EXIT_RESERVE + RESPONSE_RESERVE),
    ));
    sleep(UNREADY_DELAY.min(grace / 2)).await;
    callers
        .stop(grace.saturating_sub(UNREADY_DELAY + EXIT_RESERVE))
        .await;
    election.abort();
    log::info!(node:% = settings.node; "entry stopped");
    Ok(())
}

fn election_options(settings: &Settings) -> ElectionOptions {
    let share_delay = WHOLE_CORE_CLAIM_DELAY_MS / settings.cpu_share.max(0.01);
    let spread = rand::random_range(0..MAX_CLAIM_DELAY_SPREAD_MS);
    ElectionOptions {
        node: Arc::clone(&settings.node),
        // 52 bits, so that JSON readers represent it exactly.
        incarnation: rand::random::<u64>() >> 12,
        address: settings.peer_address,
        claim_delay: Millis(share_delay as u64 + spread),
    }
}
