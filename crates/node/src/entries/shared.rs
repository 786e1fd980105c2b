//! What the drivers and handlers of one entry share.

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
use super::confs::Write;
use super::fleets::Fleet;
use super::options::EntryOptions;
use crate::links::{AgentLink, EntryLink};
use crate::settings::{Secret, Tokens};
use crate::telemetry::{LogLimiter, Metrics};

/// Time after the start by which the agents that run have announced themselves. A ticket of an
/// agent that is not known yet would end with an unknown outcome.
const MEMBERS_WAIT: Millis = Millis(ANNOUNCE_INTERVAL.0 + 500);

/// Log lines of one kind that are written in a second.
const LINES: u32 = 20;

/// Links to agents that are kept. Agents that are gone are dropped with the members.
type AgentLinks = BTreeMap<SocketAddr, Arc<AgentLink>>;

type LiveMembers = BTreeMap<Incarnation, hyssop_route::MemberStatus>;

/// Members and the load that they last announced.
#[derive(Debug)]
struct Members {
    router: Router,
    loads: BTreeMap<Incarnation, Load>,
    /// Members that took part at the last sweep.
    live: LiveMembers,
    conf: Arc<ConfView>,
}

impl Members {
    /// Passes the configuration on if it has changed, because that costs a look at each member.
    fn take_conf(&mut self, view: Arc<ConfView>) {
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
    /// Life of the process.
    pub(crate) incarnation: Incarnation,
    clock: Clock,
    /// All failure domains.
    pub(crate) domains: BTreeSet<DomainName>,
    /// All cells, in a fixed order.
    pub(crate) cells: Vec<CellId>,
    /// Cells of the workers.
    pub(crate) workers: BTreeMap<hyssop_core::WorkerName, CellId>,
    /// Tokens of the teams.
    pub(crate) tokens: Tokens,
    /// Token of the operators.
    pub(crate) operator: Secret,
    /// Metrics of the process.
    pub(crate) metrics: Arc<Metrics>,
    /// Other entries.
    pub(crate) peers: BTreeMap<EntryName, EntryLink>,
    fleet: Mutex<Fleet>,
    members: Mutex<Members>,
    agents: Mutex<AgentLinks>,
    /// Changes for the configuration driver.
    pub(crate) writes: mpsc::Sender<Write>,
    /// Calls for the cell drivers.
    pub(crate) calls: BTreeMap<CellId, mpsc::Sender<CellCall>>,
    stopping: AtomicBool,
    inflight: watch::Sender<usize>,
    ids: AtomicU64,
    /// Limit on the log lines of one kind.
    lines: LogLimiter,
}

/// Counts a request until it is dropped.
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.inflight.send_modify(|count| *count -= 1);
    }
}

