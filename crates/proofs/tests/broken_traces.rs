//! Each check must report a trace that violates its guarantee, and pass the trace without its last
//! element. Guards against checks that can never fail.

use bytes::Bytes;
use hyssop_core::{
    AgentName, Attempt, CellId, CellRecord, Class, CompleteResponse, Crashes, DomainName,
    DomainState, EntryName, Envelope, Incarnation, Intent, JobId, JobSpec, Millis, NotRun, Offset,
    Outcome, RecordId, Resources, ServiceName, TeamName, Term, Ticket, Unknown, Version,
    WorkerName,
};
use hyssop_proofs::invariants::{
    CHANGE_DEADLINE, Checker, ConfStatus, Observation, REMOVAL_DEADLINE, TaskEnd,
};
use rstest::rstest;
use smallvec::{SmallVec, smallvec};

fn worker(name: &str) -> WorkerName {
    WorkerName::new(name).unwrap()
}

fn job(name: &str) -> JobId {
    JobId::new(name).unwrap()
}

fn domain() -> DomainName {
    DomainName::new("forde").unwrap()
}

fn agent(name: &str) -> AgentName {
    AgentName::new(name).unwrap()
}

fn worker_registered(name: &str) -> Observation {
    Observation::WorkerRegistered {
        worker: worker(name),
        domain: domain(),
        capacity: Resources::new(4_000, 4_000, 0),
    }
}

fn task_started(worker_name: &str, id: &str, attempt: u32, done: u64) -> Observation {
    Observation::TaskStarted {
        worker: worker(worker_name),
        job: job(id),
        attempt: Attempt(attempt),
        class: Class::Batch,
        needs: Resources::new(3_000, 1_000, 0),
        done,
    }
}

fn task_ended(worker_name: &str, id: &str, attempt: u32) -> Observation {
    Observation::TaskEnded {
        worker: worker(worker_name),
        job: job(id),
        attempt: Attempt(attempt),
        end: TaskEnd::Evicted,
    }
}

fn record_appended(offset: u64, term: u64, body: CellRecord) -> Observation {
    Observation::RecordAppended {
        cell: CellId::new(domain(), 0),
        offset: Offset(offset),
        record: Envelope {
            id: RecordId(u128::from(offset)),
            writer: EntryName::new("entry-0").unwrap(),
            term: Term(term),
            body,
        },
    }
}

fn claim() -> Observation {
    let body = CellRecord::Claim {
        owner: EntryName::new("entry-0").unwrap(),
        incarnation: Incarnation(1),
        prior: None,
    };
    record_appended(1, 0, body)
}

fn accepted(offset: u64, id: &str) -> Observation {
    let spec = JobSpec {
        id: job(id),
        team: TeamName::new("haugland").unwrap(),
        service: ServiceName::new("cuts").unwrap(),
        kind: ServiceName::new("cut-list").unwrap(),
        class: Class::Batch,
        needs: Resources::new(3_000, 1_000, 0),
        work: Millis(1_000),
        domains: SmallVec::new(),
        payload: String::new(),
    };
    let body = CellRecord::Accepted {
        spec,
        attempt: Attempt(0),
        checkpoint: 0,
        crashes: Crashes::default(),
    };
    record_appended(offset, 1, body)
}

fn intent(offset: u64, id: &str, attempt: u32) -> Observation {
    let intent = Intent {
        job: job(id),
        attempt: Attempt(attempt),
        worker: worker("w1"),
    };
    record_appended(offset, 1, CellRecord::Intents(smallvec![intent]))
}

fn finished(offset: u64, attempt: u32) -> Observation {
    let body = CellRecord::Finished {
        job: job("j"),
        attempt: Attempt(attempt),
        result: "done".to_owned(),
    };
    record_appended(offset, 1, body)
}

fn released(offset: u64) -> Observation {
    let body = CellRecord::Released {
        job: job("j"),
        attempt: Attempt(1),
        checkpoint: 700,
        cause: hyssop_core::EvictionCause::Drain,
    };
    record_appended(offset, 1, body)
}

fn domain_changed(state: DomainState) -> Observation {
    Observation::DomainChanged {
        domain: domain(),
        state,
    }
}

