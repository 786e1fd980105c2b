//! Service tasks: the latency-critical instances that service documents ask for.

use std::collections::BTreeSet;

use hyssop_core::{
    Attempt, CellRecord, Class, Crashes, DomainName, JobId, JobSpec, Millis, ServiceDoc, Term,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::Cell;
use crate::calls::PendingSubmit;
use crate::disruptions::UnavailableCounts;
use crate::encodings::snapshot_bytes;
use crate::jobs::{Job, Past, SERVICE_TASK_PREFIX, hash_spec};
use crate::quotas::equal_part;

/// Declared work of a service task: about 35 years, because it ends only by order.
const SERVICE_TASK_WORK: Millis = Millis(1 << 40);
/// Shortest interval between comparisons with the documents.
const RECONCILE_INTERVAL: Millis = Millis(250);

impl Cell {
    /// Starts and stops service tasks of the cell so that they match the documents. Runs only after
    /// something changed that may make a difference.
    pub(crate) fn reconcile_services(&mut self, now: Millis, term: Term) {
        let is_early = self
            .last_reconciled_at
            .is_some_and(|last| now.since(last) < RECONCILE_INTERVAL);
        if is_early || !self.needs_reconciliation || self.confirmed_term().is_none() {
            return;
        }
        self.last_reconciled_at = Some(now);
        let Some(conf) = self.conf.clone() else {
            return;
        };
        self.needs_reconciliation = false;
        let mut specs = Vec::new();
        for view in conf.docs.values() {
            let numbers = 0..self.own_instances(&view.doc);
            let own = numbers.filter_map(|n| self.service_task_spec(&view.doc, n));
            specs.extend(own.map(|spec| (view.version, spec)));
        }
        let wanted: BTreeSet<JobId> = specs.iter().map(|(_, spec)| spec.id.clone()).collect();
        let mut unavailable = self.count_unavailable(now, &wanted);
        for (version, spec) in specs {
            if !self.is_service_given_up(&spec.id, version) {
                self.ensure_service_task(now, term, spec, &mut unavailable);
            }
        }
        self.stop_unwanted_tasks(now, term, &wanted, &mut unavailable);
    }

    /// Returns how many of a document's instances this cell runs.
    fn own_instances(&self, doc: &ServiceDoc) -> u32 {
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
        let Some(index) = domains.iter().position(|domain| **domain == own.domain) else {
            return 0;
        };
        // The hash rotates which domains get the remainder, so that it differs between services.
        let rotation =
            usize::try_from(xxh3_64(doc.service.as_str().as_bytes()) % 1_024).unwrap_or(0);
        let index = (index + rotation) % domains.len();
        let in_domain = equal_part(doc.needs.instances, domains.len(), index);
        let mut shards: Vec<u16> = cells
            .iter()
            .filter(|cell| cell.domain == own.domain)
            .map(|cell| cell.shard)
            .collect();
        shards.sort_unstable();
        let index = shards.iter().position(|shard| *shard == own.shard);
        index.map_or(0, |index| equal_part(in_domain, shards.len(), index))
    }

    /// Returns the specification of a document's instance number `n` in this cell.
    fn service_task_spec(&self, doc: &ServiceDoc, n: u32) -> Option<JobSpec> {
        let cell = &self.options.cell;
        let name = format!(
            "{SERVICE_TASK_PREFIX}{}-{}.{}-{n}",
            doc.service, cell.domain, cell.shard
        );
        // Names that are too long are replaced by their hash.
        let id = JobId::new(&name).or_else(|_| {
            let hash = xxh3_64(name.as_bytes());
            JobId::new(format!("{SERVICE_TASK_PREFIX}{hash:016x}-{n}"))
        });
        Some(JobSpec {
            id: id.ok()?,
            team: doc.team.clone(),
            service: doc.service.clone(),
            kind: doc.service.clone(),
            class: Class::LatencyCritical,
            needs: doc.needs.resources,
            work: SERVICE_TASK_WORK,
            domains: smallvec::smallvec![cell.domain.clone()],
            payload: String::new(),
        })
    }

    /// Accepts a service task unless it exists already with the same needs.
    fn ensure_service_task(
        &mut self,
        now: Millis,
        term: Term,
        spec: JobSpec,
        unavailable: &mut UnavailableCounts,
    ) {
        if self.pending_submits.contains_key(&spec.id) {
            return;
        }
        let job = self.ledger.jobs.get(&spec.id);
        let is_current = job.is_some_and(|job| job.end.is_none() && job.spec.needs == spec.needs);
        if is_current {
            return;
        }
        if let Some(job) = job
            && job.end.is_none()
        {
            // Its needs have changed: it is stopped, and accepted again after it has ended.
            self.stop_service_task(now, term, spec.id, unavailable);
            return;
        }
        if job.is_some_and(|job| job.attempt_worker.is_some()) {
            return;
        }
        let attempt = job.map_or(Attempt(0), |job| job.attempt);
        let spec_hash = hash_spec(&spec);
        let past = Past {
            attempt,
            ..Past::default()
        };
        let snapshot_bytes = snapshot_bytes(&Job::new(spec.clone(), past));
        let id = spec.id.clone();
        let body = CellRecord::Accepted {
            spec,
            attempt,
            checkpoint: 0,
            crashes: Crashes::default(),
        };
        let record = self.journal.write(term, body);
        let submit = PendingSubmit {
            record,
            spec_hash,
            snapshot_bytes,
        };
        self.add_pending_submit(id, submit);
    }

    /// Cancels a service task, or defers that to a later round if too many instances of the service
    /// are unavailable.
    fn stop_service_task(
        &mut self,
        now: Millis,
        term: Term,
        job: JobId,
        unavailable: &mut UnavailableCounts,
    ) {
        if self.allow_stop(now, &job, unavailable) {
            self.journal.write(term, CellRecord::Cancelled { job });
        } else {
            self.needs_reconciliation = true;
        }
    }

    /// Stops the service tasks that no document asks for in this cell.
    fn stop_unwanted_tasks(
        &mut self,
        now: Millis,
        term: Term,
        wanted: &BTreeSet<JobId>,
        unavailable: &mut UnavailableCounts,
    ) {
        let jobs = self.ledger.jobs.iter();
        let unwanted: Vec<JobId> = jobs
            .filter(|(id, job)| job.is_service_task() && job.end.is_none() && !wanted.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for job in unwanted {
            let doc = self
                .ledger
                .jobs
                .get(&job)
                .and_then(|j| self.service_doc(&j.spec));
            if !self.may_stop_instance(now, doc.map_or(0, |doc| doc.moves.drain)) {
                self.needs_reconciliation = true;
                continue;
            }
            self.stop_service_task(now, term, job, unavailable);
        }
    }
}
