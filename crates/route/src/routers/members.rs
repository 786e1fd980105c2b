//! One member: an agent and its backend server as an entry sees them.

use hyssop_core::{
    AgentName, Announcement, DomainName, Incarnation, Load, MemberState, Millis, NotRun, RackName,
    ServiceName,
};

use super::MemberStatus;
use super::health::Health;
use crate::types::{CallReport, CallResult, CallerRequest, Pick};

/// Time over which a newcomer's share of the requests grows to the full one.
const SLOW_START: Millis = Millis(10_000);
/// Share at the beginning of the slow start, in percent.
const FIRST_SHARE: u64 = 10;
/// Announcements that may be missed before a member is taken for gone.
const MISSED: u64 = 3;
/// Longest interval of announcements that is believed.
const MAX_EVERY: Millis = Millis(30_000);

/// A member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) agent: AgentName,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: DomainName,
    /// Time at which the member is taken for gone.
    pub(crate) expires: Millis,
    /// Whether its domain is out or not allowed.
    pub(crate) is_closed: bool,
    pub(crate) health: Health,
    service: ServiceName,
    rack: RackName,
    address: String,
    seq: u64,
    state: MemberState,
    slots: u32,
    /// Load there that is not this entry's own.
    others: u32,
    /// Calls of this entry in flight there.
    own: u32,
    /// Since when it takes work, or `None` if it did so before this entry could know.
    since: Option<Millis>,
    /// Whether the last call found no one, with no announcement since.
    unreached: bool,
}

impl Member {
    /// Skips the slow start of a member that took work before this entry started.
    pub(crate) const fn skip_slow_start(&mut self) {
        self.since = None;
    }

    /// Creates a member from its first announcement.
    pub(crate) fn new(now: Millis, first: &Announcement) -> Self {
        let mut member = Self {
            agent: first.agent.clone(),
            incarnation: first.incarnation,
            domain: first.domain.clone(),
            expires: now,
            is_closed: false,
            health: Health::default(),
            service: first.service.clone(),
            rack: first.rack.clone(),
            address: first.address.clone(),
            seq: first.seq,
            state: first.state,
            slots: 0,
            others: 0,
            own: 0,
            since: Some(now),
            unreached: false,
        };
        member.update(now, first);
        member
    }

    /// Takes a later announcement and tells whether it was news.
    pub(crate) fn announced(&mut self, now: Millis, announcement: &Announcement) -> bool {
        if announcement.seq <= self.seq {
            return false;
        }
        let was_up = self.state == MemberState::Up && self.is_live(now);
        if !was_up && announcement.state == MemberState::Up {
            self.since = Some(now);
        }
        self.update(now, announcement);
        true
    }

    fn update(&mut self, now: Millis, announcement: &Announcement) {
        let every = announcement.every.0.clamp(1, MAX_EVERY.0);
        self.seq = announcement.seq;
        self.expires = now + Millis(every * MISSED);
        self.state = announcement.state;
        self.address.clone_from(&announcement.address);
        self.unreached = false;
        self.measure(announcement.load);
    }

    /// Takes a load that the agent stated.
    fn measure(&mut self, load: Load) {
        let total = load.running.saturating_add(load.waiting);
        self.others = total.saturating_sub(self.own);
        self.slots = load.slots;
    }

    /// Notes that a call was sent.
    pub(crate) fn sent(&mut self, now: Millis) {
        self.own += 1;
        self.health.sent(now);
    }

    /// Takes the end of a call.
    pub(crate) fn ended(&mut self, now: Millis, done: &CallReport) {
        self.own = self.own.saturating_sub(1);
        if let Some(load) = done.load {
            self.measure(load);
        }
        if done.result == CallResult::Unreachable {
            self.unreached = true;
        }
        if self.health.ended(done.result) {
            self.since = Some(now);
        }
    }

    /// Tells whether it announced itself in time.
    pub(crate) fn is_live(&self, now: Millis) -> bool {
        now < self.expires
    }

    /// Tells whether it may get new work, apart from ejection and load.
    pub(crate) fn takes_work(&self, now: Millis) -> bool {
        self.is_live(now) && self.state == MemberState::Up && !self.is_closed && !self.unreached
    }

    /// Tells whether it is ejected or waits for the end of a probe.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.is_ejected()
    }

    /// Tells whether the next request should probe it.
    pub(crate) fn wants_probe(&self, now: Millis) -> bool {
        self.health.wants_probe(now)
    }

    /// Returns the requests running and waiting there.
    pub(crate) const fn load(&self) -> u32 {
        self.others.saturating_add(self.own)
    }

    /// Tells whether one more request would exceed the member's share of its slots.
    pub(crate) fn is_overloaded(&self, now: Millis) -> bool {
        let slots = u64::from(self.slots) * self.share(now) / 100;
        u64::from(self.load()) >= slots.max(1)
    }

    /// Returns the load per slot after one more request; lower is better.
    pub(crate) fn score(&self, now: Millis) -> u64 {
        let load = u64::from(self.load()) + 1;
        let slots = u64::from(self.slots.max(1));
        load * 1_000_000 / (slots * self.share(now))
    }

    /// Returns the share of the requests that a newcomer gets, in percent.
    fn share(&self, now: Millis) -> u64 {
        let Some(since) = self.since else {
            return 100;
        };
        let age = now.since(since).0.min(SLOW_START.0);
        FIRST_SHARE.max(age * 100 / SLOW_START.0)
    }

    /// Returns the choice of this member.
    pub(crate) fn pick(&self, ask: &CallerRequest, refuse: Option<NotRun>) -> Pick {
        Pick {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            service: ask.service.clone(),
            team: ask.team.clone(),
            refusal: refuse,
        }
    }

    /// Describes it for status.
    pub(crate) fn status(&self, now: Millis) -> MemberStatus {
        MemberStatus {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            service: self.service.clone(),
            domain: self.domain.clone(),
            rack: self.rack.clone(),
            state: self.state,
            load: self.load(),
            inflight: self.own,
            is_live: self.is_live(now),
            is_ejected: self.health.is_ejected(),
            is_closed: self.is_closed,
        }
    }
}
