//! Ownership of the cell: claims, resignation, and what an owner may still do after its
//! process was suspended.

use hyssop_core::limits::{
    BATCH_RENEWAL_LIMIT, FAILOVER_WAIT, FRESHNESS_LIMIT, LEASE_MARGIN, PEER_TIMEOUT, TASK_LEASE,
};
use hyssop_core::{CellRecord, CellState, Connectivity, Millis, RecordId, Renewal, Term};

use crate::terms::TermHints;
use crate::{Cell, Output};

/// Delay of a claim for each place in the order of candidates, so that usually only one of them
/// claims the cell.
const CLAIM_RANK_DELAY: Millis = Millis(500);
/// Time between two ticks above which the process is assumed to have been suspended.
pub(crate) const TICK_GAP_LIMIT: Millis = Millis(1_000);
/// Additional delay of a claim by a process that has missed records of the stream, added twice when
/// it has no state of the stream at all, so that a process with more complete state claims first.
const DATA_LOSS_CLAIM_DELAY: Millis = Millis(30_000);

/// Role of this process in the ownership of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Follows the stream; another process may own the cell.
    Watching,
    /// Has written the claim with this identifier and not yet read it back.
    Claiming(RecordId),
    /// Owns the cell in this term.
    Owning(Term),
}

/// State of this process in the ownership of the cell.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(crate) role: Role,
    /// Time of the latest tick; `None` before the first.
    pub(crate) last_tick_at: Option<Millis>,
    /// Time since which no live owner is known; the delay of a claim counts from here.
    vacant_since: Millis,
    /// Whether the latest list of the peers' cells has an owner of this cell.
    has_listed_owner: bool,
    /// Reads sent before this time were made before the process was suspended, and do not count as
    /// current.
    reads_valid_from: Millis,
    /// Time at which the latest read that reached the head of the stream was sent.
    pub(crate) head_read_at: Option<Millis>,
    pub(crate) connectivity: Connectivity,
    /// Whether heartbeats of a majority of the entries arrive.
    has_majority: bool,
    /// Whether an entry of that majority has been up for less than `BATCH_RENEWAL_LIMIT`.
    has_recent_start: bool,
    /// Position of this entry among the live candidates for the cell; 0 claims first.
    rank: u32,
    /// Terms reported by peers and workers that the stream does not show yet.
    pub(crate) term_hints: TermHints,
    /// Time at which this process read its claim back.
    pub(crate) acquired_at: Millis,
    /// Whether the earlier owner had resigned, or there was none, so that nobody else renews
    /// leases.
    is_clean_takeover: bool,
    /// Time from which on heartbeats of a majority of entries arrive that all know of the claim.
    majority_since: Option<Millis>,
    /// Time at which the connectivity was last [`Connectivity::Confirmed`].
    confirmed_at: Millis,
    /// Whether [`Input::Shutdown`](crate::Input::Shutdown) was received.
    pub(crate) is_shutting_down: bool,
    /// Resignation that was written and is not yet read back.
    pub(crate) resignation: Option<RecordId>,
    /// Whether [`Output::Stopped`] was returned.
    pub(crate) is_stopped: bool,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            role: Role::Watching,
            last_tick_at: None,
            vacant_since: Millis(0),
            has_listed_owner: false,
            reads_valid_from: Millis(0),
            head_read_at: None,
            connectivity: Connectivity::Isolated,
            has_majority: false,
            has_recent_start: false,
            rank: 0,
            term_hints: TermHints::default(),
            acquired_at: Millis(0),
            is_clean_takeover: false,
            majority_since: None,
            confirmed_at: Millis(0),
            is_shutting_down: false,
            resignation: None,
            is_stopped: false,
        }
    }
}

impl Ownership {
    /// Records the time of a tick. After a long gap the stream must be read and the connectivity be
    /// reported again, because another process may own the cell by now.
    pub(crate) fn begin_tick(&mut self, now: Millis) {
        let gap = self.last_tick_at.map(|last| now.since(last));
        if gap.is_none() {
            self.vacant_since = now;
        }
        if gap.is_none_or(|gap| gap > TICK_GAP_LIMIT) {
            self.reads_valid_from = now;
            self.head_read_at = None;
            self.connectivity = Connectivity::Isolated;
            self.has_majority = false;
        }
        self.last_tick_at = Some(now);
    }

