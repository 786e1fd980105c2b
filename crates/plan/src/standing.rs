//! Standing tasks: the latency-critical instances that documents ask for.

use std::collections::BTreeSet;

use hyssop_core::{
    Attempt, CellRecord, Class, DomainName, JobId, JobSpec, Millis, ServiceDoc, Term,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::Cell;
use crate::aways::Away;
use crate::jobs::STANDING;
use crate::quotas::share;

/// Declared work of a standing task, which ends only by order.
const STANDING_WORK: Millis = Millis(1 << 40);
/// Shortest interval of comparisons with the documents.
const ROUND: Millis = Millis(250);

impl Cell {
    /// Brings the standing tasks of the cell in line with the documents. Only done when the
    /// configuration or the ownership has changed.
    pub(crate) fn stand(&mut self, now: Millis, term: Term) {
        let early = self.stood.is_some_and(|last| now.since(last) < ROUND);
        if early || !self.standing_due || self.proved().is_none() {
            return;
        }
        self.stood = Some(now);
        let Some(conf) = self.conf.clone() else {
            return;
        };
        self.standing_due = false;
        let mut specs = Vec::new();
        for view in conf.docs.values() {
            let numbers = 0..self.instances(&view.doc);
            specs.extend(numbers.filter_map(|n| self.standing_spec(&view.doc, n)));
        }
        let wanted: BTreeSet<JobId> = specs.iter().map(|spec| spec.id.clone()).collect();
        let mut away = self.away(now, &wanted);
        for spec in specs {
            self.keep(now, term, spec, &mut away);
        }
        self.drop_unwanted(now, term, &wanted, &mut away);
    }

    /// Returns this cell's part of a document's instances.
    fn instances(&self, doc: &ServiceDoc) -> u32 {
        if doc.class != Class::LatencyCritical {
            return 0;
        }
        let cells = &self.options.cells;
        let domains: BTreeSet<&DomainName> = doc
            .domains
            .iter()
            .filter(|domain| !self.is_domain_out(domain))
            .filter(|domain| cells.iter().any(|cell| cell.domain == **domain))
            .collect();
        let own = &self.options.cell;
        let Some(place) = domains.iter().position(|domain| **domain == own.domain) else {
            return 0;
        };
        // Remainders start at a different domain for each service.
        let turn = usize::try_from(xxh3_64(doc.service.as_str().as_bytes()) % 1_024).unwrap_or(0);
        let place = (place + turn) % domains.len();
        let in_domain = share(doc.needs.instances, domains.len(), place);
        let mut shards: Vec<u16> = cells
            .iter()
            .filter(|cell| cell.domain == own.domain)
            .map(|cell| cell.shard)
            .collect();
        shards.sort_unstable();
        let place = shards.iter().position(|shard| *shard == own.shard);
        place.map_or(0, |place| share(in_domain, shards.len(), place))
    }

    fn standing_spec(&self, doc: &ServiceDoc, n: u32) -> Option<JobSpec> {
        let cell = &self.options.cell;
        let name = format!(
            "{STANDING}{}-{}.{}-{n}",
            doc.service, cell.domain, cell.shard
        );
        // Names that are too long are replaced by their hash.
        let id = JobId::new(&name).or_else(|_| {
            let hash = xxh3_64(name.as_bytes());
            JobId::new(format!("{STANDING}{hash:016x}-{n}"))
        });
        Some(JobSpec {
            id: id.ok()?,
            team: doc.team.clone(),
            service: doc.service.clone(),
            kind: doc.service.clone(),
            class: Class::LatencyCritical,
            needs: doc.needs.resources,
            work: STANDING_WORK,
            domains: smallvec::smallvec![cell.domain.clone()],
            payload: String::new(),
        })
    }

    /// Accepts a standing task unless it stands already.
    fn keep(&mut self, now: Millis, term: Term, spec: JobSpec, away: &mut Away) {
        if self.submits.contains_key(&spec.id) {
            return;
        }
        let job = self.ledger.jobs.get(&spec.id);
        let stands = job.is_some_and(|job| job.end.is_none() && job.spec.needs == spec.needs);
        if stands {
            return;
        }
        if let Some(job) = job
            && job.end.is_none()
        {
            // Its needs changed: it ends, and is accepted again once it is gone.
            self.stop(now, term, spec.id, away);
            return;
        }
        if job.is_some_and(|job| job.open.is_some()) {
            return;
        }
        let (attempt, hash) = (
            job.map_or(Attempt(0), |job| job.attempt),
            crate::jobs::digest(&spec),
        );
        let id = spec.id.clone();
        let body = CellRecord::Accepted {
            spec,
            attempt,
            checkpoint: 0,
        };
        let record = self.journal.write(term, body);
        self.submits.insert(id, (record, hash));
    }

    /// Ends a standing task, or leaves it for a later round if too many are away.
    fn stop(&mut self, now: Millis, term: Term, job: JobId, away: &mut Away) {
        if self.take_away(now, &job, away) {
            self.journal.write(term, CellRecord::Cancelled { job });
        } else {
            self.standing_due = true;
        }
    }

    fn drop_unwanted(
        &mut self,
        now: Millis,
        term: Term,
        wanted: &BTreeSet<JobId>,
        away: &mut Away,
    ) {
        let jobs = self.ledger.jobs.iter();
        let extra: Vec<JobId> = jobs
            .filter(|(id, job)| job.is_standing() && job.end.is_none() && !wanted.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for job in extra {
            let doc = self.ledger.jobs.get(&job).and_then(|j| self.doc(&j.spec));
            if !self.may_stop(now, doc.map_or(0, |doc| doc.moves.drain)) {
                self.standing_due = true;
                continue;
            }
            self.stop(now, term, job, away);
        }
    }
}
