//! The entry's side: members and the choice among them.

mod budgets;
mod health;
mod members;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::limits::{PEER_TIMEOUT, TICKET_TTL};
use hyssop_core::{
    AgentName, Announcement, ConfView, DomainName, Incarnation, MemberState, Millis, NotRun,
    Outcome, RackName, ServiceDoc, ServiceName, Standing, TeamName, Ticket, Unknown,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use crate::types::{CallReport, CallResult, CallerRequest, Pick, RouterOptions};
use budgets::RetryBudget;
use members::Member;

/// Time for which a retired incarnation and the number of its last announcement are remembered.
const REMEMBER: Millis = TICKET_TTL;
/// Most members and retired incarnations kept, so that faulty announcements can't exhaust memory.
const MAX_MEMBERS: usize = 4_096;

/// A member as status shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Agent.
    pub agent: AgentName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Address, `ip:port`.
    pub address: String,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: RackName,
    /// State that it announced.
    pub state: MemberState,
    /// Requests running and waiting there, as estimated.
    pub load: u32,
    /// Requests that this entry has in flight there.
    pub inflight: u32,
    /// Whether it announced itself in time.
    pub is_live: bool,
    /// Whether it is ejected or waits for a probe.
    pub is_ejected: bool,
    /// Whether its domain is out or not allowed by the document.
    pub is_closed: bool,
}

/// Keeps the members that announce themselves and chooses one for each request.
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    rng: StdRng,
    standing: Standing,
    conf: Arc<ConfView>,
    services: BTreeMap<ServiceName, Vec<Member>>,
    /// Service of each known incarnation.
    index: BTreeMap<Incarnation, ServiceName>,
    /// Current incarnation of each agent.
    agents: BTreeMap<AgentName, Incarnation>,
    /// Replaced incarnations and the time until which they are remembered.
    retired: BTreeMap<Incarnation, Millis>,
    /// Time of the first announcement.
    started: Option<Millis>,
    inflight: BTreeMap<(ServiceName, TeamName), u32>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

