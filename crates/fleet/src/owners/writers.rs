//! Appends of the owner: one after the other, each repeated until it is stored.

use std::time::Duration;

use hyssop_jobs::Stored;
use hyssop_platform::{AppendOptions, NewestRecord, Store, StoreError, Writer};
use tokio::time::{Instant, sleep};

use super::WRITER;
use crate::metrics::metrics;

/// Time within which the store has to answer before the append is repeated. On a slow day it takes
/// about half a second; a repetition gets the first one's answer.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which a page of the jobs has to come.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause before a call is repeated; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(40);
/// Longest pause before a call is repeated, so that the return of the store is noticed soon.
const MAX_BACKOFF: Duration = Duration::from_millis(240);

/// Key and value of a record, without a value to drop the key.
pub(super) type RecordEntry = (String, Option<Vec<u8>>);

/// Writes one topic as the owner of an epoch.
#[derive(Clone, Debug)]
pub(super) struct EpochWriter {
    store: Store,
    topic: &'static str,
    epoch: u64,
    /// Number of the next append in the store's count, which has no gaps.
    next_append: u64,
}

impl EpochWriter {
    pub(super) const fn new(store: Store, topic: &'static str, epoch: u64) -> Self {
        Self {
            store,
            topic,
            epoch,
            next_append: 0,
        }
    }

    /// Shuts out earlier owners and returns all that they stored, or none if a later owner has
    /// shut out this one.
    pub(super) async fn load(&mut self) -> Option<Stored> {
        self.append(&[]).await.then_some(())?;
        loop {
            match self.store.newest(self.topic, LOAD_TIMEOUT).await {
                Ok(newest) => {
                    let pair = |item: NewestRecord| (item.key, item.value);
                    return Some(newest.items.into_iter().map(pair).collect());
                }
                Err(error) => log::warn!("{} not read yet: {error}", self.topic),
            }
            sleep(MIN_BACKOFF).await;
        }
    }

    /// Appends records. Returns whether they are stored; if not, a later owner has shut out this
    /// one.
    pub(super) async fn append(&mut self, records: &[RecordEntry]) -> bool {
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
        let mut failures = 0;
        let started_at = Instant::now();
        loop {
            let call = self
                .store
                .append(self.topic, records, options, APPEND_TIMEOUT);
            match call.await {
                Ok(_) => {
                    if failures > 0 {
                        log::info!(number = number, failures = failures; "append stored at last");
                    }
                    self.next_append += 1;
                    metrics().record_call("append", "ok", started_at.elapsed());
                    return true;
                }
                Err(StoreError::Fenced) => {
                    metrics().record_call("append", "fenced", started_at.elapsed());
                    log::warn!(epoch = self.epoch; "append refused: a later owner has written");
                    return false;
                }
                Err(error) if failures == 0 => {
                    log::warn!(number = number; "append not stored yet: {error}");
                }
                // The first failure is logged, and their number at the end.
                Err(_) => {}
            }
            sleep(backoff(failures)).await;
            failures += 1;
        }
    }
}

/// Returns the pause after a number of failures in a row.
fn backoff(failures: u32) -> Duration {
    (MIN_BACKOFF * (1 << failures.min(4))).min(MAX_BACKOFF)
}
