//! Writer of an owner: sequential appends, each repeated until it is stored or refused for good.

use std::time::Duration;

use hyssop_jobs::StoredRecords;
use hyssop_platform::{
    AppendOptions, NewestRecord, NewestRecords, Store, StoreError, Writer, append_bytes,
};
use tokio::time::{Instant, sleep};

use super::WRITER;
use crate::metrics::metrics;

/// Timeout after which a small append is repeated. A slow store takes about half a second; a repeated
/// append gets the response of the first one.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Multiple of the time that the store takes for the bytes of an append by which the timeout is longer.
/// A repetition that is sent before the store is done waits behind the append.
const APPEND_TIME_FACTOR: f64 = 2.0;
/// Lowest rate of appends that is believed, in MB per second.
const MIN_APPEND_RATE: f64 = 0.001;
/// Timeout of one page when the topic is loaded.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before a call is repeated; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(40);
/// Maximum delay before a call is repeated. It is short so that the recovery of the store is
/// noticed soon.
const MAX_BACKOFF: Duration = Duration::from_millis(240);

/// Key and value of a record. A record without a value drops its key.
pub(super) type KeyedRecord = (String, Option<Vec<u8>>);

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Append {
    /// All records are stored.
    Stored,
    /// A later owner has fenced this one.
    Fenced,
    /// The store refuses these records every time, with this HTTP status, and has stored none.
    Refused(u16),
}

/// Writes one topic as the owner of an epoch. The store rejects it once a later owner has written.
#[derive(Clone, Debug)]
pub(super) struct EpochWriter {
    store: Store,
    topic: &'static str,
    epoch: u64,
    /// Rate at which the store takes appends, in MB per second.
    append_rate: f64,
    /// Number of the next append. The store requires numbers without gaps.
    next_append: u64,
}

impl EpochWriter {
    pub(super) const fn new(
        store: Store,
        topic: &'static str,
        epoch: u64,
        append_rate: f64,
    ) -> Self {
        Self {
            store,
            topic,
            epoch,
            append_rate,
            next_append: 0,
        }
    }

    /// Fences earlier owners and returns all records that they stored, or none if a later owner has
    /// fenced this one.
    pub(super) async fn load(&mut self) -> Option<StoredRecords> {
        // Without records, nothing can be left out, so that a refusal can only pass.
        loop {
            match self.append(&[]).await {
                Append::Stored => break,
                Append::Fenced => return None,
                Append::Refused(_) => sleep(MAX_BACKOFF).await,
            }
        }
        // Nobody else writes the topic any more, so that the pages that were read stay true.
        let mut newest = NewestRecords::default();
        loop {
            match self
                .store
                .read_page(self.topic, &mut newest, LOAD_TIMEOUT)
                .await
            {
                Ok(true) => {}
                Ok(false) => {
                    let pair = |item: NewestRecord| (item.key, item.value);
                    return Some(newest.items.into_iter().map(pair).collect());
                }
                Err(error) => {
                    let records = newest.items.len();
                    log::warn!(records = records; "topic {} not loaded yet: {error}", self.topic);
                    sleep(MIN_BACKOFF).await;
                }
            }
        }
    }

    /// Returns the timeout of an append.
    fn append_timeout(&self, records: &[KeyedRecord]) -> Duration {
        let sizes = records
            .iter()
            .map(|(key, value)| append_bytes(key.len(), value.as_ref().map_or(0, Vec::len)));
        let bytes_per_second = self.append_rate.max(MIN_APPEND_RATE) * 1e6;
        let seconds = sizes.sum::<usize>() as f64 / bytes_per_second;
        APPEND_TIMEOUT + Duration::from_secs_f64(APPEND_TIME_FACTOR * seconds)
    }

    /// Appends records, repeating the call until it succeeds, a later owner has fenced this one, or the
    /// store refuses the records for good. The next append then has the number of the refused one.
    pub(super) async fn append(&mut self, records: &[KeyedRecord]) -> Append {
        let number = self.next_append;
        let writer = Writer {
            name: WRITER,
            epoch: self.epoch,
            number,
        };
        let options = AppendOptions {
            expected_end: None,
            writer: Some(writer),
        };
        let timeout = self.append_timeout(records);
        let mut failures = 0;
        let started_at = Instant::now();
        loop {
            let call = self.store.append(self.topic, records, options, timeout);
            match call.await {
                Ok(_) => {
                    if failures > 0 {
                        log::info!(number = number, failures = failures; "append stored after failures");
                    }
                    self.next_append += 1;
                    metrics().record_call("append", "ok", started_at.elapsed());
                    return Append::Stored;
                }
                Err(StoreError::Fenced) => {
                    metrics().record_call("append", "fenced", started_at.elapsed());
                    log::warn!(epoch = self.epoch; "append fenced by a later owner");
                    return Append::Fenced;
                }
                Err(StoreError::Refused(status)) if StoreError::Refused(status).is_final() => {
                    metrics().record_call("append", "refused", started_at.elapsed());
                    log::warn!(number = number, records = records.len(), status = status; "append refused");
                    return Append::Refused(status);
                }
                Err(error) if failures == 0 => {
                    log::warn!(number = number; "append not stored yet: {error}");
                }
                // Only the first failure is logged; their number is logged on success.
                Err(_) => {}
            }
            sleep(backoff(failures)).await;
            failures += 1;
        }
    }
}

/// Returns the delay after a number of consecutive failures.
fn backoff(failures: u32) -> Duration {
    (MIN_BACKOFF * (1 << failures.min(4))).min(MAX_BACKOFF)
}
