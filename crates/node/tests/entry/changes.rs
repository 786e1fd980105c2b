//! Changes by operators: documents, quotas and failure domains.

use hyssop_core::api::{
    ApplyReply, DocumentReply, DomainChange, DomainList, DomainPhase, DomainReply, ErrorCode,
    HistoryReply, JobSubmit, QuotaChange, QuotaReply, RemoveReply,
};
use hyssop_core::{DomainState, JobPhase, JobStatus, Quota, Resources, Version};
use hyssop_standins::{LogFaults, TaskChange};
use reqwest::Method;

use super::fleet::{
    CUT_LISTS, Fleet, OPERATOR_TOKEN, OTHER_TOKEN, PLANNER, TEAM_TOKEN, reply, until,
};
use super::jobs::cut_list;

type Applied = Result<ApplyReply, hyssop_core::api::ApiError>;

async fn put(fleet: &Fleet, at: usize, base: u64, text: &str, token: &str) -> Applied {
    let path = format!("/v1/documents/planner?base={base}");
    let request = fleet.request(at, Method::PUT, &path, token);
    reply(request.body(text.to_owned()).send().await.unwrap()).await
}

fn change(state: DomainState, base: Version) -> DomainChange {
    DomainChange {
        state,
        base,
        force: false,
        dry_run: false,
    }
}

async fn set_domain(
    fleet: &Fleet,
    at: usize,
    domain: &str,
    change: DomainChange,
) -> Result<DomainReply, hyssop_core::api::ApiError> {
    let path = format!("/v1/domains/{domain}");
    fleet
        .send(at, Method::PUT, &path, OPERATOR_TOKEN, &change)
        .await
}

/// A mistake in a document must be named by line and field, and nothing be written.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_document_is_refused_with_line_and_field() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    let unknown = PLANNER.replace("\"forde\"", "\"voss\"");
    let error = put(&fleet, 0, 0, &unknown, TEAM_TOKEN).await.unwrap_err();
    assert_eq!(error.code, ErrorCode::Invalid);
    assert_eq!(error.field.as_deref(), Some("domains[2]"));
    assert_eq!(error.allowed.as_deref(), Some("bergen-a, bergen-b, forde"));
    assert!(error.message.starts_with("line 5:"), "{error:?}");
    let typing = PLANNER.replace("cpu = 1000", "cpu = \"many\"");
    let error = put(&fleet, 0, 0, &typing, TEAM_TOKEN).await.unwrap_err();
    assert_eq!(error.code, ErrorCode::Malformed);
    assert!(error.message.contains("line 10"), "{error:?}");
    let other = PLANNER.replace("\"planner\"", "\"logbook\"");
    let error = put(&fleet, 0, 0, &other, TEAM_TOKEN).await.unwrap_err();
    assert_eq!(error.field.as_deref(), Some("service"));
    assert!(
        put(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
            .await
            .unwrap()
            .has_changed
    );
}

/// A team must not see or change what belongs to another one, and only operators set domains and
/// quotas.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_decide_who_may_change_what() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    let code = async |token: &str| put(&fleet, 0, 0, PLANNER, token).await.unwrap_err().code;
    assert_eq!(code("unknown-secret").await, ErrorCode::Unauthenticated);
    assert_eq!(code(OTHER_TOKEN).await, ErrorCode::Forbidden);
    fleet.apply(0, "planner", PLANNER).await;
    let theirs = PLANNER.replace("haugland", "morski");
    let error = put(&fleet, 0, 1, &theirs, OTHER_TOKEN).await.unwrap_err();
    assert_eq!(error.code, ErrorCode::Forbidden);
    let request = fleet.request(0, Method::GET, "/v1/documents/planner", OTHER_TOKEN);
    let error = reply::<DocumentReply>(request.send().await.unwrap()).await;
    assert_eq!(error.unwrap_err().code, ErrorCode::Forbidden);
    let body = change(DomainState::Out, Version(0));
    let path = "/v1/domains/forde";
    let error = fleet
        .send::<DomainReply>(0, Method::PUT, path, TEAM_TOKEN, &body)
        .await;
    assert_eq!(error.unwrap_err().code, ErrorCode::Forbidden);
    let body = QuotaChange {
        base: Version(0),
        quota: Quota {
            resources: Resources::new(8_000, 8_000, 0),
        },
    };
    let path = "/v1/quotas/haugland";
    let error = fleet
        .send::<QuotaReply>(0, Method::PUT, path, TEAM_TOKEN, &body)
        .await;
    assert_eq!(error.unwrap_err().code, ErrorCode::Forbidden);
    let set = fleet
        .send::<QuotaReply>(0, Method::PUT, path, OPERATOR_TOKEN, &body)
        .await;
    assert!(set.unwrap().has_changed);
    let shown: QuotaReply = fleet.get(0, path).await;
    assert_eq!(shown.quota, body.quota);
}

