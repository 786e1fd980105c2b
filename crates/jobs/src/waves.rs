//! Maintenance waves. Each machine of a wave goes down once, a few at a time, after its worker has
//! been vacated as far as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::io::{Machine, MachineState, MaintenanceReply, Output};
use crate::limits::{
    MACHINE_LIST_INTERVAL, MAINTENANCE_RETRY_DELAY, VACATE_BLOCK_TIMEOUT, VACATE_RETRY_DELAY,
    VACATE_STALL_TIMEOUT, VACATE_TIMEOUT,
};
use crate::owners::Owner;
use crate::records::{Key, Record};
use crate::vacancies::Vacancy;
use crate::workers::Worker;

/// Maintenance wave as configured by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Names of the machines to take down, in this order.
    pub machines: Vec<Arc<str>>,
    /// Maximum number of machines of the wave that may be down at once.
    pub max_down: u32,
}

/// Stored state of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Machines whose maintenance has begun. They are not taken down again.
    #[serde(rename = "begun")]
    pub started: BTreeSet<Arc<str>>,
}

/// Retry time of an order that has no reply yet.
const NO_RETRY: Millis = Millis(u64::MAX);

/// State of a machine that a wave is working on.
#[derive(Clone, Debug)]
enum Phase {
    /// The worker gets no new tasks, and tasks that can move are stopped to restart elsewhere.
    Vacating {
        worker: Arc<str>,
        since: Millis,
        /// When service tasks were last stopped there, or did not have to stay.
        progressed_at: Millis,
    },
    /// The order was sent. It is repeated at `retry_at` if the reply allows that.
    Ordered {
        worker: Arc<str>,
        /// Incarnation of the worker when the order was first sent, if it was known. A later one may
        /// have come back from the maintenance before the reply arrives.
        incarnation: Option<u64>,
        retry_at: Millis,
    },
    /// The machine is down until it is listed with another worker, or with a later incarnation of
    /// this one.
    Down {
        worker: Arc<str>,
        incarnation: Option<u64>,
        /// When the reply arrived. Lists that were requested before may show the machine as up.
        since: Millis,
    },
}

/// Progress of one maintenance wave.
#[derive(Debug, Default)]
struct WaveProgress {
    record: WaveRecord,
    active: BTreeMap<Arc<str>, Phase>,
    /// Machines that could not be vacated, with the times from which they are tried again.
    postponed: BTreeMap<Arc<str>, Millis>,
    /// Machines that do not exist or do not belong to the wave, as the platform replied.
    excluded: BTreeSet<Arc<str>>,
    /// Whether the last status for operators said complete, or none if there was none yet.
    reported_status: Option<bool>,
}

/// Progress of all maintenance waves, and the last known machines.
#[derive(Debug, Default)]
pub(crate) struct WaveTable {
    progress: BTreeMap<u64, WaveProgress>,
    /// Waves whose stored state cannot be read. They are held, because machines that have begun
    /// would go down again.
    held: BTreeSet<u64>,
    machines: BTreeMap<Arc<str>, Machine>,
    /// When the list of machines was last requested, and whether the reply has arrived.
    last_list: Option<(Millis, bool)>,
    /// When the last known machines were requested.
    listed_at: Millis,
}

impl WaveTable {
    /// Restores the state that an earlier owner stored.
    pub(crate) fn restore(&mut self, wave: u64, record: WaveRecord) {
        self.progress.entry(wave).or_default().record = record;
    }

    /// Returns whether a worker is being vacated, or its machine was ordered to go down, by a wave that
    /// is not complete. Its later incarnations are vacated too, because the order may be carried out
    /// at any moment.
    pub(crate) fn is_vacating(&self, id: &Arc<str>) -> bool {
        let open = self.progress.values();
        let open = open.filter(|progress| progress.reported_status != Some(true));
        let mut phases = open.flat_map(|progress| progress.active.values());
        phases.any(|phase| match phase {
            Phase::Vacating { worker, .. } | Phase::Ordered { worker, .. } => worker == id,
            Phase::Down { .. } => false,
        })
    }

