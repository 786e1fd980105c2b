//! A worker whose poll responses can't be decoded or are incomplete.

use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::fixtures::{Fixture, TEST_TIMEOUT, cases};

fn response() -> impl Strategy<Value = Vec<u8>> {
    let body = prop_oneof![
        vec(any::<u8>(), 0..200),
        Just(b"[".repeat(100_000)),
        Just(vec![b'1'; 20 * 1024 * 1024]),
        prop::sample::select(vec![
            r#"{"stamp":null,"term":-1}"#,
            r#"{"term":18446744073709551616}"#,
            r#"{"stamp":{"incarnation":1,"at":1},"term":0,"capacity":{"cpu":4294967296,"mem":0},"rack":"r","events":[],"usage":[],"inventory":null,"rejected":[]}"#,
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
    ];
    let status = prop::sample::select(vec![200, 204, 301, 409, 500]);
    let complete = (status, body).prop_map(|(status, body)| {
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), &body].concat()
    });
    let truncated = Just(b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n{".to_vec());
    prop_oneof![4 => complete, 1 => truncated, 1 => vec(any::<u8>(), 0..200)]
}

/// Sends the next of the responses to each request, closes the connection, and counts the
/// responses.
async fn listen(responses: Vec<Vec<u8>>) -> (SocketAddr, watch::Receiver<usize>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, count) = watch::channel(0);
    let task = tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut start = [0; 1_024];
            let _ = stream.read(&mut start).await;
            // The entry may close the connection before the end.
            let _ = stream.write_all(&response).await;
            sent.send_modify(|count| *count += 1);
        }
    });
    (address, count, task)
}

/// Guards against a response that stops the polls or affects more than the state of one worker.
#[tokio::test(flavor = "multi_thread")]
async fn undecodable_poll_responses_are_harmless() {
    let responses = cases(&response());
    let total = responses.len();
    let (address, mut sent, task) = listen(responses).await;
    let fixture = Fixture::start_with_worker(Some(address)).await;
    let polled = sent.wait_for(|count| *count == total);
    let polled = timeout(TEST_TIMEOUT, polled).await.is_ok();
    let count = *sent.borrow();
    assert!(polled, "the entry continues to poll: {count} of {total}");
    task.await.unwrap();
    fixture.assert_unharmed("responses of a worker").await;
}
