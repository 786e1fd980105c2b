//! Placement quality, quotas, protection and quarantine.

use hyssop_core::{
    Class, JobCall, JobPhase, JobReply, Millis, Quota, Reason, Refusal, Resources, Subject, Version,
};

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, team};
use crate::worker::{FakeWorker, Health};

fn owned(domains: &[&str], workers: usize) -> Fleet {
    let mut fleet = Fleet::new(1, domains, workers);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    fleet
}

fn tasks(fleet: &Fleet, class: Class) -> usize {
    let tasks = fleet.workers.values().flat_map(|w| w.tasks.values());
    tasks.filter(|task| task.order.class == class).count()
}

/// Guards against urgent jobs that wait behind batch jobs, and against preemption that loses the
/// work of the evicted jobs.
#[test]
fn urgent_jobs_start_in_time_on_full_workers() {
    let mut fleet = owned(&["a"], 2);
    let cell = fleet.cells[0].clone();
    for n in 0..20 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 30_000)));
    }
    assert!(fleet.run_until(6_000, |f| tasks(f, Class::Batch) == 16));
    fleet.run(3_000);
    let mut urgent = batch("now", 2_000);
    urgent.class = Class::Urgent;
    urgent.needs = Resources::new(6_000, 6_000, 0);
    fleet.call(&cell, JobCall::Submit(urgent));
    let started = fleet.run_until(5_800, |f| tasks(f, Class::Urgent) == 1);
    assert!(started, "the urgent job did not start");
    let state = fleet.entries[0].cell_cores[&cell]
        .cell
        .state()
        .expect("state");
    let evictions = state.summary.evictions;
    assert_eq!((evictions.preempt, evictions.total()), (3, 3));
    let done = fleet.run_until(200_000, |f| {
        check(f);
        finished_jobs(f).len() == 21
    });
    assert!(done);
}

/// Guards against a team that starves another, and one that exceeds its quota.
#[test]
fn teams_share_fairly_within_their_quota() {
    let mut fleet = owned(&["a"], 2);
    fleet.set_quota("small", Resources::new(4_000, 60_000, 0));
    let cell = fleet.cells[0].clone();
    for n in 0..40 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("h{n}"), 20_000)));
    }
    for (name, count) in [("other", 40), ("small", 10)] {
        for n in 0..count {
            let mut spec = batch(&format!("{name}{n}"), 20_000);
            spec.team = team(name);
            fleet.call(&cell, JobCall::Submit(spec));
        }
    }
    assert!(fleet.run_until(6_000, |f| tasks(f, Class::Batch) == 16));
    let count_running = |f: &Fleet, prefix: &str| {
        let jobs = f.workers.values().flat_map(|w| w.tasks.keys());
        jobs.filter(|job| job.as_str().starts_with(prefix)).count()
    };
    assert_eq!(count_running(&fleet, "small"), 2, "quota of four cores");
    assert_eq!(count_running(&fleet, "h"), 7);
    assert_eq!(count_running(&fleet, "other"), 7);
    let waiting = fleet.status(&cell, "small9");
    assert_eq!(
        waiting.history.last().map(|e| &e.reason),
        Some(&Reason::QuotaFull)
    );
}

/// Guards against a job that exceeds every quota and blocks the queue instead of being refused.
#[test]
fn jobs_beyond_the_quota_are_refused() {
    let mut fleet = owned(&["a"], 1);
    fleet.set_quota("none", Resources::default());
    fleet.run(200);
    let cell = fleet.cells[0].clone();
    let mut spec = batch("j", 1_000);
    spec.team = team("none");
    let reply = fleet.call_and_wait(&cell, JobCall::Submit(spec));
    assert!(matches!(reply, JobReply::Refused(Refusal::NeverRuns(_))));
}

