//! Tests of the HTTP interface: status codes, error bodies, document differences and headers.

use hyssop_core::api::{self, ApiError, ErrorCode, JobSubmit, Shortfall, differences};
use hyssop_core::{
    Class, Error, JobId, NotRun, RecordId, Refusal, Resources, ServiceDoc, TeamName, Unknown,
    Version,
};

const DOC: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a", "forde"]
needs = { instances = 10, resources = { cpu = 4000, mem = 8192 } }
"#;

/// Guards against an outcome that states that a request did not run although it may have run.
#[test]
fn unknown_outcomes_are_not_reported_as_not_run() {
    for reason in [
        Unknown::ConnectionBroken,
        Unknown::AgentUnreachable,
        Unknown::Deadline,
    ] {
        let error = ApiError::from(reason);
        assert_eq!(
            (error.status(), error.code.outcome()),
            (504, api::OUTCOME_UNKNOWN)
        );
    }
    let not_run = [
        (NotRun::QueueFull, 503),
        (NotRun::Isolated, 503),
        (NotRun::TicketExpired, 503),
        (NotRun::TeamLimit, 429),
        (NotRun::TicketReused, 422),
        (NotRun::TicketMissing, 400),
        (NotRun::NoService, 404),
    ];
    for (reason, status) in not_run {
        let error = ApiError::from(reason);
        assert_eq!(
            (error.status(), error.code.outcome()),
            (status, api::OUTCOME_NOT_RUN)
        );
    }
}

/// Guards against a refusal of a job call that is sent with the wrong status or error code.
#[test]
fn refusals_map_to_status_and_code() {
    let job = JobId::new("job-1").unwrap();
    let cases = [
        (Refusal::NotFound(job), 404, "not-found"),
        (Refusal::NotOwner("stale".to_owned()), 503, "not-run"),
        (Refusal::NeverRuns("quota".to_owned()), 422, "never-runs"),
        (Refusal::NotFinished, 409, "not-finished"),
        (Refusal::AlreadyFetched, 409, "taken"),
        (Refusal::Reused, 422, "key-reused"),
        (Refusal::Limit("jobs".to_owned()), 429, "limit"),
    ];
    for (refusal, status, code) in cases {
        let error = ApiError::from(refusal);
        assert_eq!(error.status(), status);
        assert_eq!(serde_json::to_value(&error).unwrap()["code"], code);
    }
}

/// Guards against a document error without the name of the field and its allowed values.
#[test]
fn document_errors_name_the_field() {
    let error = ServiceDoc::parse(&DOC.replace("[\"bergen-a\", \"forde\"]", "[]")).unwrap_err();
    let error = ApiError::from(error);
    assert_eq!(error.code, ErrorCode::Invalid);
    assert_eq!(error.field.as_deref(), Some("domains"));
    assert_eq!(error.allowed.as_deref(), Some("one failure domain or more"));
    let malformed = ApiError::from(Error::Document("line 1".to_owned()));
    assert_eq!(malformed.status(), 400);
}

/// Guards against an error body that a client cannot parse because optional fields are absent.
#[test]
fn error_bodies_round_trip() {
    let minimal = r#"{"code":"conflict","message":"lost"}"#;
    let error: ApiError = serde_json::from_str(minimal).unwrap();
    assert_eq!(error, ApiError::new(ErrorCode::Conflict, "lost"));
    assert_eq!(serde_json::to_string(&error).unwrap(), minimal);
    let needs = Resources::new(2_000, 64, 0);
    let shortfall = Shortfall::between(None, Class::Batch, needs, Resources::default());
    let full = ApiError::conflict("lost", None, Version(8))
        .with_field("base", "8")
        .with_record(RecordId(7))
        .with_shortfall(Vec::from_iter(shortfall));
    let text = serde_json::to_string(&full).unwrap();
    assert_eq!(serde_json::from_str::<ApiError>(&text).unwrap(), full);
}

/// Guards against a changed field that is not listed, and a field listed although only its default
/// value was written out.
#[test]
fn differences_list_changed_fields_only() {
    let before = ServiceDoc::parse(DOC).unwrap();
    let explicit = format!("{DOC}moves = {{ drain = 30 }}\n");
    let same = ServiceDoc::parse(&explicit).unwrap();
    assert_eq!(differences(Some(&before), Some(&same)), []);

    let mut after = before.clone();
    after.needs.resources.cpu = 5_000;
    after.domains.pop();
    let found = differences(Some(&before), Some(&after));
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    let domains = r#"domains: ["bergen-a", "forde"] -> ["bergen-a"]"#;
    assert_eq!(lines, [domains, "needs.resources.cpu: 4000 -> 5000"]);
    let removed = differences(Some(&before), None);
    assert!(removed.iter().all(|d| d.from.is_some() && d.to.is_none()));
    assert_eq!(removed.len(), differences(None, Some(&before)).len());
}

/// Guards against a token that is accepted from another scheme, or rejected for the letter case of
/// its scheme.
#[test]
fn bearer_token_is_extracted() {
    assert_eq!(api::bearer_token("Bearer abc"), Some("abc"));
    assert_eq!(api::bearer_token("bearer abc "), Some("abc"));
    assert_eq!(api::bearer_token("Basic abc"), None);
    assert_eq!(api::bearer_token("Bearer "), None);
    assert_eq!(api::bearer_token(""), None);
}

/// Guards against a repeated submission that creates a second job, and against two teams that get
/// the same job for the same key.
#[test]
fn job_id_depends_on_team_and_key() {
    let body = r#"{"key":"roll-17","service":"cut-lists","kind":"cut-list",
        "needs":{"cpu":2000,"mem":4096},"work":500}"#;
    let submit: JobSubmit = serde_json::from_str(body).unwrap();
    let team = TeamName::new("haugland").unwrap();
    let spec = submit.clone().into_spec(team.clone());
    assert_eq!(spec.id, JobId::derive(&team, "roll-17"));
    assert_eq!(spec.class, Class::Batch);
    let other = submit.into_spec(TeamName::new("morski").unwrap());
    assert_ne!(spec.id, other.id);
    let misspelled = body.replace("work", "wrk");
    assert!(serde_json::from_str::<JobSubmit>(&misspelled).is_err());
}

/// Guards against a shortfall reported for work that fits, or not reported when a single resource is
/// short.
#[test]
fn shortfall_states_missing_amounts() {
    let needs = Resources::new(4_000, 8_192, 1);
    let class = Class::LatencyCritical;
    assert_eq!(Shortfall::between(None, class, needs, needs), None);
    let available = Resources::new(8_000, 8_000, 1);
    let shortfall = Shortfall::between(None, class, needs, available).unwrap();
    assert_eq!(shortfall.missing, Resources::new(0, 192, 0));
}
