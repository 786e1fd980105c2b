//! Results as text and JSON, and what is sent with each call.

use hyssop_core::api::{
    DomainList, ExplainReply, HistoryEntry, HistoryReply, JobList, MemberStatus, PeerStatus,
    QuotaChange, QuotaReply, ResultReply, StatusReply, differences,
};
use hyssop_core::{
    AgentName, Attempt, CellId, CellState, CellSummary, Class, Connectivity, DomainName, EntryName,
    Explanation, Incarnation, JobId, JobPhase, JobStatus, Load, MemberState, Millis, Offset, Quota,
    RackName, Reason, Resources, ServiceName, Subject, TeamName, Term, Version, WorkerName,
};
use hyssop_ctl::{Env, Exit};

use crate::support::{Answer, Fake, document, run, run_env};

fn job(worker: &str, phase: JobPhase) -> JobStatus {
    JobStatus {
        id: JobId::new("job-1").unwrap(),
        team: TeamName::new("haugland").unwrap(),
        service: ServiceName::new("cut-lists").unwrap(),
        kind: ServiceName::new("cut-list").unwrap(),
        class: Class::Batch,
        phase,
        attempt: Attempt(2),
        worker: Some(WorkerName::new(worker).unwrap()),
        evictions: 1,
        history: vec![explanation()],
    }
}

fn explanation() -> Explanation {
    let worker = WorkerName::new("w4").unwrap();
    Explanation {
        at: Millis(1_500),
        reason: Reason::Evicted {
            attempt: Attempt(1),
            worker,
            cause: "protect".to_owned(),
        },
    }
}

fn status() -> StatusReply {
    let domain = DomainName::new("bergen-a").unwrap();
    StatusReply {
        entry: EntryName::new("entry-a").unwrap(),
        incarnation: Incarnation(7),
        connectivity: Connectivity::Confirmed,
        confirmation_age: Some(Millis(120)),
        applied: Offset(42),
        uptime: Millis(61_000),
        cells: vec![CellState {
            cell: CellId::new(domain.clone(), 0),
            term: Term(3),
            owner: EntryName::new("entry-b").unwrap(),
            incarnation: Incarnation(8),
            summary: CellSummary {
                workers: 4,
                running: 9,
                ..CellSummary::default()
            },
        }],
        members: vec![MemberStatus {
            agent: AgentName::new("planner-1").unwrap(),
            incarnation: Incarnation(9),
            service: ServiceName::new("planner").unwrap(),
            domain,
            rack: RackName::new("r1").unwrap(),
            state: MemberState::Up,
            load: Load {
                running: 3,
                waiting: 1,
                slots: 8,
            },
            is_ejected: true,
        }],
        peers: vec![PeerStatus {
            entry: EntryName::new("entry-b").unwrap(),
            is_alive: true,
            last_reply_age: Some(Millis(200)),
            confirmation_age: None,
        }],
    }
}

/// Guards against a token or team that is not sent, or that the environment overrides.
#[tokio::test]
async fn token_and_team_are_sent() {
    let fake = Fake::start(|_, _| Answer::ok(&JobList::default())).await;
    let env = Env {
        entry: Some(fake.address.clone()),
        token: Some("from-env".to_owned()),
        team: Some("haugland".to_owned()),
    };
    run_env(env.clone(), &["jobs"]).await;
    run_env(env, &["jobs", "--token", "from-args", "--team", "morski"]).await;
    let seen = fake.seen();
    assert_eq!(seen[0].token.as_deref(), Some("Bearer from-env"));
    assert_eq!(seen[0].team.as_deref(), Some("haugland"));
    assert_eq!(seen[1].token.as_deref(), Some("Bearer from-args"));
    assert_eq!(seen[1].team.as_deref(), Some("morski"));
}

/// Guards against a status that leaves out a cell, a backend server or a peer, and against JSON
/// that differs from the interface.
#[tokio::test]
async fn status_shows_the_fleet() {
    let fake = Fake::start(|_, _| Answer::ok(&status())).await;
    let ran = run(&[&fake.address], &["status"]).await;
    for text in [
        "entry entry-a: proved",
        "proof age 120 ms, configuration up to offset 42, up for 61 s",
        "bergen-a/0",
        "up, ejected",
        "3/8 running, 1 waiting",
        "entry-b  alive  200 ms  none",
    ] {
        assert!(ran.out.contains(text), "{text}: {}", ran.out);
    }
    let ran = run(&[&fake.address], &["status", "--json"]).await;
    assert_eq!(
        serde_json::from_str::<StatusReply>(&ran.out).unwrap(),
        status()
    );
    assert_eq!(ran.err, "");
}

