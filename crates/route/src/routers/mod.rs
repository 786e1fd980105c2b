//! The router of an entry: the known members and the choice among them.

mod budgets;
mod health;
mod members;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::limits::{PEER_TIMEOUT, TICKET_TTL};
use hyssop_core::{
    AgentName, Announcement, ConfView, Connectivity, DomainName, Incarnation, MemberState, Millis,
    NotRun, Outcome, RackName, ServiceDoc, ServiceName, TeamName, Ticket, Unknown,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::types::{CallReport, CallResult, CallerRequest, Pick, RouterOptions};
use budgets::RetryBudget;
use members::Member;

/// Time for which retired incarnations and expired members are remembered, so that their late
/// announcements are ignored.
const INCARNATION_RETENTION: Millis = TICKET_TTL;
/// Limit on the number of members, and on that of retired incarnations, so that faulty
/// announcements can't exhaust memory.
const MAX_INCARNATIONS: usize = 4_096;

/// State of a member, as returned by [`Router::members`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the agent.
    pub agent: AgentName,
    /// Current incarnation of the agent.
    pub incarnation: Incarnation,
    /// Address of the agent, `ip:port`.
    pub address: String,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Failure domain of the agent.
    pub domain: DomainName,
    /// Rack of the agent.
    pub rack: RackName,
    /// State in its last announcement.
    pub state: MemberState,
    /// Requests running and waiting there, as estimated from its last report and the calls since.
    pub load: u32,
    /// Requests that this entry has in flight there.
    pub inflight: u32,
    /// Whether it has announced itself recently enough to be called.
    pub is_live: bool,
    /// Whether it is ejected because of failures, including while a probe is due or in flight.
    pub is_ejected: bool,
    /// Whether its failure domain is out of service or not allowed by the document.
    pub is_closed: bool,
}

/// Tracks the members that announce themselves and chooses one for each request.
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    rng: StdRng,
    /// How well the entry is connected; an isolated one refuses requests.
    connectivity: Connectivity,
    conf: Arc<ConfView>,
    /// Members of each service.
    services: BTreeMap<ServiceName, Vec<Member>>,
    /// Service of each member.
    member_services: BTreeMap<Incarnation, ServiceName>,
    /// Current incarnation of each agent.
    current_incarnations: BTreeMap<AgentName, Incarnation>,
    /// Replaced incarnations with the time until which they are remembered.
    retired: BTreeMap<Incarnation, Millis>,
    /// Time of the first announcement of any agent.
    first_announced_at: Option<Millis>,
    /// Calls in flight of each team, without those sent in spite of a refusal.
    inflight: BTreeMap<(ServiceName, TeamName), u32>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

