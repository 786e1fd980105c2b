//! Start and stop of the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_platform::{Advisor, MachinesClient, Settings, Store};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::http::{Callers, Ready};
use super::policies::Follower;
use super::requests::Asker;
use super::rpcs;
use crate::clocks;
use crate::elections::{ClaimOptions, Claims};
use crate::metrics;
use crate::owners::{Seat, Services, announce_entry, follow_peers, run_claims};
use crate::reloads::Reloads;
use crate::servers::HttpServer;

/// Time from the end of readiness until no more connections are accepted: the balancer takes two
/// missed checks, one a second.
const UNREADY: Duration = Duration::from_millis(2_100);
/// Part of the grace period that is left for the end of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(1_300);
/// Time for the last answers to be written before connections are closed.
const ANSWER_RESERVE: Duration = Duration::from_millis(1_400);
/// Longest difference between the delays of candidates.
const DELAY_SPREAD: u64 = 250;
/// Delay of a candidate with a tenth of a core; one with more has less.
const DELAY_SMALL: f64 = 20.0;

/// Runs the entry until SIGTERM.
///
/// # Errors
///
/// Returns an error if the servers or clients cannot be set up.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut reloads = Reloads::new(settings.clone())?;
    let mut grace = Duration::from_secs_f64(settings.grace_s);
    let store = Store::new(settings.store)?;
    let claims = Claims::new(clocks::now(), claim_options(&settings));
    let seat = Arc::new(Seat::new(claims));
    let stopping = Arc::new(AtomicBool::new(false));
    let follower = Follower::new(store.clone(), Arc::clone(&seat));
    let routes = follower.routes();

    let front = settings
        .front
        .ok_or_else(|| eyre::eyre!("no address for callers"))?;
    let ready = settings
        .ready
        .ok_or_else(|| eyre::eyre!("no address for the readiness check"))?;
    let _rpc = rpcs::start(settings.peer, Arc::clone(&seat))?;
    let asker = Asker::new(Arc::clone(&seat));
    let (end, ending) = watch::channel(None);
    let callers = HttpServer::start(
        front,
        Callers {
            end: ending,
            asker,
            routes: routes.clone(),
        },
    )?;
    let check = Ready {
        routes,
        stopping: Arc::clone(&stopping),
    };
    let _ready = HttpServer::start(ready, check)?;
    let _metrics = metrics::serve(settings.peer);

    tokio::spawn(follower.run());
    tokio::spawn(announce_entry(
        store.clone(),
        Arc::clone(&settings.node),
        settings.peer,
    ));
    let peers = follow_peers(store.clone(), Arc::clone(&seat), settings.peer);
    tokio::spawn(peers);
    let services = Services {
        store: store.clone(),
        advisor: settings.advice.map(Advisor::new).transpose()?,
        machines: match settings.machines {
            Some(address) => Some(MachinesClient::new(address, Arc::clone(&settings.node))?),
            None => None,
        },
    };
    let claims = tokio::spawn(run_claims(services, Arc::clone(&seat)));
    log::info!(node:% = settings.node, front:% = front; "entry started");

    loop {
        tokio::select! {
            _ = term.recv() => break,
            settings = reloads.changed() => {
                store.move_to(settings.store);
                grace = Duration::from_secs_f64(settings.grace_s);
            }
        }
    }
    log::info!(node:% = settings.node; "entry stops");
    stopping.store(true, Ordering::Relaxed);
    seat.leaving.send_replace(true);
    end.send_replace(Some(
        Instant::now() + grace.saturating_sub(EXIT_RESERVE + ANSWER_RESERVE),
    ));
    sleep(UNREADY.min(grace / 2)).await;
    callers
        .stop(grace.saturating_sub(UNREADY + EXIT_RESERVE))
        .await;
    claims.abort();
    log::info!(node:% = settings.node; "entry stopped");
    Ok(())
}

fn claim_options(settings: &Settings) -> ClaimOptions {
    let small = DELAY_SMALL / settings.cpu_share.max(0.01);
    let spread = rand::random_range(0..DELAY_SPREAD);
    ClaimOptions {
        node: Arc::clone(&settings.node),
        // Kept within what JSON readers represent exactly.
        life: rand::random::<u64>() >> 12,
        address: settings.peer,
        delay: Millis(small as u64 + spread),
    }
}
