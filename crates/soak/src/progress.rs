//! Check that no accepted job stands still.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hyssop_platform_standins::{AdviceTimes, Amounts, Capacity, JobShape, Ledger, TaskKind};
use tokio::time::{Instant, sleep};

use crate::callers::Callers;
use crate::fleets::Fleet;
use crate::scheduling::ThreadWatch;

/// Time for which nothing of a job may run although it could, as promised to the users.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Time for which a service task may be away although it could run, however much is in use.
const MAX_AWAY: Duration = Duration::from_secs(6);
/// Requests for advice on a step until its task starts: one more for a request that is lost.
const ADVICE_TRIES: u32 = 2;
/// Time of the longest request for advice that names more workers than a task needs.
const LONGEST_REQUEST: Duration = Duration::from_secs(1);
/// Time after a fault from which the promise holds.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Share of the capacity in use from which the promise does not hold for whole jobs, in percent.
const BUSY_PERCENT: u64 = 50;
/// Interval at which the jobs are checked. A job is reported if it stood still for 3 s, and at the
/// latest after 3 s and two intervals.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which jobs are checked in one run, without the time that is left out.
const CHECKED_TIME: Duration = Duration::from_secs(12);
/// Time after which the check is given up on a machine that keeps processes from running.
const CHECK_TIMEOUT: Duration = Duration::from_secs(60);

/// What stands still: a job, or one of its service tasks by index.
type StallKey = (u64, Option<u32>);

/// Time for which nothing of a job runs, or not one service task, although it could.
#[derive(Clone, Copy, Debug)]
struct Stall {
    since: Instant,
    until: Instant,
    step: usize,
    change_count: u64,
    /// Largest shares of the processors and the memory in use, in percent.
    peak_percent: (u64, u64),
    /// Longest time that the advisor has needed for all jobs that are open.
    turn: Duration,
}

/// Compares what the workers run with what they could run, at regular times.
#[derive(Debug, Default)]
pub struct ProgressChecker {
    /// Times of the advisor, if jobs need its tickets.
    advice: Option<AdviceTimes>,
    stalls: BTreeMap<StallKey, Stall>,
    checked: BTreeSet<u64>,
    violations: Vec<String>,
}

impl ProgressChecker {
    /// Creates a checker of jobs that need tickets of an advisor with these times, if any are given. A job
    /// may wait for its turn there.
    #[must_use]
    pub fn with_advice(advice: Option<AdviceTimes>) -> Self {
        Self {
            advice,
            ..Self::default()
        }
    }

    /// Takes a sample. `jobs` are those that are accepted and not cancelled, with the time until which
    /// they surely had not ended otherwise than by their last task.
    pub fn sample<'a>(
        &mut self,
        now: Instant,
        ledger: &Ledger,
        jobs: impl IntoIterator<Item = (u64, &'a JobShape, Instant)>,
    ) {
        let capacity = ledger.take_capacity();
        let (peak, total) = (capacity.peak, capacity.total);
        let percent = |part: u64, total: u64| (part * 100).checked_div(total).unwrap_or(100);
        let (cpu, mem) = (percent(peak.cpu, total.cpu), percent(peak.mem, total.mem));
        let is_busy = cpu >= BUSY_PERCENT || mem >= BUSY_PERCENT;
        let mut ended = std::mem::take(&mut self.stalls);
        let jobs: Vec<_> = jobs.into_iter().collect();
        let turn = self.advice.map_or(Duration::ZERO, |times| {
            ADVICE_TRIES * times.time(1) * jobs.len() as u32 + LONGEST_REQUEST.max(times.time(1))
        });
        for (id, shape, open_at) in jobs {
            let progress = ledger.progress(id, shape);
            let Some(step) = progress.open_step else {
                continue;
            };
            let job = ((id, None), progress.is_running, progress.change_count);
            let job = (!is_busy).then_some(job);
            let service_tasks = match shape.kind {
                TaskKind::Service => 0..shape.steps[step],
                TaskKind::Batch | TaskKind::BestEffort => 0..0,
            };
            let service_tasks = service_tasks.map(|index| {
                let (is_running, change_count) = ledger.task_activity(id, step, index);
                ((id, Some(index)), is_running, change_count)
            });
            for (key, is_running, change_count) in job.into_iter().chain(service_tasks) {
                self.checked.insert(id);
                if is_running || !has_capacity_twice(&capacity, shape) {
                    continue;
                }
                let is_same = |stall: &Stall| stall.change_count == change_count;
                let stall = ended.get(&key).copied().filter(is_same);
                if stall.is_some() {
                    ended.remove(&key);
                }
                let mut stall = stall.unwrap_or(Stall {
                    since: now,
                    until: now,
                    step,
                    change_count,
                    peak_percent: (0, 0),
                    turn,
                });
                stall.turn = stall.turn.max(turn);
                stall.until = open_at.max(stall.since);
                let (peak_cpu, peak_mem) = stall.peak_percent;
                stall.peak_percent = (peak_cpu.max(cpu), peak_mem.max(mem));
                self.stalls.insert(key, stall);
            }
        }
        self.report(&ended);
    }