impl Shared {
    /// Creates the state of an entry that knows nothing yet.
    pub(crate) fn new(
        options: &EntryOptions,
        metrics: Arc<Metrics>,
        writes: mpsc::Sender<Write>,
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
            operator: options.operator.clone(),
            metrics,
            peers: links.collect(),
            fleet: Mutex::new(Fleet::new(options.name.clone(), options.incarnation, names)),
            members: Mutex::new(Members {
                router,
                loads: BTreeMap::new(),
                live: LiveMembers::new(),
                conf: Arc::default(),
            }),
            agents: Mutex::default(),
            writes,
            calls,
            stopping: AtomicBool::new(false),
            inflight: watch::Sender::new(0),
            // Calls of an earlier life must not be confused with those of this one.
            ids: AtomicU64::new(options.incarnation.0),
            lines: LogLimiter::new(LINES),
        }
    }

    /// Returns the time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Tells whether one more log line of a kind may be written. What was left out is counted.
    pub(crate) fn may_log(&self, now: Millis, kind: &str) -> bool {
        let Some(left_out) = self.lines.admit(now, kind) else {
            return false;
        };
        if left_out > 0 {
            self.metrics.record_suppressed_lines(left_out);
            log::warn!(count = left_out; "lines were left out: {kind}");
        }
        true
    }

    /// Locks the tables of the fleet, for short sections without waits.
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

    /// Checks that the configuration has been read.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `not-run` right after the start.
    pub(crate) fn check_known(&self) -> Result<(), ApiError> {
        if self.fleet().conf.confirmation_age(self.now()).is_some() {
            return Ok(());
        }
        let message = "the configuration is not known yet";
        Err(ApiError::new(ErrorCode::NotRun, message))
    }

    /// Returns an identifier for a call to an agent.
    pub(crate) fn call_id(&self) -> CallId {
        CallId(self.ids.fetch_add(1, Ordering::Relaxed))
    }

    /// Chooses an agent. The standing is taken anew each time, because a process that was frozen
    /// must not act on an earlier one.
    pub(crate) fn pick(&self, ask: &CallerRequest) -> Result<Pick, Outcome> {
        let now = self.now();
        let (standing, view) = {
            let fleet = self.fleet();
            (fleet.standing(now), Arc::clone(fleet.conf.view()))
        };
        let mut members = self.members();
        members.router.set_connectivity(standing);
        members.take_conf(view);
        members.router.pick(now, ask)
    }

    /// Ends a picked call.
    pub(crate) fn done(&self, pick: &Pick, done: &CallReport) {
        let now = self.now();
        self.members().router.report_call(now, pick, done);
    }

    /// Takes an agent's announcement.
    pub(crate) fn announce(&self, announcement: &Announcement) -> AnnounceReply {
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
        let behind = announcement.applied < view.applied;
        AnnounceReply {
            view: behind.then(|| ConfView::clone(view)),
            applied: view.applied,
            confirmation_age: fleet.conf.confirmation_age(now),
            can_serve: !self.is_stopping() && fleet.standing(now) != Connectivity::Isolated,
        }
    }

    /// Forgets members that are gone, and the links to them.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let mut members = self.members();
        let Members {
            router,
            loads,
            live,
            ..
        } = &mut *members;
        router.sweep(now);
        let known = router.members(now);
        loads.retain(|life, _| known.iter().any(|member| member.incarnation == *life));
        let now_live = known.iter().filter(|member| member.is_live);
        let now_live: BTreeMap<_, _> = now_live.map(|m| (m.incarnation, m.clone())).collect();
        let before = std::mem::replace(live, now_live.clone());
        drop(members);
        self.log_members(now, &before, &now_live);
        let addresses = known
            .iter()
            .filter_map(|member| member.address.parse().ok());
        let addresses: BTreeSet<SocketAddr> = addresses.collect();
        self.agents()
            .retain(|address, _| addresses.contains(address));
    }

    fn log_members(&self, now: Millis, before: &LiveMembers, after: &LiveMembers) {
        let differs = |event, old: &LiveMembers, new: &LiveMembers| {
            let members = new.iter().filter(|(life, _)| !old.contains_key(life));
            for (incarnation, member) in members.filter(|_| self.may_log(now, event)) {
                let (agent, service, domain) = (&member.agent, &member.service, &member.domain);
                log::info!(agent:%, incarnation:%, service:%, domain:%; "{event}");
            }
        };
        differs("agent appears", before, after);
        differs("agent expires", after, before);
    }

    /// Returns the members with the load that they last announced.
    pub(crate) fn member_list(&self) -> Vec<(hyssop_route::MemberStatus, Load)> {
        let now = self.now();
        let view = self.view();
        let mut members = self.members();
        members.take_conf(view);
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

    /// Returns the link to an agent; `None` if the address is not one.
    pub(crate) fn agent(&self, address: &str) -> Option<Arc<AgentLink>> {
        let address: SocketAddr = address.parse().ok()?;
        let mut agents = self.agents();
        let link = agents.entry(address);
        let link = link.or_insert_with(|| Arc::new(AgentLink::new(address)));
        Some(Arc::clone(link))
    }

    /// Tells whether the entry stops and takes no new requests.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Starts the stop: from now on requests are refused.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns why the entry should get no requests, if it should not.
    pub(crate) fn obstacle(&self) -> Option<&'static str> {
        let now = self.now();
        if self.is_stopping() {
            return Some("stopping");
        }
        let fleet = self.fleet();
        if fleet.standing(now) == Connectivity::Isolated {
            return Some("isolated");
        }
        if fleet.conf.confirmation_age(now).is_none() {
            return Some("the configuration is not known yet");
        }
        (now < MEMBERS_WAIT).then_some("the agents are not known yet")
    }

    /// Admits a request and counts it; `None` while the entry stops.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<InFlight> {
        self.inflight.send_modify(|count| *count += 1);
        // Counted first, so that a stop that begins now waits for it.
        let admitted = InFlight(Arc::clone(self));
        (!self.is_stopping()).then_some(admitted)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn idle(&self) {
        let mut inflight = self.inflight.subscribe();
        // The sender lives in `self`, so that the wait ends only when there is none.
        let _closed = inflight.wait_for(|count| *count == 0).await;
    }
}
