//! Processor time and sizes of the configuration.

use std::sync::Arc;

use hyssop_conf::{ApplyOutcome, ConfStore};
use hyssop_core::{ConfRecord, EntryName, Envelope, Offset, RecordId, ServiceDoc, Term, Version};

use super::bytes::bincode_len;
use super::fixtures::service_document;
use crate::clocks::thread_cpu_time;
use crate::reports::{Report, Series};

/// Number of changes in each measurement.
const CHANGE_COUNT: u32 = 64;

fn put_record(offset: u64, base: u64, doc: ServiceDoc) -> Envelope<ConfRecord> {
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
    let (mut times_us, mut view_bytes, mut record_bytes) = (Vec::new(), Vec::new(), Vec::new());
    for docs in [10, 68, 250, 1_000] {
        let (time, view) = measure_apply(docs);
        times_us.push((f64::from(docs), time));
        view_bytes.push((f64::from(docs), view));
        record_bytes.push((f64::from(docs), snapshot_record_len(docs)));
    }
    let name = "ConfStore::apply of one change, with the reader's copy of the view";
    report.add_series(Series::new(name, "documents", "us", times_us));
    report.add_series(Series::new(
        "ConfView in bincode",
        "documents",
        "bytes",
        view_bytes,
    ));
    let name = "configuration snapshot record in JSON";
    report.add_series(Series::new(name, "documents", "bytes", record_bytes));
}

fn store_with_documents(docs: u32) -> ConfStore {
    let mut store = ConfStore::new();
    for n in 0..docs {
        let record = put_record(u64::from(n), 0, service_document(&format!("service-{n}")));
        store.apply(Offset(u64::from(n)), &record);
    }
    store
}

/// Returns the time of one change in microseconds and the size of the view in bytes.
fn measure_apply(docs: u32) -> (f64, f64) {
    let mut store = store_with_documents(docs);
    let mut reader_view = Arc::clone(store.view());
    let mut total = std::time::Duration::ZERO;
    let mut version = 0;
    for n in 0..CHANGE_COUNT {
        let offset = u64::from(docs + n);
        let record = put_record(offset, version, service_document("service-0"));
        let start = thread_cpu_time();
        let applied = store.apply(Offset(offset), &record);
        total += thread_cpu_time().saturating_sub(start);
        // The request path holds the earlier view while a change is applied, which forces a copy.
        reader_view = Arc::clone(store.view());
        assert!(
            matches!(applied, ApplyOutcome::Accepted { .. }),
            "{applied:?}"
        );
        version = offset;
    }
    let time = total.as_secs_f64() * 1e6 / f64::from(CHANGE_COUNT);
    (time, bincode_len(&*reader_view))
}

fn snapshot_record_len(docs: u32) -> f64 {
    let store = store_with_documents(docs);
    let record = Envelope {
        id: RecordId(1),
        writer: EntryName::new("entry-a").expect("a valid name"),
        term: Term(0),
        body: store.snapshot(store.next_offset()),
    };
    super::bytes::json_len(&record)
}
