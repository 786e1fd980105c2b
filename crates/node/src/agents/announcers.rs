//! Periodic announcements of the agent to the entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyssop_core::{Announcement, EntryName, Incarnation, Millis};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::drivers::Command;
use super::{AgentOptions, AgentStatus};
use crate::links::EntryLink;

/// Longest wait for the reply to an announcement.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces an agent to the entries. Each entry has its own task, so that a slow entry doesn't
/// delay the announcements to the others.
#[derive(Clone)]
pub(super) struct Announcer {
    template: Arc<Announcement>,
    /// Sequence number of the last announcement, shared by the tasks of all entries.
    last_seq: Arc<AtomicU64>,
    announce_interval: Duration,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
}

impl Announcer {
    /// Creates an announcer of the agent with its bound RPC address.
    pub(super) fn new(
        options: &AgentOptions,
        incarnation: Incarnation,
        address: SocketAddr,
        commands: &mpsc::Sender<Command>,
        status: &watch::Receiver<AgentStatus>,
    ) -> Self {
        let current = *status.borrow();
        let interval_ms = u64::try_from(options.announce_interval.as_millis()).unwrap_or(u64::MAX);
        let template = Announcement {
            agent: options.name.clone(),
            incarnation,
            seq: 0,
            address: address.to_string(),
            service: options.service.clone(),
            domain: options.domain.clone(),
            rack: options.rack.clone(),
            state: current.state,
            load: current.load,
            applied: current.applied,
            interval: Millis(interval_ms),
        };
        Self {
            template: Arc::new(template),
            last_seq: Arc::default(),
            announce_interval: options.announce_interval,
            commands: commands.clone(),
            status: status.clone(),
        }
    }

    /// Starts one announcing task for each entry.
    pub(super) fn spawn(&self, entries: &[(EntryName, SocketAddr)], tasks: &mut JoinSet<()>) {
        for (entry, address) in entries {
            tasks.spawn(self.clone().announce_to(entry.clone(), *address));
        }
    }

    /// Announces at each interval, and immediately when the state changes.
    async fn announce_to(mut self, entry: EntryName, address: SocketAddr) {
        let link = EntryLink::new(address);
        let mut ticks = interval(self.announce_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut announced_state = None;
        loop {
            let state_change = self
                .status
                .wait_for(|status| Some(status.state) != announced_state);
            let is_closed = tokio::select! {
                state_change = state_change => state_change.is_err(),
                _ = ticks.tick() => false,
            };
            if is_closed {
                return;
            }
            let announcement = self.compose();
            announced_state = Some(announcement.state);
            let sent_at = Instant::now();
            match link.announce(announcement, REPLY_TIMEOUT).await {
                Ok(reply) => {
                    let replied = Command::AnnounceReplied { sent_at, reply };
                    if self.commands.send(replied).await.is_err() {
                        return;
                    }
                }
                Err(err) => log::debug!(entry:% = entry; "announcement failed: {err}"),
            }
        }
    }

    fn compose(&self) -> Announcement {
        let status = *self.status.borrow();
        Announcement {
            seq: self.last_seq.fetch_add(1, Ordering::Relaxed) + 1,
            state: status.state,
            load: status.load,
            applied: status.applied,
            ..(*self.template).clone()
        }
    }
}