    /// Holds a wave whose stored state cannot be read.
    pub(crate) fn hold(&mut self, wave: u64) {
        self.held.insert(wave);
    }
}

impl Owner {
    /// Applies the list of machines, or none if it could not be read.
    pub(crate) fn update_machines(&mut self, machines: Option<Vec<Machine>>) {
        let mut requested_at = Millis(0);
        if let Some((at, is_received)) = &mut self.waves.last_list {
            *is_received = true;
            requested_at = *at;
        }
        if let Some(machines) = machines {
            self.waves.listed_at = requested_at;
            let named = machines.into_iter().map(|m| (Arc::clone(&m.name), m));
            self.waves.machines = named.collect();
        }
    }

    /// Applies the reply to a maintenance order.
    pub(crate) fn handle_maintenance_reply(
        &mut self,
        wave: u64,
        machine: &Arc<str>,
        reply: MaintenanceReply,
    ) {
        let now = self.now;
        self.log(format!("maintenance of {machine}, wave {wave}: {reply:?}"));
        let Some(progress) = self.waves.progress.get_mut(&wave) else {
            return;
        };
        let Some(Phase::Ordered {
            worker,
            incarnation,
            retry_at,
        }) = progress.active.get_mut(machine)
        else {
            return;
        };
        let (worker, incarnation) = (Arc::clone(worker), *incarnation);
        match reply {
            // The order, or one before it, may have been carried out. Repeating it is safe.
            MaintenanceReply::Unknown | MaintenanceReply::Busy | MaintenanceReply::NotSent => {
                *retry_at = now + MAINTENANCE_RETRY_DELAY;
            }
            MaintenanceReply::Begun => {
                let down = Phase::Down {
                    worker: Arc::clone(&worker),
                    incarnation,
                    since: now,
                };
                progress.active.insert(Arc::clone(machine), down);
                progress.record.started.insert(Arc::clone(machine));
                let record = Record::put(Key::Wave(wave), &progress.record);
                self.writes.add(now, record, None);
                if has_restarted(&self.workers, &worker, incarnation) {
                    // The maintenance may have ended before the worker came back. Its runs, and the
                    // runs of its earlier incarnation, end by its reports or with its lease.
                    self.set_vacating(&worker, false);
                } else {
                    // The platform has ended all tasks on the machine.
                    self.mark_worker_lost(&worker);
                }
            }
            MaintenanceReply::Gone => {
                progress.active.remove(machine);
                progress.excluded.insert(Arc::clone(machine));
                self.set_vacating(&worker, false);
            }
        }
    }

    /// Advances all open maintenance waves.
    pub(crate) fn advance_waves(&mut self) {
        self.release_dropped_waves();
        if self.policy.waves.is_empty() || !self.is_ownership_confirmed(self.now) {
            return;
        }
        let policy = Arc::clone(&self.policy);
        let is_open = |wave: &&u64| {
            let progress = self.waves.progress.get(wave);
            let is_complete =
                progress.is_some_and(|progress| progress.reported_status == Some(true));
            !is_complete && !self.waves.held.contains(wave)
        };
        let open: Vec<u64> = policy.waves.keys().filter(is_open).copied().collect();
        if open.is_empty() {
            return;
        }
        self.list_machines();
        for number in open {
            self.advance_wave(number, &policy.waves[&number]);
        }
    }

    /// Releases workers that were vacated for waves which operators have removed. A worker whose
    /// order has no reply yet stays vacated, because the order may have been carried out.
    fn release_dropped_waves(&mut self) {
        let mut released = Vec::new();
        for (number, progress) in &mut self.waves.progress {
            if self.policy.waves.contains_key(number) {
                continue;
            }
            progress.active.retain(|_, phase| match phase {
                Phase::Ordered { retry_at, .. } if *retry_at == NO_RETRY => true,
                Phase::Vacating { worker, .. } | Phase::Ordered { worker, .. } => {
                    released.push(Arc::clone(worker));
                    false
                }
                Phase::Down { .. } => false,
            });
        }
        for worker in released {
            self.log(format!(
                "worker {worker} released: its maintenance wave was removed"
            ));
            self.set_vacating(&worker, false);
        }
    }

