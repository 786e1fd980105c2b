//! Ends of attempts that were given up as lost, because their worker could not be reached until its
//! leases had expired. The worker reports them when it is reached again.

use hyssop_core::{
    CellId, CellRecord, DomainState, JobCall, JobPhase, JobReply, Resources, WorkerName,
};

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, job_id};
use crate::worker::{FakeWorker, Health};

/// Work of the job: it ends while its worker cannot be reached, and before its lease expires.
pub(crate) const WORK_MS: u64 = 10_000;
/// Time after which an attempt on an unreachable worker is given up and the next one has started.
pub(crate) const RESTART_MS: u64 = 30_000;
/// Time between the loss of an attempt and the next start, at most.
pub(crate) const LOSS_TO_RESTART_MS: u64 = 1_800;
/// Time after which the job is finished, or would have started again.
pub(crate) const SETTLE_MS: u64 = 60_000;

/// A fleet with one job, whose first attempt runs on a worker that cannot be reached any more.
pub(crate) struct Scene {
    pub(crate) fleet: Fleet,
    pub(crate) cell: CellId,
    /// The worker of the first attempt.
    pub(crate) first: WorkerName,
}

impl Scene {
    /// Starts the job with `work` milliseconds of work, and cuts its worker off.
    pub(crate) fn new(entries: u64, domains: &[&str], workers: usize, work: u64) -> Self {
        let mut fleet = Fleet::new(entries, domains, workers);
        let cells = fleet.cells.clone();
        assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
        fleet.run(2_000);
        let cell = cells[0].clone();
        fleet.call(&cell, JobCall::Submit(batch("j", work)));
        assert!(fleet.run_until(5_000, |f| start_count(f) == 1));
        fleet.run(2_000);
        let first = runners(&fleet).remove(0);
        let mut scene = Self { fleet, cell, first };
        scene.worker().is_unreachable = true;
        scene
    }

    /// Returns the worker of the first attempt.
    pub(crate) fn worker(&mut self) -> &mut FakeWorker {
        let worker = self.fleet.workers.get_mut(&self.first);
        worker.expect("worker")
    }

    /// Runs until the second attempt has started, and returns its worker.
    pub(crate) fn wait_for_restart(&mut self) -> WorkerName {
        assert!(self.run_until(RESTART_MS, |f| start_count(f) == 2));
        assert!(!self.worker().tasks.contains_key(&job_id("j")));
        runners(&self.fleet).remove(0)
    }

    /// Runs until `is_done`, and checks the invariants after each step.
    pub(crate) fn run_until(&mut self, limit: u64, is_done: impl Fn(&Fleet) -> bool) -> bool {
        self.fleet.run_until(limit, |fleet| {
            check(fleet);
            is_done(fleet)
        })
    }

    /// Runs for `SETTLE_MS`, and checks that the job has finished without a further start and that
    /// nothing of it runs or stays allocated.
    fn assert_finished(&mut self, starts: usize) {
        self.run_until(SETTLE_MS, |_| false);
        assert_eq!(start_count(&self.fleet), starts, "attempts started");
        let cell = self.cell.clone();
        assert_eq!(self.fleet.status(&cell, "j").phase, JobPhase::Finished);
        assert_eq!(finished_jobs(&self.fleet).len(), 1);
        assert_eq!(runners(&self.fleet), Vec::new());
        let owner = self.fleet.owner(&cell).expect("owner");
        let state = self.fleet.entries[owner].cell_cores[&cell].cell.state();
        let allocated = state.expect("the owner").summary.allocated;
        assert_eq!(allocated, Resources::default());
    }
}

/// Returns how many attempts of the job have started.
pub(crate) fn start_count(fleet: &Fleet) -> usize {
    let starts = fleet.workers.values().flat_map(|w| &w.starts);
    starts.filter(|(_, job, _)| *job == job_id("j")).count()
}

/// Returns the workers that run the job.
pub(crate) fn runners(fleet: &Fleet) -> Vec<WorkerName> {
    let workers = fleet.workers.iter();
    let running = workers.filter(|(_, worker)| worker.tasks.contains_key(&job_id("j")));
    running.map(|(name, _)| name.clone()).collect()
}

