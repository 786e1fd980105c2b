//! Driver of the election: reads and appends the owner record.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{CallPermit, Policy, RenewalProof};
use hyssop_node::links::LinkError;
use hyssop_platform::{AppendOptions, Store, StoreError, log_skipped};
use tokio::sync::watch;
use tokio::time::sleep;

use super::drivers::{self, OwnerEvent, OwnerHandle};
use super::services::Services;
use super::{ENTRIES_TOPIC, OWNER_KEY, OWNER_TOPIC};
use crate::clocks;
use crate::elections::{Election, ElectionEvent, ElectionStep, OwnerRecord};
use crate::messages::{self, FleetLink};
use crate::metrics::metrics;

/// Timeout of a call to the store, which takes about half a second when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time that one read waits for a record. The timeout of the owner is checked between
/// reads.
const MAX_FOLLOW_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a call to another entry about the owner.
const OWNER_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the other entries are queried while the store is unreachable.
const PEERS_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the addresses of the other entries are refreshed while the store is reachable.
const PEERS_REFRESH_INTERVAL: Millis = Millis(5_000);
/// Delay before a failed write of this entry's address is repeated.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ownership of the jobs as this process knows it, shared by all its tasks.
#[derive(Debug)]
pub(crate) struct Ownership {
    /// Last known owner, to which requests are forwarded.
    pub(crate) known_owner: watch::Sender<Option<OwnerRecord>>,
    /// Handle of the owner that runs in this process, while it is the owner.
    pub(crate) local_owner: Mutex<Option<OwnerHandle>>,
    /// Current policy of the operators.
    pub(crate) policy: watch::Sender<Arc<Policy>>,
    /// Whether the process is stopping and has to resign.
    pub(crate) is_stopping: watch::Sender<bool>,
    election: Mutex<Election>,
}

impl Ownership {
    pub(crate) fn new(election: Election) -> Self {
        Self {
            election: Mutex::new(election),
            known_owner: watch::Sender::new(None),
            local_owner: Mutex::new(None),
            policy: watch::Sender::new(Arc::default()),
            is_stopping: watch::Sender::new(false),
        }
    }

    /// Returns the handle of the owner in this process, if this process is the owner.
    pub(crate) fn handle(&self) -> Option<OwnerHandle> {
        self.local_owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies a hint from another entry about the owner.
    fn apply_peer_hint(&self, owner: OwnerRecord) {
        for event in self.election().on_peer_hint(owner) {
            if let ElectionEvent::OwnerChanged(owner) = event {
                log::info!(node:% = owner.node, epoch = owner.epoch; "owner reported by another entry");
                self.known_owner.send_replace(Some(owner));
            }
        }
    }

    fn election(&self) -> MutexGuard<'_, Election> {
        self.election.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this process owns the jobs in an epoch. Gives up the ownership first if this
    /// process cannot reach the store.
    pub(crate) fn owns(&self, epoch: u64) -> bool {
        let events = self.election().yield_if_unreachable(clocks::now(), epoch);
        if events.contains(&ElectionEvent::Lost) {
            log::warn!(epoch = epoch; "store unreachable: giving up the ownership to an entry that reaches it");
            self.set_local_owner(None);
        }
        self.election().owns(epoch)
    }

    /// Returns the permit to send a call as the owner of an epoch, which has to be sent at once.
    pub(super) fn permit(&self, epoch: u64, proof: RenewalProof) -> Option<CallPermit> {
        let election = self.election();
        election.permit(clocks::now(), epoch, proof)
    }

    /// Sets or clears the handle of the owner in this process.
    pub(crate) fn set_local_owner(&self, handle: Option<OwnerHandle>) {
        if handle.is_none() {
            metrics().set_gauge("epoch", 0);
        }
        *self
            .local_owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = handle;
    }
}

/// Reads the end of the owner topic, and the owner record if there is a readable one.
pub(crate) async fn read_owner_record(
    store: &Store,
    timeout: Duration,
) -> Result<(u64, Option<OwnerRecord>), StoreError> {
    let newest = store.newest(OWNER_TOPIC, timeout).await?;
    let item = newest.items.iter().find(|item| item.key == OWNER_KEY);
    let owner = item.and_then(|item| {
        let end = newest.end.max(item.offset.saturating_add(1));
        decode(end, &item.value)
    });
    Ok((newest.end, owner))
}

/// Decodes an owner record, and logs one that cannot be read.
fn decode(end: u64, value: &[u8]) -> Option<OwnerRecord> {
    let owner = OwnerRecord::decode(end, value);
    let text = String::from_utf8_lossy(value);
    owner
        .inspect_err(|error| log_skipped(OWNER_TOPIC, &text, error))
        .ok()
}

/// Reads the addresses of all entries from the store.
pub(crate) async fn read_entries(
    store: &Store,
    timeout: Duration,
) -> Result<Vec<SocketAddr>, StoreError> {
    let newest = store.newest(ENTRIES_TOPIC, timeout).await?;
    let mut addresses = Vec::new();
    for item in newest.items {
        let text = String::from_utf8_lossy(&item.value);
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => addresses.push(address),
            _ => log_skipped(ENTRIES_TOPIC, &item.key, "no address with a port"),
        }
    }
    Ok(addresses)
}

