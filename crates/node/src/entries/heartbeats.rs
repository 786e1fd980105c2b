//! Sends heartbeats to the other entries.

use std::sync::Arc;
use std::time::Duration;

use hyssop_core::EntryName;
use hyssop_core::limits::HEARTBEAT_INTERVAL;
use tokio::time::{MissedTickBehavior, interval};

use super::clocks::duration;
use super::shared::Shared;

/// Longest wait for the reply to a heartbeat. It exceeds the interval, because each heartbeat is
/// sent by a task of its own, and is shorter than `PEER_TIMEOUT`.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a heartbeat to one peer in each `HEARTBEAT_INTERVAL` until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>, peer: EntryName) {
    let mut tick = interval(duration(HEARTBEAT_INTERVAL));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        tokio::spawn(send(Arc::clone(&shared), peer.clone()));
    }
}

async fn send(shared: Arc<Shared>, peer: EntryName) {
    let Some(link) = shared.peers.get(&peer) else {
        return;
    };
    let sent_at = shared.now();
    let heartbeat = {
        let fleet = shared.fleet();
        fleet.heartbeat(sent_at, fleet.applied_by(&peer))
    };
    match link.heartbeat(heartbeat, HEARTBEAT_TIMEOUT).await {
        Ok(reply) if reply.entry == peer => {
            let now = shared.now();
            shared.fleet().record_reply(sent_at, now, &reply);
        }
        Ok(reply) => log::warn!("the address of {peer} belongs to entry {}", reply.entry),
        Err(e) => log::debug!(peer = peer.as_str(); "heartbeat failed: {e}"),
    }
}