/// Guards against a job that no longer fits on any worker and blocks the jobs behind it.
#[test]
fn a_job_that_no_longer_fits_blocks_nothing() {
    let mut fleet = owned(&["a"], 1);
    let cell = fleet.cells[0].clone();
    let name = fleet.workers.keys().next().cloned().expect("worker");
    let mut large = batch("large", 1_000);
    large.needs = Resources::new(8_000, 1_000, 0);
    fleet.workers.get_mut(&name).expect("worker").capacity = Resources::new(4_000, 60_000, 0);
    fleet.call(&cell, JobCall::Submit(large));
    for n in 0..4 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 1_000)));
    }
    assert!(fleet.run_until(20_000, |f| finished_jobs(f).len() == 4));
    fleet.run(1_500);
    let status = fleet.status(&cell, "large");
    assert_eq!(status.phase, JobPhase::Pending);
    let last = status.history.last().map(|e| &e.reason);
    assert!(matches!(last, Some(Reason::NeverRuns(_))), "{last:?}");
}

/// Guards against noisy batch tasks that slow down a latency-critical service for long, and against
/// unnecessary evictions.
#[test]
fn noisy_tasks_are_restrained_and_their_work_is_kept() {
    let mut fleet = owned(&["a"], 3);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    assert!(fleet.run_until(4_000, |f| tasks(f, Class::LatencyCritical) == 1));
    for worker in fleet.workers.values_mut() {
        worker.interference_percent = 20;
    }
    let cell = fleet.cells[0].clone();
    for n in 0..20 {
        let mut spec = batch(&format!("j{n}"), 40_000);
        spec.payload = "noisy".to_owned();
        fleet.call(&cell, JobCall::Submit(spec));
    }
    fleet.run(30_000);
    let worst = |f: &Fleet| {
        let critical = f.workers.values().filter(|w| {
            let mut tasks = w.tasks.values();
            tasks.any(|task| task.order.class == Class::LatencyCritical)
        });
        critical.map(FakeWorker::slowdown).max().unwrap_or(0)
    };
    assert!(worst(&fleet) <= 120, "slowdown {}", worst(&fleet));
    let done = fleet.run_until(400_000, |f| {
        check(f);
        finished_jobs(f).len() == 20
    });
    assert!(done, "{} finished", finished_jobs(&fleet).len());
    let state = fleet.entries[0].cell_cores[&cell]
        .cell
        .state()
        .expect("state");
    let evictions = state.summary.evictions;
    assert_eq!(evictions.protect, evictions.total());
    assert!(evictions.protect <= 8, "{evictions:?}");
}

/// Guards against a second action before the delayed reports can show the effect of the first.
#[test]
fn one_cause_gets_one_action_at_a_time() {
    let mut fleet = owned(&["a"], 1);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    assert!(fleet.run_until(4_000, |f| tasks(f, Class::LatencyCritical) == 1));
    let cell = fleet.cells[0].clone();
    for worker in fleet.workers.values_mut() {
        worker.interference_percent = 20;
    }
    for n in 0..2 {
        let mut spec = batch(&format!("j{n}"), 60_000);
        spec.payload = "noisy".to_owned();
        fleet.call(&cell, JobCall::Submit(spec));
    }
    assert!(fleet.run_until(3_000, |f| tasks(f, Class::Batch) == 2));
    fleet.run(20_000);
    // At 30 percent of their speed the two cause a slowdown of 12 percent, which is below the
    // limit.
    let state = fleet.entries[0].cell_cores[&cell]
        .cell
        .state()
        .expect("state");
    assert_eq!(state.summary.evictions.total(), 0);
    assert_eq!(tasks(&fleet, Class::Batch), 2);
    let status = fleet.status(&cell, "j0");
    let throttles = status.history.iter();
    let throttles = throttles.filter(|e| matches!(e.reason, Reason::Throttled { .. }));
    assert_eq!(throttles.count(), 1);
}

