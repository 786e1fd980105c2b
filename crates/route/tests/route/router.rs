//! Tests of single behaviours of the router.

use crate::common::{announcement, conf, domain, service, team};
use hyssop_core::{
    Announcement, Connectivity, DomainState, Incarnation, Limits, Load, MemberState, Millis,
    NotRun, Outcome, Ticket, Unknown,
};
use hyssop_route::{CallReport, CallResult, CallerRequest, Pick, Router, RouterOptions};
use rstest::rstest;
use smallvec::SmallVec;

/// Time at which all members announce themselves again, after their first announcements have
/// expired.
const REANNOUNCED_AT_MS: u64 = 20_000;

fn router() -> Router {
    let mut router = Router::new(RouterOptions {
        domain: domain("bergen-a"),
        seed: 3,
    });
    router.set_connectivity(Connectivity::Confirmed);
    router.apply_conf(conf(5, Limits::default(), &[]));
    router
}

fn request() -> CallerRequest {
    CallerRequest {
        team: team("haugland"),
        service: service(),
        ticket: None,
        tried_agents: SmallVec::new(),
    }
}

fn ticket_request(incarnation: u64) -> CallerRequest {
    CallerRequest {
        ticket: Some(Ticket {
            incarnation: Incarnation(incarnation),
            nonce: 1,
        }),
        ..request()
    }
}

fn retry_request(incarnations: &[u64]) -> CallerRequest {
    CallerRequest {
        tried_agents: incarnations.iter().copied().map(Incarnation).collect(),
        ..request()
    }
}

fn report(result: CallResult) -> CallReport {
    CallReport {
        result,
        latency: Millis(5),
        load: None,
    }
}

fn with_load(mut announcement: Announcement, running: u32, waiting: u32) -> Announcement {
    announcement.load.running = running;
    announcement.load.waiting = waiting;
    announcement
}

fn not_run(reason: NotRun) -> Result<Pick, Outcome> {
    Err(Outcome::NotRun(reason))
}

/// Picks an agent for each of `count` successful calls and returns how many went to each
/// incarnation below 10.
fn count_picks(router: &mut Router, now: u64, count: usize) -> [usize; 10] {
    let mut picks = [0; 10];
    for _ in 0..count {
        let pick = router.pick(Millis(now), &request()).unwrap();
        picks[usize::try_from(pick.incarnation.0).unwrap()] += 1;
        router.report_call(Millis(now), &pick, &report(CallResult::Success));
    }
    picks
}

/// Sends `count` failing calls to one incarnation.
fn fail_calls(router: &mut Router, now: u64, incarnation: u64, count: usize) {
    for _ in 0..count {
        let pick = router
            .pick(Millis(now), &ticket_request(incarnation))
            .unwrap();
        router.report_call(Millis(now), &pick, &report(CallResult::ServerError));
    }
}

fn announce_all(
    router: &mut Router,
    now: u64,
    seq: u64,
    incarnations: std::ops::RangeInclusive<u64>,
) {
    for incarnation in incarnations {
        let a = announcement(
            &format!("agent-{incarnation}"),
            incarnation,
            seq,
            "bergen-a",
        );
        router.announce(Millis(now), &a);
    }
}

/// Guards against members that remain live after they have stopped announcing themselves, and
/// against an announced interval that is ignored.
#[rstest]
#[case(1_000, 2_999, 3_000)]
#[case(10_000, 29_999, 30_000)]
fn member_expires_after_three_intervals(
    #[case] interval: u64,
    #[case] live_at: u64,
    #[case] expired_at: u64,
) {
    let mut router = router();
    let mut a = announcement("agent-1", 1, 1, "bergen-a");
    a.interval = Millis(interval);
    router.announce(Millis(0), &a);
    let pick = router.pick(Millis(live_at), &request()).unwrap();
    router.report_call(Millis(live_at), &pick, &report(CallResult::Success));
    assert_eq!(
        router.pick(Millis(expired_at), &request()),
        not_run(NotRun::NoServer)
    );
    let unknown = Err(Outcome::Unknown(Unknown::AgentUnreachable));
    assert_eq!(router.pick(Millis(expired_at), &ticket_request(1)), unknown);
    // A duplicate of its last announcement doesn't revive the member, a later one does.
    router.sweep(Millis(expired_at));
    assert!(!router.announce(Millis(expired_at), &a));
    a.seq = 2;
    assert!(router.announce(Millis(expired_at), &a));
    assert!(router.pick(Millis(expired_at), &request()).is_ok());
    router.sweep(Millis(expired_at + 200_000));
    assert!(router.members(Millis(expired_at + 200_000)).is_empty());
}

