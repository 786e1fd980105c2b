//! Ownership, submission, placement and results without faults.

use hyssop_core::{Class, JobCall, JobPhase, JobReply, Millis, Refusal, Resources};

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id};

/// Guards against a cell without an owner, or with two.
#[test]
fn one_entry_claims_a_free_cell() {
    let mut fleet = Fleet::new(3, &["a"], 2);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(4_000, |f| f.owner(&cell).is_some()));
    fleet.run(5_000);
    let owners = fleet.entries.iter();
    let owners = owners.filter(|e| e.cell_cores[&cell].cell.state().is_some());
    assert_eq!(owners.count(), 1);
}

/// Guards against jobs that are accepted and never run, or run more than once.
#[test]
fn jobs_run_to_completion_once() {
    let mut fleet = Fleet::new(1, &["a"], 2);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    for n in 0..30 {
        let reply = fleet.call_and_wait(&cell, JobCall::Submit(batch(&format!("j{n}"), 2_000)));
        assert!(matches!(reply, JobReply::Status(_)), "{reply:?}");
    }
    let all_finished = fleet.run_until(60_000, |f| {
        check(f);
        finished_jobs(f).len() == 30
    });
    assert!(all_finished, "finished {}", finished_jobs(&fleet).len());
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 30);
}

/// Guards against a repeated submission that creates a second job, and against a status of the
/// wrong job for a reused identifier.
#[test]
fn submission_is_idempotent() {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    let first = fleet.call(&cell, JobCall::Submit(batch("j", 1_000)));
    let again = fleet.call(&cell, JobCall::Submit(batch("j", 1_000)));
    let other = fleet.call(&cell, JobCall::Submit(batch("j", 2_000)));
    fleet.run(500);
    assert!(matches!(fleet.replies[&first], JobReply::Status(_)));
    assert!(matches!(fleet.replies[&again], JobReply::Status(_)));
    assert_eq!(fleet.replies[&other], JobReply::Refused(Refusal::Reused));
    fleet.run(5_000);
    let reply = fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 1_000)));
    let JobReply::Status(status) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(status.phase, JobPhase::Finished);
    let reply = fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 9_000)));
    assert_eq!(reply, JobReply::Refused(Refusal::Reused));
}

/// Guards against a result that is returned for two receipts. A receipt is a key that the client
/// chooses; only a repeat with the same one gets the result again.
#[test]
fn a_result_is_fetched_under_one_receipt() {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 500)));
    let fetch = |receipt: &str| JobCall::Fetch {
        job: job_id("j"),
        receipt: receipt.to_owned(),
    };
    let early = fleet.call_and_wait(&cell, fetch("one"));
    assert_eq!(early, JobReply::Refused(Refusal::NotFinished));
    assert!(fleet.run_until(10_000, |f| finished_jobs(f).len() == 1));
    fleet.run(100);
    let one = fleet.call(&cell, fetch("one"));
    let two = fleet.call(&cell, fetch("two"));
    fleet.run(500);
    assert!(matches!(fleet.replies[&one], JobReply::Result { .. }));
    assert_eq!(
        fleet.replies[&two],
        JobReply::Refused(Refusal::AlreadyFetched)
    );
    let again = fleet.call_and_wait(&cell, fetch("one"));
    assert!(matches!(again, JobReply::Result { .. }));
}

/// Guards against a cancelled job that keeps running or is placed again.
#[test]
fn cancelled_jobs_stop() {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    for n in 0..20 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 60_000)));
    }
    // Eight jobs fill the worker.
    assert!(fleet.run_until(5_000, |f| f.workers.values().any(|w| w.tasks.len() == 8)));
    for n in 0..20 {
        fleet.call(&cell, JobCall::Cancel(job_id(&format!("j{n}"))));
    }
    assert!(fleet.run_until(3_000, |f| f.workers.values().all(|w| w.tasks.is_empty())));
    fleet.run(5_000);
    assert!(fleet.workers.values().all(|w| w.tasks.is_empty()));
    assert!(fleet.is_phase(&cell, "j0", JobPhase::Cancelled));
}

/// Guards against jobs that can never run being accepted.
#[test]
fn impossible_jobs_are_refused() {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    fleet.run(2_000);
    let mut large = batch("large", 1_000);
    // The worker has 16 cores, but the document of the service allows 8 for a job.
    large.needs = Resources::new(9_000, 1_000, 0);
    let mut unknown = batch("unknown", 1_000);
    unknown.service = crate::samples::service("none");
    let mut elsewhere = batch("elsewhere", 1_000);
    elsewhere.domains.push(crate::samples::domain("z"));
    for spec in [large, unknown, elsewhere] {
        let id = spec.id.clone();
        let reply = fleet.call_and_wait(&cell, JobCall::Submit(spec));
        assert!(
            matches!(reply, JobReply::Refused(Refusal::NeverRuns(_))),
            "{id}: {reply:?}"
        );
    }
}

/// Guards against calls that are accepted by an entry that does not own the cell.
#[test]
fn entries_without_ownership_refuse_calls() {
    let mut fleet = Fleet::new(2, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    let other = 1 - fleet.owner(&cell).expect("owner");
    let token = fleet.call_at(other, &cell, JobCall::Submit(batch("j", 1_000)));
    fleet.run(200);
    let reply = &fleet.replies[&token];
    assert!(matches!(reply, JobReply::Refused(Refusal::NotOwner(_))));
}

/// Guards against missing or surplus instances of a latency-critical service, against several
/// of them on one worker, and against a rack without one.
#[test]
fn documents_get_their_instances_spread_over_racks() {
    let mut fleet = Fleet::new(1, &["a", "b"], 6);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 5));
    fleet.run(12_000);
    let task_counts = |f: &Fleet, name: &str| -> Vec<usize> {
        let workers = f.workers.iter();
        let own = workers.filter(|(w, _)| w.as_str().starts_with(name));
        own.map(|(_, w)| w.tasks.len()).collect()
    };
    let (a, b) = (task_counts(&fleet, "a-"), task_counts(&fleet, "b-"));
    assert_eq!(a.iter().sum::<usize>() + b.iter().sum::<usize>(), 5);
    assert!(a.iter().chain(&b).all(|n| *n <= 1), "{a:?} {b:?}");
    for counts in [&a, &b] {
        assert!(
            counts[..3].contains(&1) && counts[3..].contains(&1),
            "{counts:?}"
        );
    }
    fleet.set_doc(doc("planner", Class::LatencyCritical, 2));
    let total = |f: &Fleet| f.workers.values().map(|w| w.tasks.len()).sum::<usize>();
    assert!(fleet.run_until(5_000, |f| total(f) == 2));
    fleet.set_doc(doc("planner", Class::LatencyCritical, 6));
    assert!(
        fleet.run_until(5_000, |f| total(f) == 6),
        "{}",
        total(&fleet)
    );
}

/// Guards against outputs that depend on anything but the inputs.
#[test]
fn same_inputs_give_the_same_outputs() {
    let run = || {
        let mut fleet = Fleet::new(2, &["a", "b"], 4);
        fleet.set_doc(doc("planner", Class::LatencyCritical, 3));
        fleet.run(5_000);
        for n in 0..40 {
            let cell = fleet.cells[n % 2].clone();
            fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 3_000)));
        }
        fleet.workers.values_mut().next().expect("worker").restart();
        fleet.run(20_000);
        (fleet.trace, fleet.now)
    };
    let (first, at) = run();
    assert!(first.len() > 100);
    assert_eq!((first, at), run());
    assert!(at > Millis(0));
}
