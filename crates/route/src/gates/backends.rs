//! Whether and how much work the backend server takes.

use hyssop_core::{
    ConfView, DomainName, DomainState, Incarnation, MemberState, Millis, NotRun, Offset,
    ServiceName, Version,
};

use super::LEAVE_GRACE;

/// What the backend server announced.
#[derive(Clone, Copy, Debug)]
struct Backend {
    life: Incarnation,
    slots: u32,
    connections: u32,
}

/// Everything that decides whether new work is taken.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    /// Requests that run at once.
    pub(crate) slots: u32,
    /// Requests that run and wait.
    pub(crate) connections: u32,
    /// Whether an entry said within the limit that it serves.
    pub(crate) serving: bool,
    backend: Option<Backend>,
    /// Slots and connections of the document.
    allowed: Option<(u32, u32)>,
    applied: Offset,
    /// Whether the configuration has no document of the service.
    removed: bool,
    domain: (Version, DomainState),
    left: bool,
    /// Since when the backend server or its domain leaves.
    since: Option<Millis>,
}

impl Intake {
    /// Takes an announcement and tells whether it is the first of a life.
    pub(crate) fn announced(&mut self, life: Incarnation, slots: u32, connections: u32) -> bool {
        let fresh = self.backend.is_none_or(|backend| backend.life != life);
        self.backend = Some(Backend {
            life,
            slots,
            connections,
        });
        self.limit();
        fresh
    }

    /// Notes that the backend server is lost.
    pub(crate) fn lose(&mut self) {
        self.backend = None;
        self.limit();
    }

    /// Notes that the backend server or the process leaves.
    pub(crate) fn leave(&mut self, now: Millis) {
        self.left = true;
        self.note_leaving(now);
    }

    /// Notes that neither the backend server nor the process leaves.
    pub(crate) fn enter(&mut self, now: Millis) {
        self.left = false;
        self.note_leaving(now);
    }

    /// Takes a state of the domain, if its version is newer.
    pub(crate) fn domain(&mut self, now: Millis, version: Version, state: DomainState) {
        if version > self.domain.0 {
            self.domain = (version, state);
            self.note_leaving(now);
        }
    }

    /// Takes a configuration, unless a later one is known.
    pub(crate) fn conf(
        &mut self,
        now: Millis,
        view: &ConfView,
        service: &ServiceName,
        domain: &DomainName,
    ) {
        if view.applied < self.applied {
            return;
        }
        self.applied = view.applied;
        let doc = view.doc(service);
        self.removed = doc.is_none() && view.applied > Offset(0);
        self.allowed = doc.map(|doc| (doc.limits.slots, doc.limits.connections));
        if let Some((version, state)) = view.domains.get(domain) {
            self.domain(now, *version, *state);
        }
        self.limit();
    }

    /// Tells whether a backend server is there.
    pub(crate) const fn is_present(&self) -> bool {
        self.backend.is_some()
    }

    /// Returns the life of the backend server.
    pub(crate) fn life(&self) -> Option<Incarnation> {
        self.backend.map(|backend| backend.life)
    }

    /// Checks whether new work is taken.
    pub(crate) fn check(&self) -> Result<(), NotRun> {
        if self.since.is_some() {
            return Err(NotRun::Leaving);
        }
        self.check_standing()
    }

    /// Tells why waiting requests must not start any more, if so.
    pub(crate) fn refuses_waiting(&self, now: Millis) -> Option<NotRun> {
        if self.since.is_some_and(|at| now.since(at) >= LEAVE_GRACE) {
            return Some(NotRun::Leaving);
        }
        self.check_standing().err()
    }

    /// Returns the time at which waiting requests of a leaving backend server are refused.
    pub(crate) fn waiting_until(&self) -> Option<Millis> {
        self.since.map(|at| at + LEAVE_GRACE)
    }

    /// Returns the state to announce.
    pub(crate) const fn state(&self) -> MemberState {
        match (self.since, self.backend) {
            (Some(_), _) => MemberState::Leaving,
            (None, Some(_)) => MemberState::Up,
            (None, None) => MemberState::Down,
        }
    }

    fn check_standing(&self) -> Result<(), NotRun> {
        if !self.serving {
            return Err(NotRun::Isolated);
        }
        if self.removed {
            return Err(NotRun::NoService);
        }
        match self.backend {
            Some(_) => Ok(()),
            None => Err(NotRun::NoServer),
        }
    }

    fn note_leaving(&mut self, now: Millis) {
        let leaving = self.left || self.domain.1 == DomainState::Out;
        self.since = leaving.then(|| self.since.unwrap_or(now));
    }

    /// Computes the limits: the document and the backend server may each lower them.
    fn limit(&mut self) {
        let (slots, connections) = self
            .backend
            .map_or((0, 0), |backend| (backend.slots, backend.connections));
        let (most, open) = self.allowed.unwrap_or((u32::MAX, u32::MAX));
        self.connections = connections.min(open);
        self.slots = slots.min(most).min(self.connections);
    }
}
