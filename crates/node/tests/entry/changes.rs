//! Tests of changes of documents, quotas and failure domains.

use hyssop_core::api::{
    ApplyReply, DocumentReply, DomainChange, DomainList, DomainPhase, DomainReply, ErrorCode,
    HistoryReply, JobSubmit, QuotaChange, QuotaReply, RemoveReply,
};
use hyssop_core::{DomainState, JobPhase, JobStatus, Quota, Resources, Version};
use hyssop_standins::{LogFaults, TaskChange};
use reqwest::Method;

use super::fleet::{
    CUT_LISTS, Fleet, OPERATOR_TOKEN, OTHER_TOKEN, PLANNER, TEAM_TOKEN, reply, wait_for,
};
use super::jobs::cut_list_job;

type ApplyResult = Result<ApplyReply, hyssop_core::api::ApiError>;

async fn put_document(fleet: &Fleet, at: usize, base: u64, text: &str, token: &str) -> ApplyResult {
    let path = format!("/v1/documents/planner?base={base}");
    let request = fleet.request(at, Method::PUT, &path, token);
    reply(request.body(text.to_owned()).send().await.unwrap()).await
}

fn domain_change(state: DomainState, base: Version) -> DomainChange {
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

/// Guards against an invalid document that is written, or refused without its line and field.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_document_is_refused_with_line_and_field() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    let unknown = PLANNER.replace("\"forde\"", "\"voss\"");
    let error = put_document(&fleet, 0, 0, &unknown, TEAM_TOKEN)
        .await
        .unwrap_err();
    assert_eq!(error.code, ErrorCode::Invalid);
    assert_eq!(error.field.as_deref(), Some("domains[2]"));
    assert_eq!(error.allowed.as_deref(), Some("bergen-a, bergen-b, forde"));
    assert!(error.message.starts_with("line 5:"), "{error:?}");
    let typing = PLANNER.replace("cpu = 1000", "cpu = \"many\"");
    let error = put_document(&fleet, 0, 0, &typing, TEAM_TOKEN)
        .await
        .unwrap_err();
    assert_eq!(error.code, ErrorCode::Malformed);
    assert!(error.message.contains("line 10"), "{error:?}");
    let other = PLANNER.replace("\"planner\"", "\"logbook\"");
    let error = put_document(&fleet, 0, 0, &other, TEAM_TOKEN)
        .await
        .unwrap_err();
    assert_eq!(error.field.as_deref(), Some("service"));
    assert!(
        put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
            .await
            .unwrap()
            .has_changed
    );
}

/// Guards against a team that reads or changes what belongs to another team, or that sets domains or
/// quotas, which only operators may do.
#[tokio::test(flavor = "multi_thread")]
async fn access_depends_on_the_token() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    let code = async |token: &str| {
        put_document(&fleet, 0, 0, PLANNER, token)
            .await
            .unwrap_err()
            .code
    };
    assert_eq!(code("unknown-secret").await, ErrorCode::Unauthenticated);
    assert_eq!(code(OTHER_TOKEN).await, ErrorCode::Forbidden);
    fleet.apply(0, "planner", PLANNER).await;
    let theirs = PLANNER.replace("haugland", "morski");
    let error = put_document(&fleet, 0, 1, &theirs, OTHER_TOKEN)
        .await
        .unwrap_err();
    assert_eq!(error.code, ErrorCode::Forbidden);
    let request = fleet.request(0, Method::GET, "/v1/documents/planner", OTHER_TOKEN);
    let error = reply::<DocumentReply>(request.send().await.unwrap()).await;
    assert_eq!(error.unwrap_err().code, ErrorCode::Forbidden);
    let body = domain_change(DomainState::Out, Version(0));
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

/// Writes a document, and repeats that while the entry responds that it is not accepted. On a busy
/// machine the confirmation of the configuration may expire between two reads.
async fn put_until_decided(fleet: &Fleet, at: usize, document: &str) -> ApplyResult {
    loop {
        match put_document(fleet, at, 0, document, TEAM_TOKEN).await {
            Err(error) if error.code == ErrorCode::NotRun => fleet.wait_until_ready(at).await,
            decided => return decided,
        }
    }
}

