//! Rules that matter only after rare coincidences in a fleet, tested with chosen inputs.

use hyssop_core::{
    Attempt, CellRecord, Connectivity, Crashes, DomainState, EntryName, Incarnation, Intent,
    JobCall, JobReply, Millis, Order,
};
use hyssop_plan::{Input, Output};

use crate::checks::{check, finished_jobs};
use crate::cores::{TestCore, earlier_record};
use crate::fleet::Fleet;
use crate::samples::{batch, job_id, worker_name};

/// Returns a core with the stream of an owner that resigned while an attempt was running.
fn after_resignation() -> TestCore {
    let spec = batch("j", 60_000);
    let claim = CellRecord::Claim {
        owner: EntryName::new("entry-9").expect("entry"),
        incarnation: Incarnation(9),
        prior: None,
    };
    let accepted = CellRecord::Accepted {
        spec,
        attempt: Attempt(0),
        checkpoint: 0,
        crashes: Crashes::default(),
    };
    let core = TestCore::new(Vec::new());
    let intent = Intent {
        job: job_id("j"),
        attempt: Attempt(1),
        worker: worker_name(&core.id, 0),
    };
    TestCore::new(vec![
        earlier_record(1, 0, claim),
        earlier_record(2, 0, accepted),
        earlier_record(3, 0, CellRecord::Intents(smallvec::smallvec![intent])),
        earlier_record(4, 0, CellRecord::Resigned),
    ])
}

/// Guards against a second attempt beside one that still has a lease: the earlier owner renewed it
/// just before the worker's only reply to the new owner, which has renewed nothing itself.
#[test]
fn an_attempt_stays_open_for_a_lease_after_a_reply() {
    let mut core = after_resignation();
    assert!(core.run_until_owner());
    let term = core.cell.state().expect("state").term;
    while core.last_poll().is_none() {
        core.step(Vec::new());
    }
    let mut reply = core.build_reply(term).expect("poll");
    if let Input::Polled { reply, .. } = &mut reply {
        // No inventory arrives with this reply.
        reply.inventory = None;
    }
    core.connectivity = Connectivity::Isolated;
    core.step(vec![reply]);
    let replied_at = core.now;
    let lost = |core: &TestCore| core.count_records(|body| matches!(body, CellRecord::Lost { .. }));
    while lost(&core) == 0 {
        let failed = core.last_poll().is_some().then(|| Input::PollFailed {
            worker: core.worker(),
            sent_at: core.now,
        });
        core.step(failed.into_iter().collect());
        assert!(
            core.now.since(replied_at) < Millis(30_000),
            "never marked lost"
        );
    }
    let waited = core.now.since(replied_at);
    assert!(waited >= Millis(16_000), "marked lost after {waited} ms");
}

/// Guards against a start order with an outdated configuration, whose intent was committed while
/// the configuration was still confirmed.
#[test]
fn no_start_is_ordered_without_confirmation() {
    let mut core = TestCore::new(Vec::new());
    assert!(core.run_until_owner());
    let term = core.cell.state().expect("state").term;
    let call = JobCall::Submit(batch("j", 60_000));
    let mut inputs = vec![Input::Call { token: 1, call }];
    let intents =
        |core: &TestCore| core.count_records(|body| matches!(body, CellRecord::Intents(_)));
    while intents(&core) == 0 {
        inputs.extend(core.build_reply(term));
        core.step(std::mem::take(&mut inputs));
        assert!(core.now < Millis(200_000), "no intent");
    }
    let starts = |core: &TestCore| {
        let orders = core.last_poll().map(|request| request.orders.clone());
        let orders = orders.unwrap_or_default();
        orders.iter().any(|order| matches!(order, Order::Start(_)))
    };
    for (connectivity, expected) in [
        (Connectivity::MajorityReachable, false),
        (Connectivity::Confirmed, true),
    ] {
        core.connectivity = connectivity;
        let mut started = false;
        for _ in 0..80 {
            let reply = core.build_reply(term);
            core.step(reply.into_iter().collect());
            started |= starts(&core);
        }
        assert_eq!(started, expected, "{connectivity:?}");
    }
}

