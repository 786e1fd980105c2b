//! Life cycle of the failure domains as this entry sees it.

use std::collections::BTreeMap;

use hyssop_core::api::{DomainPhase, DomainStatus};
use hyssop_core::{
    CellId, CellState, DomainName, DomainState, Load, MemberState, Millis, Resources, Version,
};
use hyssop_route::MemberStatus;

use super::fleets::Fleet;
use super::shared::Shared;

type Members = [(MemberStatus, Load)];

/// Returns the status of one domain.
pub(crate) fn status(shared: &Shared, domain: &DomainName) -> DomainStatus {
    let members = shared.member_list();
    let now = shared.now();
    let fleet = shared.fleet();
    let cells = fleet.cells(now);
    let own = shared.cells.iter().filter(|cell| cell.domain == *domain);
    let sums = Sums::of(own, &cells);
    let (version, state) = fleet
        .conf
        .view()
        .domains
        .get(domain)
        .copied()
        .unwrap_or((Version(0), DomainState::In));
    let live = |(member, _): &&(MemberStatus, Load)| member.is_live && member.domain == *domain;
    let here: Vec<_> = members.iter().filter(live).cloned().collect();
    let up = here.iter().filter(|(m, _)| takes_work(m)).count();
    let leaving = here.iter().filter(|(m, _)| is_leaving(m)).count();
    DomainStatus {
        domain: domain.clone(),
        version,
        state,
        phase: phase(&fleet, now, domain, state, &sums, &here),
        running: sums.running,
        pending: sums.pending,
        unconfirmed: sums.doubtful,
        members_up: u32::try_from(up).unwrap_or(u32::MAX),
        members_leaving: u32::try_from(leaving).unwrap_or(u32::MAX),
        workers: sums.workers,
        capacity: sums.capacity,
        allocated: sums.promised,
    }
}

fn takes_work(member: &MemberStatus) -> bool {
    member.state == MemberState::Up && !member.is_closed
}

/// Tells whether a member finishes its requests, or will as soon as it learns of its domain.
fn is_leaving(member: &MemberStatus) -> bool {
    member.state == MemberState::Leaving || member.state == MemberState::Up && member.is_closed
}

/// Sums over the cells of a domain.
#[derive(Debug, Default)]
struct Sums {
    running: u32,
    pending: u32,
    doubtful: u32,
    workers: u32,
    capacity: Resources,
    promised: Resources,
    /// Whether a cell has no owner that is known.
    unknown: bool,
}

impl Sums {
    fn of<'a>(own: impl Iterator<Item = &'a CellId>, cells: &BTreeMap<CellId, CellState>) -> Self {
        let mut sums = Self::default();
        for cell in own {
            match cells.get(cell) {
                Some(state) => sums.add(state),
                None => sums.unknown = true,
            }
        }
        sums
    }

    fn add(&mut self, state: &CellState) {
        let summary = &state.summary;
        self.running = self.running.saturating_add(summary.running);
        self.pending = self.pending.saturating_add(summary.pending);
        self.doubtful = self.doubtful.saturating_add(summary.unconfirmed);
        self.workers = self.workers.saturating_add(summary.workers);
        let add = |a: Resources, b| a.checked_add(b).unwrap_or(a);
        self.capacity = add(self.capacity, summary.capacity);
        self.promised = add(self.promised, summary.allocated);
    }
}

fn phase(
    fleet: &Fleet,
    now: Millis,
    domain: &DomainName,
    state: DomainState,
    sums: &Sums,
    members: &Members,
) -> DomainPhase {
    if state == DomainState::In {
        return match fleet.is_returning(now, domain) {
            true => DomainPhase::Returning,
            false => DomainPhase::InService,
        };
    }
    let serving = members
        .iter()
        .any(|(member, _)| member.load > 0 || member.inflight > 0);
    let running = sums.running > 0 || sums.doubtful > 0 || sums.unknown;
    if serving || running || fleet.may_start(now, domain) {
        DomainPhase::Draining
    } else {
        DomainPhase::Empty
    }
}
