//! Late results of jobs that have moved: they reach the cell that has the job, and their events are
//! acknowledged after that.

use hyssop_core::{
    Attempt, CellId, DomainState, JobCall, JobPhase, JobReply, Refusal, Subject, WorkerName,
};

use crate::cell_calls::CallFault;
use crate::checks::finished_jobs;
use crate::fleet::Fleet;
use crate::late_ends::{
    LOSS_TO_RESTART_MS, RESTART_MS, SETTLE_MS, Scene, WORK_MS, runners, start_count,
};
use crate::samples::{batch, job_id};
use crate::worker::Health;

/// Events that a result in delivery may hold back.
const MAX_HELD_EVENTS: usize = 128;
/// Time after which a job has moved a second time: it waits for longer before each move.
const SECOND_MOVE_MS: u64 = 60_000;
/// Longest time for which a result is looked for in cells that do not know its job.
const SEARCH_MS: u64 = 200_000;

impl Scene {
    /// Starts a job with one worker in each of `domains`, and waits until it has moved and runs in
    /// another cell. Returns its worker there.
    fn with_moved_job(entries: u64, domains: &[&str], work: u64) -> (Self, WorkerName) {
        let mut scene = Self::new(entries, domains, 1, work);
        let second = scene.wait_for_restart();
        (scene, second)
    }

    /// Returns the cell of a worker.
    fn cell_of(&self, worker: &WorkerName) -> CellId {
        let is_in = |cell: &&CellId| worker.as_str().starts_with(cell.domain.as_str());
        let cell = self.fleet.cells.iter().find(is_in);
        cell.expect("cell").clone()
    }

    fn set_health(&mut self, name: &WorkerName, health: Health) {
        let worker = self.fleet.workers.get_mut(name).expect("worker");
        worker.health = health;
    }

    /// Reconnects the first worker, and runs until its result has been sent to another cell.
    fn send_result(&mut self) {
        self.worker().is_unreachable = false;
        assert!(self.run_until(3_000, |f| !f.cell_calls.late_results.is_empty()));
    }

    /// Runs for `SETTLE_MS`, and checks that the job has finished without a further start, that
    /// nothing of it runs, and that the event of the first attempt is acknowledged.
    fn assert_delivered(&mut self, starts: usize) {
        self.run_until(SETTLE_MS, |_| false);
        assert_eq!(start_count(&self.fleet), starts, "attempts started");
        assert_eq!(finished_jobs(&self.fleet).len(), 1);
        assert_eq!(runners(&self.fleet), Vec::new());
        assert_eq!(self.worker().event_count(), 0, "events kept");
    }
}

/// Ends the process that owns a cell, and waits for the next owner.
fn change_owner(scene: &mut Scene, cell: &CellId) {
    let owner = scene.fleet.owner(cell).expect("owner");
    scene.fleet.entries[owner].is_running = false;
    let has_other = |f: &Fleet| f.owner(cell).is_some_and(|n| n != owner);
    assert!(scene.run_until(10_000, has_other));
}

/// Guards against a result that is dropped while the move of its job is decided, recorded, or under
/// way to the other cell.
#[test]
fn late_result_at_any_time_of_a_move_finishes_its_job() {
    let mut scene = Scene::new(1, &["a", "b"], 1, WORK_MS);
    let cut_at = scene.fleet.now;
    scene.wait_for_restart();
    let restart = scene.fleet.now.since(cut_at).0;
    // The move begins between the loss and the next start.
    for delay in (restart - 2 * LOSS_TO_RESTART_MS..restart + 400).step_by(100) {
        for is_log_down in [false, true] {
            let mut scene = Scene::new(1, &["a", "b"], 1, WORK_MS);
            scene.run_until(delay, |_| false);
            scene.fleet.is_log_up = !is_log_down;
            scene.run_until(50, |_| false);
            scene.worker().is_unreachable = false;
            scene.run_until(2_000, |_| false);
            scene.fleet.is_log_up = true;
            scene.run_until(2_500, |_| false);
            for worker in scene.fleet.workers.values_mut() {
                worker.health = Health::Failing;
            }
            let starts = start_count(&scene.fleet);
            assert!(starts <= 2, "{starts} starts after {delay} ms");
            scene.assert_delivered(starts);
        }
    }
}

