//! Ownership of the cell: claims, resignation and what a frozen owner may still do.

use hyssop_core::limits::{
    BLIND_LIMIT, FRESH_LIMIT, LEASE_MARGIN, PEER_TIMEOUT, TAKEOVER_WAIT, TASK_LEASE,
};
use hyssop_core::{CellRecord, CellState, Millis, RecordId, Renewal, Standing, Term};

use crate::terms::TermHints;
use crate::{Cell, Output};

/// Delay of a claim per place in the order of candidates, so that usually only one claims.
const CLAIM_RANK_DELAY: Millis = Millis(500);
/// Time between ticks above which the process is taken to have been frozen.
pub(crate) const TICK_GAP_LIMIT: Millis = Millis(1_000);
/// Further delay of a claim by a process that has missed records of the stream, and again of one
/// that knows nothing of it: one that knows more goes first.
const DATA_LOSS_CLAIM_DELAY: Millis = Millis(30_000);

/// Part of this process in the ownership of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Watching,
    /// A claim is on its way.
    Claiming(RecordId),
    Owning(Term),
}

/// What this process knows about the ownership of the cell.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(crate) role: Role,
    pub(crate) last_tick_at: Option<Millis>,
    /// Time since which no live owner is known.
    vacant_since: Millis,
    /// Whether the peers' latest list has an owner of the cell.
    has_listed_owner: bool,
    /// Reads sent before this time say nothing about the present.
    reads_valid_from: Millis,
    /// Send time of the latest read that reached the head of the stream.
    pub(crate) head_read_at: Option<Millis>,
    pub(crate) connectivity: Standing,
    has_majority: bool,
    has_recent_start: bool,
    rank: u32,
    /// Terms stated outside the stream.
    pub(crate) term_hints: TermHints,
    /// Time at which the claim was read back.
    pub(crate) acquired_at: Millis,
    /// Whether the earlier owner had resigned, or there was none.
    is_clean_takeover: bool,
    /// Time at which a majority was first heard whose entries all know of the claim.
    majority_since: Option<Millis>,
    confirmed_at: Millis,
    /// Whether the process shuts down.
    pub(crate) is_shutting_down: bool,
    pub(crate) resignation: Option<RecordId>,
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
            connectivity: Standing::Isolated,
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
    /// Notes the time of a tick. After a long gap the stream must be read and the standing be
    /// stated again: another process may own the cell by now.
    pub(crate) fn begin_tick(&mut self, now: Millis) {
        let gap = self.last_tick_at.map(|last| now.since(last));
        if gap.is_none() {
            self.vacant_since = now;
        }
        if gap.is_none_or(|gap| gap > TICK_GAP_LIMIT) {
            self.reads_valid_from = now;
            self.head_read_at = None;
            self.connectivity = Standing::Isolated;
            self.has_majority = false;
        }
        self.last_tick_at = Some(now);
    }

    /// Tells whether the stream was read to its head since the last gap.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.head_read_at
            .is_some_and(|sent| sent >= self.reads_valid_from)
    }

    pub(crate) fn update_connectivity(
        &mut self,
        now: Millis,
        standing: Standing,
        majority: bool,
        young: bool,
        rank: u32,
    ) {
        self.connectivity = standing;
        self.has_majority = majority;
        self.has_recent_start = young;
        self.rank = rank;
        if standing == Standing::Proved {
            self.confirmed_at = now;
        }
        // What is heard now was asked after the claim was read back, and so carried it.
        let told = now >= self.acquired_at + PEER_TIMEOUT;
        if matches!(self.role, Role::Owning(_)) && told && majority && !young {
            self.majority_since.get_or_insert(now);
        }
    }

    /// Returns the time at which the leases of the earlier owner have lapsed.
    ///
    /// A majority heard before the claim does not count: the entry that it shares with the
    /// majority of the earlier owner may have been cut off before it could pass the claim on.
    pub(crate) fn prior_leases_expire_at(&self) -> Millis {
        match self.majority_since {
            _ if self.is_clean_takeover => self.acquired_at + TASK_LEASE + LEASE_MARGIN,
            Some(at) => at + TAKEOVER_WAIT - PEER_TIMEOUT,
            None => self.acquired_at + BLIND_LIMIT + TASK_LEASE + LEASE_MARGIN,
        }
    }

    /// Returns the leases that a poll renews.
    pub(crate) fn renewal(&self, now: Millis) -> Renewal {
        let blind = now.since(self.confirmed_at) > BLIND_LIMIT;
        if self.connectivity == Standing::Isolated || blind {
            Renewal::Critical
        } else {
            Renewal::All
        }
    }

    /// Notes that records of the stream have expired unread. The delay of a claim counts from
    /// here: before, an outage may have kept those that know more from claiming.
    pub(crate) fn delay_claim_after_loss(&mut self, now: Millis) {
        self.vacant_since = self.vacant_since.max(now);
    }

    /// Notes that a claim was read. Its owner is given the time to be heard before another claim.
    pub(crate) fn delay_claim(&mut self, now: Millis) {
        self.vacant_since = self.vacant_since.max(now);
    }
}

