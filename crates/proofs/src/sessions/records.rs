//! Texts of records, orders and observations.

use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{CellRecord, ConfRecord, Envelope, Event, EventKind, Order};

use super::histories::{Memory, life};
use crate::invariants::{Obs, TaskEnd};

/// Returns the text of an append.
pub(super) fn append(memory: &mut Memory, stream: &str, texts: &[String]) -> String {
    let records: Vec<String> = texts.iter().map(|t| one(memory, stream, t)).collect();
    format!("append to {stream}: {}", records.join("; "))
}

fn one(memory: &mut Memory, stream: &str, text: &str) -> String {
    let (id, text) = if stream == CONF_STREAM {
        let record: Envelope<ConfRecord> = serde_json::from_str(text).expect("a record");
        (record.id, conf(&record.body))
    } else {
        let record: Envelope<CellRecord> = serde_json::from_str(text).expect("a record");
        let text = format!("{} (term {})", cell(&record.body), record.term);
        (record.id, text)
    };
    if memory.is_first(stream, id) {
        return text;
    }
    format!("again {text}")
}

fn conf(record: &ConfRecord) -> String {
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

fn cell(record: &CellRecord) -> String {
    match record {
        CellRecord::Claim {
            owner,
            incarnation,
            prior,
        } => {
            let prior = prior.map_or("none".to_owned(), |term| format!("term {term}"));
            format!("claim by {owner} {} after {prior}", life(*incarnation))
        }
        CellRecord::Resigned => "resigned".to_owned(),
        CellRecord::Accepted {
            spec,
            attempt,
            checkpoint,
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
pub(super) fn order(order: &Order) -> String {
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
pub(super) fn event(event: &Event) -> String {
    let what = match &event.kind {
        EventKind::Started => "started".to_owned(),
        EventKind::Finished { .. } => "finished".to_owned(),
        EventKind::Failed { cause } => format!("failed ({cause})"),
        EventKind::Evicted { checkpoint } => format!("evicted at {checkpoint} ms"),
        EventKind::Stopped => "stopped".to_owned(),
    };
    format!("{}#{} {what}", event.job, event.attempt)
}

/// Returns who shows an observation and its text, if messages do not show it.
pub(super) fn observation(memory: &mut Memory, obs: &Obs) -> Option<(String, String)> {
    match obs {
        Obs::Started {
            worker,
            job,
            attempt,
            ..
        } => Some((worker.to_string(), format!("{job}#{attempt} begins"))),
        Obs::Ended {
            worker,
            job,
            attempt,
            end,
        } => {
            let end = match end {
                TaskEnd::Finished => "ends: finished",
                TaskEnd::Evicted => "ends: checkpoint kept",
                TaskEnd::Gone => "ends: gone",
            };
            Some((worker.to_string(), format!("{job}#{attempt} {end}")))
        }
        Obs::DomainTold { domain, state } => {
            let text = format!("told: {domain} is {state:?}");
            let news = memory.is_news(format!("told {domain}"), &text);
            news.then(|| ("operators".to_owned(), text))
        }
        Obs::Conf(seen) => {
            let text = format!("has configuration version {}", seen.version);
            let subject = format!("conf {} {}", seen.daemon, seen.life);
            let news = memory.is_news(subject, &text);
            news.then(|| (seen.daemon.clone(), text))
        }
        Obs::Stopped { agent, planned } => {
            let how = if *planned { "as planned" } else { "by a fault" };
            Some((agent.to_string(), format!("stops {how}")))
        }
        _ => None,
    }
}
