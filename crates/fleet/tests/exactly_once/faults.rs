//! Random faults of workers, agents, owners, the store and heartbeats.

use std::sync::Arc;

use hyssop_jobs::{Resources, WorkerInfo, WorkerState};
use rand::Rng;
use rand::rngs::StdRng;

use crate::models::{CLOCK_ORIGIN, Event, HostEvent, Model, Rates, host_address};

/// Mean numbers of faults per second in the whole fleet, and shares of faulty messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) rates: Rates,
    /// Crashes after which a worker starts under the same identifier.
    pub(crate) same_id_crashes: f64,
    /// Crashes after which a worker starts under another identifier.
    pub(crate) other_id_crashes: f64,
    /// Share of the crashes that are silent.
    pub(crate) silent_share: f64,
    /// Times for which no call to a worker gets a response.
    pub(crate) silences: f64,
    /// Workers that drain, deregister and end.
    pub(crate) departures: f64,
    /// Heartbeats of writers that are not the worker.
    pub(crate) foreign_heartbeats: f64,
    pub(crate) agent_kills: f64,
    pub(crate) agent_freezes: f64,
    /// Times for which an agent cannot reach owners.
    pub(crate) agent_cuts: f64,
    /// Least and greatest time of these.
    pub(crate) cut_ms: (u64, u64),
    pub(crate) owner_kills: f64,
    pub(crate) owner_freezes: f64,
    pub(crate) owner_cuts: f64,
    /// Times for which the store does not respond at all.
    pub(crate) store_outages: f64,
    /// Times for which writes of jobs do not succeed.
    pub(crate) write_outages: f64,
    /// Longest time of either.
    pub(crate) outage_ms: u64,
}

pub(crate) const NO_FAULTS: Faults = Faults {
    rates: Rates {
        no_response: 0.0,
        has_late_calls: false,
        closed_late: 0.0,
        slow: 0.05,
        slow_ms: 120,
        refused: 0.0,
        heartbeat_late: 0.0,
        report_lost: 0.0,
        report_late: 0.0,
        store_slow: 0.0,
    },
    same_id_crashes: 0.0,
    other_id_crashes: 0.0,
    silent_share: 0.0,
    silences: 0.0,
    departures: 0.0,
    foreign_heartbeats: 0.0,
    agent_kills: 0.0,
    agent_freezes: 0.0,
    agent_cuts: 0.0,
    cut_ms: (500, 8_000),
    owner_kills: 0.0,
    owner_freezes: 0.0,
    owner_cuts: 0.0,
    store_outages: 0.0,
    write_outages: 0.0,
    outage_ms: 4_000,
};

pub(crate) const ALL_FAULTS: Faults = Faults {
    rates: Rates {
        no_response: 0.02,
        has_late_calls: true,
        closed_late: 0.0,
        slow: 0.1,
        slow_ms: 120,
        refused: 0.02,
        heartbeat_late: 0.1,
        report_lost: 0.01,
        report_late: 0.02,
        store_slow: 0.1,
    },
    same_id_crashes: 0.1,
    other_id_crashes: 0.05,
    silent_share: 0.3,
    silences: 0.05,
    departures: 0.05,
    foreign_heartbeats: 0.03,
    agent_kills: 0.05,
    agent_freezes: 0.05,
    agent_cuts: 0.05,
    cut_ms: (500, 8_000),
    owner_kills: 0.05,
    owner_freezes: 0.05,
    owner_cuts: 0.05,
    store_outages: 0.03,
    write_outages: 0.03,
    outage_ms: 4_000,
};

