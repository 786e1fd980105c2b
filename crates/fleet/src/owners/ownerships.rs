//! Driver of the claims: reads and appends the record of the owner.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::Policy;
use hyssop_node::links::LinkError;
use hyssop_platform::{AppendOptions, Store, StoreError};
use tokio::sync::watch;
use tokio::time::sleep;

use super::drivers::{self, OwnerEvent, OwnerHandle};
use super::services::Services;
use super::{ENTRIES_TOPIC, OWNER_KEY, OWNER_TOPIC};
use crate::clocks;
use crate::elections::{ClaimEvent, Claims, Lead, Step};
use crate::messages::{self, FleetLink};
use crate::metrics::metrics;

/// Time within which the store has to answer; on a slow day it takes about half a second.
const STORE_LIMIT: Duration = Duration::from_millis(900);
/// Wait of one read for a record. The silence of the owner is noticed between two reads.
const FOLLOW_WAIT: Duration = Duration::from_millis(300);
/// Time within which an owner has to say whether it still owns the jobs.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Interval at which the other entries are asked while the store does not answer.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which their addresses are read while it does.
const PEERS_REFRESH: Millis = Millis(5_000);
/// Pause before the address of an entry is written again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(300);

/// What a process knows of the ownership.
#[derive(Debug)]
pub(crate) struct Seat {
    /// Who owns the jobs.
    pub(crate) lead: watch::Sender<Option<Lead>>,
    /// The owner in this process.
    pub(crate) owner: Mutex<Option<OwnerHandle>>,
    /// Policy in force.
    pub(crate) policy: watch::Sender<Arc<Policy>>,
    /// Whether the process stops.
    pub(crate) leaving: watch::Sender<bool>,
    claims: Mutex<Claims>,
}

impl Seat {
    pub(crate) fn new(claims: Claims) -> Self {
        Self {
            claims: Mutex::new(claims),
            lead: watch::Sender::new(None),
            owner: Mutex::new(None),
            policy: watch::Sender::new(Arc::default()),
            leaving: watch::Sender::new(false),
        }
    }

