//! Processor time and bytes of the configuration.

use std::sync::Arc;

use hyssop_conf::{ApplyOutcome, ConfStore};
use hyssop_core::{ConfRecord, EntryName, Envelope, Offset, RecordId, ServiceDoc, Term, Version};

use super::bytes::bincode_len;
use super::fixtures::document;
use crate::clocks::cpu_time;
use crate::reports::{Report, Series};

/// Changes measured at each size.
const CHANGES: u32 = 64;

fn put(offset: u64, base: u64, doc: ServiceDoc) -> Envelope<ConfRecord> {
    Envelope {
        id: RecordId(u128::from(offset) + 1),
        writer: EntryName::new("entry-a").expect("a valid name"),
        term: Term(0),
        body: ConfRecord::Put {
            base: Version(base),
            doc,
        },
    }
}

pub(super) fn measure(report: &mut Report) {
    let (mut times, mut views, mut records) = (Vec::new(), Vec::new(), Vec::new());
    for docs in [10, 68, 250, 1_000] {
        let (time, view) = apply(docs);
        times.push((f64::from(docs), time));
        views.push((f64::from(docs), view));
        records.push((f64::from(docs), record(docs)));
    }
    let name = "ConfStore::apply of one change, with the reader's copy of the view";
    report.add(Series::new(name, "documents", "us", times));
    report.add(Series::new(
        "ConfView in bincode",
        "documents",
        "bytes",
        views,
    ));
    let name = "configuration snapshot record in JSON";
    report.add(Series::new(name, "documents", "bytes", records));
}

fn filled(docs: u32) -> ConfStore {
    let mut store = ConfStore::new();
    for n in 0..docs {
        let record = put(u64::from(n), 0, document(&format!("service-{n}")));
        store.apply(Offset(u64::from(n)), &record);
    }
    store
}

/// Returns the time of one change and the size of the view.
fn apply(docs: u32) -> (f64, f64) {
    let mut store = filled(docs);
    let mut held = Arc::clone(store.view());
    let mut total = std::time::Duration::ZERO;
    let mut version = 0;
    for n in 0..CHANGES {
        let offset = u64::from(docs + n);
        let record = put(offset, version, document("service-0"));
        let start = cpu_time();
        let applied = store.apply(Offset(offset), &record);
        total += cpu_time().saturating_sub(start);
        // A reader holds the earlier view, as the request path does.
        held = Arc::clone(store.view());
        assert!(
            matches!(applied, ApplyOutcome::Accepted { .. }),
            "{applied:?}"
        );
        version = offset;
    }
    let time = total.as_secs_f64() * 1e6 / f64::from(CHANGES);
    (time, bincode_len(&*held))
}

fn record(docs: u32) -> f64 {
    let store = filled(docs);
    let record = Envelope {
        id: RecordId(1),
        writer: EntryName::new("entry-a").expect("a valid name"),
        term: Term(0),
        body: store.snapshot(store.next_offset()),
    };
    super::bytes::json_len(&record)
}
