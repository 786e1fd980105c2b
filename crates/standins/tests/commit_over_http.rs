//! Test of the commit tracker with the client and the log service, while responses are lost and the
//! log is slow or down.

use std::collections::BTreeSet;
use std::time::Duration;

use hyssop_core::{Millis, Offset, RecordId, Term};
use hyssop_log::{
    CommitTracker, LogClient, LogOptions, ReadBack, Submission, TrackerInput, TrackerOptions,
    TrackerOutput, record_id,
};
use hyssop_standins::{LogFaults, LogServer, LogServerOptions};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Number of submitted records.
const RECORD_COUNT: u128 = 60;
/// Length of an outage, in ticks of 5 ms.
const OUTAGE_TICKS: u32 = 10;
/// Timeout of the whole run; expires only when the test fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);

/// Performs an append or a read of the tracker, and sends its result to `results`.
async fn perform(client: LogClient, output: TrackerOutput, results: mpsc::Sender<TrackerInput>) {
    let input = match output {
        TrackerOutput::Append { batch_id, records } => {
            let result = (&client.append("s", &records).await).into();
            TrackerInput::AppendEnded { batch_id, result }
        }
        TrackerOutput::Read { read_id, from, max } => {
            match client.read("s", from, max, Millis(0)).await {
                Ok(reply) => {
                    TrackerInput::ReadSucceeded(ReadBack::new(Some(read_id), from, &reply))
                }
                Err(_) => TrackerInput::ReadFailed { read_id },
            }
        }
        other => panic!("not an append or a read: {other:?}"),
    };
    results.send(input).await.unwrap();
}

/// Guards against records that are lost or committed twice, and against a tracker that stops making
/// progress, when tracker, client and log service work together.
#[tokio::test]
async fn every_record_is_committed_despite_faults() {
    let log = LogServer::start(LogServerOptions::default()).await.unwrap();
    let options = LogOptions::default().with_append_timeout(Millis(100));
    let client = LogClient::new(log.address().to_string(), options).unwrap();
    let options = TrackerOptions::default()
        .with_max_batch(4)
        .with_backoff(Millis(10), Millis(50));
    let mut tracker = CommitTracker::new(options, Offset(0), 3);
    let start = Instant::now();
    let now = || Millis(start.elapsed().as_millis() as u64);
    let (result_sender, mut results) = mpsc::channel(16);
    let submit = |id| {
        let id = RecordId(id);
        let text = format!("{{\"id\":\"{id}\"}}");
        TrackerInput::Submit(Submission::new(id, Term(0), text))
    };
    let mut inputs: Vec<TrackerInput> = (0..RECORD_COUNT).map(submit).collect();
    let mut committed = Vec::new();
    let mut outage_ticks = 0;
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let run = async {
        while committed.len() < RECORD_COUNT as usize {
            for output in tracker.tick(now(), inputs.drain(..)) {
                if let TrackerOutput::Committed { id, offset } = output {
                    committed.push((id, offset));
                    log.set_faults(faults_after(committed.len()));
                } else {
                    tokio::spawn(perform(client.clone(), output, result_sender.clone()));
                }
            }
            tokio::select! {
                result = results.recv() => inputs.extend(result),
                _ = ticks.tick() => {
                    outage_ticks = if log.faults().is_down { outage_ticks + 1 } else { 0 };
                    if outage_ticks > OUTAGE_TICKS {
                        log.set_faults(LogFaults::default());
                    }
                }
            }
        }
    };
    timeout(RUN_TIMEOUT, run)
        .await
        .expect("all records are committed");
    let reply = log.read("s", Offset(0), usize::MAX);
    let mut known_ids = BTreeSet::new();
    let ids = reply.records.iter();
    let ids = ids.map(|r| (record_id(&r.record).unwrap(), r.offset));
    let first_copies: Vec<(RecordId, Offset)> =
        ids.filter(|(id, _)| known_ids.insert(*id)).collect();
    assert_eq!(committed, first_copies);
    assert!(first_copies.iter().map(|(id, _)| id.0).eq(0..RECORD_COUNT));
}

/// Returns the faults after `committed` records, so that the run meets each kind of fault.
fn faults_after(committed: usize) -> LogFaults {
    match committed % 12 {
        0..3 => LogFaults::default().with_lost_responses(1),
        3..6 => LogFaults::default().with_delay(Millis(150)),
        6..9 => LogFaults::default().with_down(),
        _ => LogFaults::default(),
    }
}
