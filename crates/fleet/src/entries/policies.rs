//! What operators set: follows their topic of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hyssop_jobs::{Policy, Wave};
use hyssop_platform::{
    OPERATOR_TOPIC, OperatorKey, Routes, Store, StoreError, parse_operator_key,
    read_closed_domains, read_routes, read_wave,
};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::owners::Ownership;

/// Wait of one read for a change. A connection that has gone silent is noticed after it.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Time beyond that within which the store has to answer.
const READ_MARGIN: Duration = Duration::from_millis(700);
/// Time within which the newest records have to come.
const NEWEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Configuration in force.
#[derive(Debug)]
pub(super) struct PolicyFollower {
    store: Store,
    ownership: Arc<Ownership>,
    routes: watch::Sender<Option<Arc<Routes>>>,
    closed: BTreeSet<Arc<str>>,
    waves: BTreeMap<u64, Wave>,
}

impl PolicyFollower {
    pub(super) fn new(store: Store, ownership: Arc<Ownership>) -> Self {
        Self {
            store,
            ownership,
            routes: watch::Sender::new(None),
            closed: BTreeSet::new(),
            waves: BTreeMap::new(),
        }
    }

    /// Returns the routes in force, none before the first ones came.
    pub(super) fn routes(&self) -> watch::Receiver<Option<Arc<Routes>>> {
        self.routes.subscribe()
    }

    /// Follows the topic for as long as the process runs.
    pub(super) async fn run(mut self) {
        let mut end = None;
        let mut is_lost = false;
        loop {
            let result = match end {
                None => self.read_newest().await,
                Some(from) => self.read_changes(from).await,
            };
            match result {
                Ok(next) => {
                    if is_lost {
                        log::info!("the store's operator records are read again");
                    }
                    is_lost = false;
                    end = Some(next);
                }
                Err(error) => {
                    if !is_lost {
                        log::warn!("operator records not read: {error}");
                    }
                    is_lost = true;
                    end = None;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read_newest(&mut self) -> Result<u64, StoreError> {
        let newest = self.store.newest(OPERATOR_TOPIC, NEWEST_TIMEOUT).await?;
        let keys = newest.items.iter().map(|item| item.key.as_str());
        self.closed = read_closed_domains(keys);
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
            .read(OPERATOR_TOPIC, from, READ_WAIT, READ_MARGIN)
            .await?;
        for (key, value) in &chunk.changes {
            match (parse_operator_key(key), value) {
                (OperatorKey::Routes, Some(value)) => self.apply_routes(value),
                (OperatorKey::ClosedDomain(domain), Some(_)) => {
                    log::info!(domain:% = domain; "failure domain taken out of service");
                    self.closed.insert(domain);
                }
                (OperatorKey::ClosedDomain(domain), None) => {
                    log::info!(domain:% = domain; "failure domain back in service");
                    self.closed.remove(&domain);
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
                log::info!(wave = number, machines = wave.machines.len(), most = wave.most; "wave of upkeep");
                self.waves.insert(number, wave);
            }
            Err(error) => log::error!(wave = number; "wave cannot be read: {error}"),
        }
    }

    fn apply_routes(&self, value: &[u8]) {
        let routes = match read_routes(value) {
            Ok(routes) => routes,
            Err(error) => {
                log::error!("routes cannot be read, those in force stay: {error}");
                return;
            }
        };
        let current_version = self.routes.borrow().as_ref().map(|routes| routes.version);
        if current_version.is_some_and(|version| version >= routes.version) {
            return;
        }
        log::info!(version = routes.version, routes = routes.routes.len(); "routes in force");
        self.routes.send_replace(Some(Arc::new(routes)));
    }

    fn publish(&self) {
        let Some(routes) = self.routes.borrow().clone() else {
            return;
        };
        let policy = Policy {
            version: routes.version,
            queues: routes.queues(),
            closed: self.closed.clone(),
            waves: self.waves.clone(),
        };
        self.ownership.policy.send_replace(Arc::new(policy));
    }
}
