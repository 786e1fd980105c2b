//! Whether, and how much, work the gate accepts for its backend server.

use hyssop_core::{
    ConfView, DomainName, DomainState, Incarnation, MemberState, Millis, NotRun, Offset,
    ServiceName, Version,
};

use super::LEAVE_GRACE;

/// The last announcement of the backend server.
#[derive(Clone, Copy, Debug)]
struct Backend {
    incarnation: Incarnation,
    slots: u32,
    connections: u32,
}

/// Everything on which the admission of new work depends, other than the current load.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Most requests that run at the same time.
    pub(crate) slots: u32,
    /// Most open requests: running and queued ones, and repeats that wait for the response to an
    /// earlier request.
    pub(crate) connections: u32,
    /// Whether any entry has recently confirmed that it serves requests.
    pub(crate) has_serving_entry: bool,
    backend: Option<Backend>,
    /// Slots and connections that the service's document allows.
    doc_limits: Option<(u32, u32)>,
    /// Offset of the configuration in use.
    applied: Offset,
    /// Whether the configuration has no document of the service.
    is_removed: bool,
    domain: (Version, DomainState),
    /// Whether the backend server or the agent is leaving, whatever the state of the domain.
    is_leaving: bool,
    /// Time since which the backend server, the agent or the failure domain has been leaving.
    leaving_since: Option<Millis>,
}

impl Admission {
    /// Applies an announcement. Returns whether it is the first of a new incarnation.
    pub(crate) fn apply_announcement(
        &mut self,
        incarnation: Incarnation,
        slots: u32,
        connections: u32,
    ) -> bool {
        let is_new = self
            .backend
            .is_none_or(|backend| backend.incarnation != incarnation);
        self.backend = Some(Backend {
            incarnation,
            slots,
            connections,
        });
        self.update_limits();
        is_new
    }

    /// Marks the backend server as lost until its next announcement.
    pub(crate) fn lose_backend(&mut self) {
        self.backend = None;
        self.update_limits();
    }

    /// Stops the admission of new work because the backend server or the agent is leaving.
    pub(crate) fn leave(&mut self, now: Millis) {
        self.is_leaving = true;
        self.update_leaving(now);
    }

    /// Reverts [`Self::leave`].
    pub(crate) fn rejoin(&mut self, now: Millis) {
        self.is_leaving = false;
        self.update_leaving(now);
    }

    /// Applies a state of the failure domain if its version is newer than the current one.
    pub(crate) fn apply_domain(&mut self, now: Millis, version: Version, state: DomainState) {
        if version > self.domain.0 {
            self.domain = (version, state);
            self.update_leaving(now);
        }
    }

    /// Applies a configuration unless a later one has been applied.
    pub(crate) fn apply_conf(
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
        self.is_removed = doc.is_none() && view.applied > Offset(0);
        self.doc_limits = doc.map(|doc| (doc.limits.slots, doc.limits.connections));
        if let Some((version, state)) = view.domains.get(domain) {
            self.apply_domain(now, *version, *state);
        }
        self.update_limits();
    }

    /// Returns whether there is a backend server that has not been lost.
    pub(crate) const fn has_backend(&self) -> bool {
        self.backend.is_some()
    }

    /// Returns the incarnation of the backend server.
    pub(crate) fn backend_incarnation(&self) -> Option<Incarnation> {
        self.backend.map(|backend| backend.incarnation)
    }

    /// Checks whether new work may be accepted.
    pub(crate) fn check_new(&self) -> Result<(), NotRun> {
        if self.leaving_since.is_some() {
            return Err(NotRun::Leaving);
        }
        self.check_available()
    }

    /// Returns the reason why waiting requests must not start any more, if there is one.
    pub(crate) fn waiting_refusal(&self, now: Millis) -> Option<NotRun> {
        if self
            .leaving_since
            .is_some_and(|at| now.since(at) >= LEAVE_GRACE)
        {
            return Some(NotRun::Leaving);
        }
        self.check_available().err()
    }

    /// Returns the time at which a leaving gate refuses its waiting requests.
    pub(crate) fn waiting_until(&self) -> Option<Millis> {
        self.leaving_since.map(|at| at + LEAVE_GRACE)
    }

    /// Returns the state to announce to the entries.
    pub(crate) const fn state(&self) -> MemberState {
        match (self.leaving_since, self.backend) {
            (Some(_), _) => MemberState::Leaving,
            (None, Some(_)) => MemberState::Up,
            (None, None) => MemberState::Down,
        }
    }

    /// Checks the conditions that waiting requests need as well as new ones.
    fn check_available(&self) -> Result<(), NotRun> {
        if !self.has_serving_entry {
            return Err(NotRun::Isolated);
        }
        if self.is_removed {
            return Err(NotRun::NoService);
        }
        match self.backend {
            Some(_) => Ok(()),
            None => Err(NotRun::NoServer),
        }
    }

    fn update_leaving(&mut self, now: Millis) {
        let leaving = self.is_leaving || self.domain.1 == DomainState::Out;
        self.leaving_since = leaving.then(|| self.leaving_since.unwrap_or(now));
    }

    /// Sets the limits to the lower ones of the document and the backend server.
    fn update_limits(&mut self) {
        let (slots, connections) = self
            .backend
            .map_or((0, 0), |backend| (backend.slots, backend.connections));
        let (max_slots, max_connections) = self.doc_limits.unwrap_or((u32::MAX, u32::MAX));
        self.connections = connections.min(max_connections);
        self.slots = slots.min(max_slots).min(self.connections);
    }
}
