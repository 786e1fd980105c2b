//! Ownership of the cell: claims, resignation and what a frozen owner may still do.

use hyssop_core::limits::{
    BLIND_LIMIT, FRESH_LIMIT, LEASE_MARGIN, PEER_TIMEOUT, TAKEOVER_WAIT, TASK_LEASE,
};
use hyssop_core::{CellRecord, CellState, Millis, RecordId, Renewal, Standing, Term};

use crate::terms::Rumours;
use crate::{Cell, Output};

/// Delay of a claim per place in the order of candidates, so that usually only one claims.
const RANK_DELAY: Millis = Millis(500);
/// Time between ticks above which the process is taken to have been frozen.
pub(crate) const FREEZE_LIMIT: Millis = Millis(1_000);
/// Further delay of a claim by a process that has missed records of the stream, and again of one
/// that knows nothing of it: one that knows more goes first.
const AMNESIA_DELAY: Millis = Millis(30_000);

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
pub(crate) struct Office {
    pub(crate) role: Role,
    pub(crate) last: Option<Millis>,
    /// Time since which no live owner is known.
    vacant: Millis,
    /// Whether the peers' latest list has an owner of the cell.
    stated: bool,
    /// Reads sent before this time say nothing about the present.
    fresh: Millis,
    /// Send time of the latest read that reached the head of the stream.
    pub(crate) read: Option<Millis>,
    pub(crate) standing: Standing,
    majority: bool,
    young: bool,
    rank: u32,
    /// Terms stated outside the stream.
    pub(crate) rumours: Rumours,
    /// Time at which the claim was read back.
    pub(crate) took: Millis,
    /// Whether the earlier owner had resigned, or there was none.
    clean: bool,
    /// Time at which a majority was first heard whose entries all know of the claim.
    backed: Option<Millis>,
    proved: Millis,
    /// Whether the process shuts down.
    pub(crate) leaving: bool,
    pub(crate) resigning: Option<RecordId>,
    pub(crate) stopped: bool,
}

impl Default for Office {
    fn default() -> Self {
        Self {
            role: Role::Watching,
            last: None,
            vacant: Millis(0),
            stated: false,
            fresh: Millis(0),
            read: None,
            standing: Standing::Isolated,
            majority: false,
            young: false,
            rank: 0,
            rumours: Rumours::default(),
            took: Millis(0),
            clean: false,
            backed: None,
            proved: Millis(0),
            leaving: false,
            resigning: None,
            stopped: false,
        }
    }
}

impl Office {
    /// Notes the time of a tick. After a long gap the stream must be read and the standing be
    /// stated again: another process may own the cell by now.
    pub(crate) fn begin(&mut self, now: Millis) {
        let gap = self.last.map(|last| now.since(last));
        if gap.is_none() {
            self.vacant = now;
        }
        if gap.is_none_or(|gap| gap > FREEZE_LIMIT) {
            self.fresh = now;
            self.read = None;
            self.standing = Standing::Isolated;
            self.majority = false;
        }
        self.last = Some(now);
    }

    /// Tells whether the stream was read to its head since the last gap.
    pub(crate) fn is_read(&self) -> bool {
        self.read.is_some_and(|sent| sent >= self.fresh)
    }

    pub(crate) fn stand(
        &mut self,
        now: Millis,
        standing: Standing,
        majority: bool,
        young: bool,
        rank: u32,
    ) {
        self.standing = standing;
        self.majority = majority;
        self.young = young;
        self.rank = rank;
        if standing == Standing::Proved {
            self.proved = now;
        }
        // What is heard now was asked after the claim was read back, and so carried it.
        let told = now >= self.took + PEER_TIMEOUT;
        if matches!(self.role, Role::Owning(_)) && told && majority && !young {
            self.backed.get_or_insert(now);
        }
    }

    /// Returns the time at which the leases of the earlier owner have lapsed.
    ///
    /// A majority heard before the claim does not count: the entry that it shares with the
    /// majority of the earlier owner may have been cut off before it could pass the claim on.
    pub(crate) fn lapse(&self) -> Millis {
        match self.backed {
            _ if self.clean => self.took + TASK_LEASE + LEASE_MARGIN,
            Some(at) => at + TAKEOVER_WAIT - PEER_TIMEOUT,
            None => self.took + BLIND_LIMIT + TASK_LEASE + LEASE_MARGIN,
        }
    }

    /// Returns the leases that a poll renews.
    pub(crate) fn renewal(&self, now: Millis) -> Renewal {
        let blind = now.since(self.proved) > BLIND_LIMIT;
        if self.standing == Standing::Isolated || blind {
            Renewal::Critical
        } else {
            Renewal::All
        }
    }

    /// Notes that records of the stream have expired unread. The delay of a claim counts from
    /// here: before, an outage may have kept those that know more from claiming.
    pub(crate) fn note_loss(&mut self, now: Millis) {
        self.vacant = self.vacant.max(now);
    }

