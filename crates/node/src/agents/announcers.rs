//! Announcements of the agent to the entries.

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

/// Longest wait for the answer to an announcement.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Announces an agent to the entries. Each entry has a task of its own, so
/// that a slow one doesn't delay the others.
#[derive(Clone)]
pub(super) struct Announcer {
    template: Arc<Announcement>,
    /// Number of the last announcement, common to all entries.
    seq: Arc<AtomicU64>,
    every: Duration,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
}

impl Announcer {
    /// Creates an announcer.
    pub(super) fn new(
        options: &AgentOptions,
        incarnation: Incarnation,
        address: SocketAddr,
        commands: &mpsc::Sender<Command>,
        status: &watch::Receiver<AgentStatus>,
    ) -> Self {
        let now = *status.borrow();
        let every = u64::try_from(options.announce_interval.as_millis()).unwrap_or(u64::MAX);
        let template = Announcement {
            agent: options.name.clone(),
            incarnation,
            seq: 0,
            address: address.to_string(),
            service: options.service.clone(),
            domain: options.domain.clone(),
            rack: options.rack.clone(),
            state: now.state,
            load: now.load,
            applied: now.applied,
            interval: Millis(every),
        };
        Self {
            template: Arc::new(template),
            seq: Arc::default(),
            every: options.announce_interval,
            commands: commands.clone(),
            status: status.clone(),
        }
    }

    /// Starts a task for each entry.
    pub(super) fn spawn(&self, entries: &[(EntryName, SocketAddr)], tasks: &mut JoinSet<()>) {
        for (entry, address) in entries {
            tasks.spawn(self.clone().announce_to(entry.clone(), *address));
        }
    }

    /// Announces at each interval, and at once when the state changes.
    async fn announce_to(mut self, entry: EntryName, address: SocketAddr) {
        let link = EntryLink::new(address);
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut announced = None;
        loop {
            let changed = self
                .status
                .wait_for(|status| Some(status.state) != announced);
            let ended = tokio::select! {
                changed = changed => changed.is_err(),
                _ = ticks.tick() => false,
            };
            if ended {
                return;
            }
            let announcement = self.compose();
            announced = Some(announcement.state);
            let sent = Instant::now();
            match link.announce(announcement, ANSWER_LIMIT).await {
                Ok(reply) => {
                    let heard = Command::Heard { sent, reply };
                    if self.commands.send(heard).await.is_err() {
                        return;
                    }
                }
                Err(err) => log::debug!(entry:% = entry; "announcement not answered: {err}"),
            }
        }
    }

    fn compose(&self) -> Announcement {
        let status = *self.status.borrow();
        Announcement {
            seq: self.seq.fetch_add(1, Ordering::Relaxed) + 1,
            state: status.state,
            load: status.load,
            applied: status.applied,
            ..(*self.template).clone()
        }
    }
}