    /// Removes machines from the wave's active ones that are back, are no longer listed, or got
    /// another worker before they went down.
    fn refresh_machines(&mut self, number: u64) {
        let Some(progress) = self.waves.progress.get_mut(&number) else {
            return;
        };
        let machines = &self.waves.machines;
        let (workers, listed_at) = (&self.workers, self.waves.listed_at);
        let mut released = Vec::new();
        progress.active.retain(|name, phase| {
            let known = machines.get(name);
            match phase {
                Phase::Down {
                    worker,
                    incarnation,
                    since,
                } => {
                    let is_back = |machine: &Machine| {
                        machine.state == MachineState::Up
                            && listed_at > *since
                            && has_restarted(workers, worker, *incarnation)
                    };
                    known.is_some_and(|m| !m.has_other(worker) && !is_back(m))
                }
                Phase::Vacating { worker, .. } => {
                    let is_same = known.is_some_and(|m| !m.has_other(worker));
                    if !is_same {
                        released.push(Arc::clone(worker));
                    }
                    is_same
                }
                Phase::Ordered { .. } => true,
            }
        });
        for worker in released {
            self.set_vacating(&worker, false);
        }
    }

    /// Requests the list of machines at regular intervals.
    fn list_machines(&mut self) {
        let now = self.now;
        let is_due = match self.waves.last_list {
            None => true,
            Some((at, is_received)) => is_received && now >= at + MACHINE_LIST_INTERVAL,
        };
        if is_due {
            self.waves.last_list = Some((now, false));
            self.outputs.push(Output::ListMachines);
        }
    }

    fn advance_wave(&mut self, number: u64, wave: &MaintenanceWave) {
        if self.waves.machines.is_empty() {
            return;
        }
        self.refresh_machines(number);
        let progress = self.waves.progress.entry(number).or_default();
        let machines = &self.waves.machines;
        let is_left = |name: &&Arc<str>| {
            let is_excluded = progress.excluded.contains(*name) || !machines.contains_key(*name);
            !is_excluded && !progress.record.started.contains(*name)
        };
        let left: Vec<Arc<str>> = wave.machines.iter().filter(is_left).cloned().collect();
        let is_over = left.is_empty();
        // An earlier owner may have taken these machines down.
        let others = wave.machines.iter().filter(|name| {
            let is_down = |m: &Machine| m.state == MachineState::InMaintenance;
            !progress.active.contains_key(*name) && machines.get(*name).is_some_and(is_down)
        });
        let max_down = (wave.max_down as usize).saturating_sub(others.count());
        if progress.reported_status.is_none()
            || (is_over && progress.reported_status == Some(false))
        {
            progress.reported_status = Some(is_over);
            self.outputs.push(Output::WaveStatus {
                wave: number,
                is_complete: is_over,
            });
        }
        for name in &left {
            self.advance_machine(number, name);
        }
        self.begin_vacating(number, max_down, &left);
    }

    fn advance_machine(&mut self, number: u64, name: &Arc<str>) {
        let now = self.now;
        let progress = self.waves.progress.get(&number);
        let Some(phase) = progress.and_then(|progress| progress.active.get(name).cloned()) else {
            return;
        };
        match phase {
            Phase::Vacating {
                worker,
                since,
                progressed_at,
            } => {
                let vacancy = self.vacate(&worker, now >= since + VACATE_TIMEOUT);
                let timeout = match vacancy {
                    Vacancy::Vacated => {
                        self.order_maintenance(number, name, worker);
                        return;
                    }
                    Vacancy::Pending => {
                        self.set_vacating_progress(number, name);
                        return;
                    }
                    Vacancy::Stalled => VACATE_STALL_TIMEOUT,
                    Vacancy::Blocked => VACATE_BLOCK_TIMEOUT,
                };
                if now >= progressed_at + timeout {
                    self.postpone_machine(number, name, &worker);
                }
            }
            Phase::Ordered {
                worker,
                incarnation,
                retry_at,
            } if now >= retry_at => {
                self.send_order(number, name, worker, incarnation);
            }
            Phase::Ordered { .. } | Phase::Down { .. } => {}
        }
    }