/// Writes the address of this entry to the store, and repeats the write until it succeeds.
pub(crate) async fn announce_entry(store: Store, node: Arc<str>, address: SocketAddr) {
    let record = [(node.to_string(), Some(address.to_string().into_bytes()))];
    loop {
        let options = AppendOptions::default();
        match store
            .append(ENTRIES_TOPIC, &record, options, STORE_TIMEOUT)
            .await
        {
            Ok(_) => return,
            Err(error) => log::warn!("entry address not stored yet: {error}"),
        }
        sleep(ANNOUNCE_RETRY_DELAY).await;
    }
}

/// Queries the other entries for the owner while this entry cannot reach the store.
pub(crate) async fn follow_peers(store: Store, ownership: Arc<Ownership>, own: SocketAddr) {
    let mut peers: Vec<FleetLink> = Vec::new();
    let mut refreshed_at = None;
    loop {
        sleep(PEERS_QUERY_INTERVAL).await;
        let now = clocks::now();
        if ownership.election().is_store_unreachable() {
            let latest = query_entries(&peers, OWNER_QUERY_TIMEOUT).await;
            if let Some(owner) = latest {
                ownership.apply_peer_hint(owner);
            }
        } else if refreshed_at.is_none_or(|at| now >= at + PEERS_REFRESH_INTERVAL) {
            match read_entries(&store, STORE_TIMEOUT).await {
                Ok(addresses) => {
                    let others = addresses.into_iter().filter(|&address| address != own);
                    peers = others.map(messages::link).collect();
                    refreshed_at = Some(now);
                }
                Err(error) => log::debug!("entry addresses not read: {error}"),
            }
        }
    }
}

/// Queries entries for the owner that they know, and returns the one with the highest epoch.
pub(crate) async fn query_entries(links: &[FleetLink], timeout: Duration) -> Option<OwnerRecord> {
    let mut latest: Option<OwnerRecord> = None;
    for link in links {
        match messages::known_owner(link, timeout).await {
            Ok(Some(owner)) => {
                if latest
                    .as_ref()
                    .is_none_or(|known| known.epoch < owner.epoch)
                {
                    latest = Some(owner);
                }
            }
            Ok(None) => {}
            Err(error) => log::debug!(entry:% = link.address(); "query failed: {error}"),
        }
    }
    latest
}

/// Drives the election for as long as the process runs. After it has resigned, it continues to
/// follow the owner, so that requests can still be forwarded.
pub(crate) async fn run_election(services: Services, ownership: Arc<Ownership>) {
    let mut is_stopping = ownership.is_stopping.subscribe();
    let mut has_failed = false;
    loop {
        if *is_stopping.borrow_and_update() {
            ownership.election().resign();
        }
        let step = ownership.election().next_step(clocks::now());
        if let ElectionStep::Sleep(time) = step {
            sleep(Duration::from_millis(time.0.max(1))).await;
            continue;
        }
        let result = execute_step(&ownership, &services.store, step).await;
        if result.is_err() != has_failed {
            match &result {
                Ok(_) => log::info!("owner record: the store is reachable again"),
                Err(error) => log::warn!("owner record: {error}"),
            }
        }
        has_failed = result.is_err();
        match result {
            Ok(events) => {
                for event in events {
                    apply_event(&ownership, &services, event);
                }
            }
            Err(_) => ownership.election().on_failure(clocks::now()),
        }
    }
}

