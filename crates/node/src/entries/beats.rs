//! Heartbeats to the other entries.

use std::sync::Arc;
use std::time::Duration;

use hyssop_core::EntryName;
use hyssop_core::limits::HEARTBEAT_INTERVAL;
use tokio::time::{MissedTickBehavior, interval};

use super::clocks::duration;
use super::shared::Shared;

/// Longest wait for the answer to a heartbeat. It exceeds the interval, so that a slow answer
/// does not delay the next heartbeat, and ends before the peer would be taken for gone.
const BEAT_LIMIT: Duration = Duration::from_secs(2);

/// Sends a heartbeat to one peer in each interval until the entry ends.
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
    let sent = shared.now();
    let beat = {
        let fleet = shared.fleet();
        fleet.beat(sent, fleet.applied_by(&peer))
    };
    match link.heartbeat(beat, BEAT_LIMIT).await {
        Ok(reply) if reply.entry == peer => {
            let now = shared.now();
            shared.fleet().heard(sent, now, &reply);
        }
        Ok(reply) => log::warn!("the address of {peer} is answered by {}", reply.entry),
        Err(e) => log::debug!(peer = peer.as_str(); "heartbeat not answered: {e}"),
    }
}