fn domain_reported() -> Observation {
    Observation::DomainReported {
        domain: domain(),
        state: DomainState::Out,
    }
}

fn ticket() -> Ticket {
    Ticket {
        incarnation: Incarnation(3),
        nonce: 4,
    }
}

fn request_sent(request: u64) -> Observation {
    Observation::RequestSent {
        request,
        ticket: Some(ticket()),
        is_idempotent: false,
        expected_body: Bytes::from(format!("answer {request}")),
    }
}

fn server_registered(name: &str) -> Observation {
    Observation::ServerRegistered {
        agent: agent(name),
        domain: domain(),
    }
}

fn request_started(agent_name: &str, request: u64) -> Observation {
    Observation::RequestStarted {
        agent: agent(agent_name),
        request,
    }
}

fn response_received(request: u64, outcome: Outcome) -> Observation {
    Observation::ResponseReceived { request, outcome }
}

fn complete(text: &str) -> Outcome {
    let body = Bytes::copy_from_slice(text.as_bytes());
    Outcome::Complete(CompleteResponse::new(200, Vec::new(), body))
}

fn result_delivered(receipt: &str) -> Observation {
    Observation::ResultDelivered {
        job: job("j"),
        receipt: receipt.to_owned(),
        result: "done".to_owned(),
    }
}

fn conf_status(applied: u64, is_fresh: bool, reachable_since: Option<u64>) -> Observation {
    Observation::ConfReported(ConfStatus {
        daemon: "agent-0".to_owned(),
        incarnation: Incarnation(1),
        applied: Offset(applied),
        version: Version(applied.saturating_sub(1)),
        is_fresh,
        reachable_since: reachable_since.map(Millis),
    })
}

fn server_leaving() -> Observation {
    Observation::ServerLeaving {
        agent: agent("a"),
        is_leaving: true,
    }
}

fn server_stopped() -> Observation {
    Observation::ServerStopped {
        agent: agent("a"),
        is_planned: true,
    }
}

/// Observes the last element of the trace `after` milliseconds after the others, and returns the
/// guarantees that it violates. The elements before it must violate none.
fn violations_of_last(trace: &[Observation], after: u64) -> Vec<u8> {
    let mut checker = Checker::new();
    let (last, before) = trace.split_last().unwrap();
    for obs in before {
        checker.observe(Millis(1_000), obs);
    }
    assert_eq!(checker.violations(), [], "the trace before the break");
    checker.observe(Millis(1_000 + after), last);
    let violations = checker.violations().iter();
    violations.map(|violation| violation.guarantee).collect()
}