/// Guards against late announcements of an agent's earlier incarnation that replace the current
/// one.
#[test]
fn announcements_of_a_replaced_incarnation_are_ignored() {
    let mut router = router();
    router.announce(Millis(0), &announcement("agent", 1, 5, "bergen-a"));
    router.announce(Millis(100), &announcement("agent", 2, 1, "bergen-a"));
    assert!(!router.announce(Millis(200), &announcement("agent", 1, 6, "bergen-a")));
    router.sweep(Millis(200));
    let members = router.members(Millis(200));
    assert_eq!(members.len(), 1);
    assert_eq!(members[0].incarnation, Incarnation(2));
    let agent_unreachable = Err(Outcome::Unknown(Unknown::AgentUnreachable));
    assert_eq!(
        router.pick(Millis(200), &ticket_request(1)),
        agent_unreachable
    );
    router.sweep(Millis(59_999));
    assert!(!router.announce(Millis(59_999), &announcement("agent", 1, 7, "bergen-a")));
}

/// Guards against an earlier announcement that is applied after a later one.
#[test]
fn reordered_announcements_are_ignored() {
    let mut router = router();
    let mut leaving = announcement("agent", 1, 2, "bergen-a");
    leaving.state = MemberState::Leaving;
    assert!(router.announce(Millis(0), &leaving));
    assert!(!router.announce(Millis(1), &announcement("agent", 1, 1, "bergen-a")));
    assert!(!router.announce(Millis(1), &leaving));
    assert_eq!(
        router.pick(Millis(1), &request()),
        not_run(NotRun::NoServer)
    );
}

/// Guards against new work for members that are leaving, have no backend server, or whose failure
/// domain is out of service, and against tickets that can no longer reach them.
#[rstest]
#[case::leaving(MemberState::Leaving, DomainState::In)]
#[case::down(MemberState::Down, DomainState::In)]
#[case::domain_out(MemberState::Up, DomainState::Out)]
fn closed_members_get_only_requests_with_tickets(
    #[case] state: MemberState,
    #[case] domain: DomainState,
) {
    let mut router = router();
    let mut a = announcement("agent", 1, 1, "bergen-a");
    a.state = state;
    router.announce(Millis(0), &a);
    if domain == DomainState::Out {
        router.apply_conf(conf(6, Limits::default(), &["bergen-a"]));
    }
    // An older configuration must not return the domain to service.
    router.apply_conf(conf(5, Limits::default(), &[]));
    assert_eq!(
        router.pick(Millis(1), &request()),
        not_run(NotRun::NoServer)
    );
    assert!(router.pick(Millis(1), &ticket_request(1)).is_ok());
}

/// Guards against requests that leave the local failure domain while it has free slots, or stay
/// there when it has none.
#[test]
fn local_domain_is_preferred_until_overloaded() {
    let mut router = router();
    router.announce(Millis(0), &announcement("near", 1, 1, "bergen-a"));
    router.announce(Millis(0), &announcement("far", 2, 1, "forde"));
    assert_eq!(count_picks(&mut router, 1, 50)[1], 50);
    let busy = with_load(announcement("near", 1, 2, "bergen-a"), 8, 0);
    router.announce(Millis(2), &busy);
    assert_eq!(count_picks(&mut router, 3, 50)[2], 50);
}

