//! Phases of the failure domains in the process of leaving and returning to service.

use std::collections::BTreeMap;

use hyssop_core::api::{DomainPhase, DomainStatus};
use hyssop_core::{
    CellId, CellState, DomainName, DomainState, Load, MemberState, Millis, Resources, Version,
};
use hyssop_route::MemberStatus;

use super::fleets::Fleet;
use super::shared::Shared;

type Members = [(MemberStatus, Load)];

/// Returns the status of one domain, summed over its cells and members.
pub(crate) fn status(shared: &Shared, domain: &DomainName) -> DomainStatus {
    let members = shared.member_list();
    let now = shared.now();
    let mut fleet = shared.fleet();
    let cells = fleet.cells(now);
    let own = shared.cells.iter().filter(|cell| cell.domain == *domain);
    let totals = DomainTotals::of(own, &cells);
    let (version, state) = fleet
        .conf
        .view()
        .domains
        .get(domain)
        .copied()
        .unwrap_or((Version(0), DomainState::In));
    let live = |(member, _): &&(MemberStatus, Load)| member.is_live && member.domain == *domain;
    let here: Vec<_> = members.iter().filter(live).cloned().collect();
    let up = here.iter().filter(|(m, _)| accepts_work(m)).count();
    let leaving = here.iter().filter(|(m, _)| is_leaving(m)).count();
    DomainStatus {
        domain: domain.clone(),
        version,
        state,
        phase: phase(&mut fleet, now, domain, state, &totals, &here),
        running: totals.running,
        pending: totals.pending,
        unconfirmed: totals.unconfirmed,
        members_up: u32::try_from(up).unwrap_or(u32::MAX),
        members_leaving: u32::try_from(leaving).unwrap_or(u32::MAX),
        workers: totals.workers,
        capacity: totals.capacity,
        allocated: totals.allocated,
    }
}

fn accepts_work(member: &MemberStatus) -> bool {
    member.state == MemberState::Up && !member.is_closed
}

/// Returns whether a member is finishing its requests, or will once it knows that its domain is out.
fn is_leaving(member: &MemberStatus) -> bool {
    member.state == MemberState::Leaving || member.state == MemberState::Up && member.is_closed
}

/// Totals over the cells of a domain.
#[derive(Debug, Default)]
struct DomainTotals {
    running: u32,
    pending: u32,
    unconfirmed: u32,
    workers: u32,
    capacity: Resources,
    allocated: Resources,
    /// Whether the owner of a cell is unknown, so that its counts are missing.
    has_unknown_owner: bool,
}

impl DomainTotals {
    fn of<'a>(own: impl Iterator<Item = &'a CellId>, cells: &BTreeMap<CellId, CellState>) -> Self {
        let mut totals = Self::default();
        for cell in own {
            match cells.get(cell) {
                Some(state) => totals.add(state),
                None => totals.has_unknown_owner = true,
            }
        }
        totals
    }

    fn add(&mut self, state: &CellState) {
        let summary = &state.summary;
        self.running = self.running.saturating_add(summary.running);
        self.pending = self.pending.saturating_add(summary.pending);
        self.unconfirmed = self.unconfirmed.saturating_add(summary.unconfirmed);
        self.workers = self.workers.saturating_add(summary.workers);
        let add = |a: Resources, b| a.checked_add(b).unwrap_or(a);
        self.capacity = add(self.capacity, summary.capacity);
        self.allocated = add(self.allocated, summary.allocated);
    }
}

fn phase(
    fleet: &mut Fleet,
    now: Millis,
    domain: &DomainName,
    state: DomainState,
    totals: &DomainTotals,
    members: &Members,
) -> DomainPhase {
    let view = fleet.conf.view();
    if state == DomainState::In {
        return match fleet.domains.is_returning(now, view, domain) {
            true => DomainPhase::Returning,
            false => DomainPhase::InService,
        };
    }
    let has_requests = members
        .iter()
        .any(|(member, _)| member.load > 0 || member.inflight > 0);
    let has_tasks = totals.running > 0 || totals.unconfirmed > 0 || totals.has_unknown_owner;
    if has_requests || has_tasks || fleet.domains.may_start_tasks(now, view, domain) {
        DomainPhase::Draining
    } else {
        DomainPhase::Empty
    }
}