/// Guards against a job that is lost when it returns to a cell which it left before its first
/// attempt, because its return is mistaken for a late copy of the first transfer.
#[test]
fn a_job_that_never_ran_moves_away_and_back() {
    let mut fleet = Fleet::new(1, &["a", "b"], 1);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    for worker in fleet.workers.values_mut() {
        worker.is_unreachable = true;
    }
    fleet.set_domain("a", DomainState::Out);
    fleet.run(2_000);
    fleet.call_and_wait(&cells[0], JobCall::Submit(batch("j", 1_000)));
    let at = |f: &Fleet, cell: usize| {
        let mut open = f.unfinished().into_iter();
        open.any(|(id, pending, _)| id == f.cells[cell] && pending == 1)
    };
    assert!(fleet.run_until(10_000, |f| at(f, 1)));
    fleet.set_domain("a", DomainState::In);
    fleet.set_domain("b", DomainState::Out);
    assert!(fleet.run_until(10_000, |f| at(f, 0)), "not back");
    for worker in fleet.workers.values_mut() {
        worker.is_unreachable = false;
    }
    let done = fleet.run_until(20_000, |f| {
        check(f);
        finished_jobs(f).len() == 1
    });
    assert!(done, "lost");
}

/// Returns a core with the stream of an owner that accepted a job and crashed.
fn after_owner_crash() -> TestCore {
    let claim = CellRecord::Claim {
        owner: EntryName::new("entry-9").expect("entry"),
        incarnation: Incarnation(9),
        prior: None,
    };
    let accepted = CellRecord::Accepted {
        spec: batch("j", 60_000),
        attempt: Attempt(0),
        checkpoint: 0,
        crashes: Crashes::default(),
    };
    TestCore::new(vec![
        earlier_record(1, 0, claim),
        earlier_record(2, 0, accepted),
    ])
}

fn is_snapshot(body: &CellRecord) -> bool {
    matches!(body, CellRecord::Snapshot { .. })
}

/// Guards against an owner that writes no snapshot before the next regular one after an outage
/// longer than the retention, although the state exists only in its memory.
#[test]
fn an_owner_whose_records_have_expired_writes_a_snapshot() {
    let mut core = after_owner_crash();
    core.step(Vec::new());
    core.stream.first_kept = 2;
    assert!(core.run_until_owner());
    for _ in 0..20 {
        core.step(Vec::new());
    }
    assert_eq!(core.count_records(is_snapshot), 1);
}

/// Guards against jobs that are missing after an outage longer than the retention, when an entry
/// that missed their records takes over from an owner that has them.
#[test]
fn a_reader_with_a_gap_restores_the_next_snapshot() {
    let mut owner = after_owner_crash();
    owner.step(Vec::new());
    owner.stream.first_kept = 2;
    let mut reader = TestCore::of_entry(1, owner.stream.records.clone());
    reader.stream.first_kept = 2;
    reader.step(Vec::new());
    assert!(owner.run_until_owner());
    while owner.count_records(is_snapshot) == 0 {
        // The reader follows record by record, so that no later read begins with a gap.
        reader.stream.records.clone_from(&owner.stream.records);
        reader.step(Vec::new());
        owner.step(Vec::new());
    }
    reader.stream.records.clone_from(&owner.stream.records);
    assert!(
        reader.run_until_owner() || reader.run_until_owner(),
        "no takeover"
    );
    let token = 1;
    let call = JobCall::Show(job_id("j"));
    reader.step(vec![Input::Call { token, call }]);
    let is_status = |output: &Output| {
        let Output::Reply { reply, .. } = output else {
            return false;
        };
        matches!(reply, JobReply::Status(_))
    };
    assert!(reader.outputs.iter().any(is_status), "the job is not found");
}
