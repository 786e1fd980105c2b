//! What may run at all, and how much of a team's quota a cell hands out.

use std::collections::BTreeMap;

use hyssop_core::{
    CellId, Class, DomainName, DomainState, JobSpec, Resources, ServiceDoc, TeamName,
};

use crate::Cell;

impl Cell {
    /// Tells whether the cell's failure domain is out of service.
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

    /// Tells whether a job may run in a domain, whatever that domain's state.
    pub(crate) fn is_allowed(&self, spec: &JobSpec, domain: &DomainName) -> bool {
        let chosen = spec.domains.is_empty() || spec.domains.contains(domain);
        let doc = self.service_doc(spec);
        chosen && doc.is_some_and(|doc| doc.domains.contains(domain))
    }

    /// Returns why a job can never run, if that is certain.
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
            let most = format_resources(doc.needs.resources);
            let found = format_resources(spec.needs);
            return Some(format!("needs: {found}; allowed by the document: {most}"));
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

    /// Returns why the quota never allows a job: no allowed cell has a part that large.
    fn quota_refusal(&self, spec: &JobSpec) -> Option<String> {
        let (_, quota) = self.conf.as_ref()?.quotas.get(&spec.team)?;
        let mut cells = self.allowed_cells(spec).peekable();
        cells.peek()?;
        let fits = cells.any(|cell| spec.needs.fits(self.cell_share(quota.resources, cell)));
        (!fits).then(|| {
            let most = format_resources(quota.resources);
            let count = self.options.cells.len();
            let found = format_resources(spec.needs);
            format!("needs: {found}; quota of the team over {count} cells: {most}")
        })
    }

    /// Returns the cells in which a job may run.
    fn allowed_cells<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a CellId> {
        let cells = self.options.cells.iter();
        cells.filter(|cell| self.is_allowed(spec, &cell.domain))
    }

    /// Returns why no worker is large enough, when this cell is the only one allowed and all of
    /// its workers are known.
    fn size_refusal(&self, spec: &JobSpec) -> Option<String> {
        let only = self
            .allowed_cells(spec)
            .all(|cell| *cell == self.options.cell);
        let known = self.workers.values().all(|worker| worker.has_inventory);
        if !only || !known || self.is_large_enough(spec.needs) {
            return None;
        }
        let text = "no worker of the allowed domains is that large";
        Some(format!("needs: {}; {text}", format_resources(spec.needs)))
    }

    /// Tells whether a worker of the cell could run a task if it were empty.
    pub(crate) fn is_large_enough(&self, needs: Resources) -> bool {
        self.workers.values().any(|w| needs.fits(w.capacity))
    }

    /// Returns this cell's part of a team's quota; `None` without a quota, which is no limit.
    pub(crate) fn quota_share(&self, team: &TeamName) -> Option<Resources> {
        let (_, quota) = self.conf.as_ref()?.quotas.get(team)?;
        Some(self.cell_share(quota.resources, &self.options.cell))
    }

    /// Returns a cell's part of an amount. The parts are equal, because the capacities that other
    /// owners see may differ and the sum of the parts must not exceed the whole.
    fn cell_share(&self, whole: Resources, cell: &CellId) -> Resources {
        let cells = &self.options.cells;
        let Some(place) = cells.iter().position(|c| c == cell) else {
            return Resources::default();
        };
        let part = |total: u32| equal_part(total, cells.len(), place);
        Resources::new(part(whole.cpu), part(whole.mem), part(whole.accel))
    }

    /// Returns what each team is promised in this cell, latency-critical tasks excepted: those
    /// are governed by their documents.
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

/// Splits `total` into equal parts whose sum is `total`, and returns one of them.
pub(crate) fn equal_part(total: u32, parts: usize, place: usize) -> u32 {
    let parts = u32::try_from(parts.max(1)).unwrap_or(u32::MAX);
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    total / parts + u32::from(place < total % parts)
}

/// Adds two amounts, with the largest number as the limit.
pub(crate) fn add_resources(a: Resources, b: Resources) -> Resources {
    Resources::new(
        a.cpu.saturating_add(b.cpu),
        a.mem.saturating_add(b.mem),
        a.accel.saturating_add(b.accel),
    )
}

/// Writes an amount for a person.
pub(crate) fn format_resources(r: Resources) -> String {
    format!("cpu {} mem {} accel {}", r.cpu, r.mem, r.accel)
}
