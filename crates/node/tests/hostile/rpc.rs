//! Hostile input on the RPC listeners of the entry and the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::limits::{MAX_BODY_BYTES, MAX_FRAME_BYTES};
use hyssop_core::{
    AgentName, Announcement, Call, CallId, CellId, CellState, CellSummary, ConfView, DomainName,
    EntryName, Heartbeat, Incarnation, Load, MemberState, Millis, Offset, Outcome, RackName,
    ServiceName, TeamName, Term, Ticket,
};
use hyssop_node::links::{AgentLink, EntryLink};
use proptest::collection::vec;
use proptest::prelude::*;
use smallvec::SmallVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fixtures::{Fixture, TEST_TIMEOUT, cases, send_raw};

/// Prepends the length to a message.
fn frame(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).unwrap();
    [&length.to_be_bytes(), message].concat()
}

/// Returns the start of an encoded request with a deadline in seconds: the variant, a marker byte
/// followed by the seconds as a 64-bit number, and zero nanoseconds.
fn request_with_deadline(seconds: u64) -> Vec<u8> {
    let mut message = vec![0, 253];
    message.extend(seconds.to_le_bytes());
    message.push(0);
    // Trace identifiers of 16 and 8 bytes, the sampling decision, and the request identifier; all of
    // them are zero in their encoded form.
    message.extend([0; 19]);
    message
}

/// Returns an encoded request for tickets with a deadline. The message of an announcement starts
/// with a variant in the same way, so that both listeners check the deadline.
fn ticket_request_with_deadline(seconds: u64) -> Vec<u8> {
    let mut message = request_with_deadline(seconds);
    message.push(1);
    for name in ["haugland", "planner"] {
        message.push(u8::try_from(name.len()).unwrap());
        message.extend(name.as_bytes());
    }
    message.push(1);
    message
}

fn malformed_bytes() -> impl Strategy<Value = Vec<u8>> {
    let bytes = || vec(any::<u8>(), 0..300);
    let request = (0..4_000_u64, bytes()).prop_map(|(seconds, rest)| {
        let start = request_with_deadline(seconds);
        frame(&[start, rest].concat())
    });
    prop_oneof![
        2 => bytes(),
        3 => bytes().prop_map(|message| frame(&message)),
        3 => request,
        // A random length, mostly above the limit, and one that exceeds the following bytes.
        1 => (any::<u32>(), bytes()).prop_map(|(length, rest)| {
            [length.to_be_bytes().to_vec(), rest].concat()
        }),
        1 => bytes().prop_map(|rest| {
            let length = u32::try_from(MAX_FRAME_BYTES).unwrap();
            [length.to_be_bytes().to_vec(), rest].concat()
        }),
    ]
}

fn listeners(fixture: &Fixture) -> [SocketAddr; 2] {
    [fixture.agent.rpc_address(), fixture.entry.rpc_address()]
}

/// Guards against undecodable frames that affect more than their own connection.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_frames_close_their_connection() {
    let fixture = Fixture::start().await;
    for bytes in cases(&malformed_bytes()) {
        for address in listeners(&fixture) {
            let received = send_raw(address, &bytes).await;
            assert!(
                received.len() < 4_096,
                "{} bytes for {bytes:?}",
                received.len()
            );
        }
    }
    fixture.assert_unharmed("malformed frames").await;
}

/// Guards against a deadline that overflows the server's clock or timers, which made the task of
/// the connection panic.
#[tokio::test(flavor = "multi_thread")]
async fn excessive_deadlines_are_rejected() {
    let fixture = Fixture::start().await;
    // The caller must stay connected to get a response.
    let stream = TcpStream::connect(fixture.agent.rpc_address()).await;
    let mut stream = stream.unwrap();
    let request = frame(&ticket_request_with_deadline(10));
    stream.write_all(&request).await.unwrap();
    let response = timeout(TEST_TIMEOUT, stream.read_u32()).await;
    assert!(
        response.unwrap().is_ok(),
        "a request with a usual deadline is served"
    );
    for seconds in [u64::MAX, u64::MAX / 2, 1 << 40, 10 * 365 * 86_400] {
        for address in listeners(&fixture) {
            let received = send_raw(address, &frame(&ticket_request_with_deadline(seconds))).await;
            assert!(received.is_empty(), "the connection is closed");
        }
    }
    fixture.assert_unharmed("excessive deadlines").await;
}

/// Guards against idle connections that use unlimited memory or block others permanently.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_bounded() {
    let fixture = Fixture::start().await;
    let mut idle = Vec::new();
    let mut closed = 0;
    for _ in 0..300 {
        let connected = TcpStream::connect(fixture.agent.rpc_address()).await;
        idle.push(connected.unwrap());
    }
    // The server closes connections above its limit of 256, to which those of the entry count as
    // well.
    while closed < 44 {
        let mut stream = idle.pop().expect("some are closed");
        let mut byte = [0];
        if let Ok(Ok(0) | Err(_)) = timeout(Duration::from_secs(2), stream.read(&mut byte)).await {
            closed += 1;
        }
    }
    drop(idle);
    fixture.assert_unharmed("idle connections").await;
}

