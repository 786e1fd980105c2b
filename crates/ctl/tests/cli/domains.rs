//! `domain` commands: shortfalls, `--force` and `--wait`.

use hyssop_core::api::{
    ApiError, DomainChange, DomainList, DomainPhase, DomainReply, DomainStatus, ErrorCode,
    Shortfall,
};
use hyssop_core::{Class, DomainName, DomainState, Resources, ServiceName, Version};
use hyssop_ctl::Exit;

use crate::support::{ReceivedRequest, StandInEntry, StandInResponse, run_command};

fn domain() -> DomainName {
    DomainName::new("bergen-a").unwrap()
}

fn domain_list_response(
    version: u64,
    state: DomainState,
    phase: DomainPhase,
    running: u32,
) -> StandInResponse {
    StandInResponse::ok(&DomainList {
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

fn domain_reply(version: u64, state: DomainState, phase: DomainPhase) -> DomainReply {
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

fn domain_out_response() -> StandInResponse {
    StandInResponse::ok(&domain_reply(5, DomainState::Out, DomainPhase::Draining))
}

fn shortfall() -> Vec<Shortfall> {
    let service = Some(ServiceName::new("planner").unwrap());
    let needs = Resources::new(40_000, 81_920, 0);
    let available = Resources::new(38_500, 90_000, 0);
    Vec::from_iter(Shortfall::between(
        service,
        Class::LatencyCritical,
        needs,
        available,
    ))
}

fn parse_change(request: &ReceivedRequest) -> DomainChange {
    serde_json::from_str(&request.body).unwrap()
}

/// Guards against a refusal for lack of capacity that does not show the shortfall, and against a
/// change that is forced without `--force`.
#[tokio::test]
async fn refusal_for_capacity_shows_the_shortfall() {
    let stand_in = StandInEntry::start(|request, _| {
        if request.request_line.starts_with("GET") {
            return domain_list_response(3, DomainState::In, DomainPhase::InService, 4);
        }
        match parse_change(request).force {
            true => domain_out_response(),
            false => {
                let error = ApiError::new(ErrorCode::NoCapacity, "insufficient capacity");
                StandInResponse::error(&error.with_shortfall(shortfall()))
            }
        }
    })
    .await;
    let output = run_command(&[&stand_in.address], &["domain", "out", "bergen-a"]).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(
        output.stdout.contains("planner (latency-critical)"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("lacks 1.5 cores, 0 MiB"),
        "{output:?}"
    );
    assert!(output.stderr.contains("--force"), "{output:?}");
    assert_eq!(
        stand_in.received().len(),
        2,
        "the shortfall comes with the refusal, without another request"
    );

    let args = ["--json", "domain", "out", "bergen-a"];
    let output = run_command(&[&stand_in.address], &args).await;
    let error: serde_json::Value = serde_json::from_str(&output.stderr).unwrap();
    assert_eq!(error["error"]["shortfall"][0]["service"], "planner");

    let output = run_command(
        &[&stand_in.address],
        &["domain", "out", "bergen-a", "--force"],
    )
    .await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    let forced_change = parse_change(stand_in.received().last().unwrap());
    assert_eq!(
        (
            forced_change.base,
            forced_change.force,
            forced_change.dry_run
        ),
        (Version(3), true, false)
    );
}

/// Guards against a wait that ends before the domain is empty, or at a transient failure of an
/// entry.
#[tokio::test]
async fn wait_ends_when_the_domain_is_empty() {
    let stand_in = StandInEntry::start(|request, index| {
        if request.request_line.starts_with("PUT") {
            return domain_out_response();
        }
        match index {
            0 => domain_list_response(3, DomainState::In, DomainPhase::InService, 4),
            // An entry with an older configuration still reports the version before the change.
            2 => domain_list_response(3, DomainState::Out, DomainPhase::Empty, 0),
            3 => StandInResponse::code(ErrorCode::NotRun),
            4 => domain_list_response(5, DomainState::Out, DomainPhase::Draining, 2),
            _ => domain_list_response(5, DomainState::Out, DomainPhase::Empty, 0),
        }
    })
    .await;
    let output = run_command(
        &[&stand_in.address],
        &["domain", "out", "bergen-a", "--wait"],
    )
    .await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(stand_in.received().len(), 6);
    assert!(
        output.stderr.contains("bergen-a: no entry answers\n"),
        "{output:?}"
    );
    assert!(
        output.stderr.contains("bergen-a: draining, 2 running"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("bergen-a: empty after"),
        "{output:?}"
    );
}

/// Guards against a wait that continues, or reports success, after another operator has brought the
/// domain back into service.
#[tokio::test]
async fn wait_ends_when_another_change_replaces_it() {
    let stand_in = StandInEntry::start(|request, index| {
        match (request.request_line.starts_with("PUT"), index) {
            (true, _) => domain_out_response(),
            (false, 0) => domain_list_response(3, DomainState::In, DomainPhase::InService, 4),
            _ => domain_list_response(6, DomainState::In, DomainPhase::Returning, 2),
        }
    })
    .await;
    let output = run_command(
        &[&stand_in.address],
        &["domain", "out", "bergen-a", "--wait"],
    )
    .await;
    assert_eq!(output.exit, Exit::Conflict, "{output:?}");
    assert!(output.stderr.contains("version 6"), "{output:?}");
}

/// Guards against a wait that ignores its limit, which would hang scripts when a drain never ends.
#[tokio::test]
async fn wait_limit_ends_the_wait() {
    let stand_in = StandInEntry::start(|request, index| {
        match (request.request_line.starts_with("PUT"), index) {
            (true, _) => domain_out_response(),
            (false, 0) => domain_list_response(3, DomainState::In, DomainPhase::InService, 4),
            _ => domain_list_response(5, DomainState::Out, DomainPhase::Draining, 1),
        }
    })
    .await;
    let args = ["domain", "out", "bergen-a", "--wait", "--wait-limit", "0"];
    let output = run_command(&[&stand_in.address], &args).await;
    assert_eq!(output.exit, Exit::Refused, "{output:?}");
    assert!(
        output.stderr.contains("the change is in force"),
        "{output:?}"
    );
    assert!(output.stderr.contains("draining, 1 running"), "{output:?}");
}

/// Guards against `domain back --wait` that waits for the wrong phase.
#[tokio::test]
async fn back_waits_until_the_domain_is_in_service() {
    let stand_in = StandInEntry::start(|request, index| {
        match (request.request_line.starts_with("PUT"), index) {
            (true, _) => {
                StandInResponse::ok(&domain_reply(8, DomainState::In, DomainPhase::Returning))
            }
            (false, 0) => domain_list_response(5, DomainState::Out, DomainPhase::Empty, 0),
            (false, 2) => domain_list_response(8, DomainState::In, DomainPhase::Returning, 1),
            _ => domain_list_response(8, DomainState::In, DomainPhase::InService, 4),
        }
    })
    .await;
    let args = ["domain", "back", "bergen-a", "--wait", "--json"];
    let output = run_command(&[&stand_in.address], &args).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(output.json()["phase"], "in-service");
    assert_eq!(parse_change(&stand_in.received()[1]).base, Version(5));
}

/// Guards against the command's own change being reported as a conflict after the response to its
/// first attempt was lost.
#[tokio::test]
async fn own_change_is_recognized_after_an_unknown_outcome() {
    let first = StandInEntry::start(|_, index| match index {
        0 => domain_list_response(3, DomainState::In, DomainPhase::InService, 4),
        _ => StandInResponse::code(ErrorCode::Unknown),
    })
    .await;
    let second = StandInEntry::start(|request, _| {
        if request.request_line.starts_with("GET") {
            return domain_list_response(5, DomainState::Out, DomainPhase::Draining, 4);
        }
        match parse_change(request).dry_run {
            true => domain_out_response(),
            false => StandInResponse::code(ErrorCode::Conflict),
        }
    })
    .await;
    let entries = [&*first.address, &second.address];
    let output = run_command(&entries, &["domain", "out", "bergen-a"]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert!(
        output
            .stdout
            .contains("out of service, draining, version 5"),
        "{output:?}"
    );
}