/// Guards against a worker that fails all attempts and keeps getting more, and against one that is
/// never used again after its repair.
#[test]
fn a_failing_worker_is_quarantined_and_restored() {
    let mut fleet = owned(&["a"], 4);
    let cell = fleet.cells[0].clone();
    let failing = fleet.workers.keys().next().cloned().expect("worker");
    fleet.workers.get_mut(&failing).expect("worker").health = Health::Failing;
    for n in 0..80 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 3_000)));
    }
    let done = fleet.run_until(120_000, |f| {
        check(f);
        finished_jobs(f).len() == 80
    });
    assert!(done, "{} finished", finished_jobs(&fleet).len());
    let starts = fleet.workers[&failing].starts.len();
    assert!(starts < 30, "{starts} starts on the failing worker");
    let reply = fleet.call_and_wait(&cell, JobCall::Explain(Subject::Worker(failing.clone())));
    let JobReply::Explained(list) = reply else {
        panic!("{reply:?}");
    };
    let is_quarantined = |r: &Reason| matches!(r, Reason::Quarantined(..));
    assert!(list.iter().any(|e| is_quarantined(&e.reason)), "{list:?}");
    fleet.workers.get_mut(&failing).expect("worker").health = Health::Good;
    for round in 0..10 {
        for n in 0..40 {
            let spec = batch(&format!("r{round}-{n}"), 3_000);
            fleet.call(&cell, JobCall::Submit(spec));
        }
        fleet.run(20_000);
    }
    let after = fleet.workers[&failing].starts.len() - starts;
    assert!(after > 20, "{after} starts after the repair");
}

/// Guards against jobs that fail on every worker and put good workers into quarantine, and against
/// endless retries.
#[test]
fn a_job_that_fails_everywhere_is_abandoned() {
    let mut fleet = owned(&["a"], 4);
    let cell = fleet.cells[0].clone();
    for worker in fleet.workers.values_mut() {
        worker.health = Health::Failing;
    }
    fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 1_000)));
    let mut failed = false;
    for _ in 0..60 {
        fleet.run(1_000);
        failed = fleet.is_phase(&cell, "j", JobPhase::Failed);
        if failed {
            break;
        }
    }
    assert!(failed);
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 5);
}

/// Guards against a domain that is filled all at once when it returns to service.
#[test]
fn a_returning_domain_is_filled_at_a_limited_rate() {
    let mut fleet = owned(&["a"], 6);
    let cell = fleet.cells[0].clone();
    fleet.set_domain("a", hyssop_core::DomainState::Out);
    fleet.run(1_000);
    for n in 0..48 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 60_000)));
    }
    fleet.run(1_000);
    assert_eq!(tasks(&fleet, Class::Batch), 0);
    fleet.set_domain("a", hyssop_core::DomainState::In);
    let back = fleet.now;
    assert!(fleet.run_until(10_000, |f| tasks(f, Class::Batch) == 48));
    assert!(fleet.now.since(back) >= Millis(1_500));
}

/// Guards against a burst of starts or appends when all workers restart at once.
#[test]
fn recovery_after_a_mass_restart_is_bounded() {
    let mut fleet = owned(&["a"], 12);
    let cell = fleet.cells[0].clone();
    for n in 0..96 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 20_000)));
    }
    assert!(fleet.run_until(10_000, |f| tasks(f, Class::Batch) == 96));
    for worker in fleet.workers.values_mut() {
        worker.restart();
        worker.starts.clear();
    }
    let (from, at) = (fleet.trace.len(), fleet.now);
    assert!(fleet.run_until(10_000, |f| tasks(f, Class::Batch) == 96));
    let seconds = fleet.now.since(at).0 / 1_000 + 1;
    let appends = fleet.trace[from..].iter();
    let appends = appends.filter(|line| line.contains(" Append("));
    let count = u64::try_from(appends.count()).expect("count");
    assert!(count <= 4 * seconds, "{count} appends in {seconds} s");
    let mut starts = std::collections::BTreeMap::new();
    for (time, _, _) in fleet.workers.values().flat_map(|w| &w.starts) {
        *starts.entry(time.0 / 250).or_insert(0) += 1;
    }
    // Intents of one round may be read back while the start orders of the round before are sent.
    assert!(starts.values().all(|n| *n <= 64), "{starts:?}");
    assert!(fleet.run_until(60_000, |f| finished_jobs(f).len() == 96));
}

impl Fleet {
    pub(crate) fn set_quota(&mut self, name: &str, resources: Resources) {
        let quota = (Version(1), Quota { resources });
        self.conf.quotas.insert(team(name), quota);
        self.bump_conf_version();
    }
}