impl Router {
    /// Creates a router without members, which refuses requests until its standing is known.
    #[must_use]
    pub fn new(options: RouterOptions) -> Self {
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            options,
            standing: Standing::Isolated,
            conf: Arc::default(),
            services: BTreeMap::new(),
            index: BTreeMap::new(),
            agents: BTreeMap::new(),
            retired: BTreeMap::new(),
            started: None,
            inflight: BTreeMap::new(),
            budgets: BTreeMap::new(),
        }
    }

    /// Takes an announcement and tells whether it was news. Late ones, those of a replaced
    /// incarnation, and those whose address cannot be called are ignored.
    pub fn announce(&mut self, now: Millis, announcement: &Announcement) -> bool {
        // Without an address there is nothing to call, and any other text would only be kept.
        if announcement.address.parse::<SocketAddr>().is_err() {
            return false;
        }
        let life = announcement.incarnation;
        if self.retired.get(&life).is_some_and(|until| *until > now) {
            return false;
        }
        if !self.moves_service(announcement)
            && let Some(member) = self.member_mut(life)
        {
            return member.announced(now, announcement);
        }
        self.retire_earlier(now, announcement);
        if self.index.len() >= MAX_MEMBERS {
            return false;
        }
        self.add(now, announcement);
        true
    }

    /// Takes the configuration in force; an older one than the present one is ignored.
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

    /// Takes the standing of the entry.
    pub const fn set_connectivity(&mut self, standing: Standing) {
        self.standing = standing;
    }

    /// Chooses an agent for a request.
    ///
    /// A request with a ticket goes to the agent that issued it even if this entry refuses it,
    /// because it may have run through another entry; the pick then carries the reason.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request when no agent is chosen. For a retry it only says that
    /// there is no further attempt, and the outcome of the earlier one stands.
    pub fn pick(&mut self, now: Millis, ask: &CallerRequest) -> Result<Pick, Outcome> {
        let not_run = Outcome::NotRun;
        let conf = Arc::clone(&self.conf);
        let accepted = self.accept(&conf, ask);
        let (at, refuse) = match (ask.ticket, accepted) {
            (Some(ticket), accepted) => {
                let at = self.find_issuer(now, &ask.service, ticket)?;
                (at, accepted.err())
            }
            (None, Ok(doc)) => (self.choose(now, ask, doc).map_err(not_run)?, None),
            (None, Err(why)) => return Err(not_run(why)),
        };
        let members = self.services.get_mut(&ask.service);
        let member = members.and_then(|members| members.get_mut(at));
        let member = member.ok_or(not_run(NotRun::NoServer))?;
        member.sent(now);
        let pick = member.pick(ask, refuse);
        // What is refused must not keep out what the limit allows.
        if refuse.is_none() {
            let key = (ask.service.clone(), ask.team.clone());
            *self.inflight.entry(key).or_default() += 1;
        }
        Ok(pick)
    }

    /// Checks whether this entry may take the request, and returns the document.
    fn accept<'a>(
        &self,
        conf: &'a ConfView,
        ask: &CallerRequest,
    ) -> Result<&'a ServiceDoc, NotRun> {
        if self.standing == Standing::Isolated {
            return Err(NotRun::Isolated);
        }
        let doc = conf.doc(&ask.service).ok_or(NotRun::NoService)?;
        let key = (ask.service.clone(), ask.team.clone());
        let used = self.inflight.get(&key).copied().unwrap_or(0);
        match used < doc.limits.inflight {
            true => Ok(doc),
            false => Err(NotRun::TeamLimit),
        }
    }

    /// Ends a picked call.
    pub fn report_call(&mut self, now: Millis, pick: &Pick, done: &CallReport) {
        if pick.refusal.is_none() {
            self.release(pick);
        }
        let Some(members) = self.services.get_mut(&pick.service) else {
            return;
        };
        let position = |member: &Member| member.incarnation == pick.incarnation;
        let Some(at) = members.iter().position(position) else {
            return;
        };
        members[at].ended(now, done);
        if matches!(
            done.result,
            CallResult::ServerError | CallResult::Unknown | CallResult::Unreachable
        ) {
            health::judge(now, members, at);
        }
    }

    /// Gives back the place of a call among those that the team has in flight.
    fn release(&mut self, pick: &Pick) {
        let key = (pick.service.clone(), pick.team.clone());
        if let Some(used) = self.inflight.get_mut(&key) {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.inflight.remove(&key);
            }
        }
    }

    /// Forgets members and incarnations whose time is over.
    pub fn sweep(&mut self, now: Millis) {
        let over = |member: &Member| now >= member.expires + REMEMBER;
        let (index, agents) = (&mut self.index, &mut self.agents);
        for members in self.services.values_mut() {
            for member in members.extract_if(.., |member| over(member)) {
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

    /// Returns the members, in the order of services and of their first announcements.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<MemberStatus> {
        let all = self.services.values().flatten();
        all.map(|member| member.status(now)).collect()
    }

    fn member_mut(&mut self, life: Incarnation) -> Option<&mut Member> {
        let members = self.services.get_mut(self.index.get(&life)?)?;
        members.iter_mut().find(|m| m.incarnation == life)
    }

    /// Tells whether a known incarnation announces another service than before.
    fn moves_service(&self, announcement: &Announcement) -> bool {
        let known = self.index.get(&announcement.incarnation);
        known.is_some_and(|service| *service != announcement.service)
    }

    /// Removes the earlier incarnation of the agent, or the same one under another service.
    fn retire_earlier(&mut self, now: Millis, announcement: &Announcement) {
        let Some(earlier) = self.agents.remove(&announcement.agent) else {
            return;
        };
        if earlier != announcement.incarnation && self.retired.len() < MAX_MEMBERS {
            self.retired.insert(earlier, now + REMEMBER);
        }
        if let Some(service) = self.index.remove(&earlier)
            && let Some(members) = self.services.get_mut(&service)
        {
            members.retain(|member| member.incarnation != earlier);
        }
    }

    fn add(&mut self, now: Millis, announcement: &Announcement) {
        let life = announcement.incarnation;
        let service = announcement.service.clone();
        let mut member = Member::new(now, announcement);
        let started = *self.started.get_or_insert(now);
        if now.since(started) < PEER_TIMEOUT {
            member.skip_slow_start();
        }
        member.is_closed = is_closed(&self.conf, &service, &member.domain);
        self.index.insert(life, service.clone());
        self.agents.insert(announcement.agent.clone(), life);
        self.services.entry(service).or_default().push(member);
    }

    /// Finds the agent that issued a ticket. It is asked whatever its state, because a leaving
    /// agent still answers tickets.
    fn find_issuer(
        &self,
        now: Millis,
        service: &ServiceName,
        ticket: Ticket,
    ) -> Result<usize, Outcome> {
        let gone = Outcome::Unknown(Unknown::AgentGone);
        match self.index.get(&ticket.incarnation) {
            None => return Err(gone),
            Some(known) if known != service => {
                return Err(Outcome::NotRun(NotRun::TicketReused));
            }
            Some(_) => {}
        }
        let members = self.services.get(service).map_or(&[][..], |all| all);
        let issuer = |m: &Member| m.incarnation == ticket.incarnation && m.is_live(now);
        members.iter().position(issuer).ok_or(gone)
    }

    fn choose(
        &mut self,
        now: Millis,
        ask: &CallerRequest,
        doc: &ServiceDoc,
    ) -> Result<usize, NotRun> {
        let members = self.services.get(&ask.service);
        let members = members.ok_or(NotRun::NoServer)?;
        let fits = |m: &&Member| m.takes_work(now) && !ask.tried_agents.contains(&m.incarnation);
        let usable = members.iter().filter(fits).count();
        if usable == 0 {
            return Err(NotRun::NoServer);
        }
        let probe = members.iter().position(|m| fits(&m) && m.wants_probe(now));
        let first = ask.tried_agents.is_empty();
        let at = match probe {
            Some(at) if first => at,
            _ => {
                let pool = candidates(now, members, ask, doc, &self.options.domain);
                let chosen = two_choices(now, members, &pool, &mut self.rng);
                chosen.ok_or(NotRun::Full)?
            }
        };
        let budget = self.budgets.entry(ask.service.clone()).or_default();
        if first {
            budget.deposit();
        } else if !budget.withdraw() {
            return Err(NotRun::Full);
        }
        Ok(at)
    }
}

type Pool = SmallVec<[usize; 16]>;

/// Returns the best group of members that is not empty: those of the near domain that have a free
/// slot, then all that have one, then all that have room to wait.
fn candidates(
    now: Millis,
    members: &[Member],
    ask: &CallerRequest,
    doc: &ServiceDoc,
    near: &DomainName,
) -> Pool {
    // With no one else left, ejected members are better than none.
    let healthy = |member: &Member| member.takes_work(now) && !member.is_ejected();
    let desperate = !members.iter().any(healthy);
    let pool = |wanted: &dyn Fn(&Member) -> bool| -> Pool {
        let all = members.iter().enumerate();
        let usable = all.filter(|(_, member)| {
            (healthy(member) || desperate && member.takes_work(now))
                && !ask.tried_agents.contains(&member.incarnation)
                && wanted(member)
        });
        usable.map(|(at, _)| at).collect()
    };
    let idle = pool(&|member| member.domain == *near && !member.is_overloaded(now));
    if !idle.is_empty() {
        return idle;
    }
    let idle = pool(&|member| !member.is_overloaded(now));
    if !idle.is_empty() {
        return idle;
    }
    pool(&|member| member.load() < doc.limits.connections)
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
    let better = members[second].score(now) < members[first].score(now);
    Some(if better { second } else { first })
}

/// Tells whether a domain is out or not among those that the document allows.
fn is_closed(conf: &ConfView, service: &ServiceName, domain: &DomainName) -> bool {
    let allowed = conf
        .doc(service)
        .is_none_or(|doc| doc.domains.contains(domain));
    conf.domain(domain) == hyssop_core::DomainState::Out || !allowed
}