/// Guards against a choice that ignores the load reported in replies or the entry's own calls.
#[test]
fn less_loaded_member_is_chosen() {
    let mut router = router();
    router.announce(Millis(0), &announcement("one", 1, 1, "bergen-a"));
    router.announce(Millis(0), &announcement("two", 2, 1, "bergen-a"));
    let load = Load {
        running: 7,
        waiting: 0,
        slots: 8,
    };
    let pick = router.pick(Millis(1), &ticket_request(1)).unwrap();
    let answered = CallReport {
        load: Some(load),
        ..report(CallResult::Success)
    };
    router.report_call(Millis(1), &pick, &answered);
    assert_eq!(count_picks(&mut router, 2, 30)[2], 30);
    // Calls in flight count before any reply reports them.
    let in_flight: Vec<Pick> = (0..8)
        .map(|_| router.pick(Millis(3), &request()).unwrap())
        .collect();
    let second = in_flight.iter().filter(|p| p.incarnation == Incarnation(2));
    assert_eq!(second.count(), 7);
}

/// Guards against requests that are sent although no member has a free connection, and against
/// calls that are counted twice, in the reported load and as the entry's own.
#[test]
fn requests_to_a_saturated_service_are_refused() {
    let mut router = router();
    let full = with_load(announcement("one", 1, 1, "bergen-a"), 8, 56);
    router.announce(Millis(0), &full);
    assert_eq!(
        router.pick(Millis(1), &request()),
        not_run(NotRun::QueueFull)
    );
    let nearly_full = with_load(announcement("one", 1, 2, "bergen-a"), 8, 54);
    router.announce(Millis(2), &nearly_full);
    let first = router.pick(Millis(3), &request()).unwrap();
    assert!(router.pick(Millis(3), &request()).is_ok());
    assert_eq!(
        router.pick(Millis(3), &request()),
        not_run(NotRun::QueueFull)
    );
    let load = Load {
        running: 8,
        waiting: 55,
        slots: 8,
    };
    let refused = CallReport {
        load: Some(load),
        ..report(CallResult::Refused)
    };
    router.report_call(Millis(4), &first, &refused);
    assert!(router.pick(Millis(5), &request()).is_ok());
}

/// Guards against a failing member that keeps getting requests, one that is never restored, and a
/// probe of more than one request.
#[test]
fn failing_member_is_ejected_and_probed() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=4);
    announce_all(&mut router, REANNOUNCED_AT_MS, 2, 1..=4);
    fail_calls(&mut router, REANNOUNCED_AT_MS, 1, 5);
    assert!(router.members(Millis(REANNOUNCED_AT_MS))[0].is_ejected);
    assert_eq!(count_picks(&mut router, REANNOUNCED_AT_MS, 100)[1], 0);

    let later = REANNOUNCED_AT_MS + 5_000;
    announce_all(&mut router, later, 3, 1..=4);
    let probe = router.pick(Millis(later), &request()).unwrap();
    assert_eq!(probe.incarnation, Incarnation(1));
    assert_eq!(count_picks(&mut router, later, 100)[1], 0);
    router.report_call(Millis(later), &probe, &report(CallResult::ServerError));
    assert_eq!(count_picks(&mut router, later + 2_000, 100)[1], 0);

    // The second ejection lasts twice as long.
    let later = later + 9_999;
    announce_all(&mut router, later, 4, 1..=4);
    assert_eq!(count_picks(&mut router, later, 100)[1], 0);
    let later = later + 1;
    let probe = router.pick(Millis(later), &request()).unwrap();
    assert_eq!(probe.incarnation, Incarnation(1));
    router.report_call(Millis(later), &probe, &report(CallResult::Success));
    assert!(!router.members(Millis(later))[0].is_ejected);
}

/// Guards against ejection of all members of a service when all of them fail.
#[test]
fn number_of_ejected_members_is_limited() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=9);
    for incarnation in 1..=9 {
        fail_calls(&mut router, 1, incarnation, 30);
    }
    let members = router.members(Millis(1));
    assert_eq!(members.iter().filter(|m| m.is_ejected).count(), 2);
}

/// Guards against a member that fails most of its calls but is not ejected, because it never fails
/// often enough in a row.
#[test]
fn high_failure_rate_ejects_a_member() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=4);
    for _ in 0..20 {
        fail_calls(&mut router, 1, 1, 3);
        let pick = router.pick(Millis(1), &ticket_request(1)).unwrap();
        router.report_call(Millis(1), &pick, &report(CallResult::Success));
    }
    assert!(router.members(Millis(1))[0].is_ejected);
}

