//! Appends of the owner: one after the other, each repeated until it is stored.

use std::time::Duration;

use hyssop_jobs::StoredRecords;
use hyssop_platform::{AppendOptions, Item, Store, StoreError, Writer};
use tokio::time::{Instant, sleep};

use super::WRITER;
use crate::metrics::metrics;

/// Time within which the store has to answer before the append is repeated. On a slow day it takes
/// about half a second; a repetition gets the first one's answer.
const APPEND_LIMIT: Duration = Duration::from_millis(900);
/// Time within which a page of the jobs has to come.
const LOAD_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause before a call is repeated; it doubles up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(40);
/// Longest pause before a call is repeated, so that the return of the store is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(240);

/// Key and value of a record, without a value to drop the key.
pub(super) type Entry = (String, Option<Vec<u8>>);

/// Writes one topic as the owner of an epoch.
#[derive(Clone, Debug)]
pub(super) struct EpochWriter {
    store: Store,
    topic: &'static str,
    epoch: u64,
    /// Number of the next append in the store's count, which has no gaps.
    next: u64,
}

impl EpochWriter {
    pub(super) const fn new(store: Store, topic: &'static str, epoch: u64) -> Self {
        Self {
            store,
            topic,
            epoch,
            next: 0,
        }
    }

    /// Shuts out earlier owners and returns all that they stored, or none if a later owner has
    /// shut out this one.
    pub(super) async fn load(&mut self) -> Option<StoredRecords> {
        self.append(&[]).await.then_some(())?;
        loop {
            match self.store.newest(self.topic, LOAD_LIMIT).await {
                Ok(newest) => {
                    let pair = |item: Item| (item.key, item.value);
                    return Some(newest.items.into_iter().map(pair).collect());
                }
                Err(error) => log::warn!("{} not read yet: {error}", self.topic),
            }
            sleep(PAUSE).await;
        }
    }

    /// Appends records. Returns whether they are stored; if not, a later owner has shut out this
    /// one.
    pub(super) async fn append(&mut self, records: &[Entry]) -> bool {
        let number = self.next;
        let writer = Writer {
            name: WRITER,
            epoch: self.epoch,
            number,
        };
        let options = AppendOptions {
            at: None,
            writer: Some(writer),
        };
        let mut failures = 0;
        let began = Instant::now();
        loop {
            let call = self
                .store
                .append(self.topic, records, options, APPEND_LIMIT);
            match call.await {
                Ok(_) => {
                    if failures > 0 {
                        log::info!(number = number, failures = failures; "append stored at last");
                    }
                    self.next += 1;
                    metrics().call("append", "ok", began.elapsed());
                    return true;
                }
                Err(StoreError::Fenced) => {
                    metrics().call("append", "fenced", began.elapsed());
                    log::warn!(epoch = self.epoch; "append refused: a later owner has written");
                    return false;
                }
                Err(error) if failures == 0 => {
                    log::warn!(number = number; "append not stored yet: {error}");
                }
                // The first failure is logged, and their number at the end.
                Err(_) => {}
            }
            sleep(pause(failures)).await;
            failures += 1;
        }
    }
}

/// Returns the pause after a number of failures in a row.
fn pause(failures: u32) -> Duration {
    (PAUSE * (1 << failures.min(4))).min(LONGEST_PAUSE)
}