fn call() -> Call {
    Call {
        id: CallId(1),
        team: TeamName::new("haugland").unwrap(),
        service: ServiceName::new("planner").unwrap(),
        method: "GET".to_owned(),
        path: "/hostile".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        budget: Millis(5_000),
        ticket: None,
        is_idempotent: true,
        refusal: None,
    }
}

/// Guards against calls that can't be expressed in HTTP and damage the agent or reach the backend
/// server in another form.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_http_calls_never_reach_the_backend_server() {
    let fixture = Fixture::start().await;
    let link = AgentLink::new(fixture.agent.rpc_address());
    let call_with = |change: &dyn Fn(&mut Call)| {
        let mut call = call();
        change(&mut call);
        call
    };
    let calls = [
        call_with(&|call| call.method = "GET / HTTP/1.1\r\nx: y".to_owned()),
        call_with(&|call| call.method = String::new()),
        call_with(&|call| call.path = format!("/{}", "x".repeat(100_000))),
        call_with(&|call| call.body = Bytes::from(vec![0; MAX_BODY_BYTES + 1])),
        call_with(&|call| call.service = ServiceName::new("other").unwrap()),
        call_with(&|call| call.is_idempotent = false),
        call_with(&|call| {
            call.ticket = Some(Ticket {
                incarnation: Incarnation(u64::MAX),
                nonce: u64::MAX,
            });
        }),
    ];
    for call in calls {
        let (method, path) = (call.method.clone(), call.path.len());
        let reply = link.call(call).await.unwrap();
        let is_rejected = match &reply.outcome {
            Outcome::Complete(response) => (400..500).contains(&response.status),
            Outcome::NotRun(_) | Outcome::Unknown(hyssop_core::Unknown::AgentUnreachable) => true,
            Outcome::Unknown(_) => false,
        };
        assert!(
            is_rejected,
            "{method:?} with {path} bytes: {:?}",
            reply.outcome
        );
    }
    fixture.assert_unharmed("invalid HTTP calls").await;
}

fn announcement(address: String) -> Announcement {
    Announcement {
        agent: AgentName::new("stranger").unwrap(),
        incarnation: Incarnation(9),
        seq: u64::MAX,
        address,
        service: ServiceName::new("planner").unwrap(),
        domain: DomainName::new("bergen-a").unwrap(),
        rack: RackName::new("r1").unwrap(),
        state: MemberState::Up,
        load: Load {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: u32::MAX,
        },
        applied: Offset(u64::MAX),
        interval: Millis(u64::MAX),
    }
}

/// Guards against announcements without a valid address: such a member would get requests, and its
/// text would be stored.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_without_an_address_are_ignored() {
    let fixture = Fixture::start().await;
    let link = EntryLink::new(fixture.entry.rpc_address());
    for address in [String::new(), "planner".to_owned(), "x".repeat(1_000_000)] {
        let announced = link.announce(announcement(address), TEST_TIMEOUT).await;
        assert!(announced.unwrap().can_serve, "the entry continues to serve");
    }
    let path = "/v1/status";
    let request = fixture.request(reqwest::Method::GET, path, crate::fixtures::OPERATOR_TOKEN);
    let status = request.send().await.unwrap().text().await.unwrap();
    assert!(!status.contains("stranger"), "{status}");
    fixture.assert_unharmed("announcements").await;
}

fn cell(number: u16) -> CellState {
    CellState {
        cell: CellId::new(DomainName::new("bergen-a").unwrap(), number),
        owner: EntryName::new("entry-2").unwrap(),
        incarnation: Incarnation(2),
        term: Term(u64::MAX),
        summary: CellSummary::default(),
    }
}

/// Guards against heartbeats that make this entry's own ones too large to be sent, and against
/// applying an outdated configuration or one from an unknown entry.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_with_hostile_contents_are_harmless() {
    let fixture = Fixture::start().await;
    let link = EntryLink::new(fixture.entry.rpc_address());
    let heartbeat = |entry: &str, cells: u16, view| Heartbeat {
        entry: EntryName::new(entry).unwrap(),
        incarnation: Incarnation(2),
        applied: Offset(u64::MAX),
        confirmation_age: Some(Millis(u64::MAX)),
        uptime: Millis(u64::MAX),
        cells: (1..=cells).map(cell).collect::<SmallVec<_>>(),
        view,
    };
    let empty = Some(ConfView::default());
    let newest = Some(ConfView {
        applied: Offset(u64::MAX),
        ..ConfView::default()
    });
    for heartbeat in [
        heartbeat("entry-2", 0, empty),
        heartbeat("stranger", 0, newest),
        heartbeat("entry-2", 40_000, None),
    ] {
        link.heartbeat(heartbeat, TEST_TIMEOUT).await.unwrap();
    }
    let request = heartbeat("stranger", 0, None);
    let response = link.heartbeat(request, TEST_TIMEOUT).await.unwrap();
    assert!(
        response.cells.len() < 1_000,
        "{} cells",
        response.cells.len()
    );
    fixture.assert_unharmed("heartbeats").await;
}
