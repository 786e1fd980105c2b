//! Focused tests of the router.

use crate::common::{announcement, conf, domain, service, team};
use hyssop_core::{
    Announcement, DomainState, Incarnation, Limits, Load, MemberState, Millis, NotRun, Outcome,
    Standing, Ticket, Unknown,
};
use hyssop_route::{CallReport, CallResult, CallerRequest, Pick, Router, RouterOptions};
use rstest::rstest;
use smallvec::SmallVec;

const SETTLED: u64 = 20_000;

fn router() -> Router {
    let mut router = Router::new(RouterOptions {
        domain: domain("bergen-a"),
        seed: 3,
    });
    router.set_connectivity(Standing::Proved);
    router.apply_conf(conf(5, Limits::default(), &[]));
    router
}

fn ask() -> CallerRequest {
    CallerRequest {
        team: team("haugland"),
        service: service(),
        ticket: None,
        tried_agents: SmallVec::new(),
    }
}

fn ticket(life: u64) -> CallerRequest {
    CallerRequest {
        ticket: Some(Ticket {
            incarnation: Incarnation(life),
            nonce: 1,
        }),
        ..ask()
    }
}

fn retry(lives: &[u64]) -> CallerRequest {
    CallerRequest {
        tried_agents: lives.iter().copied().map(Incarnation).collect(),
        ..ask()
    }
}

fn done(end: CallResult) -> CallReport {
    CallReport {
        result: end,
        latency: Millis(5),
        load: None,
    }
}

fn loaded(mut announcement: Announcement, running: u32, waiting: u32) -> Announcement {
    announcement.load.running = running;
    announcement.load.waiting = waiting;
    announcement
}

fn not_run(why: NotRun) -> Result<Pick, Outcome> {
    Err(Outcome::NotRun(why))
}

/// Picks and ends `count` calls and returns how many went to each incarnation below 10.
fn spread(router: &mut Router, now: u64, count: usize) -> [usize; 10] {
    let mut seen = [0; 10];
    for _ in 0..count {
        let pick = router.pick(Millis(now), &ask()).unwrap();
        seen[usize::try_from(pick.incarnation.0).unwrap()] += 1;
        router.report_call(Millis(now), &pick, &done(CallResult::Success));
    }
    seen
}

/// Fails `count` calls to one incarnation.
fn fail(router: &mut Router, now: u64, life: u64, count: usize) {
    for _ in 0..count {
        let pick = router.pick(Millis(now), &ticket(life)).unwrap();
        router.report_call(Millis(now), &pick, &done(CallResult::ServerError));
    }
}

fn announce_all(router: &mut Router, now: u64, seq: u64, lives: std::ops::RangeInclusive<u64>) {
    for life in lives {
        let a = announcement(&format!("agent-{life}"), life, seq, "bergen-a");
        router.announce(Millis(now), &a);
    }
}

/// Guards against members that stay after they stopped announcing, and against a stated interval
/// that is not honoured.
#[rstest]
#[case(1_000, 2_999, 3_000)]
#[case(10_000, 29_999, 30_000)]
fn member_expires_after_three_intervals(#[case] every: u64, #[case] there: u64, #[case] gone: u64) {
    let mut router = router();
    let mut a = announcement("agent-1", 1, 1, "bergen-a");
    a.every = Millis(every);
    router.announce(Millis(0), &a);
    let pick = router.pick(Millis(there), &ask()).unwrap();
    router.report_call(Millis(there), &pick, &done(CallResult::Success));
    assert_eq!(router.pick(Millis(gone), &ask()), not_run(NotRun::NoServer));
    let unknown = Err(Outcome::Unknown(Unknown::AgentGone));
    assert_eq!(router.pick(Millis(gone), &ticket(1)), unknown);
    // Its last announcement, delayed or repeated, doesn't bring it back, a later one does.
    router.sweep(Millis(gone));
    assert!(!router.announce(Millis(gone), &a));
    a.seq = 2;
    assert!(router.announce(Millis(gone), &a));
    assert!(router.pick(Millis(gone), &ask()).is_ok());
    router.sweep(Millis(gone + 200_000));
    assert!(router.members(Millis(gone + 200_000)).is_empty());
}

