//! State that the drivers and handlers of an entry share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyssop_core::api::{ApiError, ErrorCode};
use hyssop_core::limits::ANNOUNCE_INTERVAL;
use hyssop_core::{
    AnnounceReply, Announcement, CallId, CellId, ConfView, Connectivity, DomainName, EntryName,
    Incarnation, Load, Millis, Outcome,
};
use hyssop_route::{CallReport, CallerRequest, Pick, Router, RouterOptions};
use tokio::sync::{mpsc, watch};

use super::cells::CellCall;
use super::clocks::Clock;
use super::confs::ConfWrite;
use super::fleets::Fleet;
use super::options::EntryOptions;
use crate::links::{AgentLink, EntryLink};
use crate::settings::{Secret, Tokens};
use crate::telemetry::{LogLimiter, Metrics};

/// Time after the start within which all running agents announce themselves. Before that the entry
/// is not ready, because a ticket of an agent that it does not know yet gets an unknown outcome.
const AGENT_DISCOVERY_DELAY: Millis = Millis(ANNOUNCE_INTERVAL.0 + 500);

/// Most log lines of one kind per second; further ones are counted and dropped.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Links to agents by address. A link is dropped when its member is.
type AgentLinks = BTreeMap<SocketAddr, Arc<AgentLink>>;

type LiveMembers = BTreeMap<Incarnation, hyssop_route::MemberStatus>;

/// Agents known to the router, with the load that they last announced.
#[derive(Debug)]
struct Members {
    router: Router,
    loads: BTreeMap<Incarnation, Load>,
    /// Members that were live at the last sweep.
    live_members: LiveMembers,
    conf: Arc<ConfView>,
}

impl Members {
    /// Passes the configuration to the router if it has changed. The check avoids a scan of all
    /// members.
    fn apply_conf(&mut self, view: Arc<ConfView>) {
        if !Arc::ptr_eq(&self.conf, &view) {
            self.router.apply_conf(Arc::clone(&view));
            self.conf = view;
        }
    }
}

/// State of one entry.
pub(crate) struct Shared {
    /// Name of the entry.
    pub(crate) name: EntryName,
    /// Incarnation of the process.
    pub(crate) incarnation: Incarnation,
    clock: Clock,
    /// All failure domains, in service or not.
    pub(crate) domains: BTreeSet<DomainName>,
    /// All configured cells, in ascending order.
    pub(crate) cells: Vec<CellId>,
    /// Configured workers with their cells.
    pub(crate) workers: BTreeMap<hyssop_core::WorkerName, CellId>,
    /// Tokens of the teams.
    pub(crate) tokens: Tokens,
    /// Token of the operators.
    pub(crate) operator_token: Secret,
    /// Metrics of the process.
    pub(crate) metrics: Arc<Metrics>,
    /// Links to the other entries.
    pub(crate) peers: BTreeMap<EntryName, EntryLink>,
    fleet: Mutex<Fleet>,
    members: Mutex<Members>,
    agents: Mutex<AgentLinks>,
    /// Queue of changes for the configuration driver.
    pub(crate) writes: mpsc::Sender<ConfWrite>,
    /// Queues of job calls for the cell drivers.
    pub(crate) calls: BTreeMap<CellId, mpsc::Sender<CellCall>>,
    is_stopping: AtomicBool,
    inflight: watch::Sender<usize>,
    next_call_id: AtomicU64,
    /// Limits the log lines of each kind.
    log_limiter: LogLimiter,
}

/// Guard of a request in flight: it counts until the guard is dropped.
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.inflight.send_modify(|count| *count -= 1);
    }
}