impl Cell {
    /// Returns the term if this process owns the cell and knows of no higher one.
    pub(crate) fn owned_term(&self) -> Option<Term> {
        match self.ownership.role {
            Role::Owning(term) => Some(term),
            _ => None,
        }
    }

    /// Returns the term if records may be written and orders given.
    pub(crate) fn deciding_term(&self) -> Option<Term> {
        let able = self.ownership.is_caught_up() && self.ownership.resignation.is_none();
        let able = able && !self.ownership.term_hints.has_pending();
        self.owned_term().filter(|_| able)
    }

    /// Returns the term if work may be accepted and started.
    pub(crate) fn confirmed_term(&self) -> Option<Term> {
        let ready = self.conf.is_some() && !self.ownership.is_shutting_down;
        let proved = self.ownership.connectivity == Standing::Proved && ready;
        self.deciding_term().filter(|_| proved)
    }

    pub(crate) fn apply_peers(&mut self, now: Millis, states: &[CellState]) {
        let known = self.ledger.term;
        let ours = states.iter().filter(|s| s.cell == self.options.cell);
        let owner = ours
            .filter(|s| Some(s.term) >= known)
            .filter(|s| self.ownership.term_hints.check_peer(now, s, known))
            .max_by_key(|s| s.term);
        match owner {
            Some(_) => {
                self.ownership.vacant_since = now;
                self.ownership.has_listed_owner = true;
            }
            None if self.ownership.has_listed_owner => {
                // The list drops a silent peer after `PEER_TIMEOUT`, so the wait is over.
                self.ownership.has_listed_owner = false;
                let since = Millis(now.0.saturating_sub(PEER_TIMEOUT.0));
                self.ownership.vacant_since = since.min(self.ownership.vacant_since);
            }
            None => {}
        }
        self.peers = states.to_vec();
    }

    /// Takes or gives up the cell as the stream and the peers say.
    pub(crate) fn update_role(&mut self, now: Millis) {
        let unsettled = self.resolve_term_hints(now);
        match self.ownership.role {
            Role::Owning(term) => {
                if unsettled || self.ledger.term != Some(term) || self.ledger.is_resigned {
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

    /// Decides what became of a claim that was read back.
    fn resolve_claim(&mut self, now: Millis) {
        let owner = self.ledger.owner.as_ref() == Some(&self.options.entry);
        let same = self.ledger.incarnation == self.options.incarnation;
        let term = self.ledger.term.filter(|_| owner && same);
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

    fn claim_if_due(&mut self, now: Millis) {
        let office = &self.ownership;
        let able = office.connectivity == Standing::Proved
            && office.has_majority
            && !office.is_shutting_down;
        let read = office
            .head_read_at
            .is_some_and(|s| now.since(s) <= FRESH_LIMIT);
        if !able || !read || !office.is_caught_up() || now < self.claim_due_at() {
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

    fn claim_due_at(&self) -> Millis {
        let mut silence = PEER_TIMEOUT;
        if self.ledger.is_resigned {
            silence = Millis(0);
        }
        if self.ledger.has_lost_records || self.ledger.is_partial {
            silence = silence + DATA_LOSS_CLAIM_DELAY;
            if self.ledger.term.is_none() {
                silence = silence + DATA_LOSS_CLAIM_DELAY;
            }
        }
        let delay = Millis(CLAIM_RANK_DELAY.0 * u64::from(self.ownership.rank));
        self.ownership.vacant_since + silence + delay
    }

    /// Gives the cell up when the process shuts down.
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