/// Writes a document, and once more while the entry has certainly not accepted it because its proof of
/// the configuration has lapsed, as it may between two reads on a busy machine.
async fn put_decided(fleet: &Fleet, at: usize, document: &str) -> Applied {
    loop {
        match put(fleet, at, 0, document, TEAM_TOKEN).await {
            Err(error) if error.code == ErrorCode::NotRun => fleet.ready(at).await,
            decided => return decided,
        }
    }
}

/// G10: of two operators who change the same version through different entries, one must win and
/// the other be told of it.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner() {
    let fleet = Fleet::start(2, 0).await;
    fleet.ready(0).await;
    fleet.ready(1).await;
    let second = PLANNER.replace("cpu = 1000", "cpu = 2000");
    let first = put_decided(&fleet, 0, PLANNER);
    let second = put_decided(&fleet, 1, &second);
    let (won, lost) = match tokio::join!(first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        both => panic!("not one winner: {both:?}"),
    };
    assert_eq!(lost.code, ErrorCode::Conflict, "{lost:?}");
    assert_eq!(lost.version, Some(won.version));
    let history: HistoryReply = fleet.get(0, "/v1/documents/planner/history").await;
    assert_eq!(history.versions.len(), 1);
    assert_eq!(lost.winner.as_ref(), Some(&history.versions[0].writer));
    for at in [0, 1] {
        until("both entries have the winner's version", || async {
            let shown: DocumentReply = fleet.try_get(at, "/v1/documents/planner").await?;
            (shown.version == won.version).then_some(())
        })
        .await;
    }
}

/// A change that was made against a removed document must not bring it back; a new one may.
#[tokio::test(flavor = "multi_thread")]
async fn removed_document_is_replaced_by_a_new_one_only() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    let first = put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.unwrap();
    let path = format!("/v1/documents/planner?base={}", first.version);
    let request = fleet.request(0, Method::DELETE, &path, TEAM_TOKEN);
    let removed: RemoveReply = reply(request.send().await.unwrap()).await.unwrap();
    assert!(removed.has_changed && removed.version > first.version);
    let request = fleet.request(0, Method::GET, "/v1/documents/planner", TEAM_TOKEN);
    let gone = reply::<DocumentReply>(request.send().await.unwrap()).await;
    let gone = gone.unwrap_err();
    assert_eq!(
        (gone.code, gone.version),
        (ErrorCode::NotFound, Some(removed.version))
    );
    for base in [first.version.0, removed.version.0] {
        let stale = put(&fleet, 0, base, PLANNER, TEAM_TOKEN).await;
        assert_eq!(stale.unwrap_err().code, ErrorCode::Conflict);
    }
    let again = put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.unwrap();
    assert!(again.version > removed.version);
    let history: HistoryReply = fleet.get(0, "/v1/documents/planner/history").await;
    let removals: Vec<_> = history.versions.iter().map(|v| v.is_removal).collect();
    assert_eq!(removals, [false, true, false]);
}

/// Without the log a change must be refused, and it must be accepted again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_refused_while_the_log_is_down() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    fleet.log.set_faults(LogFaults::default().with_down());
    until("the change is refused", || async {
        let refused = put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.err()?;
        assert_eq!(refused.code, ErrorCode::NotRun);
        Some(())
    })
    .await;
    fleet.log.set_faults(LogFaults::default());
    until("the change is accepted", || async {
        put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.ok()
    })
    .await;
}

/// The answer of an append that took effect may be lost; the change must still be answered, once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_an_append_is_settled_by_reading_back() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    fleet
        .log
        .set_faults(LogFaults::default().with_lost_responses(1));
    let applied = put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.unwrap();
    assert!(applied.has_changed);
    let history: HistoryReply = fleet.get(0, "/v1/documents/planner/history").await;
    assert_eq!(history.versions.len(), 1);
}

/// A change whose record may be in the stream must be answered with the record's identifier, so
/// that the operator can look for it.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_names_its_record() {
    let fleet = Fleet::start(1, 0).await;
    fleet.ready(0).await;
    // Longer than a change is waited for.
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(60_000));
    fleet.log.set_faults(slow);
    let unknown = put(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.unwrap_err();
    assert_eq!(unknown.code, ErrorCode::Unknown);
    assert!(unknown.record.is_some(), "{unknown:?}");
}

