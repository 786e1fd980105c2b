//! Throttling of best-effort tasks that interfere with latency-critical ones.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::RunId;
use crate::accounts::LossCause;
use crate::interference::{InterferenceModel, Sample};
use crate::io::Order;
use crate::limits::{
    FALLING_RATIO, LATENCY_FALL_TIME, LATENCY_RISE_TIME, MAX_ADMISSION_RATIO,
    MAX_THROTTLES_PER_REPORT, OVERLOAD_RATIO, SPEED_STEP_PERCENT, SPEEDUP_RATIO,
    START_BUDGET_PER_REPORT, STOP_SPEED_PERCENT, THROTTLE_RATIO,
};
use crate::owners::Owner;
use crate::workers::{Worker, WorkerRun};

impl Owner {
    /// Updates the interference model from the last report of a worker, and throttles or stops
    /// best-effort tasks beside latency-critical ones that exceed their targets.
    pub(crate) fn limit_interference(&mut self, id: &Arc<str>, session: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.critical_count == 0 {
            worker.start_budget = 0;
            self.restore_speeds(id, session);
            return;
        }
        worker.start_budget = START_BUDGET_PER_REPORT;
        let loads = worker.best_effort_loads.clone();
        let is_settled = now.since(worker.load_dropped_at) > LATENCY_FALL_TIME;
        let is_recently_throttled =
            now.since(worker.throttled_at.max(worker.load_dropped_at)) <= LATENCY_FALL_TIME;
        let is_ramping = now.since(worker.load_added_at) < LATENCY_RISE_TIME;
        for (run, worker_run) in &worker.runs {
            if let Some(ratio) = worker_run.latency_ratio() {
                let sample = Sample {
                    job: run.task.job,
                    image: &worker_run.image,
                    ratio,
                    loads: &loads,
                    is_ramping,
                    is_settled,
                };
                self.interference.learn(now, &sample);
            }
        }
        let Some((critical_run, ratio)) = most_loaded(worker) else {
            return;
        };
        let is_falling = is_recently_throttled && ratio < worker.last_max_ratio * FALLING_RATIO;
        worker.last_max_ratio = ratio;
        if ratio > THROTTLE_RATIO {
            worker.start_budget = 0;
            if !is_falling {
                self.throttle_best_effort(id, session, critical_run, ratio);
            }
        } else if ratio < SPEEDUP_RATIO {
            self.restore_speeds(id, session);
        }
    }

    /// Throttles the best-effort tasks that interfere most with a latency-critical run.
    fn throttle_best_effort(
        &mut self,
        id: &Arc<str>,
        session: u64,
        critical_run: RunId,
        ratio: f32,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(worker_run) = worker.runs.get(&critical_run) else {
            return;
        };
        // Far above the target, the headroom is a poor measure of the excess, because it is the
        // reciprocal of the ratio. The ratio itself is divided among the tasks instead.
        let base_ratio = 1.0 / self.interference.headroom(critical_run.task.job).max(1.0);
        let excess = (ratio - base_ratio).max(0.01);
        let surplus = (ratio - MAX_ADMISSION_RATIO) / excess;
        let throttled = select_throttled(
            worker,
            &self.interference,
            now,
            &worker_run.image,
            ratio,
            surplus,
        );
        if throttled.is_empty() {
            return;
        }
        worker.throttled_at = now;
        let speed_share = (1.0 - surplus).clamp(0.0, 0.5);
        for run in throttled {
            self.throttle_run(id, session, run, speed_share);
            self.log(format!(
                "best-effort run {run} on {id} throttled or stopped: {critical_run} is at \
                 {ratio:.2} of its target, {base_ratio:.2} without interference"
            ));
        }
    }

    /// Reduces the speed of a best-effort task to a share of its present speed if a stop would lose
    /// its work or if it started slowed for lack of a better worker. Stops it otherwise, and also
    /// if the speed would fall below [`STOP_SPEED_PERCENT`].
    fn throttle_run(&mut self, id: &Arc<str>, session: u64, run: RunId, speed_share: f32) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(worker_run) = worker.runs.get_mut(&run) else {
            return;
        };
        let speed_percent = (worker_run.speed_percent as f32 * speed_share) as u32;
        if !worker_run.prefers_throttling || speed_percent < STOP_SPEED_PERCENT {
            self.stop_run(id, run, LossCause::Throttled);
            return;
        }
        worker_run.speed_percent = speed_percent;
        worker.load_dropped_at = self.now;
        let order = Order::Pace(run, speed_percent);
        self.orders.entry(session).or_default().push(order);
    }

    /// Raises the speed of throttled best-effort tasks by one step.
    fn restore_speeds(&mut self, id: &Arc<str>, session: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for (&run, worker_run) in &mut worker.runs {
            if worker_run.speed_percent < 100 && !worker_run.is_stopping {
                worker_run.speed_percent = (worker_run.speed_percent + SPEED_STEP_PERCENT).min(100);
                let order = Order::Pace(run, worker_run.speed_percent);
                self.orders.entry(session).or_default().push(order);
            }
        }
    }
}

/// Returns the latency-critical run with the highest ratio of tail latency to target, and that
/// ratio.
fn most_loaded(worker: &Worker) -> Option<(RunId, f32)> {
    let runs = worker.runs.iter();
    let ratios = runs.filter_map(|(&run, worker_run)| Some((run, worker_run.latency_ratio()?)));
    ratios.max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the best-effort tasks that interfere most with a latency-critical image, until they add
/// up to `surplus`, which is a share of the interference of all of them.
fn select_throttled(
    worker: &Worker,
    interference: &InterferenceModel,
    now: Millis,
    critical_image: &Arc<str>,
    ratio: f32,
    surplus: f32,
) -> Vec<RunId> {
    let candidates = worker
        .runs
        .iter()
        .filter(|(_, worker_run)| worker_run.is_best_effort && !worker_run.is_stopping);
    let contribution = |(run, worker_run): (&RunId, &WorkerRun)| {
        let amount = worker.normalized_cores(worker_run.cpu_in_use())
            * interference.weight(now, &worker_run.image, critical_image);
        (amount, *run)
    };
    let mut contributions: Vec<(f32, RunId)> = candidates.map(contribution).collect();
    contributions.sort_by(|a, b| b.0.total_cmp(&a.0));
    let total: f32 = contributions.iter().map(|(amount, _)| amount).sum();
    // Far above the target there is no time to wait for the effect of throttling a few tasks.
    let max_count = if ratio > OVERLOAD_RATIO {
        usize::MAX
    } else {
        MAX_THROTTLES_PER_REPORT
    };
    let mut remaining = surplus * total;
    let mut throttled = Vec::new();
    for (amount, run) in contributions {
        if remaining <= 0.0 || throttled.len() >= max_count {
            break;
        }
        remaining -= amount;
        throttled.push(run);
    }
    throttled
}
