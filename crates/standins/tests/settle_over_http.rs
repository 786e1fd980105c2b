//! The settler, the client and the log service together, while answers are lost and the log is
//! slow or down.

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

const RECORDS: u128 = 60;
/// Ticks after which an outage ends.
const OUTAGE_TICKS: u32 = 10;
/// Bound on the whole run; reached only when the test fails.
const PATIENCE: Duration = Duration::from_secs(60);

/// Carries out one output and sends back its result.
async fn carry_out(client: LogClient, output: TrackerOutput, done: mpsc::Sender<TrackerInput>) {
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
        other => panic!("not an order: {other:?}"),
    };
    done.send(input).await.unwrap();
}

/// Guards against records lost or counted twice, and against a settler that stops, when the
/// pieces are put together.
#[tokio::test]
async fn every_record_settles_through_faults() {
    let log = LogServer::start(LogServerOptions::default()).await.unwrap();
    let options = LogOptions::default().with_append_timeout(Millis(100));
    let client = LogClient::new(log.address().to_string(), options).unwrap();
    let options = TrackerOptions::default()
        .with_max_batch(4)
        .with_backoff(Millis(10), Millis(50));
    let mut settler = CommitTracker::new(options, Offset(0), 3);
    let start = Instant::now();
    let now = || Millis(start.elapsed().as_millis() as u64);
    let (done, mut results) = mpsc::channel(16);
    let submit = |id| {
        let id = RecordId(id);
        let text = format!("{{\"id\":\"{id}\"}}");
        TrackerInput::Submit(Submission::new(id, Term(0), text))
    };
    let mut inputs: Vec<TrackerInput> = (0..RECORDS).map(submit).collect();
    let mut settled = Vec::new();
    let mut outage = 0;
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let run = async {
        while settled.len() < RECORDS as usize {
            for output in settler.tick(now(), inputs.drain(..)) {
                if let TrackerOutput::Committed { id, offset } = output {
                    settled.push((id, offset));
                    log.set_faults(fault_after(settled.len()));
                } else {
                    tokio::spawn(carry_out(client.clone(), output, done.clone()));
                }
            }
            tokio::select! {
                result = results.recv() => inputs.extend(result),
                _ = ticks.tick() => {
                    outage = if log.faults().is_down { outage + 1 } else { 0 };
                    if outage > OUTAGE_TICKS {
                        log.set_faults(LogFaults::default());
                    }
                }
            }
        }
    };
    timeout(PATIENCE, run).await.expect("everything settles");
    let reply = log.read("s", Offset(0), usize::MAX);
    let mut seen = BTreeSet::new();
    let ids = reply.records.iter();
    let ids = ids.map(|r| (record_id(&r.record).unwrap(), r.offset));
    let first: Vec<(RecordId, Offset)> = ids.filter(|(id, _)| seen.insert(*id)).collect();
    assert_eq!(settled, first);
    assert!(first.iter().map(|(id, _)| id.0).eq(0..RECORDS));
}

/// Changes the faults as records settle, so that each kind is met.
fn fault_after(settled: usize) -> LogFaults {
    match settled % 12 {
        0..3 => LogFaults::default().with_lost_responses(1),
        3..6 => LogFaults::default().with_delay(Millis(150)),
        6..9 => LogFaults::default().with_down(),
        _ => LogFaults::default(),
    }
}
