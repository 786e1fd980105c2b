//! Checks of the scheduler's guarantees against the ledgers of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{Result, bail};
use hyssop_core::JobId;
use hyssop_standins::{BackendLedger, LedgerEntry, RequestRun, TaskChange, WorkerLedger};

/// Groups the runs of requests by request key; runs without a key are left out.
pub fn runs_by_key<'a>(
    ledgers: impl IntoIterator<Item = &'a BackendLedger>,
) -> BTreeMap<String, Vec<RequestRun>> {
    let mut by_key = BTreeMap::<_, Vec<_>>::new();
    for run in ledgers.into_iter().flat_map(|ledger| &ledger.runs) {
        if let Some(key) = &run.key {
            by_key.entry(key.clone()).or_default().push(run.clone());
        }
    }
    by_key
}

/// Checks that no request ran more than once, that each request with a complete response ran, and
/// that no request reported as not run did. Keys in `complete` and `not_run` are tickets.
///
/// # Errors
///
/// Returns an error that lists the violating keys.
pub fn check_requests<'a>(
    ledgers: impl IntoIterator<Item = &'a BackendLedger>,
    complete: &[String],
    not_run: &[String],
) -> Result<()> {
    let runs = runs_by_key(ledgers);
    let twice = runs.iter().filter(|(_, runs)| runs.len() > 1);
    let twice: Vec<_> = twice.map(|(key, _)| key).collect();
    if !twice.is_empty() {
        bail!("requests that ran more than once: {twice:?}");
    }
    let missing = complete.iter().filter(|key| !runs.contains_key(*key));
    let missing: Vec<_> = missing.collect();
    if !missing.is_empty() {
        bail!("requests that were answered whole and did not run: {missing:?}");
    }
    let ran = not_run.iter().filter(|key| runs.contains_key(*key));
    let ran: Vec<_> = ran.collect();
    if !ran.is_empty() {
        bail!("requests that were refused as not run and ran: {ran:?}");
    }
    Ok(())
}

/// Checks that each of `jobs` finished exactly once.
///
/// # Errors
///
/// Returns an error that lists the violating jobs.
pub fn check_jobs<'a>(
    ledgers: impl IntoIterator<Item = &'a WorkerLedger>,
    jobs: &BTreeSet<JobId>,
) -> Result<()> {
    let mut finished = BTreeMap::<_, u32>::new();
    for entry in ledgers.into_iter().flat_map(|ledger| &ledger.entries) {
        if entry.change == TaskChange::Finished {
            *finished.entry(&entry.job).or_default() += 1;
        }
    }
    let wrong = jobs.iter().filter(|job| finished.get(job) != Some(&1));
    let wrong: Vec<_> = wrong.collect();
    if !wrong.is_empty() {
        bail!("jobs that did not finish exactly once: {wrong:?}");
    }
    Ok(())
}

/// Returns the number of tasks that have started and not ended.
#[must_use]
pub fn count_running(entries: &[LedgerEntry]) -> usize {
    let started = count_changes(entries, TaskChange::Started);
    started - (entries.len() - started)
}

/// Returns the number of changes of one kind.
#[must_use]
pub fn count_changes(entries: &[LedgerEntry], change: TaskChange) -> usize {
    let matching = entries.iter().filter(|entry| entry.change == change);
    matching.count()
}