async fn execute_step(
    ownership: &Ownership,
    store: &Store,
    step: ElectionStep,
) -> Result<Vec<ElectionEvent>, StoreError> {
    let sent_at = clocks::now();
    match step {
        ElectionStep::Sleep(_) => Ok(Vec::new()),
        ElectionStep::ReadNewest => {
            let (end, owner) = read_owner_record(store, STORE_TIMEOUT).await?;
            Ok(ownership
                .election()
                .on_newest(sent_at, clocks::now(), end, owner))
        }
        ElectionStep::Follow(from) => follow(ownership, store, sent_at, from).await,
        ElectionStep::ProbeOwner(owner) => {
            let is_lost = probe_owner(&owner).await;
            ownership
                .election()
                .on_owner_probe(clocks::now(), owner.epoch, is_lost);
            Ok(Vec::new())
        }
        ElectionStep::Append(expected_end, owner) => {
            append(ownership, store, sent_at, expected_end, owner).await
        }
    }
}

/// Queries an owner whether it still owns the jobs. Returns whether it has lost the ownership: it
/// replies so, or the connection is refused. A missing response does not count, since the owner may still be
/// running.
async fn probe_owner(owner: &OwnerRecord) -> bool {
    let link = messages::link(owner.address);
    match messages::owns(&link, owner.epoch, OWNER_QUERY_TIMEOUT).await {
        Ok(owns) => !owns,
        Err(error) => {
            log::info!(node:% = owner.node, epoch = owner.epoch; "no reply from the owner: {error}");
            error == LinkError::Connect(ErrorKind::ConnectionRefused)
        }
    }
}

async fn follow(
    ownership: &Ownership,
    store: &Store,
    sent_at: Millis,
    from: u64,
) -> Result<Vec<ElectionEvent>, StoreError> {
    match store
        .read(OWNER_TOPIC, from, MAX_FOLLOW_WAIT, STORE_TIMEOUT)
        .await
    {
        Ok(chunk) => {
            let values = chunk
                .changes
                .iter()
                .rev()
                .filter(|(key, _)| key == OWNER_KEY);
            let owner = values
                .filter_map(|(_, value)| decode(chunk.next_offset, value.as_deref()?))
                .next();
            Ok(ownership
                .election()
                .on_follow(sent_at, clocks::now(), chunk.next_offset, owner))
        }
        Err(StoreError::RecordsDropped(_)) => {
            ownership.election().on_end_moved();
            Ok(Vec::new())
        }
        Err(error) => Err(error),
    }
}

async fn append(
    ownership: &Ownership,
    store: &Store,
    sent_at: Millis,
    expected_end: u64,
    owner: OwnerRecord,
) -> Result<Vec<ElectionEvent>, StoreError> {
    let Ok(value) = serde_json::to_vec(&owner) else {
        return Ok(Vec::new());
    };
    let record = [(OWNER_KEY.to_owned(), Some(value))];
    let options = AppendOptions {
        expected_end: Some(expected_end),
        writer: None,
    };
    match store
        .append(OWNER_TOPIC, &record, options, STORE_TIMEOUT)
        .await
    {
        Ok(_) => Ok(ownership
            .election()
            .on_append(sent_at, clocks::now(), owner)),
        Err(StoreError::EndMoved(end)) => {
            log::info!(expected = expected_end, end = end; "owner record not appended: another process appended first");
            ownership.election().on_end_moved();
            Ok(Vec::new())
        }
        Err(error) => Err(error),
    }
}

fn apply_event(ownership: &Arc<Ownership>, services: &Services, event: ElectionEvent) {
    match event {
        ElectionEvent::Acquired(owner) => {
            log::info!(epoch = owner.epoch; "became the owner of the jobs");
            metrics().set_gauge("epoch", owner.epoch);
            let handle = drivers::start(owner.epoch, Arc::clone(ownership), services.clone());
            ownership.set_local_owner(Some(handle));
            ownership.known_owner.send_replace(Some(owner));
        }
        ElectionEvent::Lost => {
            log::info!("no longer the owner of the jobs");
            ownership.set_local_owner(None);
        }
        ElectionEvent::Confirmed(at) => {
            if let Some(handle) = ownership.handle() {
                handle.send(OwnerEvent::Confirmed(at));
            }
        }
        ElectionEvent::Renewed(at) => {
            if let Some(handle) = ownership.handle() {
                handle.send(OwnerEvent::Renewed(at));
            }
        }
        ElectionEvent::OwnerChanged(owner) => {
            log::info!(node:% = owner.node, epoch = owner.epoch; "owner changed");
            ownership.known_owner.send_replace(Some(owner));
        }
    }
}