/// G10: guards against two accepted changes of one version through different entries. One must win,
/// and the other must get a conflict that names the winner.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_have_one_winner() {
    let fleet = Fleet::start(2, 0).await;
    fleet.wait_until_ready(0).await;
    fleet.wait_until_ready(1).await;
    let second = PLANNER.replace("cpu = 1000", "cpu = 2000");
    let first = put_until_decided(&fleet, 0, PLANNER);
    let second = put_until_decided(&fleet, 1, &second);
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
        wait_for("both entries have the winner's version", || async {
            let shown: DocumentReply = fleet.try_get(at, "/v1/documents/planner").await?;
            (shown.version == won.version).then_some(())
        })
        .await;
    }
}

/// Guards against a removed document that is restored by a change with an old expected version. Only
/// a new document may replace it.
#[tokio::test(flavor = "multi_thread")]
async fn removed_document_is_only_replaced_by_a_new_one() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    let first = put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
        .await
        .unwrap();
    let path = format!("/v1/documents/planner?base={}", first.version);
    let request = fleet.request(0, Method::DELETE, &path, TEAM_TOKEN);
    let removed: RemoveReply = reply(request.send().await.unwrap()).await.unwrap();
    assert!(removed.has_changed && removed.version > first.version);
    let request = fleet.request(0, Method::GET, "/v1/documents/planner", TEAM_TOKEN);
    let missing = reply::<DocumentReply>(request.send().await.unwrap()).await;
    let missing = missing.unwrap_err();
    assert_eq!(
        (missing.code, missing.version),
        (ErrorCode::NotFound, Some(removed.version))
    );
    for base in [first.version.0, removed.version.0] {
        let stale = put_document(&fleet, 0, base, PLANNER, TEAM_TOKEN).await;
        assert_eq!(stale.unwrap_err().code, ErrorCode::Conflict);
    }
    let recreated = put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
        .await
        .unwrap();
    assert!(recreated.version > removed.version);
    let history: HistoryReply = fleet.get(0, "/v1/documents/planner/history").await;
    let removals: Vec<_> = history.versions.iter().map(|v| v.is_removal).collect();
    assert_eq!(removals, [false, true, false]);
}

/// Guards against changes that are accepted while the log is down, or refused after it recovers.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_refused_while_the_log_is_down() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    fleet.log.set_faults(LogFaults::default().with_down());
    wait_for("the change is refused", || async {
        let refused = put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
            .await
            .err()?;
        assert_eq!(refused.code, ErrorCode::NotRun);
        Some(())
    })
    .await;
    fleet.log.set_faults(LogFaults::default());
    wait_for("the change is accepted", || async {
        put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN).await.ok()
    })
    .await;
}

/// Guards against a change that fails or is made twice because the log's response to its append was
/// lost. The record must be found by reading it back.
#[tokio::test(flavor = "multi_thread")]
async fn append_with_a_lost_response_is_committed_by_reading_back() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    fleet
        .log
        .set_faults(LogFaults::default().with_lost_responses(1));
    let applied = put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
        .await
        .unwrap();
    assert!(applied.has_changed);
    let history: HistoryReply = fleet.get(0, "/v1/documents/planner/history").await;
    assert_eq!(history.versions.len(), 1);
}

/// Guards against an unknown outcome of a change without the identifier of its record, by which the
/// operator can find it in the stream.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_names_its_record() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    // Longer than the entry waits for a change to be committed.
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(60_000));
    fleet.log.set_faults(slow);
    let unknown = put_document(&fleet, 0, 0, PLANNER, TEAM_TOKEN)
        .await
        .unwrap_err();
    assert_eq!(unknown.code, ErrorCode::Unknown);
    assert!(unknown.record.is_some(), "{unknown:?}");
}

