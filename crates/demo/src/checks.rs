//! Checks of the guarantees against what the stand-ins ran.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{Result, bail};
use hyssop_core::JobId;
use hyssop_standins::{BackendLedger, LedgerEntry, RequestRun, TaskChange, WorkerLedger};

/// Returns the runs of requests with a key, by key.
pub fn runs_by_key<'a>(
    ledgers: impl IntoIterator<Item = &'a BackendLedger>,
) -> BTreeMap<String, Vec<RequestRun>> {
    let mut found = BTreeMap::<_, Vec<_>>::new();
    for run in ledgers.into_iter().flat_map(|ledger| &ledger.runs) {
        if let Some(key) = &run.key {
            found.entry(key.clone()).or_default().push(run.clone());
        }
    }
    found
}

/// Checks that no key ran twice, that each request answered whole ran, and that none that was
/// refused as not run did.
///
/// # Errors
///
/// Returns an error that names the keys at fault.
pub fn check_requests<'a>(
    ledgers: impl IntoIterator<Item = &'a BackendLedger>,
    whole: &[String],
    not_run: &[String],
) -> Result<()> {
    let runs = runs_by_key(ledgers);
    let twice = runs.iter().filter(|(_, runs)| runs.len() > 1);
    let twice: Vec<_> = twice.map(|(key, _)| key).collect();
    if !twice.is_empty() {
        bail!("requests that ran more than once: {twice:?}");
    }
    let missing = whole.iter().filter(|key| !runs.contains_key(*key));
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

/// Checks that each job finished once.
///
/// # Errors
///
/// Returns an error that names the jobs at fault.
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

/// Counts the tasks that have started and not ended.
#[must_use]
pub fn count_running(entries: &[LedgerEntry]) -> usize {
    let started = count_changes(entries, TaskChange::Started);
    started - (entries.len() - started)
}

/// Counts the changes of one kind.
#[must_use]
pub fn count_changes(entries: &[LedgerEntry], change: TaskChange) -> usize {
    let found = entries.iter().filter(|entry| entry.change == change);
    found.count()
}
