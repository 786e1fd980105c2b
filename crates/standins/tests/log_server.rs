//! Tests of the log service and of its client over loopback.

use std::time::Duration;

use hyssop_core::{Millis, Offset};
use hyssop_log::{Error, LogClient, LogOptions};
use hyssop_standins::{LogFaults, LogHandle, LogServer, LogServerOptions, LogStore};
use tokio::time::timeout;

/// Timeout of each wait for a condition; expires only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_log() -> (LogHandle, LogClient) {
    let log = LogServer::start(LogServerOptions::default()).await.unwrap();
    let client = new_client(&log, LogOptions::default());
    (log, client)
}

fn new_client(log: &LogHandle, options: LogOptions) -> LogClient {
    LogClient::new(log.address().to_string(), options).unwrap()
}

fn records(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("\"{i}\"")).collect()
}

/// Waits until the stream has at least `count` records, read directly from the stand-in.
async fn wait_for_records(log: &LogHandle, stream: &str, count: usize) {
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let wait = async {
        while log.read(stream, Offset(0), usize::MAX).records.len() < count {
            ticks.tick().await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.expect("records appear");
}

/// Guards against records that are lost, reordered, or mixed between streams.
#[tokio::test]
async fn appended_records_are_read_back_in_order() {
    let (_log, client) = start_log().await;
    assert_eq!(client.append("a", &records(2)).await, Ok(Offset(0)));
    assert_eq!(client.append("b", &records(1)).await, Ok(Offset(0)));
    assert_eq!(client.append("a", &records(3)).await, Ok(Offset(2)));
    let reply = client.read("a", Offset(1), 2, Millis(0)).await.unwrap();
    assert_eq!((reply.first, reply.head), (Offset(0), Offset(5)));
    let records = reply.records.iter();
    let records: Vec<_> = records.map(|r| (r.offset.0, r.record.as_str())).collect();
    assert_eq!(records, [(1, "\"1\""), (2, "\"0\"")]);
    let reply = client.read("none", Offset(0), 1, Millis(0)).await.unwrap();
    assert_eq!((reply.first, reply.head), (Offset(0), Offset(0)));
}

/// Guards against a lost response that the client takes for a failed append.
#[tokio::test]
async fn a_lost_response_is_unknown_and_the_append_took_effect() {
    let (log, client) = start_log().await;
    log.set_faults(LogFaults::default().with_lost_responses(2));
    for count in 1..=2 {
        let result = client.append("a", &records(1)).await;
        assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
        assert_eq!(log.read("a", Offset(0), 10).records.len(), count);
    }
    assert_eq!(client.append("a", &records(1)).await, Ok(Offset(2)));
}

/// Guards against an append that counts as failed because its client timed out before it took
/// effect.
#[tokio::test]
async fn an_append_that_times_out_is_unknown_and_takes_effect_later() {
    let (log, _) = start_log().await;
    log.set_faults(LogFaults::default().with_delay(Millis(1_000)));
    let impatient = new_client(&log, LogOptions::default().with_append_timeout(Millis(400)));
    let result = impatient.append("a", &records(1)).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    wait_for_records(&log, "a", 1).await;
}

/// Guards against refused appends that are reported as unknown although nothing was appended.
#[tokio::test]
async fn refused_requests_have_no_effect() {
    let (log, client) = start_log().await;
    log.set_faults(LogFaults::default().with_down());
    let result = client.append("a", &records(1)).await;
    assert!(matches!(result, Err(Error::NotAppended(_))), "{result:?}");
    let result = client.read("a", Offset(0), 1, Millis(0)).await;
    assert!(matches!(result, Err(Error::Read(_))), "{result:?}");
    log.set_faults(LogFaults::default().with_refused_client("hyssop"));
    let result = client.append("a", &records(1)).await;
    assert!(matches!(result, Err(Error::NotAppended(_))), "{result:?}");
    let result = client.append("a", &[]).await;
    assert!(matches!(result, Err(Error::NotAppended(_))), "{result:?}");
    assert_eq!(log.read("a", Offset(0), 10).head, Offset(0));
    let other = LogOptions::default().with_client_name("other");
    let other = self::new_client(&log, other);
    assert_eq!(other.append("a", &records(1)).await, Ok(Offset(0)));
    // Uses a new client, because the outcome on an open connection that breaks may be unknown.
    let unconnected = self::new_client(&log, LogOptions::default());
    log.stop().await;
    let result = unconnected.append("a", &records(1)).await;
    assert!(matches!(result, Err(Error::NotAppended(_))), "{result:?}");
}

/// Guards against reads that miss a record while they wait, and against reads that wait forever.
#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let (log, client) = start_log().await;
    let reader = client.clone();
    let wait = Millis(15_000);
    let read = async move { reader.read("a", Offset(0), 10, wait).await };
    let read = tokio::spawn(read);
    client.append("b", &records(1)).await.unwrap();
    client.append("a", &records(1)).await.unwrap();
    let reply = timeout(WAIT_TIMEOUT, read).await.unwrap().unwrap().unwrap();
    assert_eq!(reply.records.len(), 1);
    let reply = client.read("a", reply.head, 10, Millis(20)).await.unwrap();
    assert!(reply.records.is_empty());
    drop(log);
}

/// Guards against faults that take effect only when they are set in-process.
#[tokio::test]
async fn faults_are_set_over_http() {
    let (log, client) = start_log().await;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/faults", log.address());
    let body = serde_json::json!({ "lose": 1 });
    let reply = http.post(&url).json(&body).send().await.unwrap();
    assert!(reply.status().is_success());
    assert_eq!(log.faults(), LogFaults::default().with_lost_responses(1));
    client.append("a", &records(1)).await.unwrap_err();
    let reply = http.get(&url).send().await.unwrap();
    let faults: LogFaults = reply.json().await.unwrap();
    assert_eq!(faults, LogFaults::default());
}

/// Guards against records that are kept beyond the limits, and against offsets that change when
/// older records expire.
#[test]
fn retention_drops_by_count_and_by_time() {
    let options = LogServerOptions::default()
        .with_max_records(3)
        .with_retention(Millis(1_000));
    let mut store = LogStore::new(options);
    store.append(Millis(0), "a", records(2));
    assert_eq!(store.append(Millis(500), "a", records(3)), Offset(2));
    let reply = store.read(Millis(500), "a", Offset(0), 10);
    assert_eq!((reply.first, reply.head), (Offset(2), Offset(5)));
    assert_eq!(reply.records[0].offset, Offset(2));
    let reply = store.read(Millis(1_500), "a", Offset(4), 10);
    assert_eq!(reply.first, Offset(2));
    assert_eq!(reply.records.len(), 1);
    let reply = store.read(Millis(1_501), "a", Offset(0), 10);
    assert_eq!((reply.first, reply.head), (Offset(5), Offset(5)));
    assert!(reply.records.is_empty());
    assert_eq!(store.append(Millis(1_501), "a", records(1)), Offset(5));
}

/// Guards against a stand-in that accepts more appends than the platform does.
#[test]
fn the_append_rate_is_limited() {
    let mut store = LogStore::new(LogServerOptions::default().with_append_rate(100));
    let burst = (0..500).filter(|_| store.try_admit(Millis(0))).count();
    assert_eq!(burst, 100);
    let later = (1..=2_000)
        .filter(|at| store.try_admit(Millis(*at)))
        .count();
    assert_eq!(later, 200);
}
