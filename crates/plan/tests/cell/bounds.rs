//! Limits on the size of snapshots, and false terms from workers and peers.

use hyssop_core::{
    CellRecord, CellState, CellSummary, EntryName, Incarnation, JobCall, JobPhase, JobReply,
    Reason, Refusal, Subject, Term,
};
use hyssop_plan::Input;

use crate::checks::{check, finished_jobs};
use crate::cores::TestCore;
use crate::fleet::Fleet;
use crate::samples::{batch, job_id, worker_name};

/// Largest record that the log accepts.
const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;

/// Returns the size in bytes of the last snapshot in the stream of the first cell.
fn last_snapshot_bytes(fleet: &Fleet) -> Option<usize> {
    let records = fleet.streams[&fleet.cells[0]].records.iter().rev();
    let mut snapshots = records.filter(|r| matches!(r.body, CellRecord::Snapshot { .. }));
    let record = snapshots.next()?;
    Some(serde_json::to_vec(record).expect("record").len())
}

/// Guards against a snapshot that the log refuses because of large results, waiting jobs or
/// payloads, and against unfetched results that are dropped without an explanation or before
/// fetched ones.
#[test]
fn a_snapshot_fits_in_a_record() {
    let mut fleet = Fleet::new(1, &["a"], 8);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    let spec = |n: usize| {
        let mut spec = batch(&format!("j{n:04}"), 500);
        // The fake worker repeats the payload in the result.
        spec.payload = "\"x".repeat(3_000);
        spec
    };
    for n in 0..160 {
        fleet.call_and_wait(&cell, JobCall::Submit(spec(n)));
        if n == 0 {
            assert!(fleet.run_until(8_000, |f| finished_jobs(f).len() == 1));
            fleet.run(200);
            let receipt = "r".to_owned();
            let job = job_id("j0000");
            fleet.call_and_wait(&cell, JobCall::Fetch { job, receipt });
        }
    }
    assert!(fleet.run_until(60_000, |f| finished_jobs(f).len() == 160));
    fleet.run(1_000);
    let status = fleet.status(&cell, "j0001");
    assert_eq!(status.phase, JobPhase::Finished);
    let last = status.history.last().map(|e| &e.reason);
    assert_eq!(last, Some(&Reason::ResultDropped));
    let fetch = |name: &str| JobCall::Fetch {
        job: job_id(name),
        receipt: "r".to_owned(),
    };
    let reply = fleet.call_and_wait(&cell, fetch("j0001"));
    assert!(matches!(reply, JobReply::Refused(Refusal::Limit(_))));
    let reply = fleet.call_and_wait(&cell, fetch("j0159"));
    assert!(matches!(reply, JobReply::Result { .. }));
    for worker in fleet.workers.values_mut() {
        worker.is_unreachable = true;
    }
    let mut refused = 0;
    for n in 1_000..1_400 {
        let token = fleet.call(&cell, JobCall::Submit(spec(n)));
        fleet.step();
        let reply = fleet.replies.get(&token);
        refused += usize::from(matches!(reply, Some(JobReply::Refused(Refusal::Limit(_)))));
    }
    assert!(refused > 100, "{refused} refused");
    fleet.run(20_000);
    let size = last_snapshot_bytes(&fleet).expect("snapshot");
    assert!(
        (MAX_RECORD_BYTES / 2..MAX_RECORD_BYTES).contains(&size),
        "{size}"
    );
}

/// Guards against a worker that reports a term which was never claimed and so keeps the cell
/// without an owner.
#[test]
fn a_worker_with_a_false_term_counts_as_unresponsive() {
    let mut fleet = Fleet::new(1, &["a"], 2);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    fleet.run(1_000);
    let term = fleet.entries[0].cell_cores[&cell]
        .cell
        .state()
        .map(|s| s.term);
    let false_worker = worker_name(&cell, 0);
    fleet.workers.get_mut(&false_worker).expect("worker").term = Term(1 << 40);
    for n in 0..10 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 1_000)));
    }
    assert!(fleet.run_until(20_000, |f| {
        check(f);
        finished_jobs(f).len() == 10
    }));
    let now = fleet.entries[0].cell_cores[&cell]
        .cell
        .state()
        .map(|s| s.term);
    assert_eq!(now, term, "the owner changed");
    let reply = fleet.call_and_wait(
        &cell,
        JobCall::Explain(Subject::Worker(false_worker.clone())),
    );
    let JobReply::Explained(list) = reply else {
        panic!("{reply:?}");
    };
    let expected = Reason::TermUnknown(false_worker.clone(), Term(1 << 40));
    assert_eq!(list.last().map(|e| &e.reason), Some(&expected));
    fleet
        .workers
        .get_mut(&false_worker)
        .expect("worker")
        .restart();
    fleet.call_and_wait(&cell, JobCall::Submit(batch("more", 1_000)));
    fleet.run(5_000);
    assert_eq!(fleet.workers[&false_worker].term(), term.expect("term"));
}

/// Guards against a peer that reports higher and higher terms and so keeps the cell without an
/// owner.
#[test]
fn a_peer_with_false_terms_is_ignored() {
    let mut core = TestCore::new(Vec::new());
    for n in 0..200 {
        let state = CellState {
            cell: core.id.clone(),
            term: Term((1 << 40) + n),
            owner: EntryName::new("entry-8").expect("entry"),
            incarnation: Incarnation(8),
            summary: CellSummary::default(),
        };
        core.step(vec![Input::Peers(vec![state])]);
    }
    assert!(core.cell.state().is_some(), "no owner");
}