    /// Notes that a claim was read. Its owner is given the time to be heard before another claim.
    pub(crate) fn note_claim(&mut self, now: Millis) {
        self.vacant = self.vacant.max(now);
    }
}

impl Cell {
    /// Returns the term if this process owns the cell and knows of no higher one.
    pub(crate) fn term(&self) -> Option<Term> {
        match self.office.role {
            Role::Owning(term) => Some(term),
            _ => None,
        }
    }

    /// Returns the term if records may be written and orders given.
    pub(crate) fn deciding(&self) -> Option<Term> {
        let able = self.office.is_read() && self.office.resigning.is_none();
        let able = able && !self.office.rumours.is_open();
        self.term().filter(|_| able)
    }

    /// Returns the term if work may be accepted and started.
    pub(crate) fn proved(&self) -> Option<Term> {
        let ready = self.conf.is_some() && !self.office.leaving;
        let proved = self.office.standing == Standing::Proved && ready;
        self.deciding().filter(|_| proved)
    }

    pub(crate) fn take_peers(&mut self, now: Millis, states: &[CellState]) {
        let known = self.ledger.term;
        let ours = states.iter().filter(|s| s.cell == self.options.cell);
        let owner = ours
            .filter(|s| Some(s.term) >= known)
            .filter(|s| self.office.rumours.is_credible(now, s, known))
            .max_by_key(|s| s.term);
        match owner {
            Some(_) => {
                self.office.vacant = now;
                self.office.stated = true;
            }
            None if self.office.stated => {
                // The list drops a silent peer after `PEER_TIMEOUT`, so the wait is over.
                self.office.stated = false;
                let since = Millis(now.0.saturating_sub(PEER_TIMEOUT.0));
                self.office.vacant = since.min(self.office.vacant);
            }
            None => {}
        }
        self.peers = states.to_vec();
    }

    /// Takes or gives up the cell as the stream and the peers say.
    pub(crate) fn rule(&mut self, now: Millis) {
        let unsettled = self.check_rumours(now);
        match self.office.role {
            Role::Owning(term) => {
                if unsettled || self.ledger.term != Some(term) || self.ledger.resigned {
                    self.lose_office(now);
                }
            }
            Role::Claiming(id) => {
                if !self.journal.unsettled.contains_key(&id) {
                    self.enter_office(now);
                }
            }
            Role::Watching => self.claim(now),
        }
        self.shut_down();
    }

    fn lose_office(&mut self, now: Millis) {
        self.office.role = Role::Watching;
        self.office.vacant = now;
        self.office.resigning = None;
        for token in self.journal.abandon() {
            self.answer(token, hyssop_core::JobReply::Unknown);
        }
        self.out.push(Output::AbandonAppends);
        self.clear();
    }

    /// Decides what became of a claim that was read back.
    fn enter_office(&mut self, now: Millis) {
        let owner = self.ledger.owner.as_ref() == Some(&self.options.entry);
        let same = self.ledger.incarnation == self.options.incarnation;
        let term = self.ledger.term.filter(|_| owner && same);
        let Some(term) = term.filter(|_| !self.ledger.resigned) else {
            self.office.role = Role::Watching;
            self.office.vacant = now;
            return;
        };
        self.office.role = Role::Owning(term);
        self.office.took = now;
        self.office.clean = self.ledger.clean;
        self.office.backed = None;
        self.ledger.touched.clear();
        self.clear();
        self.load(now);
    }

    fn claim(&mut self, now: Millis) {
        let office = &self.office;
        let able = office.standing == Standing::Proved && office.majority && !office.leaving;
        let read = office.read.is_some_and(|s| now.since(s) <= FRESH_LIMIT);
        if !able || !read || !office.is_read() || now < self.claim_time() {
            return;
        }
        let prior = self.ledger.term;
        let body = CellRecord::Claim {
            owner: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            prior,
        };
        let id = self.journal.write(prior.unwrap_or_default(), body);
        self.office.role = Role::Claiming(id);
    }

    fn claim_time(&self) -> Millis {
        let mut silence = PEER_TIMEOUT;
        if self.ledger.resigned {
            silence = Millis(0);
        }
        if self.ledger.lost || self.ledger.partial {
            silence = silence + AMNESIA_DELAY;
            if self.ledger.term.is_none() {
                silence = silence + AMNESIA_DELAY;
            }
        }
        let delay = Millis(RANK_DELAY.0 * u64::from(self.office.rank));
        self.office.vacant + silence + delay
    }

    /// Gives the cell up when the process shuts down.
    fn shut_down(&mut self) {
        if !self.office.leaving || self.office.stopped {
            return;
        }
        match (self.office.role, self.deciding()) {
            (Role::Owning(_), Some(term)) => {
                let id = self.journal.write(term, CellRecord::Resigned);
                self.office.resigning = Some(id);
            }
            (Role::Owning(_) | Role::Claiming(_), _) => {}
            (Role::Watching, _) => {
                self.office.stopped = true;
                self.out.push(Output::Stopped);
            }
        }
    }
}