/// The last domain in service must not be taken out, even by force.
#[tokio::test(flavor = "multi_thread")]
async fn last_domain_stays_in_service() {
    let fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    fleet.owned(0).await;
    for domain in ["bergen-a", "bergen-b"] {
        let out = change(DomainState::Out, Version(0));
        assert!(
            set_domain(&fleet, 0, domain, out)
                .await
                .unwrap()
                .has_changed
        );
    }
    let forced = DomainChange {
        force: true,
        ..change(DomainState::Out, Version(0))
    };
    let refused = set_domain(&fleet, 0, "forde", forced).await.unwrap_err();
    assert_eq!(refused.code, ErrorCode::NoCapacity);
    assert!(refused.shortfall.is_empty(), "force would not help");
}

/// Changes of two domains that pass their checks at the same moment, through different entries,
/// must not take the last domains out together. A forced change is checked for that as well.
#[tokio::test(flavor = "multi_thread")]
async fn last_domains_are_not_taken_out_together() {
    let fleet = Fleet::start(2, 1).await;
    fleet.ready(0).await;
    fleet.ready(1).await;
    fleet.owned(0).await;
    fleet.owned(1).await;
    let out = DomainChange {
        force: true,
        ..change(DomainState::Out, Version(0))
    };
    set_domain(&fleet, 0, "forde", out).await.unwrap();
    refuse_one_of_two(&fleet, out).await;
}

/// Two domains that have room for the work of either, but not of both, must not be taken out
/// together through different entries.
#[tokio::test(flavor = "multi_thread")]
async fn domains_without_room_for_both_are_not_taken_out_together() {
    let fleet = Fleet::start(2, 1).await;
    fleet.ready(0).await;
    fleet.ready(1).await;
    fleet.owned(0).await;
    fleet.owned(1).await;
    let large = PLANNER.replace("cpu = 1000", "cpu = 7000");
    fleet.apply(0, "planner", &large).await;
    for at in [0, 1] {
        until("the entry knows of all instances", || async {
            let list: DomainList = fleet.try_get(at, "/v1/domains").await?;
            let all = list
                .domains
                .iter()
                .all(|domain| domain.allocated.cpu == 7_000);
            all.then_some(())
        })
        .await;
    }
    refuse_one_of_two(&fleet, change(DomainState::Out, Version(0))).await;
}

/// Takes two domains out through two entries whose appends are slow, so that both checks are made
/// before either record is read, and expects that the second one in the stream is refused.
async fn refuse_one_of_two(fleet: &Fleet, out: DomainChange) {
    until("both entries know the same", || async {
        let first: DomainList = fleet.try_get(0, "/v1/domains").await?;
        let second: DomainList = fleet.try_get(1, "/v1/domains").await?;
        let versions = |list: DomainList| {
            let domains = list.domains.into_iter();
            domains.map(|domain| domain.version).collect::<Vec<_>>()
        };
        (versions(first) == versions(second)).then_some(())
    })
    .await;
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(300));
    fleet.log.set_faults(slow);
    let replies = tokio::join!(
        set_domain(fleet, 0, "bergen-a", out),
        set_domain(fleet, 1, "bergen-b", out)
    );
    let refused = match replies {
        (Ok(_), Err(refused)) | (Err(refused), Ok(_)) => refused,
        both => panic!("not one winner: {both:?}"),
    };
    assert_eq!(refused.code, ErrorCode::NoCapacity, "{refused:?}");
}

/// Work that has not left a domain that is out yet needs room as well when the next one follows.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_draining_domain_needs_room_too() {
    let fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    let large = CUT_LISTS.replace("cpu = 2000", "cpu = 10000");
    fleet.apply(0, "cut-lists", &large).await;
    fleet.owned(0).await;
    // Two jobs of ten cores run on two of three workers with 16 cores each.
    for number in 0..2 {
        let job = JobSubmit {
            needs: Resources::new(10_000, 1_024, 0),
            work: hyssop_core::Millis(600_000),
            ..cut_list(&format!("order-{number}"))
        };
        let sent = fleet.send::<JobStatus>(0, Method::POST, "/v1/jobs", TEAM_TOKEN, &job);
        sent.await.unwrap();
    }
    let busy = until("both jobs run", || async {
        let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
        let busy = list.domains.into_iter().filter(|d| d.allocated.cpu > 0);
        let busy: Vec<_> = busy.map(|domain| domain.domain).collect();
        (busy.len() == 2).then_some(busy)
    })
    .await;
    // The release of an evicted job needs an append, so that none is released before the second
    // check.
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(500));
    fleet.log.set_faults(slow);
    let out = change(DomainState::Out, Version(0));
    let first = set_domain(&fleet, 0, busy[0].as_str(), out).await;
    assert!(first.unwrap().has_changed);
    let refused = set_domain(&fleet, 0, busy[1].as_str(), out).await;
    assert_eq!(refused.unwrap_err().code, ErrorCode::NoCapacity);
}

