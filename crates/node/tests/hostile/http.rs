//! The HTTP listeners of the entry and the agent.

use std::time::Duration;

use hyssop_core::api;
use proptest::collection::vec;
use proptest::prelude::*;
use reqwest::Method;
use tokio::net::TcpStream;

use crate::fixtures::{OPERATOR_TOKEN, Stage, TEAM_TOKEN, cases, client, exchange};

/// Calls of the entry that take a body.
const CALLS: [(Method, &str); 9] = [
    (Method::PUT, "/v1/documents/planner?base=1"),
    (Method::PUT, "/v1/documents/planner?base=-1"),
    (Method::PUT, "/v1/domains/bergen-a"),
    (Method::PUT, "/v1/quotas/haugland"),
    (Method::POST, "/v1/jobs"),
    (Method::POST, "/v1/jobs/job-1/result"),
    (Method::POST, "/v1/services/planner/tickets"),
    (Method::DELETE, "/v1/documents/planner?base=x"),
    (Method::GET, "/v1/explain/job/%00%ff"),
];

/// Bodies that are not what any call takes.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let fragment = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        "\"",
        ":",
        ",",
        "null",
        "-1",
        "1e999",
        "\"base\"",
        "\"state\"",
        "\"out\"",
        "\"quota\"",
        "\"key\"",
        "\"team\"",
        "\u{0}",
        "service = ",
        "'planner'",
        "\n",
    ]);
    let json = vec(fragment, 1..30).prop_map(|parts| parts.concat().into_bytes());
    let deep = (1..20_000_usize).prop_map(|depth| "[".repeat(depth).into_bytes());
    prop_oneof![
        4 => json,
        3 => vec(any::<u8>(), 1..300),
        1 => deep,
        1 => Just(vec![b' '; 2 * 1024 * 1024]),
    ]
}

/// Guards against a body that is taken for something else, a 500, and a change by it.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bodies_are_refused() {
    let stage = Stage::open().await;
    for body in cases(&body()) {
        for (method, path) in CALLS {
            let request = stage.request(method.clone(), path, OPERATOR_TOKEN);
            // The entry may close the connection before it has read a body that is too large.
            let Ok(response) = request.body(body.clone()).send().await else {
                assert!(body.len() > 1024 * 1024, "{method} {path}: no answer");
                continue;
            };
            let status = response.status();
            assert!(status.is_client_error(), "{method} {path}: {status}");
        }
    }
    stage.unharmed("malformed bodies").await;
}

/// Guards against headers that are guessed instead of refused.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_headers_are_refused() {
    let stage = Stage::open().await;
    let headers = [
        (api::DEADLINE_MS, "-1", 422),
        (api::DEADLINE_MS, "0", 422),
        (api::DEADLINE_MS, "18446744073709551616", 422),
        (api::DEADLINE_MS, "600001", 422),
        (api::DEADLINE_MS, "soon", 422),
        (api::IDEMPOTENCY_KEY, "x", 422),
        (
            api::IDEMPOTENCY_KEY,
            "0000000000000000-000000000000000",
            422,
        ),
        (
            api::IDEMPOTENCY_KEY,
            "+000000000000001-0000000000000001",
            422,
        ),
    ];
    for (name, value, expected) in headers {
        let path = "/v1/call/planner/hostile";
        let request = stage.request(Method::POST, path, TEAM_TOKEN);
        let response = request.header(name, value).send().await.unwrap();
        assert_eq!(response.status(), expected, "{name}: {value}");
    }
    for token in ["", "x", "haugland-secretx", &"x".repeat(10_000)] {
        let request = stage.request(Method::GET, "/v1/call/planner/hostile", token);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 401, "{} bytes", token.len());
    }
    stage.unharmed("malformed headers").await;
}

/// Guards against "not run" for a ticket that may have run through another entry, from an entry
/// that refuses the request without asking the agent.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_with_a_ticket_are_unknown() {
    let stage = Stage::open().await;
    let ticket = "0000000000000001-0000000000000001";
    let refusals = [
        ("/v1/call/nothing/hostile", "100", 504),
        ("/v1/call/planner/hostile", "x", 422),
        ("/v1/call/PLANNER/hostile", "100", 422),
    ];
    for (path, deadline, expected) in refusals {
        let request = stage.request(Method::POST, path, TEAM_TOKEN);
        let request = request.header(api::DEADLINE_MS, deadline);
        let request = request.header(api::IDEMPOTENCY_KEY, ticket);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), expected, "{path}");
        assert_eq!(response.headers()[api::OUTCOME], api::OUTCOME_UNKNOWN);
    }
    stage.unharmed("refused tickets").await;
}

fn raw() -> impl Strategy<Value = Vec<u8>> {
    let bytes = || vec(any::<u8>(), 0..300);
    let head = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "POST /v1/announce HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999\r\n\r\n",
        "POST /v1/announce HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ]);
    prop_oneof![
        bytes(),
        (head, bytes()).prop_map(|(head, rest)| [head.as_bytes(), &rest].concat()),
        (1..200_usize).prop_map(|count| {
            let line = format!("x-{}: {}\r\n", "y".repeat(900), "z".repeat(900));
            format!(
                "GET /healthz HTTP/1.1\r\nhost: x\r\n{}\r\n",
                line.repeat(count)
            )
            .into_bytes()
        }),
    ]
}

/// Guards against bytes that are not HTTP, half requests and oversized heads.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_requests_end_their_connection() {
    let stage = Stage::open().await;
    for bytes in cases(&raw()) {
        for address in [stage.entry.http_address(), stage.agent.local_address()] {
            let back = exchange(address, &bytes).await;
            assert!(back.len() < 64 * 1024, "{} bytes", back.len());
        }
    }
    stage.unharmed("damaged requests").await;
}

/// Guards against any number of connections to the entry, and against some that keep others out
/// for good.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_entry_are_bounded() {
    let stage = Stage::open().await;
    let mut idle = Vec::new();
    for _ in 0..2_100 {
        let connected = TcpStream::connect(stage.entry.http_address()).await;
        idle.push(connected.unwrap());
    }
    let client = client();
    let health = client.get(format!("http://{}/healthz", stage.entry.http_address()));
    let waits = tokio::time::timeout(Duration::from_secs(1), health.send()).await;
    assert!(waits.is_err(), "one more than the limit waits: {waits:?}");
    drop(idle);
    stage.unharmed("idle connections").await;
}

/// Guards against an announcement of a backend server that cannot be called, which would replace
/// the one that serves.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_announcements_leave_the_backend_server_alone() {
    let stage = Stage::open().await;
    let http = client();
    let named = |address: &str, service: &str| {
        format!(
            r#"{{"service":"{service}","address":"{address}","slots":4294967295,"connections":4294967295,"incarnation":7}}"#
        )
        .into_bytes()
    };
    let mut bodies = cases(&body());
    bodies.push(named("planner:80", "planner"));
    bodies.push(named("", "planner"));
    bodies.push(named("127.0.0.1:1", "other"));
    for body in bodies {
        for path in ["/v1/announce", "/v1/leave"] {
            // A leave names the backend server by its incarnation only.
            let url = format!("http://{}{path}", stage.agent.local_address());
            let Ok(response) = http.post(url).body(body.clone()).send().await else {
                assert!(body.len() > 4_096, "{path}: no answer");
                continue;
            };
            let known = path == "/v1/leave" && body.starts_with(br#"{"service"#);
            let status = response.status();
            assert!(status.is_client_error() || known, "{path}: {status}");
        }
    }
    stage.unharmed("malformed announcements").await;
}