impl Faults {
    /// Injects the faults of one interval.
    pub(crate) fn inject(&self, model: &mut Model, rng: &mut StdRng, interval_ms: u64) {
        let mut happens = |rate: f64| {
            rate > 0.0 && rng.random_bool((rate * interval_ms as f64 / 1_000.0).min(1.0))
        };
        let due = [
            happens(self.same_id_crashes),
            happens(self.other_id_crashes),
            happens(self.silences),
            happens(self.departures),
            happens(self.foreign_heartbeats),
            happens(self.agent_kills),
            happens(self.agent_freezes),
            happens(self.agent_cuts),
            happens(self.owner_kills),
            happens(self.owner_freezes),
            happens(self.owner_cuts),
            happens(self.store_outages),
            happens(self.write_outages),
        ];
        for (number, _) in due.iter().enumerate().filter(|(_, is_due)| **is_due) {
            let host = rng.random_range(0..model.hosts.len());
            match number {
                0 => self.crash(model, rng, host, true),
                1 => self.crash(model, rng, host, false),
                2 => {
                    let until = model.now + rng.random_range(300..5_000);
                    model.hosts[host].silent_until = until;
                    let text = format!("calls get no response until {until}");
                    model.judge.note_host(model.now, host, &text);
                }
                3 => depart(model, rng, host),
                4 => send_foreign_heartbeat(model, rng, host),
                5 => {
                    model.kill_agent(host);
                    model.schedule(rng.random_range(200..1_500), Event::StartAgent(host));
                }
                6 => model.freeze_agent(host, rng.random_range(500..6_000)),
                7 => {
                    let until = model.now + rng.random_range(self.cut_ms.0..self.cut_ms.1);
                    model.hosts[host].cut_until = until;
                    let text = format!("agent cut off from owners until {until}");
                    model.judge.note_host(model.now, host, &text);
                }
                8..=10 => disturb_owner(model, rng, number - 8),
                11 => {
                    let until = model.now + rng.random_range(300..self.outage_ms);
                    model.store.away_until = until;
                    let text = format!("store away until {until}");
                    model.judge.note_all(model.now, &text);
                }
                _ => {
                    let until = model.now + rng.random_range(300..self.outage_ms);
                    model.store.writes_away_until = until;
                    let text = format!("writes of jobs fail until {until}");
                    model.judge.note_all(model.now, &text);
                }
            }
        }
    }

    fn crash(&self, model: &mut Model, rng: &mut StdRng, host: usize, keeps_id: bool) {
        let Some(index) = model.hosts[host].worker else {
            return;
        };
        model.crash(host, rng.random_bool(self.silent_share));
        let id = match keeps_id {
            true => Arc::clone(&model.workers[index].info.id),
            false => model.next_identity(host),
        };
        let delay = rng.random_range(100..5_000);
        let delay = if rng.random_bool(0.5) {
            delay / 10
        } else {
            delay
        };
        model.schedule(delay.max(100), Event::StartWorker(host, id));
    }
}

fn depart(model: &mut Model, rng: &mut StdRng, host: usize) {
    let Some(index) = model.hosts[host].worker else {
        return;
    };
    let leaves_in = rng.random_range(500..4_000);
    model.drain(index);
    model.schedule(leaves_in, Event::Leave(index));
    let id = match rng.random_bool(0.5) {
        true => Arc::clone(&model.workers[index].info.id),
        false => model.next_identity(host),
    };
    let starts_in = leaves_in + rng.random_range(100..3_000);
    model.schedule(starts_in, Event::StartWorker(host, id));
}

fn send_foreign_heartbeat(model: &mut Model, rng: &mut StdRng, host: usize) {
    let now = CLOCK_ORIGIN + model.now;
    let incarnation = match rng.random_range(0..3) {
        0 => 0,
        1 => now - rng.random_range(1..20_000),
        _ => now + rng.random_range(1..1_000_000),
    };
    let address = match rng.random_bool(0.5) {
        true => host_address(host),
        false => "10.9.9.9:1".into(),
    };
    let info = WorkerInfo {
        id: format!("foreign-{}", rng.random_range(0..3)).into(),
        incarnation,
        address,
        service: "made-up".into(),
        domain: "bergen-a".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        state: WorkerState::Ready,
    };
    let event = HostEvent::Heartbeat(rng.random_range(1..1_000), info);
    model.schedule(0, Event::HostInput(host, event));
}

/// Kills the owner, freezes it, or cuts it off from the store. Another entry claims the ownership
/// when the last renewal is old enough.
fn disturb_owner(model: &mut Model, rng: &mut StdRng, how: usize) {
    let Some(epoch) = model.store.owner.as_ref().map(|owner| owner.epoch) else {
        return;
    };
    let until = model.now + rng.random_range(500..8_000);
    let process = model.owners.iter_mut();
    let Some(process) = process.into_iter().find(|process| process.epoch == epoch) else {
        return;
    };
    match how {
        0 => {
            model.end_owner(epoch, "killed");
            model.schedule(rng.random_range(100..2_500), Event::Takeover(epoch));
        }
        1 => {
            process.frozen_until = until;
            let text = format!("owner of epoch {epoch} frozen until {until}");
            model.judge.note_all(model.now, &text);
            model.schedule(rng.random_range(1_800..3_000), Event::Takeover(epoch));
        }
        _ => {
            process.cut_until = until;
            let text = format!("owner of epoch {epoch} cut off from the store until {until}");
            model.judge.note_all(model.now, &text);
            model.schedule(rng.random_range(700..3_000), Event::Takeover(epoch));
        }
    }
}