/// Changes of two domains at the same moment must both be made if the rest has room: the one that
/// comes second is checked again and does not trouble its operator.
#[tokio::test(flavor = "multi_thread")]
async fn change_that_another_domain_overtakes_is_checked_again() {
    let fleet = Fleet::start(2, 1).await;
    fleet.ready(0).await;
    fleet.ready(1).await;
    fleet.owned(0).await;
    fleet.owned(1).await;
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(300));
    fleet.log.set_faults(slow);
    let out = change(DomainState::Out, Version(0));
    let replies = tokio::join!(
        set_domain(&fleet, 0, "bergen-a", out),
        set_domain(&fleet, 1, "bergen-b", out)
    );
    let (Ok(first), Ok(second)) = replies else {
        panic!("not both: {replies:?}");
    };
    assert!(first.has_changed && second.has_changed);
    // Of two changes on one base the operator's own domain still has one winner.
    let stale = set_domain(&fleet, 0, "bergen-b", change(DomainState::In, Version(0))).await;
    assert_eq!(stale.unwrap_err().code, ErrorCode::Conflict);
}

/// Work for which the rest has no room must hold the domain in service unless it is forced.
#[tokio::test(flavor = "multi_thread")]
async fn domain_without_room_for_its_work_is_taken_out_by_force_only() {
    let fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    // Two instances on each of the three workers, so that two workers cannot hold all six.
    let large = PLANNER.replace("instances = 3", "instances = 6");
    let large = large.replace("cpu = 1000", "cpu = 6000");
    fleet.apply(0, "planner", &large).await;
    until("all instances run", || async {
        let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
        let running: u32 = list.domains.iter().map(|domain| domain.running).sum();
        (running == 6).then_some(())
    })
    .await;
    let out = change(DomainState::Out, Version(0));
    let refused = set_domain(&fleet, 0, "forde", out).await.unwrap_err();
    assert_eq!(refused.code, ErrorCode::NoCapacity);
    assert!(!refused.shortfall.is_empty());
    let dry = DomainChange {
        dry_run: true,
        ..out
    };
    let dry = set_domain(&fleet, 0, "forde", dry).await.unwrap();
    assert!(!dry.has_capacity && !dry.shortfall.is_empty());
    let forced = DomainChange { force: true, ..out };
    assert!(
        set_domain(&fleet, 0, "forde", forced)
            .await
            .unwrap()
            .has_changed
    );
}

/// G4: a domain that is out must become empty and get no task, and work must come back with it.
#[tokio::test(flavor = "multi_thread")]
async fn domain_goes_out_and_comes_back() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    fleet.apply(0, "planner", PLANNER).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.owned(0).await;
    fleet.start_backend("planner", "forde").await;
    fleet.start_backend("planner", "bergen-a").await;
    fleet.members(0, 2).await;
    let out = change(DomainState::Out, Version(0));
    let out = set_domain(&fleet, 0, "forde", out).await.unwrap();
    assert_eq!(out.phase, DomainPhase::Draining);
    let phase = async |wanted: DomainPhase| {
        until("the domain reaches its phase", || async {
            let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
            let forde = list
                .domains
                .into_iter()
                .find(|d| d.domain.as_str() == "forde")?;
            (forde.phase == wanted).then_some(forde)
        })
        .await
    };
    let empty = phase(DomainPhase::Empty).await;
    assert_eq!((empty.running, empty.members_up), (0, 0));
    let forde = &fleet
        .workers
        .iter()
        .find(|(name, _)| name.as_str().starts_with("forde"));
    let (_, worker) = forde.expect("the domain has a worker");
    let starts = || {
        let entries = worker.ledger().entries;
        let started = |e: &&hyssop_standins::LedgerEntry| e.change == TaskChange::Started;
        entries.iter().filter(started).count()
    };
    let before = starts();
    for number in 0..4 {
        let job = cut_list(&format!("order-{number}"));
        finish(&fleet, &job).await;
    }
    assert_eq!(starts(), before);
    let back = change(DomainState::In, out.version);
    let back = set_domain(&fleet, 0, "forde", back).await.unwrap();
    assert_eq!(back.phase, DomainPhase::Returning);
    until("a task starts in the domain again", || async {
        (starts() > before).then_some(())
    })
    .await;
    fleet.members(0, 2).await;
}

async fn finish(fleet: &Fleet, job: &JobSubmit) {
    let job: JobStatus = fleet
        .send(0, Method::POST, "/v1/jobs", TEAM_TOKEN, job)
        .await
        .unwrap();
    let path = format!("/v1/jobs/{}", job.id);
    until("the job has finished", || async {
        let status: JobStatus = fleet.try_get(0, &path).await?;
        (status.phase == JobPhase::Finished).then_some(())
    })
    .await;
}