    /// Returns the owner in this process.
    pub(crate) fn handle(&self) -> Option<OwnerHandle> {
        self.owner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes in an owner that another entry knows.
    fn learn(&self, lead: Lead) {
        for event in self.claims().heard(lead) {
            if let ClaimEvent::Follows(lead) = event {
                log::info!(node:% = lead.node, epoch = lead.epoch; "owner, as another entry says");
                self.lead.send_replace(Some(lead));
            }
        }
    }

    fn claims(&self) -> MutexGuard<'_, Claims> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this process owns the jobs in an epoch, after it has given way if it has to.
    pub(crate) fn owns(&self, epoch: u64) -> bool {
        let events = self.claims().give_way(clocks::now(), epoch);
        if events.contains(&ClaimEvent::Deposed) {
            log::warn!(epoch = epoch; "gives way to an entry that reaches the store");
            self.set(None);
        }
        self.claims().owns(epoch)
    }

    pub(crate) fn set(&self, handle: Option<OwnerHandle>) {
        if handle.is_none() {
            metrics().set("epoch", 0);
        }
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = handle;
    }
}

/// Reads the end of the owner's topic and the owner.
pub(crate) async fn read_lead(
    store: &Store,
    limit: Duration,
) -> Result<(u64, Option<Lead>), StoreError> {
    let newest = store.newest(OWNER_TOPIC, limit).await?;
    let item = newest.items.iter().find(|item| item.key == OWNER_KEY);
    Ok((newest.end, item.and_then(|item| decode(&item.value))))
}

fn decode(value: &[u8]) -> Option<Lead> {
    match serde_json::from_slice(value) {
        Ok(lead) => Some(lead),
        Err(error) => {
            log::error!("record of the owner cannot be read: {error}");
            None
        }
    }
}

/// Reads the addresses of the entries.
pub(crate) async fn read_entries(
    store: &Store,
    limit: Duration,
) -> Result<Vec<SocketAddr>, StoreError> {
    let newest = store.newest(ENTRIES_TOPIC, limit).await?;
    let address = |value: &[u8]| std::str::from_utf8(value).ok()?.parse().ok();
    Ok(newest
        .items
        .iter()
        .filter_map(|item| address(&item.value))
        .collect())
}

/// Writes the address of this entry, until it is stored.
pub(crate) async fn announce_entry(store: Store, node: Arc<str>, address: SocketAddr) {
    let record = [(node.to_string(), Some(address.to_string().into_bytes()))];
    loop {
        let options = AppendOptions::default();
        match store
            .append(ENTRIES_TOPIC, &record, options, STORE_LIMIT)
            .await
        {
            Ok(_) => return,
            Err(error) => log::warn!("address not stored yet: {error}"),
        }
        sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Learns from the other entries who owns the jobs while the store does not answer this one.
pub(crate) async fn follow_peers(store: Store, seat: Arc<Seat>, own: SocketAddr) {
    let mut peers: Vec<FleetLink> = Vec::new();
    let mut read_at = None;
    loop {
        sleep(PEERS_INTERVAL).await;
        let now = clocks::now();
        if seat.claims().is_cut() {
            let latest = ask_entries(&peers, ASK_LIMIT).await;
            if let Some(lead) = latest {
                seat.learn(lead);
            }
        } else if read_at.is_none_or(|at| now >= at + PEERS_REFRESH) {
            match read_entries(&store, STORE_LIMIT).await {
                Ok(addresses) => {
                    let others = addresses.into_iter().filter(|&address| address != own);
                    peers = others.map(messages::link).collect();
                    read_at = Some(now);
                }
                Err(error) => log::debug!("entries not read: {error}"),
            }
        }
    }
}

/// Asks entries who owns the jobs, and returns the latest owner that one knows.
pub(crate) async fn ask_entries(links: &[FleetLink], limit: Duration) -> Option<Lead> {
    let mut latest: Option<Lead> = None;
    for link in links {
        match messages::lead(link, limit).await {
            Ok(Some(lead)) => {
                if latest.as_ref().is_none_or(|known| known.epoch < lead.epoch) {
                    latest = Some(lead);
                }
            }
            Ok(None) => {}
            Err(error) => log::debug!(entry:% = link.address(); "entry not asked: {error}"),
        }
    }
    latest
}

/// Runs the candidate of a seat for as long as the process runs. One that has left goes on following
/// the owner.
pub(crate) async fn run_claims(services: Services, seat: Arc<Seat>) {
    let mut leaving = seat.leaving.subscribe();
    let mut is_lost = false;
    loop {
        if *leaving.borrow_and_update() {
            seat.claims().leave();
        }
        let step = seat.claims().step(clocks::now());
        if let Step::Sleep(time) = step {
            sleep(Duration::from_millis(time.0.max(1))).await;
            continue;
        }
        let result = take_step(&seat, &services.store, step).await;
        if result.is_err() != is_lost {
            match &result {
                Ok(_) => log::info!("record of the owner: the store answers again"),
                Err(error) => log::warn!("record of the owner: {error}"),
            }
        }
        is_lost = result.is_err();
        match result {
            Ok(events) => {
                for event in events {
                    apply(&seat, &services, event);
                }
            }
            Err(_) => seat.claims().failed(clocks::now()),
        }
    }
}

async fn take_step(seat: &Seat, store: &Store, step: Step) -> Result<Vec<ClaimEvent>, StoreError> {
    let sent = clocks::now();
    match step {
        Step::Sleep(_) => Ok(Vec::new()),
        Step::Newest => {
            let (end, lead) = read_lead(store, STORE_LIMIT).await?;
            Ok(seat.claims().newest(sent, clocks::now(), end, lead))
        }
        Step::Follow(from) => follow(seat, store, sent, from).await,
        Step::Ask(lead) => {
            let is_gone = ask_owner(&lead).await;
            seat.claims().asked(clocks::now(), lead.epoch, is_gone);
            Ok(Vec::new())
        }
        Step::Append(at, lead) => append(seat, store, sent, at, lead).await,
    }
}

/// Asks an owner whether it still owns the jobs. Silence is no proof that it does not.
async fn ask_owner(lead: &Lead) -> bool {
    let link = messages::link(lead.address);
    match messages::owns(&link, lead.epoch, ASK_LIMIT).await {
        Ok(owns) => !owns,
        Err(error) => {
            log::info!(node:% = lead.node, epoch = lead.epoch; "owner does not answer: {error}");
            error == LinkError::Connect(ErrorKind::ConnectionRefused)
        }
    }
}

async fn follow(
    seat: &Seat,
    store: &Store,
    sent: Millis,
    from: u64,
) -> Result<Vec<ClaimEvent>, StoreError> {
    match store
        .read(OWNER_TOPIC, from, FOLLOW_WAIT, STORE_LIMIT)
        .await
    {
        Ok(chunk) => {
            let values = chunk
                .changes
                .iter()
                .rev()
                .filter(|(key, _)| key == OWNER_KEY);
            let lead = values
                .filter_map(|(_, value)| value.as_deref().and_then(decode))
                .next();
            Ok(seat
                .claims()
                .followed(sent, clocks::now(), chunk.next, lead))
        }
        Err(StoreError::Dropped(_)) => {
            seat.claims().moved();
            Ok(Vec::new())
        }
        Err(error) => Err(error),
    }
}

async fn append(
    seat: &Seat,
    store: &Store,
    sent: Millis,
    at: u64,
    lead: Lead,
) -> Result<Vec<ClaimEvent>, StoreError> {
    let Ok(value) = serde_json::to_vec(&lead) else {
        return Ok(Vec::new());
    };
    let record = [(OWNER_KEY.to_owned(), Some(value))];
    let options = AppendOptions {
        at: Some(at),
        writer: None,
    };
    match store
        .append(OWNER_TOPIC, &record, options, STORE_LIMIT)
        .await
    {
        Ok(_) => Ok(seat.claims().appended(sent, clocks::now(), lead)),
        Err(StoreError::Moved(end)) => {
            log::info!(expected = at, end = end; "another record of the owner was there first");
            seat.claims().moved();
            Ok(Vec::new())
        }
        Err(error) => Err(error),
    }
}

fn apply(seat: &Arc<Seat>, services: &Services, event: ClaimEvent) {
    match event {
        ClaimEvent::Owned(lead) => {
            log::info!(epoch = lead.epoch; "owns the jobs");
            metrics().set("epoch", lead.epoch);
            let handle = drivers::start(lead.epoch, Arc::clone(seat), services.clone());
            seat.set(Some(handle));
            seat.lead.send_replace(Some(lead));
        }
        ClaimEvent::Deposed => {
            log::info!("no longer owns the jobs");
            seat.set(None);
        }
        ClaimEvent::Proved(at) => {
            if let Some(handle) = seat.handle() {
                handle.send(OwnerEvent::Proved(at));
            }
        }
        ClaimEvent::Follows(lead) => {
            log::info!(node:% = lead.node, epoch = lead.epoch; "owner");
            seat.lead.send_replace(Some(lead));
        }
    }
}