    /// Begins to vacate the first of these machines that can be, if one more may go down. Only one
    /// is tried in each tick, because the search for other workers takes time.
    fn begin_vacating(&mut self, number: u64, max_down: usize, names: &[Arc<str>]) {
        let now = self.now;
        let Some(progress) = self.waves.progress.get_mut(&number) else {
            return;
        };
        if progress.active.len() >= max_down {
            return;
        }
        let machines = &self.waves.machines;
        let candidate = names.iter().find_map(|name| {
            let machine = machines.get(name)?;
            let is_due = progress.postponed.get(name).is_none_or(|&at| now >= at);
            let may_begin =
                is_due && !progress.active.contains_key(name) && machine.state == MachineState::Up;
            let worker = machine.worker.as_ref().filter(|_| may_begin)?;
            Some((Arc::clone(name), Arc::clone(worker)))
        });
        let Some((name, worker)) = candidate else {
            return;
        };
        let phase = Phase::Vacating {
            worker: Arc::clone(&worker),
            since: now,
            progressed_at: now,
        };
        progress.postponed.remove(&name);
        progress.active.insert(Arc::clone(&name), phase);
        self.set_vacating(&worker, true);
        match self.vacate(&worker, false) {
            Vacancy::Vacated => self.order_maintenance(number, &name, worker),
            Vacancy::Blocked => self.postpone_machine(number, &name, &worker),
            Vacancy::Pending | Vacancy::Stalled => {}
        }
    }

    fn set_vacating_progress(&mut self, number: u64, name: &Arc<str>) {
        let progress = self.waves.progress.get_mut(&number);
        if let Some(progress) = progress
            && let Some(Phase::Vacating { progressed_at, .. }) = progress.active.get_mut(name)
        {
            *progressed_at = self.now;
        }
    }

    /// Lets a worker that cannot be vacated run tasks again, and its machine wait for another try.
    fn postpone_machine(&mut self, number: u64, name: &Arc<str>, worker: &Arc<str>) {
        let now = self.now;
        let Some(progress) = self.waves.progress.get_mut(&number) else {
            return;
        };
        progress.active.remove(name);
        let retry_at = now + VACATE_RETRY_DELAY;
        progress.postponed.insert(Arc::clone(name), retry_at);
        self.set_vacating(worker, false);
        self.log(format!(
            "maintenance of {name}, wave {number}, postponed: service tasks on {worker} must stay"
        ));
    }

    fn order_maintenance(&mut self, wave: u64, machine: &Arc<str>, worker: Arc<str>) {
        let known = self.workers.get(&worker);
        let incarnation = known.map(|worker| worker.info.incarnation);
        self.send_order(wave, machine, worker, incarnation);
    }

    /// Sends the order to take a machine down, to the worker of this incarnation, again or for the
    /// first time. Without a proof of the ownership nothing changes, and the next tick tries again.
    fn send_order(
        &mut self,
        wave: u64,
        machine: &Arc<str>,
        worker: Arc<str>,
        incarnation: Option<u64>,
    ) {
        let proof = self.renewal_proof(self.now);
        let Some(proof) = proof.filter(|proof| proof.permit(self.now).is_some()) else {
            return;
        };
        let Some(progress) = self.waves.progress.get_mut(&wave) else {
            return;
        };
        let phase = Phase::Ordered {
            worker,
            incarnation,
            retry_at: NO_RETRY,
        };
        progress.active.insert(Arc::clone(machine), phase);
        self.outputs.push(Output::StartMaintenance {
            wave,
            machine: Arc::clone(machine),
            proof,
        });
    }

    fn set_vacating(&mut self, id: &Arc<str>, is_vacating: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_vacating = is_vacating;
        }
    }
}

/// Returns whether the owner knows a later incarnation of a worker.
fn has_restarted(
    workers: &BTreeMap<Arc<str>, Worker>,
    id: &Arc<str>,
    incarnation: Option<u64>,
) -> bool {
    let known = workers.get(id).map(|worker| worker.info.incarnation);
    known > incarnation
}
