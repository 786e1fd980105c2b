//! Failure domains: room, force, and the wait for a drain.

use hyssop_core::api::{
    ApiError, DomainChange, DomainList, DomainPhase, DomainReply, DomainStatus, ErrorCode,
    Shortfall,
};
use hyssop_core::{Class, DomainName, DomainState, Resources, ServiceName, Version};
use hyssop_ctl::Exit;

use crate::support::{Answer, Fake, Seen, run};

fn domain() -> DomainName {
    DomainName::new("bergen-a").unwrap()
}

fn status(version: u64, state: DomainState, phase: DomainPhase, running: u32) -> Answer {
    Answer::ok(&DomainList {
        domains: vec![DomainStatus {
            domain: domain(),
            version: Version(version),
            state,
            phase,
            running,
            pending: 0,
            unconfirmed: 0,
            members_up: 0,
            members_leaving: running,
            workers: 4,
            capacity: Resources::new(64_000, 228_880, 0),
            allocated: Resources::new(running * 4_000, running * 8_192, 0),
        }],
    })
}

fn reply(version: u64, state: DomainState, phase: DomainPhase) -> DomainReply {
    DomainReply {
        domain: domain(),
        version: Version(version),
        state,
        phase,
        has_changed: true,
        has_capacity: true,
        shortfall: Vec::new(),
    }
}

fn out() -> Answer {
    Answer::ok(&reply(5, DomainState::Out, DomainPhase::Draining))
}

fn shortfall() -> Vec<Shortfall> {
    let service = Some(ServiceName::new("planner").unwrap());
    let needs = Resources::new(40_000, 81_920, 0);
    let room = Resources::new(38_500, 90_000, 0);
    Vec::from_iter(Shortfall::between(
        service,
        Class::LatencyCritical,
        needs,
        room,
    ))
}

fn change(seen: &Seen) -> DomainChange {
    serde_json::from_str(&seen.body).unwrap()
}