/// Guards against further requests to an agent that can't be reached.
#[test]
fn unreachable_member_gets_no_requests_until_announced() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    let pick = router.pick(Millis(1), &ticket_request(1)).unwrap();
    router.report_call(Millis(1), &pick, &report(CallResult::Unreachable));
    assert_eq!(count_picks(&mut router, 1, 50)[1], 0);
    announce_all(&mut router, 2, 2, 1..=2);
    assert!(count_picks(&mut router, 2, 50)[1] > 0);
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retries_are_limited_to_a_tenth_of_requests() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=3);
    let mut retries = 0;
    for _ in 0..1_000 {
        let first = router.pick(Millis(1), &request()).unwrap();
        router.report_call(Millis(1), &first, &report(CallResult::Refused));
        if let Ok(second) = router.pick(Millis(1), &retry_request(&[first.incarnation.0])) {
            assert_ne!(second.incarnation, first.incarnation);
            router.report_call(Millis(1), &second, &report(CallResult::Refused));
            retries += 1;
        }
    }
    // 100 for the requests, and the bucket starts with tokens for 10.
    assert_eq!(retries, 110);
}

/// Guards against one team that uses the entire capacity of an entry, and against calls that still
/// count after they have ended.
#[test]
fn team_limit_counts_calls_in_flight() {
    let mut router = router();
    let limits = Limits {
        inflight: 2,
        ..Limits::default()
    };
    router.apply_conf(conf(6, limits, &[]));
    announce_all(&mut router, 0, 1, 1..=2);
    let first = router.pick(Millis(1), &request()).unwrap();
    let second = router.pick(Millis(1), &request()).unwrap();
    assert_eq!(
        router.pick(Millis(1), &request()),
        not_run(NotRun::TeamLimit)
    );
    let other = CallerRequest {
        team: team("morski"),
        ..request()
    };
    assert!(router.pick(Millis(1), &other).is_ok());
    router.report_call(Millis(2), &first, &report(CallResult::Success));
    router.report_call(Millis(2), &second, &report(CallResult::Unknown));
    assert!(router.pick(Millis(2), &request()).is_ok());
}

/// Guards against a new member that gets its full share of requests at once, and against a slow
/// start that never ends.
#[test]
fn new_member_gets_a_slow_start() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    announce_all(&mut router, 2_000, 2, 1..=2);
    let joined = 4_000;
    announce_all(&mut router, joined, 3, 1..=3);
    let in_flight: Vec<Pick> = (0..16)
        .map(|_| router.pick(Millis(joined), &request()).unwrap())
        .collect();
    let new_member = in_flight.iter().filter(|p| p.incarnation == Incarnation(3));
    assert!(new_member.count() <= 1);
    for pick in &in_flight {
        router.report_call(Millis(joined), pick, &report(CallResult::Success));
    }
    for second in 1..=10 {
        let now = joined + second * 1_000;
        announce_all(&mut router, now, 3 + second, 1..=3);
    }
    let later = joined + 10_000;
    let in_flight: Vec<Pick> = (0..15)
        .map(|_| router.pick(Millis(later), &request()).unwrap())
        .collect();
    let new_member = in_flight.iter().filter(|p| p.incarnation == Incarnation(3));
    assert!(new_member.count() >= 3);
}