impl Shared {
    /// Creates the state of an entry that has received nothing yet.
    pub(crate) fn new(
        options: &EntryOptions,
        metrics: Arc<Metrics>,
        writes: mpsc::Sender<ConfWrite>,
        calls: BTreeMap<CellId, mpsc::Sender<CellCall>>,
    ) -> Self {
        let names = options.peers.iter().map(|(name, _)| name.clone());
        let router = Router::new(RouterOptions {
            domain: options.domain.clone(),
            seed: options.seed,
        });
        let links = options.peers.iter();
        let links = links.map(|(name, address)| (name.clone(), EntryLink::new(*address)));
        let workers = options.workers.iter();
        Self {
            name: options.name.clone(),
            incarnation: options.incarnation,
            clock: Clock::new(),
            domains: options.domains.clone(),
            cells: options.cells(),
            workers: workers
                .map(|(name, cell, _)| (name.clone(), cell.clone()))
                .collect(),
            tokens: options.tokens.clone(),
            operator_token: options.operator_token.clone(),
            metrics,
            peers: links.collect(),
            fleet: Mutex::new(Fleet::new(options.name.clone(), options.incarnation, names)),
            members: Mutex::new(Members {
                router,
                loads: BTreeMap::new(),
                live_members: LiveMembers::new(),
                conf: Arc::default(),
            }),
            agents: Mutex::default(),
            writes,
            calls,
            is_stopping: AtomicBool::new(false),
            inflight: watch::Sender::new(0),
            // Identifiers must not repeat those of an earlier incarnation.
            next_call_id: AtomicU64::new(options.incarnation.0),
            log_limiter: LogLimiter::new(MAX_LINES_PER_SECOND),
        }
    }

    /// Returns the time since the start of the entry.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns whether one more log line of a kind may be written. Suppressed lines are counted.
    pub(crate) fn may_log(&self, now: Millis, kind: &str) -> bool {
        let Some(suppressed) = self.log_limiter.admit(now, kind) else {
            return false;
        };
        if suppressed > 0 {
            self.metrics.record_suppressed_lines(suppressed);
            log::warn!(count = suppressed; "log lines suppressed: {kind}");
        }
        true
    }

