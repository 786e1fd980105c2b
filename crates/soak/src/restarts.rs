//! Restarts of workers under their identifiers, with calls in flight, with faults of the owner soon after,
//! and with faults of the worker's agent from before the restart or soon after.

use std::cell::Cell;
use std::time::Duration;

use hyssop_platform_standins::{HeldKind, Holding, Release, RestartOptions};
use nix::sys::signal::Signal;
use rand::Rng;
use tokio::time::sleep;

use crate::callers::Callers;
use crate::fleets::Fleet;
use crate::plans::random_millis;
use crate::proxies::ProxyMode;

/// Number of long jobs that are submitted while calls are held and the agent is about to be cut off. Of
/// one job, the owner may place no task on the worker that restarts.
const HELD_LONG_JOBS: usize = 4;

/// Fault of the entry that owns the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerFault {
    /// It is well.
    None,
    /// It is killed, and restarted at the end of the whole fault.
    Kill,
    /// It is suspended with SIGSTOP for the given duration.
    Freeze(Duration),
}

/// Restart of a worker under its identifier. Delays count from the restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Worker that restarts, counted from 0.
    pub worker: usize,
    /// Calls that the earlier incarnation holds and the next one executes.
    pub holding: Holding,
    /// Time for which calls are held before the restart.
    pub hold_time: Duration,
    /// How the worker restarts.
    pub options: RestartOptions,
    /// When the held calls are executed if the restart leaves that to the test.
    pub release_delay: Duration,
    /// Fault of the owner.
    pub owner: OwnerFault,
    /// When the owner's fault begins.
    pub owner_delay: Duration,
    /// How the worker's agent is cut off from the entries; without a mode it is frozen, which looks the
    /// same to the owner.
    pub cut: Option<ProxyMode>,
    /// Time before the restart at which the agent is cut off, while calls are held. Without it, the agent
    /// is cut off after `cut_delay`.
    pub cut_lead: Option<Duration>,
    /// When the agent is cut off unless that comes before the restart.
    pub cut_delay: Duration,
    /// Time for which the agent is cut off, without the time before the restart.
    pub cut_time: Duration,
}

impl Restart {
    pub(crate) fn random(rng: &mut impl Rng, worker: usize) -> Self {
        let kind = match rng.random_range(0..4) {
            0 => HeldKind::Acknowledgements,
            1 => HeldKind::Starts,
            2 => HeldKind::Leases,
            _ => HeldKind::All,
        };
        let release = match rng.random() {
            true => Release::After(random_millis(rng, 5, 1_500)),
            false => Release::OnRequest,
        };
        Self {
            worker,
            holding: Holding {
                kind,
                closes: rng.random(),
            },
            // An agent repeats a probe after 300 ms, and gives a worker up that is silent for 4 s.
            hold_time: random_millis(rng, 200, 1_500),
            options: RestartOptions {
                heartbeat_delay: Duration::from_millis(match rng.random() {
                    true => rng.random_range(300..=1_500),
                    false => 0,
                }),
                release,
            },
            release_delay: random_millis(rng, 100, 1_500),
            owner: match rng.random_range(0..3) {
                0 => OwnerFault::None,
                1 => OwnerFault::Kill,
                // The shortest freeze ends before another entry claims, the longest well after.
                _ => OwnerFault::Freeze(random_millis(rng, 600, 2_800)),
            },
            owner_delay: random_millis(rng, 100, 1_500),
            cut: match rng.random_range(0..4) {
                0 => None,
                1 => Some(ProxyMode::Silent),
                2 => Some(ProxyMode::OneWay),
                _ => Some(ProxyMode::Reset),
            },
            cut_lead: None,
            // The lease of an earlier call has ended by the time at which the owner gives up a worker
            // that is cut off later.
            cut_delay: random_millis(rng, 1_000, 7_000),
            // The longest cut exceeds the longest lease and the wait of an owner that takes over.
            cut_time: random_millis(rng, 4_000, 13_000),
        }
    }

    /// Moves the cut of about half of the restarts to before the restart, so that the owner does not learn
    /// that the next incarnation executes the held calls, see `docs/incidents/cut-off-restarts.md`.
    pub(crate) fn with_random_lead(mut self, rng: &mut impl Rng) -> Self {
        let max_lead = self.hold_time.as_millis() as u64;
        self.cut_lead = rng
            .random::<bool>()
            .then(|| random_millis(rng, 0, max_lead));
        self
    }

    /// Injects the restart and the faults after it, while callers run, and waits until all have ended.
    pub(crate) async fn inject(&self, fleet: &mut Fleet, callers: &Callers) {
        callers.submit_long_job(fleet).await;
        fleet.worker(self.worker).hold_calls(self.holding);
        if self.cut_lead.is_some() {
            // Only a held start of a long task outlasts the time after which the owner starts it elsewhere.
            for _ in 0..HELD_LONG_JOBS {
                callers.submit_long_job(fleet).await;
            }
        }
        tokio::join!(callers.run(fleet, self.hold_time), self.cut_early(fleet));
        fleet.restart_worker(self.worker, &self.options);
        let is_over = Cell::new(false);
        let faults = async {
            tokio::join!(
                self.release(fleet),
                self.disturb_owner(fleet, callers),
                self.cut_late_and_reconnect(fleet)
            );
            is_over.set(true);
        };
        tokio::join!(callers.run_until(fleet, &is_over), faults);
        for entry in 0..fleet.entry_count() {
            fleet.restart_exited_entry(entry);
        }
        // The whole run may take longer than ended jobs are shown.
        callers.query_open_jobs(fleet).await;
    }

    async fn release(&self, fleet: &Fleet) {
        if self.options.release == Release::OnRequest {
            sleep(self.release_delay).await;
            fleet.worker(self.worker).release_calls().await;
        }
    }

    /// Injects the owner's fault. Long tasks start under the next owner, too.
    async fn disturb_owner(&self, fleet: &Fleet, callers: &Callers) {
        sleep(self.owner_delay).await;
        let owner = fleet.wait_owner().await;
        match self.owner {
            OwnerFault::None => {}
            OwnerFault::Kill => fleet.signal_entry(owner, Signal::SIGKILL),
            OwnerFault::Freeze(duration) => {
                fleet.signal_entry(owner, Signal::SIGSTOP);
                sleep(duration).await;
                fleet.signal_entry(owner, Signal::SIGCONT);
            }
        }
        callers.submit_long_job(fleet).await;
    }

    async fn cut_early(&self, fleet: &Fleet) {
        if let Some(lead) = self.cut_lead {
            sleep(self.hold_time - lead).await;
            self.cut(fleet);
        }
    }

    async fn cut_late_and_reconnect(&self, fleet: &Fleet) {
        if self.cut_lead.is_none() {
            sleep(self.cut_delay).await;
            self.cut(fleet);
        }
        sleep(self.cut_time).await;
        match self.cut {
            Some(_) => fleet.set_owner_proxies(self.worker, ProxyMode::Open),
            None => fleet.signal_agent(self.worker, Signal::SIGCONT),
        }
    }

    fn cut(&self, fleet: &Fleet) {
        match self.cut {
            Some(mode) => fleet.set_owner_proxies(self.worker, mode),
            None => fleet.signal_agent(self.worker, Signal::SIGSTOP),
        }
    }
}