/// Guards against taking the last domain out of service, even by force.
#[tokio::test(flavor = "multi_thread")]
async fn last_domain_stays_in_service() {
    let fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.wait_for_owners(0).await;
    for domain in ["bergen-a", "bergen-b"] {
        let out = domain_change(DomainState::Out, Version(0));
        assert!(
            set_domain(&fleet, 0, domain, out)
                .await
                .unwrap()
                .has_changed
        );
    }
    let forced = DomainChange {
        force: true,
        ..domain_change(DomainState::Out, Version(0))
    };
    let refused = set_domain(&fleet, 0, "forde", forced).await.unwrap_err();
    assert_eq!(refused.code, ErrorCode::NoCapacity);
    assert!(refused.shortfall.is_empty(), "force would not help");
}

/// Guards against taking the last two domains out of service at the same time through different
/// entries, when both changes pass their checks. Forced changes are checked for that as well.
#[tokio::test(flavor = "multi_thread")]
async fn last_domains_are_not_taken_out_together() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.wait_until_ready(1).await;
    fleet.wait_for_owners(0).await;
    fleet.wait_for_owners(1).await;
    let out = DomainChange {
        force: true,
        ..domain_change(DomainState::Out, Version(0))
    };
    set_domain(&fleet, 0, "forde", out).await.unwrap();
    refuse_one_of_two(&fleet, out).await;
}

/// Guards against taking two domains out of service at the same time through different entries, when
/// the others have free capacity for the work of either but not of both.
#[tokio::test(flavor = "multi_thread")]
async fn domains_without_capacity_for_both_are_not_taken_out_together() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.wait_until_ready(1).await;
    fleet.wait_for_owners(0).await;
    fleet.wait_for_owners(1).await;
    let large = PLANNER.replace("cpu = 1000", "cpu = 7000");
    fleet.apply(0, "planner", &large).await;
    for at in [0, 1] {
        wait_for("the entry has the allocations of all instances", || async {
            let list: DomainList = fleet.try_get(at, "/v1/domains").await?;
            let all = list
                .domains
                .iter()
                .all(|domain| domain.allocated.cpu == 7_000);
            all.then_some(())
        })
        .await;
    }
    refuse_one_of_two(&fleet, domain_change(DomainState::Out, Version(0))).await;
}

/// Takes two domains out through two entries. Appends are slow, so that both checks are made before
/// either record is read. The second change in the stream must be refused.
async fn refuse_one_of_two(fleet: &Fleet, out: DomainChange) {
    wait_for("both entries have the same domain versions", || async {
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

/// Guards against a capacity check that ignores work still running in a domain that was taken out
/// shortly before.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_draining_domain_needs_capacity_too() {
    let fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    let large = CUT_LISTS.replace("cpu = 2000", "cpu = 10000");
    fleet.apply(0, "cut-lists", &large).await;
    fleet.wait_for_owners(0).await;
    // Two jobs of ten cores run on two of three workers with 16 cores each.
    for number in 0..2 {
        let job = JobSubmit {
            needs: Resources::new(10_000, 1_024, 0),
            work: hyssop_core::Millis(600_000),
            ..cut_list_job(&format!("order-{number}"))
        };
        let sent = fleet.send::<JobStatus>(0, Method::POST, "/v1/jobs", TEAM_TOKEN, &job);
        sent.await.unwrap();
    }
    let busy = wait_for("both jobs run", || async {
        let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
        let busy = list.domains.into_iter().filter(|d| d.allocated.cpu > 0);
        let busy: Vec<_> = busy.map(|domain| domain.domain).collect();
        (busy.len() == 2).then_some(busy)
    })
    .await;
    // The release of an evicted job needs an append, so a slow log keeps the jobs allocated until
    // the second check.
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(500));
    fleet.log.set_faults(slow);
    let out = domain_change(DomainState::Out, Version(0));
    let first = set_domain(&fleet, 0, busy[0].as_str(), out).await;
    assert!(first.unwrap().has_changed);
    let refused = set_domain(&fleet, 0, busy[1].as_str(), out).await;
    assert_eq!(refused.unwrap_err().code, ErrorCode::NoCapacity);
}

/// Guards against a conflict for a change that only lost against a change of another domain. The
/// entry must check it again and write it, as the remaining domain has free capacity.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_checked_again_after_a_change_of_another_domain() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.wait_until_ready(1).await;
    fleet.wait_for_owners(0).await;
    fleet.wait_for_owners(1).await;
    let slow = LogFaults::default().with_delay(hyssop_core::Millis(300));
    fleet.log.set_faults(slow);
    let out = domain_change(DomainState::Out, Version(0));
    let replies = tokio::join!(
        set_domain(&fleet, 0, "bergen-a", out),
        set_domain(&fleet, 1, "bergen-b", out)
    );
    let (Ok(first), Ok(second)) = replies else {
        panic!("not both: {replies:?}");
    };
    assert!(first.has_changed && second.has_changed);
    // A change of the same domain with an old expected version must still conflict.
    let stale = set_domain(
        &fleet,
        0,
        "bergen-b",
        domain_change(DomainState::In, Version(0)),
    )
    .await;
    assert_eq!(stale.unwrap_err().code, ErrorCode::Conflict);
}

