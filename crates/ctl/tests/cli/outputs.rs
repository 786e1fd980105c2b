//! Results as text and JSON, and the headers and bodies of the requests.

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

use crate::support::{StandInEntry, StandInResponse, example_document, run_command, run_with_env};

fn job_status(worker: &str, phase: JobPhase) -> JobStatus {
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
        history: vec![eviction_explanation()],
    }
}

fn eviction_explanation() -> Explanation {
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

fn status_reply() -> StatusReply {
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

/// Guards against a token or team that is not sent, or an option that the environment overrides.
#[tokio::test]
async fn token_and_team_are_sent() {
    let stand_in = StandInEntry::start(|_, _| StandInResponse::ok(&JobList::default())).await;
    let env = Env {
        entry: Some(stand_in.address.clone()),
        token: Some("from-env".to_owned()),
        team: Some("haugland".to_owned()),
    };
    run_with_env(env.clone(), &["jobs"]).await;
    run_with_env(env, &["jobs", "--token", "from-args", "--team", "morski"]).await;
    let seen = stand_in.received();
    assert_eq!(seen[0].token.as_deref(), Some("Bearer from-env"));
    assert_eq!(seen[0].team.as_deref(), Some("haugland"));
    assert_eq!(seen[1].token.as_deref(), Some("Bearer from-args"));
    assert_eq!(seen[1].team.as_deref(), Some("morski"));
}

/// Guards against a status without its cells, backend servers or peers, and against JSON that
/// differs from the entry's reply.
#[tokio::test]
async fn status_shows_the_fleet() {
    let stand_in = StandInEntry::start(|_, _| StandInResponse::ok(&status_reply())).await;
    let output = run_command(&[&stand_in.address], &["status"]).await;
    for text in [
        "entry entry-a: proved",
        "proof age 120 ms, configuration up to offset 42, up for 61 s",
        "bergen-a/0",
        "up, ejected",
        "3/8 running, 1 waiting",
        "entry-b  alive  200 ms  none",
    ] {
        assert!(output.stdout.contains(text), "{text}: {}", output.stdout);
    }
    let output = run_command(&[&stand_in.address], &["status", "--json"]).await;
    assert_eq!(
        serde_json::from_str::<StatusReply>(&output.stdout).unwrap(),
        status_reply()
    );
    assert_eq!(output.stderr, "");
}

/// Guards against finished jobs, or jobs of other workers, in the report on a worker.
#[tokio::test]
async fn worker_shows_the_jobs_on_it() {
    let stand_in = StandInEntry::start(|request, _| match request.request_line.as_str() {
        "GET /v1/explain/worker/w4" => StandInResponse::ok(&ExplainReply {
            subject: Subject::Worker(WorkerName::new("w4").unwrap()),
            explanations: vec![eviction_explanation()],
        }),
        "GET /v1/jobs" => StandInResponse::ok(&JobList {
            jobs: vec![
                job_status("w4", JobPhase::Running),
                job_status("w5", JobPhase::Running),
                job_status("w4", JobPhase::Finished),
            ],
        }),
        other => panic!("{other}"),
    })
    .await;
    let output = run_command(&[&stand_in.address], &["worker", "w4", "--json"]).await;
    assert_eq!(
        output.json()["jobs"].as_array().unwrap().len(),
        1,
        "{output:?}"
    );
    let output = run_command(&[&stand_in.address], &["worker", "w4"]).await;
    assert!(
        output
            .stdout
            .contains("[1500 ms] attempt 1 evicted from w4: protect"),
        "{output:?}"
    );
}

/// Guards against wrong request paths, and against jobs and explanations without their reasons.
#[tokio::test]
async fn jobs_and_explanations_show_their_reasons() {
    let stand_in = StandInEntry::start(|request, _| match request.request_line.as_str() {
        "GET /v1/jobs/job-1" => StandInResponse::ok(&job_status("w4", JobPhase::InDoubt)),
        "POST /v1/jobs/job-1/result" => StandInResponse::ok(&ResultReply {
            job: JobId::new("job-1").unwrap(),
            attempt: Attempt(2),
            result: "3 cuts".to_owned(),
        }),
        "GET /v1/explain/service/planner" => StandInResponse::ok(&ExplainReply {
            subject: Subject::Service(ServiceName::new("planner").unwrap()),
            explanations: Vec::new(),
        }),
        other => panic!("{other}"),
    })
    .await;
    let output = run_command(&[&stand_in.address], &["job", "show", "job-1"]).await;
    assert!(output.stdout.starts_with("job-1: in-doubt\n"), "{output:?}");
    assert!(
        output.stdout.contains("attempt 2 on w4, 1 evictions"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("evicted from w4: protect"),
        "{output:?}"
    );
    let output = run_command(
        &[&stand_in.address],
        &["result", "job-1", "--receipt", "mine"],
    )
    .await;
    assert_eq!(output.stdout, "3 cuts\n");
    assert_eq!(stand_in.received()[1].body, r#"{"receipt":"mine"}"#);
    let output = run_command(&[&stand_in.address], &["explain", "service", "planner"]).await;
    assert!(
        output.stdout.starts_with("no decisions recorded"),
        "{output:?}"
    );
}

/// Guards against a history that omits a removal or the differences of a version.
#[tokio::test]
async fn history_shows_changes_and_removals() {
    let entry = |version, is_removed| HistoryEntry {
        version: Version(version),
        writer: EntryName::new("entry-a").unwrap(),
        is_removal: is_removed,
        differences: match is_removed {
            true => Vec::new(),
            false => differences(None, Some(&example_document("haugland.planner"))),
        },
    };
    let stand_in = StandInEntry::start(move |_, _| {
        StandInResponse::ok(&HistoryReply {
            service: ServiceName::new("planner").unwrap(),
            versions: vec![entry(3, false), entry(8, true)],
        })
    })
    .await;
    let output = run_command(&[&stand_in.address], &["history", "planner"]).await;
    assert!(
        output
            .stdout
            .contains("version 3, applied through entry-a\n"),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("  needs.instances: (none) -> 10\n"),
        "{output:?}"
    );
    assert!(
        output
            .stdout
            .ends_with("version 8, removed through entry-a\n"),
        "{output:?}"
    );
}

/// Guards against a quota change whose base is not the version in force.
#[tokio::test]
async fn quota_set_sends_the_version_in_force_as_base() {
    let quota = Quota {
        resources: Resources::new(32_000, 65_536, 0),
    };
    let team = TeamName::new("haugland").unwrap();
    let stand_in = StandInEntry::start(move |request, _| {
        let is_put = request.request_line.starts_with("PUT");
        let version = if is_put { Version(12) } else { Version(11) };
        StandInResponse::ok(&QuotaReply {
            team: team.clone(),
            version,
            quota,
            has_changed: is_put,
        })
    })
    .await;
    let args = [
        "quota", "set", "haugland", "--cpu", "32000", "--mem", "65536",
    ];
    let output = run_command(&[&stand_in.address], &args).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert_eq!(
        output.stdout,
        "haugland: 32 cores, 65536 MiB, version 12 in force\n"
    );
    let sent: QuotaChange = serde_json::from_str(&stand_in.received()[1].body).unwrap();
    assert_eq!(
        sent,
        QuotaChange {
            base: Version(11),
            quota
        }
    );
}

/// Guards against an empty list that prints only the column headings.
#[tokio::test]
async fn empty_list_prints_a_message() {
    let stand_in = StandInEntry::start(|_, _| StandInResponse::ok(&DomainList::default())).await;
    let output = run_command(&[&stand_in.address], &["domain", "list"]).await;
    assert_eq!(output.stdout, "no failure domains\n");
}