/// Guards against late announcements of an agent's earlier life that displace the present one.
#[test]
fn replaced_incarnation_is_remembered() {
    let mut router = router();
    router.announce(Millis(0), &announcement("agent", 1, 5, "bergen-a"));
    router.announce(Millis(100), &announcement("agent", 2, 1, "bergen-a"));
    assert!(!router.announce(Millis(200), &announcement("agent", 1, 6, "bergen-a")));
    router.sweep(Millis(200));
    let members = router.members(Millis(200));
    assert_eq!(members.len(), 1);
    assert_eq!(members[0].incarnation, Incarnation(2));
    let gone = Err(Outcome::Unknown(Unknown::AgentGone));
    assert_eq!(router.pick(Millis(200), &ticket(1)), gone);
    router.sweep(Millis(59_999));
    assert!(!router.announce(Millis(59_999), &announcement("agent", 1, 7, "bergen-a")));
}

/// Guards against an earlier announcement that arrives after a later one.
#[test]
fn reordered_announcements_are_ignored() {
    let mut router = router();
    let mut leaving = announcement("agent", 1, 2, "bergen-a");
    leaving.state = MemberState::Leaving;
    assert!(router.announce(Millis(0), &leaving));
    assert!(!router.announce(Millis(1), &announcement("agent", 1, 1, "bergen-a")));
    assert!(!router.announce(Millis(1), &leaving));
    assert_eq!(router.pick(Millis(1), &ask()), not_run(NotRun::NoServer));
}

/// Guards against new work for members that leave, have no backend server, or whose domain is
/// out, and against tickets that can no longer reach them.
#[rstest]
#[case::leaving(MemberState::Leaving, DomainState::In)]
#[case::down(MemberState::Down, DomainState::In)]
#[case::domain_out(MemberState::Up, DomainState::Out)]
fn closed_members_get_tickets_only(#[case] state: MemberState, #[case] domain: DomainState) {
    let mut router = router();
    let mut a = announcement("agent", 1, 1, "bergen-a");
    a.state = state;
    router.announce(Millis(0), &a);
    if domain == DomainState::Out {
        router.apply_conf(conf(6, Limits::default(), &["bergen-a"]));
    }
    // An older configuration must not bring the domain back.
    router.apply_conf(conf(5, Limits::default(), &[]));
    assert_eq!(router.pick(Millis(1), &ask()), not_run(NotRun::NoServer));
    assert!(router.pick(Millis(1), &ticket(1)).is_ok());
}

/// Guards against requests that leave the near domain without need, or stay there at any price.
#[test]
fn near_domain_is_preferred_until_overloaded() {
    let mut router = router();
    router.announce(Millis(0), &announcement("near", 1, 1, "bergen-a"));
    router.announce(Millis(0), &announcement("far", 2, 1, "forde"));
    assert_eq!(spread(&mut router, 1, 50)[1], 50);
    let busy = loaded(announcement("near", 1, 2, "bergen-a"), 8, 0);
    router.announce(Millis(2), &busy);
    assert_eq!(spread(&mut router, 3, 50)[2], 50);
}

/// Guards against a choice that ignores the load carried by answers and the entry's own calls.
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
    let pick = router.pick(Millis(1), &ticket(1)).unwrap();
    let answered = CallReport {
        load: Some(load),
        ..done(CallResult::Success)
    };
    router.report_call(Millis(1), &pick, &answered);
    assert_eq!(spread(&mut router, 2, 30)[2], 30);
    // Calls in flight count before any answer tells of them.
    let held: Vec<Pick> = (0..8)
        .map(|_| router.pick(Millis(3), &ask()).unwrap())
        .collect();
    let second = held.iter().filter(|p| p.incarnation == Incarnation(2));
    assert_eq!(second.count(), 7);
}

/// Guards against requests that are sent although no member has room, and against a load that is
/// counted twice.
#[test]
fn saturated_service_is_refused_early() {
    let mut router = router();
    let full = loaded(announcement("one", 1, 1, "bergen-a"), 8, 56);
    router.announce(Millis(0), &full);
    assert_eq!(router.pick(Millis(1), &ask()), not_run(NotRun::Full));
    let room = loaded(announcement("one", 1, 2, "bergen-a"), 8, 54);
    router.announce(Millis(2), &room);
    let first = router.pick(Millis(3), &ask()).unwrap();
    assert!(router.pick(Millis(3), &ask()).is_ok());
    assert_eq!(router.pick(Millis(3), &ask()), not_run(NotRun::Full));
    let load = Load {
        running: 8,
        waiting: 55,
        slots: 8,
    };
    let refused = CallReport {
        load: Some(load),
        ..done(CallResult::Refused)
    };
    router.report_call(Millis(4), &first, &refused);
    assert!(router.pick(Millis(5), &ask()).is_ok());
}

