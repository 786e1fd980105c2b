//! A worker whose answers do not decode or do not end.

use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::fixtures::{PATIENCE, Stage, cases};

fn answer() -> impl Strategy<Value = Vec<u8>> {
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
    let framed = (status, body).prop_map(|(status, body)| {
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), &body].concat()
    });
    let cut = Just(b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n{".to_vec());
    prop_oneof![4 => framed, 1 => cut, 1 => vec(any::<u8>(), 0..200)]
}

/// Answers each request with the next of the answers and closes, and counts them.
async fn listen(answers: Vec<Vec<u8>>) -> (SocketAddr, watch::Receiver<usize>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (given, count) = watch::channel(0);
    let task = tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut start = [0; 1_024];
            let _ = stream.read(&mut start).await;
            // The entry may give up before the end.
            let _ = stream.write_all(&answer).await;
            given.send_modify(|count| *count += 1);
        }
    });
    (address, count, task)
}

/// Guards against an answer that ends the polls or harms more than the knowledge of one worker.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_do_not_decode_are_survived() {
    let answers = cases(&answer());
    let all = answers.len();
    let (address, mut given, task) = listen(answers).await;
    let stage = Stage::open_beside(Some(address)).await;
    let polled = given.wait_for(|count| *count == all);
    let polled = timeout(PATIENCE, polled).await.is_ok();
    let count = *given.borrow();
    assert!(polled, "the entry goes on to poll, {count} of {all}");
    task.await.unwrap();
    stage.unharmed("answers of a worker").await;
}
