//! Protection of serving tasks from the fillers beside them.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::RunId;
use crate::interference::{Pressures, Sample};
use crate::io::Order;
use crate::limits::{
    ADMIT_RATIO, CALM_RATIO, FALLING, FAR_RATIO, FILLERS_PER_REPORT, PACE_STEP, RAMP,
    REMOVALS_PER_REPORT, SETTLE, STOP_PACE, TENSE_RATIO,
};
use crate::owners::Owner;
use crate::workers::{Held, Worker};

impl Owner {
    /// Learns from the last report of a worker, and removes fillers from beside serving tasks that
    /// are near their targets or beyond.
    pub(crate) fn protect(&mut self, id: &Arc<str>, session: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.serving == 0 {
            worker.filler_credit = 0;
            self.restore_pace(id, session);
            return;
        }
        worker.filler_credit = FILLERS_PER_REPORT;
        let loads = worker.loads();
        let is_settled = now.since(worker.eased) > SETTLE;
        let is_relieved = now.since(worker.relieved.max(worker.eased)) <= SETTLE;
        let is_ramping = now.since(worker.loaded) < RAMP;
        for (run, held) in &worker.runs {
            if let Some(ratio) = held.ratio() {
                let sample = Sample {
                    job: run.task.job,
                    image: &held.image,
                    ratio,
                    loads: &loads,
                    is_ramping,
                    is_settled,
                };
                self.pressures.learn(now, &sample);
            }
        }
        let Some((serving, ratio)) = worst(worker) else {
            return;
        };
        let is_falling = is_relieved && ratio < worker.last_worst * FALLING;
        worker.last_worst = ratio;
        if ratio > TENSE_RATIO {
            worker.filler_credit = 0;
            if !is_falling {
                self.relieve(id, session, serving, ratio);
            }
        } else if ratio < CALM_RATIO {
            self.restore_pace(id, session);
        }
    }

    /// Removes fillers that weigh on a serving run.
    fn relieve(&mut self, id: &Arc<str>, session: u64, serving: RunId, ratio: f32) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(held) = worker.runs.get(&serving) else {
            return;
        };
        // Far beyond the target the reciprocal says little about how much is too much, so that the
        // tail latency itself is shared out.
        let own = 1.0 / self.pressures.headroom(serving.task.job).max(1.0);
        let excess = (ratio - own).max(0.01);
        let surplus = (ratio - ADMIT_RATIO) / excess;
        let removed = removals(worker, &self.pressures, now, &held.image, ratio, surplus);
        if removed.is_empty() {
            return;
        }
        worker.relieved = now;
        let share = (1.0 - surplus).clamp(0.0, 0.5);
        for run in removed {
            self.remove_filler(id, session, run, share);
            self.note(format!(
                "filler {run} removed from {id}: {serving} is at {ratio:.2} of its target, \
                 {own:.2} by its own load"
            ));
        }
    }

    /// Slows a filler whose work would be lost, or for which no better place was found, to a share of
    /// its speed. Stops any other, and one that would hardly move.
    fn remove_filler(&mut self, id: &Arc<str>, session: u64, run: RunId, share: f32) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(&run) else {
            return;
        };
        let pace = (held.pace as f32 * share) as u32;
        if !held.paced || pace < STOP_PACE {
            self.stop(id, run);
            return;
        }
        held.pace = pace;
        worker.eased = self.now;
        let order = Order::Pace(run, pace);
        self.orders.entry(session).or_default().push(order);
    }

    /// Gives slowed fillers some of their speed back.
    fn restore_pace(&mut self, id: &Arc<str>, session: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for (&run, held) in &mut worker.runs {
            if held.pace < 100 && !held.stopping {
                held.pace = (held.pace + PACE_STEP).min(100);
                let order = Order::Pace(run, held.pace);
                self.orders.entry(session).or_default().push(order);
            }
        }
    }
}

/// Returns the serving run that is nearest to its target, and its tail latency.
fn worst(worker: &Worker) -> Option<(RunId, f32)> {
    let runs = worker.runs.iter();
    let ratios = runs.filter_map(|(&run, held)| Some((run, held.ratio()?)));
    ratios.max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the fillers that weigh most on a serving image, until they make up the surplus, a share of
/// what all fillers do to it.
fn removals(
    worker: &Worker,
    pressures: &Pressures,
    now: Millis,
    serving: &Arc<str>,
    ratio: f32,
    surplus: f32,
) -> Vec<RunId> {
    let active = worker
        .runs
        .iter()
        .filter(|(_, held)| held.is_best_effort && !held.stopping);
    let weigh = |(run, held): (&RunId, &Held)| {
        let part = worker.cores(held.load()) * pressures.weight(now, &held.image, serving);
        (part, *run)
    };
    let mut parts: Vec<(f32, RunId)> = active.map(weigh).collect();
    parts.sort_by(|a, b| b.0.total_cmp(&a.0));
    let all: f32 = parts.iter().map(|(part, _)| part).sum();
    // Far beyond the target there is no time to see the effect of a few.
    let most = if ratio > FAR_RATIO {
        usize::MAX
    } else {
        REMOVALS_PER_REPORT
    };
    let mut left = surplus * all;
    let mut removed = Vec::new();
    for (part, run) in parts {
        if left <= 0.0 || removed.len() >= most {
            break;
        }
        left -= part;
        removed.push(run);
    }
    removed
}