/// Guards against a failing member that keeps its share, one that never returns, and a return
/// with more than one request at stake.
#[test]
fn failing_member_is_ejected_and_probed() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=4);
    announce_all(&mut router, SETTLED, 2, 1..=4);
    fail(&mut router, SETTLED, 1, 5);
    assert!(router.members(Millis(SETTLED))[0].is_ejected);
    assert_eq!(spread(&mut router, SETTLED, 100)[1], 0);

    let later = SETTLED + 5_000;
    announce_all(&mut router, later, 3, 1..=4);
    let probe = router.pick(Millis(later), &ask()).unwrap();
    assert_eq!(probe.incarnation, Incarnation(1));
    assert_eq!(spread(&mut router, later, 100)[1], 0);
    router.report_call(Millis(later), &probe, &done(CallResult::ServerError));
    assert_eq!(spread(&mut router, later + 2_000, 100)[1], 0);

    // The second ejection lasts twice as long.
    let later = later + 9_999;
    announce_all(&mut router, later, 4, 1..=4);
    assert_eq!(spread(&mut router, later, 100)[1], 0);
    let later = later + 1;
    let probe = router.pick(Millis(later), &ask()).unwrap();
    assert_eq!(probe.incarnation, Incarnation(1));
    router.report_call(Millis(later), &probe, &done(CallResult::Success));
    assert!(!router.members(Millis(later))[0].is_ejected);
}

/// Guards against ejection of the whole service when everything fails.
#[test]
fn ejection_is_capped() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=9);
    for life in 1..=9 {
        fail(&mut router, 1, life, 30);
    }
    let members = router.members(Millis(1));
    assert_eq!(members.iter().filter(|m| m.is_ejected).count(), 2);
}

/// Guards against a member that fails often, but never several times in a row.
#[test]
fn high_failure_rate_is_an_outlier() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=4);
    for _ in 0..20 {
        fail(&mut router, 1, 1, 3);
        let pick = router.pick(Millis(1), &ticket(1)).unwrap();
        router.report_call(Millis(1), &pick, &done(CallResult::Success));
    }
    assert!(router.members(Millis(1))[0].is_ejected);
}

/// Guards against further requests to an agent that refuses connections.
#[test]
fn unreached_member_waits_for_an_announcement() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    let pick = router.pick(Millis(1), &ticket(1)).unwrap();
    router.report_call(Millis(1), &pick, &done(CallResult::Unreachable));
    assert_eq!(spread(&mut router, 1, 50)[1], 0);
    announce_all(&mut router, 2, 2, 1..=2);
    assert!(spread(&mut router, 2, 50)[1] > 0);
}

/// Guards against retries that multiply the load of a failing service.
#[test]
fn retries_stay_within_a_tenth() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=3);
    let mut retries = 0;
    for _ in 0..1_000 {
        let first = router.pick(Millis(1), &ask()).unwrap();
        router.report_call(Millis(1), &first, &done(CallResult::Refused));
        if let Ok(second) = router.pick(Millis(1), &retry(&[first.incarnation.0])) {
            assert_ne!(second.incarnation, first.incarnation);
            router.report_call(Millis(1), &second, &done(CallResult::Refused));
            retries += 1;
        }
    }
    // The bucket starts with ten.
    assert_eq!(retries, 110);
}

/// Guards against one team that takes the whole entry, and a count that is never given back.
#[test]
fn team_limit_counts_calls_in_flight() {
    let mut router = router();
    let limits = Limits {
        inflight: 2,
        ..Limits::default()
    };
    router.apply_conf(conf(6, limits, &[]));
    announce_all(&mut router, 0, 1, 1..=2);
    let first = router.pick(Millis(1), &ask()).unwrap();
    let second = router.pick(Millis(1), &ask()).unwrap();
    assert_eq!(router.pick(Millis(1), &ask()), not_run(NotRun::TeamLimit));
    let other = CallerRequest {
        team: team("morski"),
        ..ask()
    };
    assert!(router.pick(Millis(1), &other).is_ok());
    router.report_call(Millis(2), &first, &done(CallResult::Success));
    router.report_call(Millis(2), &second, &done(CallResult::Unknown));
    assert!(router.pick(Millis(2), &ask()).is_ok());
}