/// Guards against a refusal for room that does not say what has no room, or that is forced
/// without being asked.
#[tokio::test]
async fn refusal_for_room_shows_the_shortfall() {
    let fake = Fake::start(|seen, _| {
        if seen.line.starts_with("GET") {
            return status(3, DomainState::In, DomainPhase::InService, 4);
        }
        match change(seen).force {
            true => out(),
            false => {
                let error = ApiError::new(ErrorCode::NoCapacity, "no room");
                Answer::error(&error.with_shortfall(shortfall()))
            }
        }
    })
    .await;
    let ran = run(&[&fake.address], &["domain", "out", "bergen-a"]).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.out.contains("planner (latency-critical)"), "{ran:?}");
    assert!(ran.out.contains("lacks 1.5 cores, 0 MiB"), "{ran:?}");
    assert!(ran.err.contains("--force"), "{ran:?}");
    assert_eq!(fake.seen().len(), 2, "the refusal alone says what lacks");

    let args = ["--json", "domain", "out", "bergen-a"];
    let ran = run(&[&fake.address], &args).await;
    let error: serde_json::Value = serde_json::from_str(&ran.err).unwrap();
    assert_eq!(error["error"]["shortfall"][0]["service"], "planner");

    let ran = run(&[&fake.address], &["domain", "out", "bergen-a", "--force"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    let forced = change(fake.seen().last().unwrap());
    assert_eq!(
        (forced.base, forced.force, forced.dry_run),
        (Version(3), true, false)
    );
}

/// Guards against a wait that ends before the domain is empty, or because an entry could not
/// answer for a moment.
#[tokio::test]
async fn wait_ends_when_the_domain_is_empty() {
    let fake = Fake::start(|seen, before| {
        if seen.line.starts_with("PUT") {
            return out();
        }
        match before {
            0 => status(3, DomainState::In, DomainPhase::InService, 4),
            // An entry that is behind still shows the state before the change.
            2 => status(3, DomainState::Out, DomainPhase::Empty, 0),
            3 => Answer::code(ErrorCode::NotRun),
            4 => status(5, DomainState::Out, DomainPhase::Draining, 2),
            _ => status(5, DomainState::Out, DomainPhase::Empty, 0),
        }
    })
    .await;
    let ran = run(&[&fake.address], &["domain", "out", "bergen-a", "--wait"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(fake.seen().len(), 6);
    assert!(ran.err.contains("bergen-a: no entry answers\n"), "{ran:?}");
    assert!(ran.err.contains("bergen-a: draining, 2 running"), "{ran:?}");
    assert!(ran.out.contains("bergen-a: empty after"), "{ran:?}");
}

/// Guards against a wait that goes on, or reports success, after another operator has brought the
/// domain back.
#[tokio::test]
async fn wait_ends_when_another_change_wins() {
    let fake = Fake::start(
        |seen, before| match (seen.line.starts_with("PUT"), before) {
            (true, _) => out(),
            (false, 0) => status(3, DomainState::In, DomainPhase::InService, 4),
            _ => status(6, DomainState::In, DomainPhase::Returning, 2),
        },
    )
    .await;
    let ran = run(&[&fake.address], &["domain", "out", "bergen-a", "--wait"]).await;
    assert_eq!(ran.exit, Exit::Conflict, "{ran:?}");
    assert!(ran.err.contains("version 6"), "{ran:?}");
}

/// Guards against a script that hangs because a drain does not end.
#[tokio::test]
async fn wait_limit_ends_the_wait() {
    let fake = Fake::start(
        |seen, before| match (seen.line.starts_with("PUT"), before) {
            (true, _) => out(),
            (false, 0) => status(3, DomainState::In, DomainPhase::InService, 4),
            _ => status(5, DomainState::Out, DomainPhase::Draining, 1),
        },
    )
    .await;
    let args = ["domain", "out", "bergen-a", "--wait", "--wait-limit", "0"];
    let ran = run(&[&fake.address], &args).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("the change is in force"), "{ran:?}");
    assert!(ran.err.contains("draining, 1 running"), "{ran:?}");
}

/// Guards against a return that waits for the wrong phase.
#[tokio::test]
async fn back_waits_until_the_domain_is_in_service() {
    let fake = Fake::start(
        |seen, before| match (seen.line.starts_with("PUT"), before) {
            (true, _) => Answer::ok(&reply(8, DomainState::In, DomainPhase::Returning)),
            (false, 0) => status(5, DomainState::Out, DomainPhase::Empty, 0),
            (false, 2) => status(8, DomainState::In, DomainPhase::Returning, 1),
            _ => status(8, DomainState::In, DomainPhase::InService, 4),
        },
    )
    .await;
    let args = ["domain", "back", "bergen-a", "--wait", "--json"];
    let ran = run(&[&fake.address], &args).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(ran.json()["phase"], "in-service");
    assert_eq!(change(&fake.seen()[1]).base, Version(5));
}

/// Guards against the command's own change being reported as a lost race after its answer was
/// lost.
#[tokio::test]
async fn own_change_is_recognized_after_an_unclear_try() {
    let first = Fake::start(|_, before| match before {
        0 => status(3, DomainState::In, DomainPhase::InService, 4),
        _ => Answer::code(ErrorCode::Unknown),
    })
    .await;
    let second = Fake::start(|seen, _| {
        if seen.line.starts_with("GET") {
            return status(5, DomainState::Out, DomainPhase::Draining, 4);
        }
        match change(seen).dry_run {
            true => out(),
            false => Answer::code(ErrorCode::Conflict),
        }
    })
    .await;
    let entries = [&*first.address, &second.address];
    let ran = run(&entries, &["domain", "out", "bergen-a"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert!(
        ran.out.contains("out of service, draining, version 5"),
        "{ran:?}"
    );
}