/// Guards against a result that ends in a cell which the job has left as well.
#[test]
fn late_result_follows_a_job_that_has_moved_twice() {
    let (mut scene, second) = Scene::with_moved_job(1, &["a", "b", "c"], WORK_MS);
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = true;
    assert!(scene.run_until(SECOND_MOVE_MS, |f| start_count(f) == 3));
    let third = runners(&scene.fleet).pop().expect("third worker");
    assert_ne!(scene.cell_of(&third), scene.cell_of(&second));
    scene.send_result();
    scene.run_until(2_000, |_| false);
    scene.set_health(&third, Health::Failing);
    scene.assert_delivered(3);
    // The second attempt has finished late as well.
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = false;
    scene.assert_delivered(3);
    assert_eq!(scene.fleet.workers[&second].event_count(), 0);
}

/// Guards against a result that is still sent to the other cell after its job has come back.
#[test]
fn late_result_finishes_a_job_that_has_come_back() {
    for was_sent in [true, false] {
        let (mut scene, second) = Scene::with_moved_job(1, &["a", "b"], 14_000);
        if was_sent {
            scene.fleet.cell_calls.fault = CallFault::Lost;
            scene.send_result();
            // The job waits in its first cell when it comes back.
            scene.set_health(&scene.first.clone(), Health::Refusing);
        }
        let domain = scene.cell_of(&second).domain;
        scene.fleet.set_domain(domain.as_str(), DomainState::Out);
        scene.run_until(10_000, |_| false);
        scene.worker().is_unreachable = false;
        scene.assert_delivered(2);
        let cell = scene.cell.clone();
        assert_eq!(scene.fleet.status(&cell, "j").phase, JobPhase::Finished);
    }
}

/// Guards against a result that is lost with a call or a reply between cells, and against a second
/// effect of a call that arrives again.
#[test]
fn late_result_survives_faults_of_the_calls() {
    for fault in [CallFault::Lost, CallFault::ReplyLost, CallFault::Repeated] {
        let (mut scene, second) = Scene::with_moved_job(1, &["a", "b"], 14_000);
        scene.fleet.cell_calls.fault = fault;
        scene.send_result();
        scene.run_until(2_000, |_| false);
        scene.fleet.cell_calls.fault = CallFault::None;
        assert!(scene.run_until(5_000, |f| finished_jobs(f).len() == 1));
        scene.set_health(&second, Health::Failing);
        scene.assert_delivered(2);
    }
}

/// Guards against a result that only the owner knew which had received it from the worker.
#[test]
fn late_result_survives_the_owner_that_sends_it() {
    let (mut scene, second) = Scene::with_moved_job(3, &["a", "b"], 14_000);
    scene.fleet.cell_calls.fault = CallFault::Lost;
    scene.send_result();
    scene.run_until(3_000, |_| false);
    assert!(scene.worker().event_count() > 0, "acknowledged early");
    let cell = scene.cell.clone();
    change_owner(&mut scene, &cell);
    scene.fleet.cell_calls.fault = CallFault::None;
    scene.run_until(3_000, |_| false);
    scene.set_health(&second, Health::Failing);
    scene.assert_delivered(2);
}

/// Guards against a result that is acknowledged when the other cell has received it but not
/// recorded it: the owner there ends while it cannot stop the second attempt.
#[test]
fn late_result_survives_the_owner_that_receives_it() {
    let (mut scene, second) = Scene::with_moved_job(3, &["a", "b"], 14_000);
    let cut_off = scene.fleet.workers.get_mut(&second).expect("worker");
    cut_off.is_unreachable = true;
    scene.send_result();
    scene.run_until(3_000, |_| false);
    assert!(scene.worker().event_count() > 0, "acknowledged early");
    let cell = scene.cell_of(&second);
    change_owner(&mut scene, &cell);
    scene.assert_delivered(2);
}

/// Guards against a result that finishes a cancelled job, and against one that is sent for ever.
#[test]
fn late_result_of_a_job_that_was_cancelled_after_its_move_changes_nothing() {
    for was_sent in [true, false] {
        let (mut scene, second) = Scene::with_moved_job(1, &["a", "b"], 14_000);
        scene.fleet.cell_calls.fault = CallFault::Lost;
        if was_sent {
            scene.send_result();
        }
        let cell = scene.cell_of(&second);
        scene
            .fleet
            .call_and_wait(&cell, JobCall::Cancel(job_id("j")));
        scene.worker().is_unreachable = false;
        scene.fleet.cell_calls.fault = CallFault::None;
        scene.run_until(SETTLE_MS, |_| false);
        assert_eq!(scene.fleet.status(&cell, "j").phase, JobPhase::Cancelled);
        assert_eq!(start_count(&scene.fleet), 2);
        assert_eq!(runners(&scene.fleet), Vec::new());
        assert_eq!(scene.worker().event_count(), 0);
    }
}