impl Router {
    /// Creates a router without members, which refuses requests until its connectivity is set.
    #[must_use]
    pub fn new(options: RouterOptions) -> Self {
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            options,
            connectivity: Connectivity::Isolated,
            conf: Arc::default(),
            services: BTreeMap::new(),
            member_services: BTreeMap::new(),
            current_incarnations: BTreeMap::new(),
            retired: BTreeMap::new(),
            first_announced_at: None,
            inflight: BTreeMap::new(),
            budgets: BTreeMap::new(),
        }
    }

    /// Applies an announcement. Returns `false` if it was ignored: because a later one has been
    /// applied, its incarnation has been replaced, its address is invalid or the table is full.
    pub fn announce(&mut self, now: Millis, announcement: &Announcement) -> bool {
        // Without a valid address the agent can't be called, and arbitrary text is not stored.
        if announcement.address.parse::<SocketAddr>().is_err() {
            return false;
        }
        let incarnation = announcement.incarnation;
        if self
            .retired
            .get(&incarnation)
            .is_some_and(|until| *until > now)
        {
            return false;
        }
        if !self.changes_service(announcement)
            && let Some(member) = self.member_mut(incarnation)
        {
            return member.apply_announcement(now, announcement);
        }
        self.retire_predecessor(now, announcement);
        if self.member_services.len() >= MAX_INCARNATIONS {
            return false;
        }
        self.add_member(now, announcement);
        true
    }

    /// Applies a configuration; one that is older than the current one is ignored.
    pub fn apply_conf(&mut self, view: Arc<ConfView>) {
        if view.applied < self.conf.applied {
            return;
        }
        self.conf = view;
        for (service, members) in &mut self.services {
            for member in members {
                member.is_closed = is_closed(&self.conf, service, &member.domain);
            }
        }
    }

    /// Sets the connectivity of the entry; an isolated entry refuses new requests.
    pub const fn set_connectivity(&mut self, connectivity: Connectivity) {
        self.connectivity = connectivity;
    }

    /// Chooses an agent for a request.
    ///
    /// A request with a ticket goes to the agent that issued the ticket even if this entry refuses
    /// the request, because it may have run through another entry; the pick then has the reason.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request if no agent is chosen. For a retry this only means that
    /// there is no further attempt; the outcome of the earlier attempt remains valid.
    pub fn pick(&mut self, now: Millis, request: &CallerRequest) -> Result<Pick, Outcome> {
        let not_run = Outcome::NotRun;
        let conf = Arc::clone(&self.conf);
        let checked = self.check_request(&conf, request);
        let (at, refusal) = match (request.ticket, checked) {
            (Some(ticket), checked) => {
                let at = self.find_issuer(now, &request.service, ticket)?;
                (at, checked.err())
            }
            (None, Ok(doc)) => (
                self.choose_member(now, request, doc).map_err(not_run)?,
                None,
            ),
            (None, Err(reason)) => return Err(not_run(reason)),
        };
        let members = self.services.get_mut(&request.service);
        let member = members.and_then(|members| members.get_mut(at));
        let member = member.ok_or(not_run(NotRun::NoServer))?;
        let is_probe = member.record_sent(now);
        let pick = member.pick(request, refusal, is_probe);
        // A refused request must not count against the limit of the team.
        if refusal.is_none() {
            let key = (request.service.clone(), request.team.clone());
            *self.inflight.entry(key).or_default() += 1;
        }
        Ok(pick)
    }

    /// Checks whether this entry accepts the request, and returns the document of the service.
    fn check_request<'a>(
        &self,
        conf: &'a ConfView,
        request: &CallerRequest,
    ) -> Result<&'a ServiceDoc, NotRun> {
        if self.connectivity == Connectivity::Isolated {
            return Err(NotRun::Isolated);
        }
        let doc = conf.doc(&request.service).ok_or(NotRun::NoService)?;
        let key = (request.service.clone(), request.team.clone());
        let used = self.inflight.get(&key).copied().unwrap_or(0);
        match used < doc.limits.inflight {
            true => Ok(doc),
            false => Err(NotRun::TeamLimit),
        }
    }

    /// Records the end of a picked call and ejects the member if it fails too often.
    pub fn report_call(&mut self, now: Millis, pick: &Pick, report: &CallReport) {
        if pick.refusal.is_none() {
            self.release_inflight(pick);
        }
        let Some(members) = self.services.get_mut(&pick.service) else {
            return;
        };
        let position = |member: &Member| member.incarnation == pick.incarnation;
        let Some(at) = members.iter().position(position) else {
            return;
        };
        members[at].record_result(now, report, pick.is_probe);
        if matches!(
            report.result,
            CallResult::ServerError | CallResult::Unknown | CallResult::Unreachable
        ) {
            health::update_ejection(now, members, at, pick.is_probe);
        }
    }

    /// Removes a call from those that the team has in flight.
    fn release_inflight(&mut self, pick: &Pick) {
        let key = (pick.service.clone(), pick.team.clone());
        if let Some(used) = self.inflight.get_mut(&key) {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.inflight.remove(&key);
            }
        }
    }

    /// Removes members and retired incarnations whose retention time has passed, and the retry
    /// budgets of services without a document.
    pub fn sweep(&mut self, now: Millis) {
        let is_expired = |member: &Member| now >= member.expires_at + INCARNATION_RETENTION;
        let (index, agents) = (&mut self.member_services, &mut self.current_incarnations);
        for members in self.services.values_mut() {
            for member in members.extract_if(.., |member| is_expired(member)) {
                index.remove(&member.incarnation);
                if agents.get(&member.agent) == Some(&member.incarnation) {
                    agents.remove(&member.agent);
                }
            }
        }
        self.services.retain(|_, members| !members.is_empty());
        self.retired.retain(|_, until| *until > now);
        self.budgets
            .retain(|service, _| self.conf.docs.contains_key(service));
    }

    /// Returns the members, ordered by service and then by their first announcement.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<MemberStatus> {
        let all = self.services.values().flatten();
        all.map(|member| member.status(now)).collect()
    }

    fn member_mut(&mut self, incarnation: Incarnation) -> Option<&mut Member> {
        let members = self
            .services
            .get_mut(self.member_services.get(&incarnation)?)?;
        members.iter_mut().find(|m| m.incarnation == incarnation)
    }

    /// Returns whether a known incarnation announces another service than before.
    fn changes_service(&self, announcement: &Announcement) -> bool {
        let known = self.member_services.get(&announcement.incarnation);
        known.is_some_and(|service| *service != announcement.service)
    }

    /// Removes the earlier incarnation of the agent, or the same incarnation under its earlier
    /// service.
    fn retire_predecessor(&mut self, now: Millis, announcement: &Announcement) {
        let Some(earlier) = self.current_incarnations.remove(&announcement.agent) else {
            return;
        };
        if earlier != announcement.incarnation && self.retired.len() < MAX_INCARNATIONS {
            self.retired.insert(earlier, now + INCARNATION_RETENTION);
        }
        if let Some(service) = self.member_services.remove(&earlier)
            && let Some(members) = self.services.get_mut(&service)
        {
            members.retain(|member| member.incarnation != earlier);
        }
    }

    fn add_member(&mut self, now: Millis, announcement: &Announcement) {
        let incarnation = announcement.incarnation;
        let service = announcement.service.clone();
        let mut member = Member::new(now, announcement);
        let first_announced_at = *self.first_announced_at.get_or_insert(now);
        if now.since(first_announced_at) < PEER_TIMEOUT {
            member.skip_slow_start();
        }
        member.is_closed = is_closed(&self.conf, &service, &member.domain);
        self.member_services.insert(incarnation, service.clone());
        self.current_incarnations
            .insert(announcement.agent.clone(), incarnation);
        self.services.entry(service).or_default().push(member);
    }

    /// Finds the agent that issued a ticket. Its announced state doesn't matter, because a leaving
    /// agent still replies to requests with its tickets.
    fn find_issuer(
        &self,
        now: Millis,
        service: &ServiceName,
        ticket: Ticket,
    ) -> Result<usize, Outcome> {
        let agent_unreachable = Outcome::Unknown(Unknown::AgentUnreachable);
        match self.member_services.get(&ticket.incarnation) {
            None => return Err(agent_unreachable),
            Some(known) if known != service => {
                return Err(Outcome::NotRun(NotRun::TicketReused));
            }
            Some(_) => {}
        }
        let members = self.services.get(service).map_or(&[][..], |all| all);
        let issuer = |m: &Member| m.incarnation == ticket.incarnation && m.is_live(now);
        members.iter().position(issuer).ok_or(agent_unreachable)
    }

    /// Chooses the member for a request without a ticket: one that is due for a probe, or else the
    /// less loaded of two. Retries are not directed to a member that is due for a probe.
    fn choose_member(
        &mut self,
        now: Millis,
        request: &CallerRequest,
        doc: &ServiceDoc,
    ) -> Result<usize, NotRun> {
        let members = self.services.get(&request.service);
        let members = members.ok_or(NotRun::NoServer)?;
        let is_usable =
            |m: &&Member| m.accepts_work(now) && !request.tried_agents.contains(&m.incarnation);
        let usable = members.iter().filter(is_usable).count();
        if usable == 0 {
            return Err(NotRun::NoServer);
        }
        let probe = members
            .iter()
            .position(|m| is_usable(&m) && m.wants_probe(now));
        let is_first = request.tried_agents.is_empty();
        let at = match probe {
            Some(at) if is_first => at,
            _ => {
                let pool = candidates(now, members, request, doc, &self.options.domain);
                let chosen = two_choices(now, members, &pool, &mut self.rng);
                chosen.ok_or(NotRun::QueueFull)?
            }
        };
        let budget = self.budgets.entry(request.service.clone()).or_default();
        if is_first {
            budget.deposit();
        } else if !budget.withdraw() {
            return Err(NotRun::QueueFull);
        }
        Ok(at)
    }
}