    /// Returns whether the stream was read to its head since the last gap between ticks.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.head_read_at
            .is_some_and(|sent| sent >= self.reads_valid_from)
    }

    /// Stores the connectivity of this entry, and when it first had a majority after its claim.
    pub(crate) fn update_connectivity(
        &mut self,
        now: Millis,
        connectivity: Connectivity,
        has_majority: bool,
        has_recent_start: bool,
        rank: u32,
    ) {
        self.connectivity = connectivity;
        self.has_majority = has_majority;
        self.has_recent_start = has_recent_start;
        self.rank = rank;
        if connectivity == Connectivity::Confirmed {
            self.confirmed_at = now;
        }
        // After `PEER_TIMEOUT` all heartbeats that count were requested after the claim was read
        // back, and the requests carried the claim.
        let knows_claim = now >= self.acquired_at + PEER_TIMEOUT;
        if matches!(self.role, Role::Owning(_)) && knows_claim && has_majority && !has_recent_start
        {
            self.majority_since.get_or_insert(now);
        }
    }

    /// Returns the time at which all leases of the earlier owner have expired.
    ///
    /// A majority from before the claim does not count: the entry that it shares with the majority
    /// of the earlier owner may have been cut off before it could pass the claim on.
    pub(crate) fn prior_leases_expire_at(&self) -> Millis {
        match self.majority_since {
            _ if self.is_clean_takeover => self.acquired_at + TASK_LEASE + LEASE_MARGIN,
            Some(at) => at + FAILOVER_WAIT - PEER_TIMEOUT,
            None => self.acquired_at + BATCH_RENEWAL_LIMIT + TASK_LEASE + LEASE_MARGIN,
        }
    }

    /// Returns which leases a poll renews: only those of latency-critical tasks once this entry is
    /// isolated, or has not been confirmed for `BATCH_RENEWAL_LIMIT`.
    pub(crate) fn renewal(&self, now: Millis) -> Renewal {
        let is_past_renewal_limit = now.since(self.confirmed_at) > BATCH_RENEWAL_LIMIT;
        if self.connectivity == Connectivity::Isolated || is_past_renewal_limit {
            Renewal::Critical
        } else {
            Renewal::All
        }
    }

    /// Restarts the delay of a claim after records of the stream have expired unread: until now an
    /// outage may have kept processes with more complete state from claiming.
    pub(crate) fn delay_claim_after_loss(&mut self, now: Millis) {
        self.vacant_since = self.vacant_since.max(now);
    }

    /// Restarts the delay of a claim after one was read, so that heartbeats of its owner can arrive
    /// before another claim.
    pub(crate) fn delay_claim(&mut self, now: Millis) {
        self.vacant_since = self.vacant_since.max(now);
    }
}

impl Cell {
    /// Returns the term in which this process owns the cell.
    pub(crate) fn owned_term(&self) -> Option<Term> {
        match self.ownership.role {
            Role::Owning(term) => Some(term),
            _ => None,
        }
    }

    /// Returns the term if this process may write records and send orders: it owns the cell, has
    /// read the stream, has not resigned and has no report of a higher term.
    pub(crate) fn deciding_term(&self) -> Option<Term> {
        let may_decide = self.ownership.is_caught_up() && self.ownership.resignation.is_none();
        let may_decide = may_decide && !self.ownership.term_hints.has_pending();
        self.owned_term().filter(|_| may_decide)
    }

    /// Returns the term if jobs may be accepted and started: this process may decide, has a
    /// configuration and the connectivity [`Connectivity::Confirmed`], and does not shut down.
    pub(crate) fn confirmed_term(&self) -> Option<Term> {
        let is_ready = self.conf.is_some() && !self.ownership.is_shutting_down;
        let is_confirmed = self.ownership.connectivity == Connectivity::Confirmed && is_ready;
        self.deciding_term().filter(|_| is_confirmed)
    }

    /// Replaces the list of the peers' cells, and updates since when this cell has no owner.
    pub(crate) fn apply_peers(&mut self, now: Millis, states: &[CellState]) {
        let known_term = self.ledger.term;
        let own_cell = states.iter().filter(|s| s.cell == self.options.cell);
        let owner = own_cell
            .filter(|s| Some(s.term) >= known_term)
            .filter(|s| self.ownership.term_hints.check_peer(now, s, known_term))
            .max_by_key(|s| s.term);
        match owner {
            Some(_) => {
                self.ownership.vacant_since = now;
                self.ownership.has_listed_owner = true;
            }
            None if self.ownership.has_listed_owner => {
                // The list drops a peer `PEER_TIMEOUT` after its last heartbeat, so that this time
                // has passed already.
                self.ownership.has_listed_owner = false;
                let since = Millis(now.0.saturating_sub(PEER_TIMEOUT.0));
                self.ownership.vacant_since = since.min(self.ownership.vacant_since);
            }
            None => {}
        }
        self.cell_states = states.to_vec();
    }