    /// Locks the state of the fleet. The guard must not be held across an await.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub(crate) fn view(&self) -> Arc<ConfView> {
        Arc::clone(self.fleet().conf.view())
    }

    /// Checks that the configuration has been read since the start.
    ///
    /// # Errors
    ///
    /// Returns an error with code `not-run` until then.
    pub(crate) fn check_conf_known(&self) -> Result<(), ApiError> {
        if self.fleet().conf.confirmation_age(self.now()).is_some() {
            return Ok(());
        }
        let message = "the configuration is not known yet";
        Err(ApiError::new(ErrorCode::NotRun, message))
    }

    /// Returns a new identifier for a call to an agent.
    pub(crate) fn new_call_id(&self) -> CallId {
        CallId(self.next_call_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Picks an agent for a request. The connectivity is determined for each pick, because a process
    /// that was suspended must not act on an earlier value.
    pub(crate) fn pick(&self, request: &CallerRequest) -> Result<Pick, Outcome> {
        let now = self.now();
        let (connectivity, view) = {
            let fleet = self.fleet();
            (fleet.connectivity(now), Arc::clone(fleet.conf.view()))
        };
        let mut members = self.members();
        members.router.set_connectivity(connectivity);
        members.apply_conf(view);
        members.router.pick(now, request)
    }

    /// Reports the end of a call to a picked agent.
    pub(crate) fn report_call(&self, pick: &Pick, report: &CallReport) {
        let now = self.now();
        self.members().router.report_call(now, pick, report);
    }

    /// Records an agent's announcement and returns the reply.
    pub(crate) fn record_announcement(&self, announcement: &Announcement) -> AnnounceReply {
        let now = self.now();
        {
            let mut members = self.members();
            if members.router.announce(now, announcement) {
                let load = announcement.load;
                members.loads.insert(announcement.incarnation, load);
            }
        }
        let fleet = self.fleet();
        let view = fleet.conf.view();
        let is_behind = announcement.applied < view.applied;
        AnnounceReply {
            view: is_behind.then(|| ConfView::clone(view)),
            applied: view.applied,
            confirmation_age: fleet.conf.confirmation_age(now),
            can_serve: !self.is_stopping() && fleet.connectivity(now) != Connectivity::Isolated,
        }
    }

    /// Removes expired members and the links to them, and logs which members came and went.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let mut members = self.members();
        let Members {
            router,
            loads,
            live_members,
            ..
        } = &mut *members;
        router.sweep(now);
        let members_now = router.members(now);
        loads.retain(|incarnation, _| {
            members_now
                .iter()
                .any(|member| member.incarnation == *incarnation)
        });
        let now_live = members_now.iter().filter(|member| member.is_live);
        let now_live: BTreeMap<_, _> = now_live.map(|m| (m.incarnation, m.clone())).collect();
        let before = std::mem::replace(live_members, now_live.clone());
        drop(members);
        self.log_members(now, &before, &now_live);
        let addresses = members_now
            .iter()
            .filter_map(|member| member.address.parse().ok());
        let addresses: BTreeSet<SocketAddr> = addresses.collect();
        self.agents()
            .retain(|address, _| addresses.contains(address));
    }

    fn log_members(&self, now: Millis, before: &LiveMembers, after: &LiveMembers) {
        let log_added = |event, old: &LiveMembers, new: &LiveMembers| {
            let members = new
                .iter()
                .filter(|(incarnation, _)| !old.contains_key(incarnation));
            for (incarnation, member) in members.filter(|_| self.may_log(now, event)) {
                let (agent, service, domain) = (&member.agent, &member.service, &member.domain);
                log::info!(agent:%, incarnation:%, service:%, domain:%; "{event}");
            }
        };
        log_added("agent appears", before, after);
        log_added("agent expires", after, before);
    }

    /// Returns the members with the load that they last announced.
    pub(crate) fn member_list(&self) -> Vec<(hyssop_route::MemberStatus, Load)> {
        let now = self.now();
        let view = self.view();
        let mut members = self.members();
        members.apply_conf(view);
        let list = members.router.members(now);
        let with_load = list.into_iter().map(|member| {
            let load = members.loads.get(&member.incarnation).copied();
            (member, load.unwrap_or_default())
        });
        with_load.collect()
    }

    fn agents(&self) -> MutexGuard<'_, AgentLinks> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the link to an agent; `None` if the address cannot be parsed.
    pub(crate) fn agent(&self, address: &str) -> Option<Arc<AgentLink>> {
        let address: SocketAddr = address.parse().ok()?;
        let mut agents = self.agents();
        let link = agents.entry(address);
        let link = link.or_insert_with(|| Arc::new(AgentLink::new(address)));
        Some(Arc::clone(link))
    }

    /// Returns whether the entry is stopping and refuses new requests.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Begins the graceful stop: from now on new requests are refused.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Returns the reason for which the entry should get no requests; `None` if it is ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        let now = self.now();
        if self.is_stopping() {
            return Some("stopping");
        }
        let fleet = self.fleet();
        if fleet.connectivity(now) == Connectivity::Isolated {
            return Some("isolated");
        }
        if fleet.conf.confirmation_age(now).is_none() {
            return Some("the configuration is not known yet");
        }
        (now < AGENT_DISCOVERY_DELAY).then_some("the agents are not known yet")
    }

    /// Admits a request and counts it as in flight; `None` if the entry is stopping.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<InFlight> {
        self.inflight.send_modify(|count| *count += 1);
        // Counted before the check, so that a stop that begins now waits for the request.
        let admitted = InFlight(Arc::clone(self));
        (!self.is_stopping()).then_some(admitted)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_idle(&self) {
        let mut inflight = self.inflight.subscribe();
        // `self` holds the sender, so the channel cannot be closed during the wait.
        let _closed = inflight.wait_for(|count| *count == 0).await;
    }
}