type Pool = SmallVec<[usize; 16]>;

/// Returns the first of these groups of members that is not empty: those of the local failure
/// domain with a free slot, all with a free slot, all with a free connection.
fn candidates(
    now: Millis,
    members: &[Member],
    request: &CallerRequest,
    doc: &ServiceDoc,
    local_domain: &DomainName,
) -> Pool {
    // If there is no other member left, ejected ones are used.
    let healthy = |member: &Member| member.accepts_work(now) && !member.is_ejected();
    let none_healthy = !members.iter().any(healthy);
    let select = |has_capacity: &dyn Fn(&Member) -> bool| -> Pool {
        let all = members.iter().enumerate();
        let usable = all.filter(|(_, member)| {
            (healthy(member) || none_healthy && member.accepts_work(now))
                && !request.tried_agents.contains(&member.incarnation)
                && has_capacity(member)
        });
        usable.map(|(at, _)| at).collect()
    };
    let idle = select(&|member| member.domain == *local_domain && !member.is_overloaded(now));
    if !idle.is_empty() {
        return idle;
    }
    let idle = select(&|member| !member.is_overloaded(now));
    if !idle.is_empty() {
        return idle;
    }
    select(&|member| member.load() < doc.limits.connections)
}

/// Chooses the less loaded of two random members.
fn two_choices(now: Millis, members: &[Member], pool: &Pool, rng: &mut StdRng) -> Option<usize> {
    let len = pool.len();
    if len < 2 {
        return pool.first().copied();
    }
    let first = rng.random_range(0..len);
    let second = (first + rng.random_range(1..len)) % len;
    let (first, second) = (pool[first], pool[second]);
    let second_is_better = members[second].score(now) < members[first].score(now);
    Some(if second_is_better { second } else { first })
}

/// Returns whether a failure domain is out of service or not allowed by the document.
fn is_closed(conf: &ConfView, service: &ServiceName, domain: &DomainName) -> bool {
    let allowed = conf
        .doc(service)
        .is_none_or(|doc| doc.domains.contains(domain));
    conf.domain(domain) == hyssop_core::DomainState::Out || !allowed
}
