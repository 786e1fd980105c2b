//! Checks whether the remaining domains have free capacity for the work of one that is taken out.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::api::Shortfall;
use hyssop_core::{
    CellId, CellState, Class, ConfView, DomainName, DomainState, Resources, ServiceDoc,
};

/// Result of the check before a domain is taken out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CapacityCheck {
    /// Whether no other domain is in service.
    pub(crate) is_last: bool,
    /// Resources that the remaining domains lack, by service and class.
    pub(crate) shortfall: Vec<Shortfall>,
}

impl CapacityCheck {
    /// Returns whether the remaining domains have capacity for all work.
    pub(crate) fn fits(&self) -> bool {
        !self.is_last && self.shortfall.is_empty()
    }

    /// Formats the shortfall for an error message.
    pub(crate) fn describe_shortfall(&self) -> String {
        let lines = self.shortfall.iter().map(|short| {
            let consumer = short
                .service
                .as_ref()
                .map_or("all work", |name| name.as_str());
            let Resources { cpu, mem, accel } = short.missing;
            format!("{consumer} lacks cpu {cpu} mem {mem} accel {accel}")
        });
        lines.collect::<Vec<_>>().join("; ")
    }
}

/// Compares the free capacity of the remaining cells with the allocations of the leaving ones, as
/// reported by the owners. Free capacity may be spread over many workers, which the totals do not
/// show, so some work may still have to wait. A cell without a known owner counts as full.
pub(crate) fn check_removal(
    view: &ConfView,
    domains: &BTreeSet<DomainName>,
    cells: &BTreeMap<CellId, CellState>,
    leaving: &DomainName,
) -> CapacityCheck {
    let remains = |domain: &&DomainName| *domain != leaving && is_in(view, domain);
    let remaining: BTreeSet<&DomainName> = domains.iter().filter(remains).collect();
    let free = free_in(cells, &remaining);
    let is_leaving = |domain: &DomainName| domain == leaving || !is_in(view, domain);
    let (critical, other) = allocated_in(cells, is_leaving);
    let mut shortfall = critical_shortfalls(view, cells, &remaining, leaving);
    let after = free.saturating_sub(critical);
    shortfall.extend(Shortfall::between(
        None,
        Class::LatencyCritical,
        critical,
        free,
    ));
    shortfall.extend(Shortfall::between(None, Class::Batch, other, after));
    CapacityCheck {
        is_last: remaining.is_empty(),
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

/// Returns the allocations of latency-critical and of other work in the leaving domains. A domain
/// that is already out counts with the work that has not left it yet.
fn allocated_in(
    cells: &BTreeMap<CellId, CellState>,
    is_leaving: impl Fn(&DomainName) -> bool,
) -> (Resources, Resources) {
    let within = cells.values();
    let within = within.filter(|state| is_leaving(&state.cell.domain));
    let (mut critical, mut allocated) = (Resources::default(), Resources::default());
    for state in within {
        critical = add(critical, state.summary.allocated_critical);
        allocated = add(allocated, state.summary.allocated);
    }
    (critical, allocated.saturating_sub(critical))
}

/// Returns the shortfall of each latency-critical service separately, since its document may allow
/// only some of the remaining domains.
fn critical_shortfalls(
    view: &ConfView,
    cells: &BTreeMap<CellId, CellState>,
    remaining: &BTreeSet<&DomainName>,
    leaving: &DomainName,
) -> Vec<Shortfall> {
    let docs = view.docs.values().map(|view| &view.doc);
    let affected = docs.filter(|doc| {
        doc.class == Class::LatencyCritical
            && doc.needs.instances > 0
            && doc.domains.contains(leaving)
    });
    let short = affected.filter_map(|doc| {
        let allowed: BTreeSet<&DomainName> = remaining
            .iter()
            .copied()
            .filter(|d| doc.domains.contains(d))
            .collect();
        let needs = largest_share(doc, allowed.len() + 1);
        let free = free_in(cells, &allowed);
        Shortfall::between(Some(doc.service.clone()), doc.class, needs, free)
    });
    short.collect()
}

/// Returns the needs of the largest number of instances that one of `domains` domains has.
fn largest_share(doc: &ServiceDoc, domains: usize) -> Resources {
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