/// Guards against a newcomer that gets its full share at once.
#[test]
fn newcomer_starts_slowly() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    announce_all(&mut router, 2_000, 2, 1..=2);
    let joined = 4_000;
    announce_all(&mut router, joined, 3, 1..=3);
    let held: Vec<Pick> = (0..16)
        .map(|_| router.pick(Millis(joined), &ask()).unwrap())
        .collect();
    let newcomer = held.iter().filter(|p| p.incarnation == Incarnation(3));
    assert!(newcomer.count() <= 1);
    for pick in &held {
        router.report_call(Millis(joined), pick, &done(CallResult::Success));
    }
    for second in 1..=10 {
        let now = joined + second * 1_000;
        announce_all(&mut router, now, 3 + second, 1..=3);
    }
    let later = joined + 10_000;
    let held: Vec<Pick> = (0..15)
        .map(|_| router.pick(Millis(later), &ask()).unwrap())
        .collect();
    let newcomer = held.iter().filter(|p| p.incarnation == Incarnation(3));
    assert!(newcomer.count() >= 3);
}

/// Guards against work that an isolated or newly started entry takes, and against services
/// without a document. The agent alone can tell whether a ticket has run, so that it is asked, with
/// the reason for which an unused one has to be refused, and nothing is said without it.
#[test]
fn standing_and_document_are_required() {
    let mut router = router();
    announce_all(&mut router, 0, 1, 1..=2);
    router.set_connectivity(Standing::Heard);
    assert!(router.pick(Millis(1), &ask()).is_ok());
    router.set_connectivity(Standing::Isolated);
    assert_eq!(router.pick(Millis(1), &ask()), not_run(NotRun::Isolated));
    let pick = router.pick(Millis(1), &ticket(1)).unwrap();
    assert_eq!(
        (pick.incarnation, pick.refusal),
        (Incarnation(1), Some(NotRun::Isolated))
    );
    let gone = Err(Outcome::Unknown(Unknown::AgentGone));
    assert_eq!(router.pick(Millis(1), &ticket(9)), gone);
    let mut fresh = Router::new(RouterOptions {
        domain: domain("bergen-a"),
        seed: 3,
    });
    assert_eq!(fresh.pick(Millis(1), &ask()), not_run(NotRun::Isolated));
    fresh.set_connectivity(Standing::Heard);
    assert_eq!(fresh.pick(Millis(1), &ask()), not_run(NotRun::NoService));
    assert_eq!(fresh.pick(Millis(1), &ticket(1)), gone);
    announce_all(&mut fresh, 1, 1, 1..=1);
    assert_eq!(fresh.pick(Millis(1), &ask()), not_run(NotRun::NoService));
    let pick = fresh.pick(Millis(1), &ticket(1)).unwrap();
    assert_eq!(pick.refusal, Some(NotRun::NoService));
}

/// Guards against "not run" from the entry for a ticket beyond the team's limit, and against
/// refused tickets that take the place of requests within the limit.
#[test]
fn tickets_beyond_the_team_limit_are_refused_by_the_agent() {
    let mut router = router();
    let limits = Limits {
        inflight: 1,
        ..Limits::default()
    };
    router.apply_conf(conf(6, limits, &[]));
    announce_all(&mut router, 0, 1, 1..=1);
    let first = router.pick(Millis(1), &ticket(1)).unwrap();
    assert_eq!(first.refusal, None);
    let beyond = router.pick(Millis(1), &ticket(1)).unwrap();
    assert_eq!(beyond.refusal, Some(NotRun::TeamLimit));
    router.report_call(Millis(2), &first, &done(CallResult::Success));
    let next = router.pick(Millis(2), &ask()).unwrap();
    router.report_call(Millis(2), &beyond, &done(CallResult::Refused));
    assert_eq!(router.pick(Millis(2), &ask()), not_run(NotRun::TeamLimit));
    router.report_call(Millis(3), &next, &done(CallResult::Success));
    assert!(router.pick(Millis(3), &ask()).is_ok());
}

/// Guards against choices that can't be replayed: the same inputs give the same picks.
#[test]
fn picks_are_deterministic() {
    let run = || {
        let mut router = router();
        announce_all(&mut router, 0, 1, 1..=9);
        let picks = (0..40).map(|_| router.pick(Millis(1), &ask()).unwrap());
        picks.map(|pick| pick.incarnation).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