/// Guards against jobs of other workers, or finished ones, in the report on a worker.
#[tokio::test]
async fn worker_shows_the_jobs_on_it() {
    let fake = Fake::start(|seen, _| match seen.line.as_str() {
        "GET /v1/explain/worker/w4" => Answer::ok(&ExplainReply {
            subject: Subject::Worker(WorkerName::new("w4").unwrap()),
            explanations: vec![explanation()],
        }),
        "GET /v1/jobs" => Answer::ok(&JobList {
            jobs: vec![
                job("w4", JobPhase::Running),
                job("w5", JobPhase::Running),
                job("w4", JobPhase::Finished),
            ],
        }),
        other => panic!("{other}"),
    })
    .await;
    let ran = run(&[&fake.address], &["worker", "w4", "--json"]).await;
    assert_eq!(ran.json()["jobs"].as_array().unwrap().len(), 1, "{ran:?}");
    let ran = run(&[&fake.address], &["worker", "w4"]).await;
    assert!(
        ran.out
            .contains("[1500 ms] attempt 1 evicted from w4: protect"),
        "{ran:?}"
    );
}

/// Guards against a job or explanation shown without its reasons, and wrong paths.
#[tokio::test]
async fn jobs_and_explanations() {
    let fake = Fake::start(|seen, _| match seen.line.as_str() {
        "GET /v1/jobs/job-1" => Answer::ok(&job("w4", JobPhase::InDoubt)),
        "POST /v1/jobs/job-1/result" => Answer::ok(&ResultReply {
            job: JobId::new("job-1").unwrap(),
            attempt: Attempt(2),
            result: "3 cuts".to_owned(),
        }),
        "GET /v1/explain/service/planner" => Answer::ok(&ExplainReply {
            subject: Subject::Service(ServiceName::new("planner").unwrap()),
            explanations: Vec::new(),
        }),
        other => panic!("{other}"),
    })
    .await;
    let ran = run(&[&fake.address], &["job", "show", "job-1"]).await;
    assert!(ran.out.starts_with("job-1: in-doubt\n"), "{ran:?}");
    assert!(ran.out.contains("attempt 2 on w4, 1 evictions"), "{ran:?}");
    assert!(ran.out.contains("evicted from w4: protect"), "{ran:?}");
    let ran = run(&[&fake.address], &["result", "job-1", "--receipt", "mine"]).await;
    assert_eq!(ran.out, "3 cuts\n");
    assert_eq!(fake.seen()[1].body, r#"{"receipt":"mine"}"#);
    let ran = run(&[&fake.address], &["explain", "service", "planner"]).await;
    assert!(ran.out.starts_with("no decisions recorded"), "{ran:?}");
}

/// Guards against a history that hides a removal.
#[tokio::test]
async fn history_shows_changes_and_removals() {
    let entry = |version, removed| HistoryEntry {
        version: Version(version),
        writer: EntryName::new("entry-a").unwrap(),
        is_removal: removed,
        differences: match removed {
            true => Vec::new(),
            false => differences(None, Some(&document("haugland.planner"))),
        },
    };
    let fake = Fake::start(move |_, _| {
        Answer::ok(&HistoryReply {
            service: ServiceName::new("planner").unwrap(),
            versions: vec![entry(3, false), entry(8, true)],
        })
    })
    .await;
    let ran = run(&[&fake.address], &["history", "planner"]).await;
    assert!(
        ran.out.contains("version 3, applied through entry-a\n"),
        "{ran:?}"
    );
    assert!(
        ran.out.contains("  needs.instances: (none) -> 10\n"),
        "{ran:?}"
    );
    assert!(
        ran.out.ends_with("version 8, removed through entry-a\n"),
        "{ran:?}"
    );
}

/// Guards against a quota set on another base than the one in force.
#[tokio::test]
async fn quota_set_names_its_base() {
    let quota = Quota {
        resources: Resources::new(32_000, 65_536, 0),
    };
    let team = TeamName::new("haugland").unwrap();
    let fake = Fake::start(move |seen, _| {
        let put = seen.line.starts_with("PUT");
        let version = if put { Version(12) } else { Version(11) };
        Answer::ok(&QuotaReply {
            team: team.clone(),
            version,
            quota,
            has_changed: put,
        })
    })
    .await;
    let args = [
        "quota", "set", "haugland", "--cpu", "32000", "--mem", "65536",
    ];
    let ran = run(&[&fake.address], &args).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(
        ran.out,
        "haugland: 32 cores, 65536 MiB, version 12 in force\n"
    );
    let sent: QuotaChange = serde_json::from_str(&fake.seen()[1].body).unwrap();
    assert_eq!(
        sent,
        QuotaChange {
            base: Version(11),
            quota
        }
    );
}

/// Guards against an empty list that prints only a header.
#[tokio::test]
async fn empty_lists_say_so() {
    let fake = Fake::start(|_, _| Answer::ok(&DomainList::default())).await;
    let ran = run(&[&fake.address], &["domain", "list"]).await;
    assert_eq!(ran.out, "no failure domains\n");
}
