//! Which jobs a cell may run at all, and the cell's share of each team's quota.

use std::collections::BTreeMap;

use hyssop_core::{
    CellId, Class, DomainName, DomainState, JobSpec, Resources, ServiceDoc, TeamName,
};

use crate::Cell;

impl Cell {
    /// Returns whether the cell's failure domain is out of service; true without a configuration.
    pub(crate) fn is_own_domain_out(&self) -> bool {
        self.is_domain_out(&self.options.cell.domain)
    }

    pub(crate) fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.conf
            .as_ref()
            .is_none_or(|conf| conf.domain(domain) == DomainState::Out)
    }

    pub(crate) fn service_doc(&self, spec: &JobSpec) -> Option<&ServiceDoc> {
        self.conf.as_ref()?.doc(&spec.service)
    }

    /// Returns whether the job and its document allow a domain, in service or not.
    pub(crate) fn is_allowed(&self, spec: &JobSpec, domain: &DomainName) -> bool {
        let is_requested = spec.domains.is_empty() || spec.domains.contains(domain);
        let doc = self.service_doc(spec);
        is_requested && doc.is_some_and(|doc| doc.domains.contains(domain))
    }

    /// Returns why a job can never run; `None` unless that is certain.
    pub(crate) fn permanent_refusal(&self, spec: &JobSpec) -> Option<String> {
        let Some(doc) = self.service_doc(spec) else {
            return Some(format!(
                "service: {}; allowed: a service with a document",
                spec.service
            ));
        };
        if spec.class == Class::LatencyCritical {
            let text = "class: latency-critical; allowed: urgent or batch";
            return Some(text.to_owned());
        }
        if spec.needs.cpu == 0 || spec.needs.mem == 0 {
            return Some("needs: zero cpu or mem; allowed: cpu and mem above 0".to_owned());
        }
        if !spec.needs.fits(doc.needs.resources) {
            let limit = format_resources(doc.needs.resources);
            let requested = format_resources(spec.needs);
            return Some(format!(
                "needs: {requested}; allowed by the document: {limit}"
            ));
        }
        if let Some(text) = self.quota_refusal(spec) {
            return Some(text);
        }
        if !self.allowed_cells(spec).any(|_| true) {
            let domains: Vec<_> = doc.domains.iter().map(DomainName::as_str).collect();
            return Some(format!(
                "domains: none with workers; allowed by the document: {}",
                domains.join(", ")
            ));
        }
        self.size_refusal(spec)
    }

    /// Returns why the quota never allows a job: its needs exceed the share of every allowed cell.
    fn quota_refusal(&self, spec: &JobSpec) -> Option<String> {
        let (_, quota) = self.conf.as_ref()?.quotas.get(&spec.team)?;
        let mut cells = self.allowed_cells(spec).peekable();
        cells.peek()?;
        let fits = cells.any(|cell| spec.needs.fits(self.cell_share(quota.resources, cell)));
        (!fits).then(|| {
            let limit = format_resources(quota.resources);
            let count = self.options.cells.len();
            let requested = format_resources(spec.needs);
            format!("needs: {requested}; quota of the team over {count} cells: {limit}")
        })
    }

    /// Returns the cells in which a job may run.
    fn allowed_cells<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a CellId> {
        let cells = self.options.cells.iter();
        cells.filter(|cell| self.is_allowed(spec, &cell.domain))
    }

    /// Returns why no worker is large enough for a job. That is certain only when no other cell is
    /// allowed and every worker of this cell has reported its capacity.
    fn size_refusal(&self, spec: &JobSpec) -> Option<String> {
        let is_only_cell = self
            .allowed_cells(spec)
            .all(|cell| *cell == self.options.cell);
        let has_all_workers = self.workers.values().all(|worker| worker.has_inventory);
        if !is_only_cell || !has_all_workers || self.is_large_enough(spec.needs) {
            return None;
        }
        let text = "no worker of the allowed domains is that large";
        Some(format!("needs: {}; {text}", format_resources(spec.needs)))
    }

    /// Returns whether a worker of the cell has the capacity for a task, free or not.
    pub(crate) fn is_large_enough(&self, needs: Resources) -> bool {
        self.workers.values().any(|w| needs.fits(w.capacity))
    }

    /// Returns this cell's share of a team's quota; `None` if the team has no quota and so no
    /// limit.
    pub(crate) fn quota_share(&self, team: &TeamName) -> Option<Resources> {
        let (_, quota) = self.conf.as_ref()?.quotas.get(team)?;
        Some(self.cell_share(quota.resources, &self.options.cell))
    }

    /// Returns a cell's share of an amount. All shares are equal: shares by capacity could add up
    /// to more than the amount, because owners may see different capacities.
    fn cell_share(&self, total: Resources, cell: &CellId) -> Resources {
        let cells = &self.options.cells;
        let Some(index) = cells.iter().position(|c| c == cell) else {
            return Resources::default();
        };
        let part = |total: u32| equal_part(total, cells.len(), index);
        Resources::new(part(total.cpu), part(total.mem), part(total.accel))
    }

    /// Returns what is allocated to each team in this cell, without service tasks: their number is
    /// limited by their documents instead of quotas.
    pub(crate) fn team_usage(&self) -> BTreeMap<TeamName, Resources> {
        let mut used = BTreeMap::new();
        let placed = self.pending_intents.keys().chain(self.tasks.keys());
        for id in placed {
            if let Some(job) = self.ledger.jobs.get(id)
                && !job.is_service_task()
            {
                let entry: &mut Resources = used.entry(job.spec.team.clone()).or_default();
                *entry = add_resources(*entry, job.spec.needs);
            }
        }
        used
    }
}

/// Splits `total` into equal parts, which differ by one at most so that their sum is `total`, and
/// returns part number `index`.
pub(crate) fn equal_part(total: u32, parts: usize, index: usize) -> u32 {
    let parts = u32::try_from(parts.max(1)).unwrap_or(u32::MAX);
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    total / parts + u32::from(index < total % parts)
}

/// Adds two amounts; sums that overflow are replaced by the largest number.
pub(crate) fn add_resources(a: Resources, b: Resources) -> Resources {
    Resources::new(
        a.cpu.saturating_add(b.cpu),
        a.mem.saturating_add(b.mem),
        a.accel.saturating_add(b.accel),
    )
}

/// Formats an amount for messages.
pub(crate) fn format_resources(r: Resources) -> String {
    format!("cpu {} mem {} accel {}", r.cpu, r.mem, r.accel)
}