#[rstest]
#[case::g1_running(1, 0, vec![
    worker_registered("w1"), task_started("w1", "j", 1, 0), task_started("w1", "k", 1, 0),
])]
#[case::g1_allocated(1, 0, vec![
    worker_registered("w1"), claim(), accepted(2, "j"), accepted(3, "k"), intent(4, "j", 1),
    intent(5, "k", 1),
])]
#[case::g2_workers(2, 0, vec![
    worker_registered("w1"), worker_registered("w2"), task_started("w1", "j", 1, 0),
    task_started("w2", "j", 2, 0),
])]
#[case::g2_resumed(2, 0, vec![
    worker_registered("w1"), worker_registered("w2"), task_started("w1", "j", 1, 0),
    Observation::WorkerFrozen(worker("w1")), task_started("w2", "j", 2, 0),
    Observation::WorkerResumed(worker("w1")),
])]
#[case::g2_intents(2, 0, vec![
    worker_registered("w1"), claim(), accepted(2, "j"), intent(3, "j", 1), intent(4, "j", 2),
])]
#[case::finished_twice(0, 0, vec![
    worker_registered("w1"), claim(), accepted(2, "j"), intent(3, "j", 1), finished(4, 1),
    intent(5, "j", 2),
])]
#[case::two_receipts(0, 0, vec![
    result_delivered("r1"), result_delivered("r1"), result_delivered("r2"),
])]
#[case::g3_again(3, 0, vec![
    worker_registered("w1"), worker_registered("w2"), task_started("w1", "j", 1, 0),
    task_ended("w1", "j", 1), task_started("w2", "j", 1, 0),
])]
#[case::g3_checkpoint(3, 0, vec![
    worker_registered("w1"), task_started("w1", "j", 1, 0), task_ended("w1", "j", 1), released(2),
    task_started("w1", "j", 2, 0),
])]
#[case::g4(4, CHANGE_DEADLINE.0 + 1, vec![
    worker_registered("w1"), domain_changed(DomainState::Out), task_started("w1", "j", 1, 0),
])]
#[case::g5_other(5, 0, vec![
    request_sent(1), server_registered("a"), request_started("a", 1),
    response_received(1, complete("answer 2")),
])]
#[case::g5_cut(5, 0, vec![
    request_sent(1), server_registered("a"), request_started("a", 1),
    response_received(1, complete("answ")),
])]
#[case::g5_nobody(5, 0, vec![request_sent(1), response_received(2, complete("answer 2"))])]
#[case::g6_before(6, 0, vec![
    request_sent(1), server_registered("a"), request_started("a", 1),
    response_received(1, Outcome::NotRun(NotRun::QueueFull)),
])]
#[case::g6_after(6, 0, vec![
    request_sent(1), server_registered("a"),
    response_received(1, Outcome::NotRun(NotRun::QueueFull)), request_started("a", 1),
])]
#[case::g7_two_servers(7, 0, vec![
    request_sent(1), server_registered("a"), server_registered("b"), request_started("a", 1),
    request_started("b", 1),
])]
#[case::g7_two_requests(7, 0, vec![
    request_sent(1), request_sent(2), server_registered("a"), request_started("a", 1),
    request_started("a", 2),
])]
#[case::g8_domain(8, REMOVAL_DEADLINE.0 + 1, vec![
    request_sent(1), server_registered("a"), domain_reported(), request_started("a", 1),
])]
#[case::g8_server(8, REMOVAL_DEADLINE.0 + 1, vec![
    request_sent(1), server_registered("a"), server_leaving(), request_started("a", 1),
])]
#[case::g9(9, 0, vec![
    request_sent(1), server_registered("a"), server_leaving(), request_started("a", 1),
    server_stopped(),
])]
#[case::g10_reverts(10, 0, vec![conf_status(9, true, None), conf_status(8, true, None)])]
#[case::g10_freshness(10, 3_001, vec![
    Observation::ConfAccepted(Version(9)), conf_status(9, true, None),
])]
#[case::g10_reach(10, 4_001, vec![
    Observation::ConfAccepted(Version(9)), conf_status(9, false, Some(0)),
])]
fn broken_trace_is_flagged(
    #[case] guarantee: u8,
    #[case] after: u64,
    #[case] trace: Vec<Observation>,
) {
    assert_eq!(violations_of_last(&trace, after), [guarantee]);
}

/// Guards against checks that report allowed behavior.
#[rstest]
#[case::returned(60_000, vec![
    worker_registered("w1"), domain_changed(DomainState::Out), domain_changed(DomainState::In),
    task_started("w1", "j", 1, 0),
])]
#[case::within_bound(CHANGE_DEADLINE.0, vec![
    worker_registered("w1"), domain_changed(DomainState::Out), task_started("w1", "j", 1, 0),
])]
#[case::resumed(0, vec![
    worker_registered("w1"), worker_registered("w2"), task_started("w1", "j", 1, 0),
    task_ended("w1", "j", 1), released(2), task_started("w2", "j", 2, 700),
])]
#[case::frozen_expired(0, vec![
    worker_registered("w1"), worker_registered("w2"), task_started("w1", "j", 1, 0),
    Observation::WorkerFrozen(worker("w1")), task_started("w2", "j", 2, 0),
    task_ended("w1", "j", 1), Observation::WorkerResumed(worker("w1")),
])]
#[case::unknown(0, vec![
    request_sent(1), server_registered("a"), request_started("a", 1),
    response_received(1, Outcome::Unknown(Unknown::ConnectionBroken)),
])]
#[case::unconfirmed(60_000, vec![
    Observation::ConfAccepted(Version(9)), conf_status(9, false, None),
])]
fn allowed_trace_passes(#[case] after: u64, #[case] trace: Vec<Observation>) {
    assert_eq!(violations_of_last(&trace, after), Vec::<u8>::new());
}
