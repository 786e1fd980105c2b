//! Follows the operators' topic of the store: routes, closed failure domains and maintenance waves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hyssop_jobs::{MaintenanceWave, Policy};
use hyssop_platform::{
    OPERATOR_TOPIC, OperatorKey, Routes, Store, StoreError, parse_operator_key,
    read_closed_domains, read_routes, read_wave,
};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::owners::Ownership;

/// Longest time that one read waits for a change. A dead connection is noticed after it.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);
/// Timeout of a read beyond the time that it waits for a change.
const READ_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of a read of the newest records.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Keeps the current configuration and publishes it to the owner as a policy.
#[derive(Debug)]
pub(super) struct PolicyFollower {
    store: Store,
    ownership: Arc<Ownership>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    closed_domains: BTreeSet<Arc<str>>,
    waves: BTreeMap<u64, MaintenanceWave>,
}

impl PolicyFollower {
    pub(super) fn new(store: Store, ownership: Arc<Ownership>) -> Self {
        Self {
            store,
            ownership,
            routes: watch::Sender::new(None),
            closed_domains: BTreeSet::new(),
            waves: BTreeMap::new(),
        }
    }

    /// Returns a receiver of the current routes, which are none until the first ones are read.
    pub(super) fn routes(&self) -> watch::Receiver<Option<Arc<Routes>>> {
        self.routes.subscribe()
    }

    /// Follows the topic for as long as the process runs.
    pub(super) async fn run(mut self) {
        let mut end = None;
        let mut has_failed = false;
        loop {
            let result = match end {
                None => self.read_newest().await,
                Some(from) => self.read_changes(from).await,
            };
            match result {
                Ok(next) => {
                    if has_failed {
                        log::info!("operator records are readable again");
                    }
                    has_failed = false;
                    end = Some(next);
                }
                Err(error) => {
                    if !has_failed {
                        log::warn!("operator records not read: {error}");
                    }
                    has_failed = true;
                    end = None;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read_newest(&mut self) -> Result<u64, StoreError> {
        let newest = self.store.newest(OPERATOR_TOPIC, NEWEST_TIMEOUT).await?;
        let keys = newest.items.iter().map(|item| item.key.as_str());
        self.closed_domains = read_closed_domains(keys);
        self.waves.clear();
        for item in &newest.items {
            match parse_operator_key(&item.key) {
                OperatorKey::Routes => self.apply_routes(&item.value),
                OperatorKey::Wave(number) => self.apply_wave(number, &item.value),
                OperatorKey::ClosedDomain(_) | OperatorKey::Other => {}
            }
        }
        self.publish();
        Ok(newest.end)
    }

    async fn read_changes(&mut self, from: u64) -> Result<u64, StoreError> {
        let chunk = self
            .store
            .read(OPERATOR_TOPIC, from, MAX_READ_WAIT, READ_MARGIN)
            .await?;
        for (key, value) in &chunk.changes {
            match (parse_operator_key(key), value) {
                (OperatorKey::Routes, Some(value)) => self.apply_routes(value),
                (OperatorKey::ClosedDomain(domain), Some(_)) => {
                    log::info!(domain:% = domain; "failure domain closed");
                    self.closed_domains.insert(domain);
                }
                (OperatorKey::ClosedDomain(domain), None) => {
                    log::info!(domain:% = domain; "failure domain reopened");
                    self.closed_domains.remove(&domain);
                }
                (OperatorKey::Wave(number), Some(value)) => self.apply_wave(number, value),
                (OperatorKey::Wave(number), None) => {
                    self.waves.remove(&number);
                }
                (OperatorKey::Routes, None) | (OperatorKey::Other, _) => {}
            }
        }
        if !chunk.changes.is_empty() {
            self.publish();
        }
        Ok(chunk.next_offset)
    }

    fn apply_wave(&mut self, number: u64, value: &[u8]) {
        match read_wave(value) {
            Ok(wave) => {
                log::info!(wave = number, machines = wave.machines.len(), most = wave.max_down; "maintenance wave");
                self.waves.insert(number, wave);
            }
            Err(error) => log::error!(wave = number; "wave cannot be decoded: {error}"),
        }
    }

    fn apply_routes(&self, value: &[u8]) {
        let routes = match read_routes(value) {
            Ok(routes) => routes,
            Err(error) => {
                log::error!("routes cannot be decoded, keeping the current ones: {error}");
                return;
            }
        };
        let current_version = self.routes.borrow().as_ref().map(|routes| routes.version);
        if current_version.is_some_and(|version| version >= routes.version) {
            return;
        }
        log::info!(version = routes.version, routes = routes.routes.len(); "routes updated");
        self.routes.send_replace(Some(Arc::new(routes)));
    }

    fn publish(&self) {
        let Some(routes) = self.routes.borrow().clone() else {
            return;
        };
        let policy = Policy {
            version: routes.version,
            queues: routes.queues(),
            advice_costs: routes.advice_costs(),
            closed_domains: self.closed_domains.clone(),
            waves: self.waves.clone(),
        };
        self.ownership.policy.send_replace(Arc::new(policy));
    }
}