    /// Ends all stalls, because the jobs are not checked for some time.
    pub fn interrupt(&mut self) {
        let ended = std::mem::take(&mut self.stalls);
        self.report(&ended);
    }

    /// Returns the number of jobs to which the promise applied in some sample, and a description of
    /// each time that a job stood still for too long.
    #[must_use]
    pub fn finish(mut self) -> (usize, Vec<String>) {
        self.interrupt();
        (self.checked.len(), self.violations)
    }

    fn report(&mut self, ended: &BTreeMap<StallKey, Stall>) {
        for ((id, service_task), stall) in ended {
            let (subject, limit) = match service_task {
                Some(index) => (format!("service task {index}"), MAX_AWAY),
                None => ("a task".to_owned(), MAX_IDLE),
            };
            let idle = stall.until - stall.since;
            if idle >= limit + stall.turn {
                let (cpu, mem) = stall.peak_percent;
                self.violations.push(format!(
                    "job {id:016x} stood still for {} ms although {subject} of step {} was ready; \
                     at most {cpu}% of the processors and {mem}% of the memory were in use",
                    idle.as_millis(),
                    stall.step
                ));
            }
        }
    }
}

/// Returns whether two more tasks of a job would find the capacity that they reserve.
fn has_capacity_twice(capacity: &Capacity, shape: &JobShape) -> bool {
    let needed = Amounts::reserved_by(shape);
    let places = capacity.free.iter().map(|free| {
        let of = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX).min(2);
        of(free.cpu, needed.cpu).min(of(free.mem, needed.mem))
    });
    places.sum::<u64>() >= 2
}

/// Result of the check of one run.
#[derive(Debug)]
pub(crate) struct ProgressReport {
    pub(crate) checked_count: usize,
    pub(crate) starved_count: usize,
    pub(crate) violations: Vec<String>,
}

/// Checks the jobs of a fleet after the last fault, while callers go on submitting.
///
/// A machine that keeps a process from running has the effect of a frozen process, which is a fault:
/// the check begins anew, and the time in which it applies is prolonged.
pub(crate) async fn check_progress(fleet: &Fleet, callers: &Callers) -> ProgressReport {
    let is_over = Cell::new(false);
    let check = async {
        let report = sample_jobs(fleet, callers).await;
        is_over.set(true);
        report
    };
    let ((), report) = tokio::join!(callers.run_until(fleet, &is_over), check);
    report
}

async fn sample_jobs(fleet: &Fleet, callers: &Callers) -> ProgressReport {
    let mut checker = ProgressChecker::with_advice(fleet.advice_times());
    let mut watch = ThreadWatch::new(fleet.process_ids());
    let mut starved_count = 0;
    let start = Instant::now();
    let (mut disturbed_at, mut last, mut checked) = (start, start, Duration::ZERO);
    while checked < CHECKED_TIME && last < start + CHECK_TIMEOUT {
        sleep(SAMPLE_INTERVAL).await;
        let now = Instant::now();
        let is_late = now - last > 2 * SAMPLE_INTERVAL;
        if watch.has_starved(SAMPLE_INTERVAL) || is_late {
            starved_count += 1;
            checker.interrupt();
            disturbed_at = now;
        } else if fleet.store.pending_fault_count() > 0 {
            disturbed_at = now;
        }
        if now >= disturbed_at + RECOVERY_TIME {
            let jobs = callers.open_jobs(fleet, now);
            let jobs = jobs.iter().map(|(id, shape, at)| (*id, shape, *at));
            checker.sample(now, &fleet.ledger, jobs);
            checked += now - last;
        }
        last = now;
    }
    let (checked_count, violations) = checker.finish();
    ProgressReport {
        checked_count,
        starved_count,
        violations,
    }
}