/// Guards against taking a domain out of service without `force` when the others lack the capacity
/// for its work.
#[tokio::test(flavor = "multi_thread")]
async fn domain_without_capacity_for_its_work_is_only_taken_out_by_force() {
    let fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    // Two instances on each of the three workers, so that two workers cannot hold all six.
    let large = PLANNER.replace("instances = 3", "instances = 6");
    let large = large.replace("cpu = 1000", "cpu = 6000");
    fleet.apply(0, "planner", &large).await;
    wait_for("all instances run", || async {
        let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
        let running: u32 = list.domains.iter().map(|domain| domain.running).sum();
        (running == 6).then_some(())
    })
    .await;
    let out = domain_change(DomainState::Out, Version(0));
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

/// G4: guards against a domain that is out and does not become empty or gets new tasks, and against
/// a domain that gets no work after it is put back.
#[tokio::test(flavor = "multi_thread")]
async fn domain_goes_out_and_comes_back() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "planner", PLANNER).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    fleet.start_backend("planner", "forde").await;
    fleet.start_backend("planner", "bergen-a").await;
    fleet.wait_for_members(0, 2).await;
    let out = domain_change(DomainState::Out, Version(0));
    let out = set_domain(&fleet, 0, "forde", out).await.unwrap();
    assert_eq!(out.phase, DomainPhase::Draining);
    let wait_for_phase = async |expected: DomainPhase| {
        wait_for("the domain reaches its phase", || async {
            let list: DomainList = fleet.try_get(0, "/v1/domains").await?;
            let forde = list
                .domains
                .into_iter()
                .find(|d| d.domain.as_str() == "forde")?;
            (forde.phase == expected).then_some(forde)
        })
        .await
    };
    let empty = wait_for_phase(DomainPhase::Empty).await;
    assert_eq!((empty.running, empty.members_up), (0, 0));
    let forde = &fleet
        .workers
        .iter()
        .find(|(name, _)| name.as_str().starts_with("forde"));
    let (_, worker) = forde.expect("the domain has a worker");
    let start_count = || {
        let entries = worker.ledger().entries;
        let started = |e: &&hyssop_standins::LedgerEntry| e.change == TaskChange::Started;
        entries.iter().filter(started).count()
    };
    let before = start_count();
    for number in 0..4 {
        let job = cut_list_job(&format!("order-{number}"));
        run_job(&fleet, &job).await;
    }
    assert_eq!(start_count(), before);
    let back = domain_change(DomainState::In, out.version);
    let back = set_domain(&fleet, 0, "forde", back).await.unwrap();
    assert_eq!(back.phase, DomainPhase::Returning);
    wait_for("a task starts in the domain again", || async {
        (start_count() > before).then_some(())
    })
    .await;
    fleet.wait_for_members(0, 2).await;
}

async fn run_job(fleet: &Fleet, job: &JobSubmit) {
    let job: JobStatus = fleet
        .send(0, Method::POST, "/v1/jobs", TEAM_TOKEN, job)
        .await
        .unwrap();
    let path = format!("/v1/jobs/{}", job.id);
    wait_for("the job has finished", || async {
        let status: JobStatus = fleet.try_get(0, &path).await?;
        (status.phase == JobPhase::Finished).then_some(())
    })
    .await;
}