/// Guards against a second result of a job that has finished in the other cell meanwhile.
#[test]
fn late_result_of_a_job_that_finished_after_its_move_is_void() {
    let (mut scene, _) = Scene::with_moved_job(1, &["a", "b"], WORK_MS);
    assert!(scene.run_until(RESTART_MS, |f| finished_jobs(f).len() == 1));
    scene.worker().is_unreachable = false;
    scene.assert_delivered(2);
}

/// Guards against calls at a high rate while the other cell cannot be reached, and against events
/// without limit that are held back meanwhile.
#[test]
fn late_result_holds_back_a_limited_number_of_events() {
    let (mut scene, _) = Scene::with_moved_job(1, &["a", "b"], WORK_MS);
    scene.fleet.cell_calls.fault = CallFault::Lost;
    scene.send_result();
    scene.run_until(300_000, |_| false);
    let calls = scene.fleet.cell_calls.late_results.len();
    assert!((10..=20).contains(&calls), "{calls} calls in 300 s");
    assert!(scene.worker().event_count() > 0, "acknowledged early");
    let cell = scene.cell.clone();
    for n in 0..MAX_HELD_EVENTS {
        let job = batch(&format!("other-{n}"), 200);
        scene.fleet.call(&cell, JobCall::Submit(job));
    }
    let first = scene.first.clone();
    // Events of attempts that have just ended come on top.
    let is_beyond = |f: &Fleet| f.workers[&first].event_count() > MAX_HELD_EVENTS + 32;
    assert!(!scene.run_until(SETTLE_MS, is_beyond));
    assert_eq!(finished_jobs(&scene.fleet).len(), MAX_HELD_EVENTS + 1);
    assert_eq!(scene.worker().event_count(), 0);
    assert!(is_drop_explained(&mut scene));
}

/// Returns whether the first cell explains that the result was dropped.
fn is_drop_explained(scene: &mut Scene) -> bool {
    let call = JobCall::Explain(Subject::Job(job_id("j")));
    let cell = scene.cell.clone();
    let JobReply::Explained(list) = scene.fleet.call_and_wait(&cell, call) else {
        panic!("no explanations");
    };
    list.iter()
        .any(|e| e.reason.to_string().contains("was dropped"))
}

/// Guards against a search without end for a job that was removed after its end.
#[test]
fn late_result_of_an_unknown_job_is_dropped() {
    let (mut scene, second) = Scene::with_moved_job(1, &["a", "b"], WORK_MS);
    scene.fleet.cell_calls.fault = CallFault::NotFound;
    scene.send_result();
    let first = scene.first.clone();
    let is_acknowledged = |f: &Fleet| f.workers[&first].event_count() == 0;
    assert!(scene.run_until(SEARCH_MS, is_acknowledged));
    assert!(is_drop_explained(&mut scene));
    let cell = scene.cell_of(&second);
    let call = JobCall::LateResult {
        job: job_id("unknown"),
        attempt: Attempt(1),
        result: String::new(),
    };
    let reply = scene.fleet.call_and_wait(&cell, call);
    assert!(matches!(reply, JobReply::Refused(Refusal::NotFound(_))));
}

/// Guards against a result of an attempt that the receiving cell has yet to use, which cannot have
/// been given up.
#[test]
fn late_result_of_a_later_attempt_is_ignored() {
    let (mut scene, second) = Scene::with_moved_job(1, &["a", "b"], 14_000);
    let cell = scene.cell_of(&second);
    let attempt = scene.fleet.status(&cell, "j").attempt;
    for attempt in [Attempt::default(), attempt, attempt.next()] {
        let call = JobCall::LateResult {
            job: job_id("j"),
            attempt,
            result: "false".to_owned(),
        };
        scene.fleet.call_and_wait(&cell, call);
    }
    scene.run_until(2_000, |_| false);
    assert_eq!(runners(&scene.fleet), vec![second]);
    assert_eq!(finished_jobs(&scene.fleet).len(), 0);
}
