//! The listeners of the system's own protocol.

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

use crate::fixtures::{PATIENCE, Stage, cases, exchange};

/// Puts the length in front of a message.
fn frame(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).unwrap();
    [&length.to_be_bytes(), message].concat()
}

/// Returns the start of a request with a deadline in seconds, in the encoding of the links: the
/// variant, the seconds as a 64-bit number after its mark, and no nanoseconds.
fn request_with_deadline(seconds: u64) -> Vec<u8> {
    let mut message = vec![0, 253];
    message.extend(seconds.to_le_bytes());
    message.push(0);
    // Trace identifiers of 16 and 8 bytes, the sampling decision, and the number of the request.
    message.extend([0; 19]);
    message
}

/// Returns a question for tickets or an announcement, which both start with the variant, after a
/// deadline.
fn tickets_with_deadline(seconds: u64) -> Vec<u8> {
    let mut message = request_with_deadline(seconds);
    message.push(1);
    for name in ["haugland", "planner"] {
        message.push(u8::try_from(name.len()).unwrap());
        message.extend(name.as_bytes());
    }
    message.push(1);
    message
}

fn hostile() -> impl Strategy<Value = Vec<u8>> {
    let bytes = || vec(any::<u8>(), 0..300);
    let request = (0..4_000_u64, bytes()).prop_map(|(seconds, rest)| {
        let start = request_with_deadline(seconds);
        frame(&[start, rest].concat())
    });
    prop_oneof![
        2 => bytes(),
        3 => bytes().prop_map(|message| frame(&message)),
        3 => request,
        // A length above the limit, and one that the bytes do not reach.
        1 => (any::<u32>(), bytes()).prop_map(|(length, rest)| {
            [length.to_be_bytes().to_vec(), rest].concat()
        }),
        1 => bytes().prop_map(|rest| {
            let length = u32::try_from(MAX_FRAME_BYTES).unwrap();
            [length.to_be_bytes().to_vec(), rest].concat()
        }),
    ]
}

fn listeners(stage: &Stage) -> [SocketAddr; 2] {
    [stage.agent.rpc_address(), stage.entry.rpc_address()]
}

/// Guards against frames that do not decode and harm more than their own connection.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_frames_end_their_connection() {
    let stage = Stage::open().await;
    for bytes in cases(&hostile()) {
        for address in listeners(&stage) {
            let back = exchange(address, &bytes).await;
            assert!(back.len() < 4_096, "{} bytes for {bytes:?}", back.len());
        }
    }
    stage.unharmed("damaged frames").await;
}

/// Guards against a deadline that the server's clock or timers cannot hold: it made the task of
/// the connection panic.
#[tokio::test(flavor = "multi_thread")]
async fn endless_deadlines_are_refused() {
    let stage = Stage::open().await;
    // The caller has to stay connected for an answer.
    let good = TcpStream::connect(stage.agent.rpc_address()).await;
    let mut good = good.unwrap();
    let question = frame(&tickets_with_deadline(10));
    good.write_all(&question).await.unwrap();
    let answer = timeout(PATIENCE, good.read_u32()).await;
    assert!(answer.unwrap().is_ok(), "a usual deadline is served");
    for seconds in [u64::MAX, u64::MAX / 2, 1 << 40, 10 * 365 * 86_400] {
        for address in listeners(&stage) {
            let back = exchange(address, &frame(&tickets_with_deadline(seconds))).await;
            assert!(back.is_empty(), "the connection is closed");
        }
    }
    stage.unharmed("endless deadlines").await;
}

/// Guards against connections without messages that take all memory or keep others out for good.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_bounded() {
    let stage = Stage::open().await;
    let mut idle = Vec::new();
    let mut closed = 0;
    for _ in 0..300 {
        let connected = TcpStream::connect(stage.agent.rpc_address()).await;
        idle.push(connected.unwrap());
    }
    // The server closes what exceeds its limit; the entry's own connections count as well.
    while closed < 44 {
        let mut stream = idle.pop().expect("some are closed");
        let mut byte = [0];
        if let Ok(Ok(0) | Err(_)) = timeout(Duration::from_secs(2), stream.read(&mut byte)).await {
            closed += 1;
        }
    }
    drop(idle);
    stage.unharmed("idle connections").await;
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

/// Guards against calls that cannot be expressed in HTTP and harm the agent or reach the backend
/// server in another form.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_are_not_http_never_reach_the_backend_server() {
    let stage = Stage::open().await;
    let link = AgentLink::new(stage.agent.rpc_address());
    let with = |change: &dyn Fn(&mut Call)| {
        let mut call = call();
        change(&mut call);
        call
    };
    let calls = [
        with(&|call| call.method = "GET / HTTP/1.1\r\nx: y".to_owned()),
        with(&|call| call.method = String::new()),
        with(&|call| call.path = format!("/{}", "x".repeat(100_000))),
        with(&|call| call.body = Bytes::from(vec![0; MAX_BODY_BYTES + 1])),
        with(&|call| call.service = ServiceName::new("other").unwrap()),
        with(&|call| call.is_idempotent = false),
        with(&|call| {
            call.ticket = Some(Ticket {
                incarnation: Incarnation(u64::MAX),
                nonce: u64::MAX,
            });
        }),
    ];
    for call in calls {
        let (method, path) = (call.method.clone(), call.path.len());
        let reply = link.call(call).await.unwrap();
        let refused = match &reply.outcome {
            Outcome::Complete(whole) => (400..500).contains(&whole.status),
            Outcome::NotRun(_) | Outcome::Unknown(hyssop_core::Unknown::AgentUnreachable) => true,
            Outcome::Unknown(_) => false,
        };
        assert!(refused, "{method:?} with {path} bytes: {:?}", reply.outcome);
    }
    stage.unharmed("calls that are not HTTP").await;
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

/// Guards against announcements without an address that can be called: such a member would get
/// requests, and its text would be kept.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_without_an_address_are_ignored() {
    let stage = Stage::open().await;
    let link = EntryLink::new(stage.entry.rpc_address());
    for address in [String::new(), "planner".to_owned(), "x".repeat(1_000_000)] {
        let announced = link.announce(announcement(address), PATIENCE).await;
        assert!(announced.unwrap().can_serve, "the entry goes on");
    }
    let path = "/v1/status";
    let request = stage.request(reqwest::Method::GET, path, crate::fixtures::OPERATOR_TOKEN);
    let status = request.send().await.unwrap().text().await.unwrap();
    assert!(!status.contains("stranger"), "{status}");
    stage.unharmed("announcements").await;
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

/// Guards against heartbeats that make this entry's own ones too long to be sent, and against an
/// old configuration or a stranger's that is taken.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_of_any_contents_are_survived() {
    let stage = Stage::open().await;
    let link = EntryLink::new(stage.entry.rpc_address());
    let beat = |entry: &str, cells: u16, view| Heartbeat {
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
    for beat in [
        beat("entry-2", 0, empty),
        beat("stranger", 0, newest),
        beat("entry-2", 40_000, None),
    ] {
        link.heartbeat(beat, PATIENCE).await.unwrap();
    }
    let question = beat("stranger", 0, None);
    let answer = link.heartbeat(question, PATIENCE).await.unwrap();
    assert!(answer.cells.len() < 1_000, "{} cells", answer.cells.len());
    stage.unharmed("heartbeats").await;
}