/// Guards against a job that starts a third time, when its second attempt fails, although the
/// result of the first one was reported and acknowledged.
#[test]
fn late_result_finishes_a_job_whose_next_attempt_runs() {
    let mut scene = Scene::new(1, &["a"], 2, WORK_MS);
    let second = scene.wait_for_restart();
    scene.worker().is_unreachable = false;
    scene.run_until(1_500, |_| false);
    let worker = scene.fleet.workers.get_mut(&second).expect("worker");
    worker.health = Health::Failing;
    scene.assert_finished(2);
}

/// Guards against a second attempt that runs to its end for nothing, and against a job without a
/// result until then.
#[test]
fn late_result_stops_the_next_attempt() {
    let mut scene = Scene::new(1, &["a"], 2, 14_000);
    scene.wait_for_restart();
    scene.worker().is_unreachable = false;
    assert!(scene.run_until(5_000, |f| finished_jobs(f).len() == 1));
    assert_eq!(runners(&scene.fleet), Vec::new());
    scene.assert_finished(2);
}

/// Guards against a finished job that starts again because no attempt of it is open when its result
/// arrives.
#[test]
fn late_result_finishes_a_job_that_waits() {
    let mut scene = Scene::new(1, &["a"], 1, WORK_MS);
    scene.run_until(RESTART_MS, |_| false);
    scene.worker().is_unreachable = false;
    scene.assert_finished(1);
}

/// Guards against a result that is kept for a job which may not start, because its domain is out of
/// service, and never recorded.
#[test]
fn late_result_finishes_a_job_in_a_domain_out_of_service() {
    let mut scene = Scene::new(1, &["a"], 1, WORK_MS);
    scene.run_until(RESTART_MS, |_| false);
    scene.fleet.set_domain("a", DomainState::Out);
    scene.run_until(5_000, |_| false);
    scene.worker().is_unreachable = false;
    scene.assert_finished(1);
}

/// Guards against a result that is dropped in one of the states between the loss of the attempt and
/// the start of the next one: while the loss, the intent or the start is under way.
#[test]
fn late_result_at_any_time_finishes_its_job() {
    let mut scene = Scene::new(1, &["a"], 2, WORK_MS);
    let cut_at = scene.fleet.now;
    scene.wait_for_restart();
    let restart = scene.fleet.now.since(cut_at).0;
    for delay in (restart - LOSS_TO_RESTART_MS..restart + 400).step_by(50) {
        // While the log is down, the records of the loss and of the next attempt stay under way.
        for is_log_down in [false, true] {
            let mut scene = Scene::new(1, &["a"], 2, WORK_MS);
            scene.run_until(delay, |_| false);
            scene.fleet.is_log_up = !is_log_down;
            scene.run_until(50, |_| false);
            scene.worker().is_unreachable = false;
            scene.run_until(2_000, |_| false);
            scene.fleet.is_log_up = true;
            scene.run_until(1_500, |_| false);
            for worker in scene.fleet.workers.values_mut() {
                worker.health = Health::Failing;
            }
            let starts = start_count(&scene.fleet);
            assert!(starts <= 2, "{starts} starts after {delay} ms");
            scene.assert_finished(starts);
        }
    }
}

/// Guards against a result that only the owner knew which had given the attempt up.
#[test]
fn late_result_reaches_a_later_owner() {
    let mut scene = Scene::new(3, &["a"], 2, WORK_MS);
    let second = scene.wait_for_restart();
    let owner = scene.fleet.owner(&scene.cell).expect("owner");
    scene.fleet.entries[owner].is_running = false;
    let cell = scene.cell.clone();
    assert!(scene.run_until(10_000, |f| f.owner(&cell).is_some_and(|n| n != owner)));
    scene.worker().is_unreachable = false;
    scene.run_until(1_500, |_| false);
    let worker = scene.fleet.workers.get_mut(&second).expect("worker");
    worker.health = Health::Failing;
    scene.assert_finished(2);
}

/// Guards against a result that is acknowledged before it is recorded: the owner that has received
/// it crashes while it cannot stop the second attempt.
#[test]
fn late_result_survives_the_owner_that_received_it() {
    let mut scene = Scene::new(3, &["a"], 2, 14_000);
    let second = scene.wait_for_restart();
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = true;
    scene.worker().is_unreachable = false;
    scene.run_until(3_000, |_| false);
    let owner = scene.fleet.owner(&scene.cell).expect("owner");
    scene.fleet.entries[owner].is_running = false;
    let cell = scene.cell.clone();
    assert!(scene.run_until(10_000, |f| f.owner(&cell).is_some_and(|n| n != owner)));
    scene.assert_finished(2);
}