/// Guards against work that is accepted by an isolated or newly started entry, or for a service
/// without a document. Only the agent knows whether a ticket has run, so a request with a ticket is
/// sent to it with the reason to refuse an unused one. Without the agent the outcome is unknown.
#[test]
fn connectivity_and_document_are_required() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    router.set_connectivity(Connectivity::MajorityReachable);
    assert!(router.pick(Millis(1), &request()).is_ok());
    router.set_connectivity(Connectivity::Isolated);
    assert_eq!(
        router.pick(Millis(1), &request()),
        not_run(NotRun::Isolated)
    );
    let pick = router.pick(Millis(1), &ticket_request(1)).unwrap();
    assert_eq!(
        (pick.incarnation, pick.refusal),
        (Incarnation(1), Some(NotRun::Isolated))
    );
    let agent_unreachable = Err(Outcome::Unknown(Unknown::AgentUnreachable));
    assert_eq!(
        router.pick(Millis(1), &ticket_request(9)),
        agent_unreachable
    );
    let mut fresh = Router::new(RouterOptions {
        domain: domain("bergen-a"),
        seed: 3,
    });
    assert_eq!(fresh.pick(Millis(1), &request()), not_run(NotRun::Isolated));
    fresh.set_connectivity(Connectivity::MajorityReachable);
    assert_eq!(
        fresh.pick(Millis(1), &request()),
        not_run(NotRun::NoService)
    );
    assert_eq!(fresh.pick(Millis(1), &ticket_request(1)), agent_unreachable);
    announce_all(&mut fresh, 1, 1, 1..=1);
    assert_eq!(
        fresh.pick(Millis(1), &request()),
        not_run(NotRun::NoService)
    );
    let pick = fresh.pick(Millis(1), &ticket_request(1)).unwrap();
    assert_eq!(pick.refusal, Some(NotRun::NoService));
}

/// Guards against a "not run" reply from the entry for a ticket beyond the team's limit, and
/// against refused tickets that count against this limit.
#[test]
fn tickets_beyond_the_team_limit_are_refused_by_the_agent() {
    let mut router = router();
    let limits = Limits {
        inflight: 1,
        ..Limits::default()
    };
    router.apply_conf(conf(6, limits, &[]));
    announce_all(&mut router, 0, 1, 1..=1);
    let first = router.pick(Millis(1), &ticket_request(1)).unwrap();
    assert_eq!(first.refusal, None);
    let beyond = router.pick(Millis(1), &ticket_request(1)).unwrap();
    assert_eq!(beyond.refusal, Some(NotRun::TeamLimit));
    router.report_call(Millis(2), &first, &report(CallResult::Success));
    let next = router.pick(Millis(2), &request()).unwrap();
    router.report_call(Millis(2), &beyond, &report(CallResult::Refused));
    assert_eq!(
        router.pick(Millis(2), &request()),
        not_run(NotRun::TeamLimit)
    );
    router.report_call(Millis(3), &next, &report(CallResult::Success));
    assert!(router.pick(Millis(3), &request()).is_ok());
}

/// Guards against choices that can't be replayed: the same seed and inputs must give the same
/// picks.
#[test]
fn picks_are_deterministic() {
    let run = || {
        let mut router = router();
        announce_all(&mut router, 0, 1, 1..=9);
        let picks = (0..40).map(|_| router.pick(Millis(1), &request()).unwrap());
        picks.map(|pick| pick.incarnation).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Guards against a call from before an ejection whose late end is taken for the result of the
/// probe: its success restores a member that still fails, and its refusal lets out a second probe.
#[test]
fn only_the_probe_decides_on_an_ejected_member() {
    for late_result in [
        CallResult::Success,
        CallResult::Refused,
        CallResult::ServerError,
    ] {
        let mut router = router();
        announce_all(&mut router, 0, 1, 1..=4);
        announce_all(&mut router, REANNOUNCED_AT_MS, 2, 1..=4);
        let now = Millis(REANNOUNCED_AT_MS);
        let late = loop {
            let pick = router.pick(now, &request()).unwrap();
            if pick.incarnation == Incarnation(1) {
                break pick;
            }
        };
        fail_calls(&mut router, REANNOUNCED_AT_MS, 1, 5);
        let later = REANNOUNCED_AT_MS + 5_000;
        announce_all(&mut router, later, 3, 1..=4);
        let probe = router.pick(Millis(later), &request()).unwrap();
        assert_eq!(probe.incarnation, Incarnation(1));
        router.report_call(Millis(later), &late, &report(late_result));
        assert!(
            router.members(Millis(later))[0].is_ejected,
            "{late_result:?}"
        );
        assert_eq!(
            count_picks(&mut router, later, 100)[1],
            0,
            "{late_result:?}"
        );
        router.report_call(Millis(later), &probe, &report(CallResult::Success));
        assert!(
            !router.members(Millis(later))[0].is_ejected,
            "{late_result:?}"
        );
    }
}