    /// Claims, acquires or loses the ownership according to the stream and the reported terms.
    pub(crate) fn update_role(&mut self, now: Millis) {
        let has_overdue_hint = self.resolve_term_hints(now);
        match self.ownership.role {
            Role::Owning(term) => {
                if has_overdue_hint || self.ledger.term != Some(term) || self.ledger.is_resigned {
                    self.lose_ownership(now);
                }
            }
            Role::Claiming(id) => {
                if !self.journal.pending.contains_key(&id) {
                    self.resolve_claim(now);
                }
            }
            Role::Watching => self.claim_if_due(now),
        }
        self.resign_on_shutdown();
    }

    /// Stops acting as the owner: the calls that wait for a record get the reply that the outcome
    /// is unknown, and the tables of the owner are cleared.
    fn lose_ownership(&mut self, now: Millis) {
        self.ownership.role = Role::Watching;
        self.ownership.vacant_since = now;
        self.ownership.resignation = None;
        for token in self.journal.abandon() {
            self.send_reply(token, hyssop_core::JobReply::Unknown);
        }
        self.outputs.push(Output::AbandonAppends);
        self.reset_owner_state();
    }

    /// Becomes the owner if the claim that was read back took effect, and follows again otherwise.
    fn resolve_claim(&mut self, now: Millis) {
        let is_own_entry = self.ledger.owner.as_ref() == Some(&self.options.entry);
        let is_own_process = self.ledger.incarnation == self.options.incarnation;
        let term = self.ledger.term.filter(|_| is_own_entry && is_own_process);
        let Some(term) = term.filter(|_| !self.ledger.is_resigned) else {
            self.ownership.role = Role::Watching;
            self.ownership.vacant_since = now;
            return;
        };
        self.ownership.role = Role::Owning(term);
        self.ownership.acquired_at = now;
        self.ownership.is_clean_takeover = self.ledger.is_clean_takeover;
        self.ownership.majority_since = None;
        self.ledger.changed_jobs.clear();
        self.reset_owner_state();
        self.load_owner_state(now);
    }

    /// Writes a claim if this process may own the cell and the delay has passed.
    fn claim_if_due(&mut self, now: Millis) {
        let ownership = &self.ownership;
        let may_own = ownership.connectivity == Connectivity::Confirmed
            && ownership.has_majority
            && !ownership.is_shutting_down;
        let has_recent_read = ownership
            .head_read_at
            .is_some_and(|s| now.since(s) <= FRESHNESS_LIMIT);
        if !may_own || !has_recent_read || !ownership.is_caught_up() || now < self.claim_due_at() {
            return;
        }
        let prior = self.ledger.term;
        let body = CellRecord::Claim {
            owner: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            prior,
        };
        let id = self.journal.write(prior.unwrap_or_default(), body);
        self.ownership.role = Role::Claiming(id);
    }

    /// Returns the time from which on this process may claim the cell.
    fn claim_due_at(&self) -> Millis {
        let mut wait = PEER_TIMEOUT;
        if self.ledger.is_resigned {
            wait = Millis(0);
        }
        if self.ledger.has_lost_records || self.ledger.is_partial {
            wait = wait + DATA_LOSS_CLAIM_DELAY;
            if self.ledger.term.is_none() {
                wait = wait + DATA_LOSS_CLAIM_DELAY;
            }
        }
        let delay = Millis(CLAIM_RANK_DELAY.0 * u64::from(self.ownership.rank));
        self.ownership.vacant_since + wait + delay
    }

    /// Resigns during shutdown, and reports [`Output::Stopped`] once this process is not the owner.
    fn resign_on_shutdown(&mut self) {
        if !self.ownership.is_shutting_down || self.ownership.is_stopped {
            return;
        }
        match (self.ownership.role, self.deciding_term()) {
            (Role::Owning(_), Some(term)) => {
                let id = self.journal.write(term, CellRecord::Resigned);
                self.ownership.resignation = Some(id);
            }
            (Role::Owning(_) | Role::Claiming(_), _) => {}
            (Role::Watching, _) => {
                self.ownership.is_stopped = true;
                self.outputs.push(Output::Stopped);
            }
        }
    }
}