/// Guards against a result that goes out under two receipts, once for each attempt that has
/// finished: the second one ends by itself before its stop arrives.
#[test]
fn late_result_goes_out_under_one_receipt() {
    let mut scene = Scene::new(1, &["a"], 2, WORK_MS);
    let second = scene.wait_for_restart();
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = true;
    scene.worker().is_unreachable = false;
    assert!(scene.run_until(RESTART_MS, |f| runners(f).is_empty()));
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = false;
    scene.assert_finished(2);
    let cell = scene.cell.clone();
    let mut fetch = |receipt: &str| {
        let call = JobCall::Fetch {
            job: job_id("j"),
            receipt: receipt.to_owned(),
        };
        scene.fleet.call_and_wait(&cell, call)
    };
    let reply = fetch("r1");
    assert!(matches!(reply, JobReply::Result { .. }), "{reply:?}");
    let reply = fetch("r2");
    assert!(!matches!(reply, JobReply::Result { .. }), "{reply:?}");
}

/// Guards against a late result that finishes a cancelled job, or starts it again.
#[test]
fn late_result_of_a_cancelled_job_changes_nothing() {
    let mut scene = Scene::new(1, &["a"], 2, WORK_MS);
    scene.wait_for_restart();
    let cell = scene.cell.clone();
    scene
        .fleet
        .call_and_wait(&cell, JobCall::Cancel(job_id("j")));
    scene.worker().is_unreachable = false;
    scene.run_until(SETTLE_MS, |_| false);
    assert_eq!(scene.fleet.status(&cell, "j").phase, JobPhase::Cancelled);
    assert_eq!(start_count(&scene.fleet), 2);
    assert_eq!(runners(&scene.fleet), Vec::new());
}

/// Guards against a current attempt that is stopped or given up because an earlier one has failed,
/// or was ended by its lease.
#[test]
fn late_end_without_a_result_keeps_the_current_attempt() {
    for is_failed in [true, false] {
        let mut scene = Scene::new(1, &["a"], 2, 40_000);
        if is_failed {
            scene.worker().health = Health::Failing;
        }
        let second = scene.wait_for_restart();
        scene.worker().is_unreachable = false;
        scene.run_until(5_000, |_| false);
        assert_eq!(runners(&scene.fleet), vec![second]);
        scene.assert_finished(2);
        let records = &scene.fleet.streams[&scene.cell].records;
        let is_failure = |body: &CellRecord| matches!(body, CellRecord::Failed { .. });
        assert!(!records.iter().any(|record| is_failure(&record.body)));
    }
}

/// Guards against a job that starts again in the cell that it has moved to, although the cell that
/// it came from has acknowledged its result.
#[test]
fn late_result_finishes_a_job_that_has_moved() {
    let mut scene = Scene::new(1, &["a", "b"], 1, WORK_MS);
    let second = scene.wait_for_restart();
    scene.worker().is_unreachable = false;
    scene.run_until(3_000, |_| false);
    let worker = scene.fleet.workers.get_mut(&second).expect("worker");
    worker.health = Health::Failing;
    scene.run_until(SETTLE_MS, |_| false);
    assert_eq!(start_count(&scene.fleet), 2, "attempts started");
    assert_eq!(finished_jobs(&scene.fleet).len(), 1);
}

/// Guards against a late result that waits for a worker which takes starts.
#[test]
fn late_result_needs_no_worker_that_takes_starts() {
    let mut scene = Scene::new(1, &["a"], 1, WORK_MS);
    scene.worker().health = Health::Refusing;
    scene.run_until(RESTART_MS, |_| false);
    let cell = scene.cell.clone();
    scene
        .fleet
        .call(&cell, JobCall::Submit(batch("other", WORK_MS)));
    scene.run_until(1_000, |_| false);
    scene.worker().is_unreachable = false;
    assert!(scene.run_until(5_000, |f| finished_jobs(f).len() == 1));
    assert_eq!(start_count(&scene.fleet), 1);
}
