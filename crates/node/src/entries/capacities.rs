//! Whether the remaining domains have room for the work of one that leaves.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::api::Shortfall;
use hyssop_core::{
    CellId, CellState, Class, ConfView, DomainName, DomainState, Resources, ServiceDoc,
};

/// What happens when a domain leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Room {
    /// Whether no other domain is in service.
    pub(crate) last: bool,
    /// What does not fit.
    pub(crate) shortfall: Vec<Shortfall>,
}

impl Room {
    /// Tells whether everything fits.
    pub(crate) fn fits(&self) -> bool {
        !self.last && self.shortfall.is_empty()
    }

    /// Describes what does not fit.
    pub(crate) fn describe(&self) -> String {
        let lines = self.shortfall.iter().map(|short| {
            let who = short
                .service
                .as_ref()
                .map_or("all work", |name| name.as_str());
            let Resources { cpu, mem, accel } = short.missing;
            format!("{who} lacks cpu {cpu} mem {mem} accel {accel}")
        });
        lines.collect::<Vec<_>>().join("; ")
    }
}

/// Compares what the owners state of their cells. Sums hide that room may be spread over many
/// workers, so that a domain that fits here may still have to wait for some of its work. A cell
/// without a known owner has no room.
pub(crate) fn check(
    view: &ConfView,
    domains: &BTreeSet<DomainName>,
    cells: &BTreeMap<CellId, CellState>,
    leaving: &DomainName,
) -> Room {
    let stays = |domain: &&DomainName| *domain != leaving && is_in(view, domain);
    let rest: BTreeSet<&DomainName> = domains.iter().filter(stays).collect();
    let free = free_in(cells, &rest);
    let leaves = |domain: &DomainName| domain == leaving || !is_in(view, domain);
    let (critical, other) = needs_of(cells, leaves);
    let mut shortfall = critical_services(view, cells, &rest, leaving);
    let after = free.saturating_sub(critical);
    shortfall.extend(Shortfall::between(
        None,
        Class::LatencyCritical,
        critical,
        free,
    ));
    shortfall.extend(Shortfall::between(None, Class::Batch, other, after));
    Room {
        last: rest.is_empty(),
        shortfall,
    }
}

fn is_in(view: &ConfView, domain: &DomainName) -> bool {
    view.domain(domain) == DomainState::In
}

fn free_in(cells: &BTreeMap<CellId, CellState>, domains: &BTreeSet<&DomainName>) -> Resources {
    let within = cells.values();
    let within = within.filter(|state| domains.contains(&state.cell.domain));
    let free = within.map(|state| {
        let summary = &state.summary;
        summary.capacity.saturating_sub(summary.allocated)
    });
    free.fold(Resources::default(), add)
}

/// Returns what the latency-critical and the other work of the domains that leave is promised. A
/// domain that is out already counts with the work that has not left it yet.
fn needs_of(
    cells: &BTreeMap<CellId, CellState>,
    leaves: impl Fn(&DomainName) -> bool,
) -> (Resources, Resources) {
    let within = cells.values();
    let within = within.filter(|state| leaves(&state.cell.domain));
    let (mut critical, mut promised) = (Resources::default(), Resources::default());
    for state in within {
        critical = add(critical, state.summary.allocated_critical);
        promised = add(promised, state.summary.allocated);
    }
    (critical, promised.saturating_sub(critical))
}

/// Checks each latency-critical service by itself, since its document may allow only some of the
/// remaining domains.
fn critical_services(
    view: &ConfView,
    cells: &BTreeMap<CellId, CellState>,
    rest: &BTreeSet<&DomainName>,
    leaving: &DomainName,
) -> Vec<Shortfall> {
    let docs = view.docs.values().map(|view| &view.doc);
    let affected = docs.filter(|doc| {
        doc.class == Class::LatencyCritical
            && doc.needs.instances > 0
            && doc.domains.contains(leaving)
    });
    let short = affected.filter_map(|doc| {
        let allowed: BTreeSet<&DomainName> = rest
            .iter()
            .copied()
            .filter(|d| doc.domains.contains(d))
            .collect();
        let needs = share(doc, allowed.len() + 1);
        let room = free_in(cells, &allowed);
        Shortfall::between(Some(doc.service.clone()), doc.class, needs, room)
    });
    short.collect()
}

/// Returns the needs of the instances that one of several domains has at most.
fn share(doc: &ServiceDoc, domains: usize) -> Resources {
    let domains = u32::try_from(domains).unwrap_or(u32::MAX);
    let count = doc.needs.instances.div_ceil(domains.max(1));
    let one = doc.needs.resources;
    Resources::new(
        one.cpu.saturating_mul(count),
        one.mem.saturating_mul(count),
        one.accel.saturating_mul(count),
    )
}

fn add(a: Resources, b: Resources) -> Resources {
    Resources::new(
        a.cpu.saturating_add(b.cpu),
        a.mem.saturating_add(b.mem),
        a.accel.saturating_add(b.accel),
    )
}
