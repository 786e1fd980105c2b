//! Text of each record, order and observation in a session.

use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{CellRecord, ConfRecord, Envelope, Event, EventKind, Order};

use super::histories::{History, incarnation_name};
use crate::invariants::{Observation, TaskEnd};

/// Returns the text of an append.
pub(super) fn append_text(history: &mut History, stream: &str, texts: &[String]) -> String {
    let records: Vec<String> = texts
        .iter()
        .map(|t| record_text(history, stream, t))
        .collect();
    format!("append to {stream}: {}", records.join("; "))
}

fn record_text(history: &mut History, stream: &str, text: &str) -> String {
    let (id, text) = if stream == CONF_STREAM {
        let record: Envelope<ConfRecord> = serde_json::from_str(text).expect("a record");
        (record.id, conf_text(&record.body))
    } else {
        let record: Envelope<CellRecord> = serde_json::from_str(text).expect("a record");
        let text = format!("{} (term {})", cell_text(&record.body), record.term);
        (record.id, text)
    };
    if history.is_first_append(stream, id) {
        return text;
    }
    format!("again {text}")
}

fn conf_text(record: &ConfRecord) -> String {
    match record {
        ConfRecord::Put { base, doc } => format!(
            "put {} over version {base}, pause {} s",
            doc.service, doc.moves.pause
        ),
        ConfRecord::Remove { service, base } => format!("remove {service}, version {base}"),
        ConfRecord::Domain {
            domain,
            base,
            state,
            ..
        } => format!("{domain} {state:?} over version {base}"),
        ConfRecord::Quota { team, base, .. } => format!("quota of {team} over version {base}"),
        ConfRecord::Snapshot { upto, .. } => format!("snapshot up to {upto}"),
    }
}

fn cell_text(record: &CellRecord) -> String {
    match record {
        CellRecord::Claim {
            owner,
            incarnation,
            prior,
        } => {
            let prior = prior.map_or("none".to_owned(), |term| format!("term {term}"));
            format!(
                "claim by {owner} {} after {prior}",
                incarnation_name(*incarnation)
            )
        }
        CellRecord::Resigned => "resigned".to_owned(),
        CellRecord::Accepted {
            spec,
            attempt,
            checkpoint,
            ..
        } if attempt.0 > 0 => {
            format!("accepted {} after #{attempt} at {checkpoint} ms", spec.id)
        }
        CellRecord::Accepted { spec, .. } => format!("accepted {}", spec.id),
        CellRecord::Intents(intents) => {
            let intents = intents.iter();
            let intents = intents.map(|i| format!("{}#{} on {}", i.job, i.attempt, i.worker));
            format!("intents {}", intents.collect::<Vec<_>>().join(", "))
        }
        CellRecord::Finished { job, attempt, .. } => format!("finished {job}#{attempt}"),
        CellRecord::Released {
            job,
            attempt,
            checkpoint,
            cause,
        } => format!("released {job}#{attempt} at {checkpoint} ms: {cause}"),
        CellRecord::Failed {
            job,
            attempt,
            cause,
        } => format!("failed {job}#{attempt}: {cause}"),
        CellRecord::Lost {
            job,
            attempt,
            checkpoint,
            crash: Some(crash),
        } => format!("lost {job}#{attempt} at {checkpoint} ms with a crash ({crash})"),
        CellRecord::Lost {
            job,
            attempt,
            checkpoint,
            crash: None,
        } => format!("lost {job}#{attempt} at {checkpoint} ms"),
        CellRecord::Abandoned { job, cause } => format!("abandoned {job}: {cause}"),
        CellRecord::Cancelled { job } => format!("cancelled {job}"),
        CellRecord::Moved { job, to } => format!("moved {job} to {to}"),
        CellRecord::Delivered { job } => format!("delivered {job}"),
        CellRecord::Fetched { job, receipt } => format!("taken {job} under receipt {receipt}"),
        CellRecord::Snapshot { upto, .. } => format!("snapshot up to {upto}"),
    }
}

/// Returns the text of an order.
pub(super) fn order_text(order: &Order) -> String {
    match order {
        Order::Start(start) if start.checkpoint > 0 => format!(
            "start {}#{} from {} ms",
            start.job, start.attempt, start.checkpoint
        ),
        Order::Start(start) => format!("start {}#{}", start.job, start.attempt),
        Order::Throttle {
            job,
            attempt,
            percent,
        } => format!("throttle {job}#{attempt} to {percent} percent"),
        Order::Evict { job, attempt } => format!("evict {job}#{attempt}"),
        Order::Stop { job, attempt } => format!("stop {job}#{attempt}"),
    }
}

/// Returns the text of a worker's event.
pub(super) fn event_text(event: &Event) -> String {
    let text = match &event.kind {
        EventKind::Started => "started".to_owned(),
        EventKind::Finished { .. } => "finished".to_owned(),
        EventKind::Failed { cause } => format!("failed ({cause})"),
        EventKind::Evicted { checkpoint } => format!("evicted at {checkpoint} ms"),
        EventKind::Stopped => "stopped".to_owned(),
    };
    format!("{}#{} {text}", event.job, event.attempt)
}

/// Returns the process and the text of an observation, or `None` if messages show it or it repeats
/// the previous one.
pub(super) fn observation_text(
    history: &mut History,
    obs: &Observation,
) -> Option<(String, String)> {
    match obs {
        Observation::TaskStarted {
            worker,
            job,
            attempt,
            ..
        } => Some((worker.to_string(), format!("{job}#{attempt} begins"))),
        Observation::TaskEnded {
            worker,
            job,
            attempt,
            end,
        } => {
            let end = match end {
                TaskEnd::Finished => "ends: finished",
                TaskEnd::Evicted => "ends: checkpoint kept",
                TaskEnd::Aborted => "ends: gone",
            };
            Some((worker.to_string(), format!("{job}#{attempt} {end}")))
        }
        Observation::DomainReported { domain, state } => {
            let text = format!("told: {domain} is {state:?}");
            let has_changed = history.has_changed(format!("told {domain}"), &text);
            has_changed.then(|| ("operators".to_owned(), text))
        }
        Observation::ConfReported(status) => {
            let text = format!("has configuration version {}", status.version);
            let subject = format!("conf {} {}", status.daemon, status.incarnation);
            let has_changed = history.has_changed(subject, &text);
            has_changed.then(|| (status.daemon.clone(), text))
        }
        Observation::ServerStopped { agent, is_planned } => {
            let cause = if *is_planned {
                "as planned"
            } else {
                "by a fault"
            };
            Some((agent.to_string(), format!("stops {cause}")))
        }
        _ => None,
    }
}
