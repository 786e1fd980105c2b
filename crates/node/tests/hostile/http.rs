//! Hostile input on the HTTP listeners of the entry and the agent.

use std::time::Duration;

use hyssop_core::api;
use proptest::collection::vec;
use proptest::prelude::*;
use reqwest::Method;
use tokio::net::TcpStream;

use crate::fixtures::{Fixture, OPERATOR_TOKEN, TEAM_TOKEN, cases, client, send_raw};

/// HTTP calls of the entry that are sent with a body, some with an invalid path or query.
const BODY_CALLS: [(Method, &str); 9] = [
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

/// Bodies that are invalid for every call.
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

/// Guards against an invalid body that is accepted or causes a server error.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bodies_are_rejected() {
    let fixture = Fixture::start().await;
    for body in cases(&body()) {
        for (method, path) in BODY_CALLS {
            let request = fixture.request(method.clone(), path, OPERATOR_TOKEN);
            // The entry may close the connection before it has read a body that is too large.
            let Ok(response) = request.body(body.clone()).send().await else {
                assert!(body.len() > 1024 * 1024, "{method} {path}: no response");
                continue;
            };
            let status = response.status();
            assert!(status.is_client_error(), "{method} {path}: {status}");
        }
    }
    fixture.assert_unharmed("malformed bodies").await;
}

/// Guards against malformed headers that are ignored or interpreted instead of rejected.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_headers_are_rejected() {
    let fixture = Fixture::start().await;
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
        let request = fixture.request(Method::POST, path, TEAM_TOKEN);
        let response = request.header(name, value).send().await.unwrap();
        assert_eq!(response.status(), expected, "{name}: {value}");
    }
    for token in ["", "x", "haugland-secretx", &"x".repeat(10_000)] {
        let request = fixture.request(Method::GET, "/v1/call/planner/hostile", token);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 401, "{} bytes", token.len());
    }
    fixture.assert_unharmed("malformed headers").await;
}

/// Guards against the outcome "not run" from an entry that rejects a request without contacting the
/// agent: the ticket may have been used through another entry.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_with_a_ticket_are_unknown() {
    let fixture = Fixture::start().await;
    let ticket = "0000000000000001-0000000000000001";
    let rejected = [
        ("/v1/call/nothing/hostile", "100", 504),
        ("/v1/call/planner/hostile", "x", 422),
        ("/v1/call/PLANNER/hostile", "100", 422),
    ];
    for (path, deadline, expected) in rejected {
        let request = fixture.request(Method::POST, path, TEAM_TOKEN);
        let request = request.header(api::DEADLINE_MS, deadline);
        let request = request.header(api::IDEMPOTENCY_KEY, ticket);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), expected, "{path}");
        assert_eq!(response.headers()[api::OUTCOME], api::OUTCOME_UNKNOWN);
    }
    fixture.assert_unharmed("rejected tickets").await;
}

fn malformed_request() -> impl Strategy<Value = Vec<u8>> {
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

/// Guards against damage by bytes that aren't HTTP, incomplete requests and oversized headers.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_close_their_connection() {
    let fixture = Fixture::start().await;
    for bytes in cases(&malformed_request()) {
        for address in [fixture.entry.http_address(), fixture.agent.local_address()] {
            let received = send_raw(address, &bytes).await;
            assert!(received.len() < 64 * 1024, "{} bytes", received.len());
        }
    }
    fixture.assert_unharmed("malformed requests").await;
}

/// Guards against an unlimited number of connections to the entry, and against idle ones that block
/// others permanently.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_entry_are_bounded() {
    let fixture = Fixture::start().await;
    let mut idle = Vec::new();
    for _ in 0..2_100 {
        let connected = TcpStream::connect(fixture.entry.http_address()).await;
        idle.push(connected.unwrap());
    }
    let client = client();
    let health = client.get(format!("http://{}/healthz", fixture.entry.http_address()));
    let response = tokio::time::timeout(Duration::from_secs(1), health.send()).await;
    assert!(
        response.is_err(),
        "connection above the limit was served: {response:?}"
    );
    drop(idle);
    fixture.assert_unharmed("idle connections").await;
}

/// Guards against an announcement without a valid address or service that replaces the current
/// backend server.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_announcements_do_not_affect_the_backend_server() {
    let fixture = Fixture::start().await;
    let http = client();
    let announcement = |address: &str, service: &str| {
        format!(
            r#"{{"service":"{service}","address":"{address}","slots":4294967295,"connections":4294967295,"incarnation":7}}"#
        )
        .into_bytes()
    };
    let mut bodies = cases(&body());
    bodies.push(announcement("planner:80", "planner"));
    bodies.push(announcement("", "planner"));
    bodies.push(announcement("127.0.0.1:1", "other"));
    for body in bodies {
        for path in ["/v1/announce", "/v1/leave"] {
            // A leave identifies the backend server only by its incarnation.
            let url = format!("http://{}{path}", fixture.agent.local_address());
            let Ok(response) = http.post(url).body(body.clone()).send().await else {
                assert!(body.len() > 4_096, "{path}: no response");
                continue;
            };
            let is_valid_leave = path == "/v1/leave" && body.starts_with(br#"{"service"#);
            let status = response.status();
            assert!(
                status.is_client_error() || is_valid_leave,
                "{path}: {status}"
            );
        }
    }
    fixture.assert_unharmed("malformed announcements").await;
}
