//! Rules that whole fleets reach only by rare coincidence, each with the inputs that need it.

use hyssop_core::{
    Attempt, CellRecord, DomainState, EntryName, Incarnation, Intent, JobCall, JobReply, Millis,
    Order, Standing,
};
use hyssop_plan::{Input, Output};

use crate::checks::{check, finished};
use crate::fleet::Fleet;
use crate::raw::{Raw, earlier};
use crate::samples::{batch, job_id, worker_name};

/// Returns the stream of an owner that resigned while an attempt ran.
fn resigned() -> Raw {
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
    };
    let raw = Raw::new(Vec::new());
    let intent = Intent {
        job: job_id("j"),
        attempt: Attempt(1),
        worker: worker_name(&raw.id, 0),
    };
    Raw::new(vec![
        earlier(1, 0, claim),
        earlier(2, 0, accepted),
        earlier(3, 0, CellRecord::Intents(smallvec::smallvec![intent])),
        earlier(4, 0, CellRecord::Resigned),
    ])
}

/// Guards against a second attempt beside one whose lease an earlier owner renewed just before
/// the worker answered the new owner, which itself has renewed nothing since.
#[test]
fn an_answer_is_followed_by_a_whole_lease() {
    let mut raw = resigned();
    assert!(raw.own());
    let term = raw.cell.state().expect("state").term;
    while raw.polled().is_none() {
        raw.step(Vec::new());
    }
    let mut reply = raw.reply(term).expect("poll");
    if let Input::Polled { reply, .. } = &mut reply {
        // The inventory comes later than the answer.
        reply.inventory = None;
    }
    raw.standing = Standing::Isolated;
    raw.step(vec![reply]);
    let heard = raw.now;
    let lost = |raw: &Raw| raw.count(|body| matches!(body, CellRecord::Lost { .. }));
    while lost(&raw) == 0 {
        let failed = raw.polled().is_some().then(|| Input::PollFailed {
            worker: raw.worker(),
            sent_at: raw.now,
        });
        raw.step(failed.into_iter().collect());
        assert!(raw.now.since(heard) < Millis(30_000), "never written off");
    }
    let waited = raw.now.since(heard);
    assert!(waited >= Millis(16_000), "written off after {waited} ms");
}

/// Guards against a start that is ordered on an old configuration, because its intent was settled
/// while the proof was still fresh.
#[test]
fn no_start_is_ordered_without_proof() {
    let mut raw = Raw::new(Vec::new());
    assert!(raw.own());
    let term = raw.cell.state().expect("state").term;
    let call = JobCall::Submit(batch("j", 60_000));
    let mut inputs = vec![Input::Call { token: 1, call }];
    let intents = |raw: &Raw| raw.count(|body| matches!(body, CellRecord::Intents(_)));
    while intents(&raw) == 0 {
        inputs.extend(raw.reply(term));
        raw.step(std::mem::take(&mut inputs));
        assert!(raw.now < Millis(200_000), "no intent");
    }
    let starts = |raw: &Raw| {
        let orders = raw.polled().map(|request| request.orders.clone());
        let orders = orders.unwrap_or_default();
        orders.iter().any(|order| matches!(order, Order::Start(_)))
    };
    for (standing, expected) in [(Standing::Heard, false), (Standing::Proved, true)] {
        raw.standing = standing;
        let mut started = false;
        for _ in 0..80 {
            let reply = raw.reply(term);
            raw.step(reply.into_iter().collect());
            started |= starts(&raw);
        }
        assert_eq!(started, expected, "{standing:?}");
    }
}

/// Guards against a job that is lost when it returns to a cell which it left before its first
/// attempt: the return must not look like a late copy of the first transfer.
#[test]
fn a_job_that_never_ran_moves_away_and_back() {
    let mut fleet = Fleet::new(1, &["a", "b"], 1);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    for worker in fleet.workers.values_mut() {
        worker.silent = true;
    }
    fleet.set_domain("a", DomainState::Out);
    fleet.run(2_000);
    fleet.ask(&cells[0], JobCall::Submit(batch("j", 1_000)));
    let at = |f: &Fleet, cell: usize| {
        let mut open = f.unfinished().into_iter();
        open.any(|(id, pending, _)| id == f.cells[cell] && pending == 1)
    };
    assert!(fleet.run_until(10_000, |f| at(f, 1)));
    fleet.set_domain("a", DomainState::In);
    fleet.set_domain("b", DomainState::Out);
    assert!(fleet.run_until(10_000, |f| at(f, 0)), "not back");
    for worker in fleet.workers.values_mut() {
        worker.silent = false;
    }
    let done = fleet.run_until(20_000, |f| {
        check(f);
        finished(f).len() == 1
    });
    assert!(done, "lost");
}

/// Returns the stream of an owner that accepted a job and died.
fn orphaned() -> Raw {
    let claim = CellRecord::Claim {
        owner: EntryName::new("entry-9").expect("entry"),
        incarnation: Incarnation(9),
        prior: None,
    };
    let accepted = CellRecord::Accepted {
        spec: batch("j", 60_000),
        attempt: Attempt(0),
        checkpoint: 0,
    };
    Raw::new(vec![earlier(1, 0, claim), earlier(2, 0, accepted)])
}

fn is_snapshot(body: &CellRecord) -> bool {
    matches!(body, CellRecord::Snapshot { .. })
}

/// Guards against state that only the owner has, after an outage beyond the retention, until the
/// next regular snapshot.
#[test]
fn an_owner_whose_records_have_expired_writes_a_snapshot() {
    let mut raw = orphaned();
    raw.step(Vec::new());
    raw.stream.first = 2;
    assert!(raw.own());
    for _ in 0..20 {
        raw.step(Vec::new());
    }
    assert_eq!(raw.count(is_snapshot), 1);
}

/// Guards against jobs that are not found after an outage beyond the retention, when a reader that
/// missed their records claims the cell after another entry that held them.
#[test]
fn a_reader_with_a_gap_takes_the_next_snapshot() {
    let mut holder = orphaned();
    holder.step(Vec::new());
    holder.stream.first = 2;
    let mut reader = Raw::of_entry(1, holder.stream.records.clone());
    reader.stream.first = 2;
    reader.step(Vec::new());
    assert!(holder.own());
    while holder.count(is_snapshot) == 0 {
        // The reader follows record by record, so that no read shows it a gap again.
        reader.stream.records.clone_from(&holder.stream.records);
        reader.step(Vec::new());
        holder.step(Vec::new());
    }
    reader.stream.records.clone_from(&holder.stream.records);
    assert!(reader.own() || reader.own(), "no takeover");
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
