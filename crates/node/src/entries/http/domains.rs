//! Handlers of failure domains and quotas. Changes need the operator token.

use std::sync::Arc;

use hyssop_core::api::{
    ApiError, DomainChange, DomainList, DomainReply, ErrorCode, QuotaChange, QuotaList, QuotaReply,
};
use hyssop_core::{ConfRecord, ConfView, DomainName, DomainState, TeamName, Version};
use salvo::{Request, Response, handler};

use super::replies::{path_param, read_json, respond};
use crate::entries::access::Caller;
use crate::entries::capacities::{self, CapacityCheck};
use crate::entries::phases;
use crate::entries::shared::Shared;
use crate::entries::writes::{self, WriteRequirement};

/// Most attempts to check and write a change while changes of other domains come first.
const MAX_ATTEMPTS: usize = 4;

/// Handles `PUT /v1/domains/{domain}`.
pub(crate) struct Change(pub(crate) Arc<Shared>);

#[handler]
impl Change {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.change(req).await);
    }
}

impl Change {
    async fn change(&self, req: &mut Request) -> Result<DomainReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        caller.require_operator()?;
        let domain: DomainName = path_param(req, "domain")?;
        let change: DomainChange = read_json(req).await?;
        let mut attempts = 1;
        loop {
            match self.attempt(&domain, change).await {
                Err(error)
                    if attempts < MAX_ATTEMPTS
                        && self.lost_to_other_domain(&domain, change, &error) =>
                {
                    log::info!(domain:% = domain; "change checked again: another domain was changed meanwhile");
                    attempts += 1;
                }
                Err(error) if self.lost_to_other_domain(&domain, change, &error) => {
                    return Err(ApiError {
                        message: format!("other domains were changed first {attempts} times"),
                        ..error
                    });
                }
                result => return result,
            }
        }
    }

    /// Checks a change against the configuration in force and writes it.
    async fn attempt(
        &self,
        domain: &DomainName,
        change: DomainChange,
    ) -> Result<DomainReply, ApiError> {
        let requirement = match change.state {
            DomainState::Out => WriteRequirement::Majority,
            DomainState::In => WriteRequirement::Confirmation,
        };
        // All checks use one view, whose version the record carries as its expected version.
        let view = self.0.view();
        let record = record(&view, domain, change);
        self.check(&record)?;
        writes::check_writable(&self.0, requirement)?;
        let (version, state) = current(&view, domain);
        let capacity = self.capacity_check(&view, domain, change.state);
        let is_change = state != change.state;
        let is_in_force = |view: &ConfView| current(view, domain) == (change.base, change.state);
        if change.dry_run || writes::is_already_in_force(&self.0, is_in_force).await? {
            return Ok(self.reply(domain, version, state, is_change, &capacity));
        }
        check_capacity(domain, change, &capacity)?;
        let what = format!("domain {domain}");
        let written = writes::write(&self.0, &what, record, requirement).await?;
        let version = written.unwrap_or(version);
        log::info!(domain:%, version:%, force = change.force; "domain set to {:?}", change.state);
        Ok(self.reply(domain, version, change.state, written.is_some(), &capacity))
    }

    fn check(&self, record: &ConfRecord) -> Result<(), ApiError> {
        let fleet = self.0.fleet();
        let checked = fleet.conf.check_change(record, &self.0.domains, None);
        checked.map_err(writes::validation_error)
    }

    /// Returns whether a change conflicts only with the change of another domain. The domain itself
    /// still has the version that the operator expects.
    fn lost_to_other_domain(
        &self,
        domain: &DomainName,
        change: DomainChange,
        error: &ApiError,
    ) -> bool {
        let (version, _) = current(&self.0.view(), domain);
        error.code == ErrorCode::Conflict && version == change.base
    }

    fn capacity_check(
        &self,
        view: &ConfView,
        domain: &DomainName,
        state: DomainState,
    ) -> CapacityCheck {
        if state == DomainState::In {
            return CapacityCheck {
                is_last: false,
                shortfall: Vec::new(),
            };
        }
        let cells = self.0.fleet().cells(self.0.now());
        capacities::check_removal(view, &self.0.domains, &cells, domain)
    }

    fn reply(
        &self,
        domain: &DomainName,
        version: Version,
        state: DomainState,
        has_changed: bool,
        capacity: &CapacityCheck,
    ) -> DomainReply {
        DomainReply {
            phase: phases::status(&self.0, domain).phase,
            domain: domain.clone(),
            version,
            state,
            has_changed,
            has_capacity: capacity.fits(),
            shortfall: capacity.shortfall.clone(),
        }
    }
}

/// Returns the version and state of a domain; version 0 and in service if it was never changed.
fn current(view: &ConfView, domain: &DomainName) -> (Version, DomainState) {
    let known = view.domains.get(domain).copied();
    known.unwrap_or((Version(0), DomainState::In))
}

fn record(view: &ConfView, domain: &DomainName, change: DomainChange) -> ConfRecord {
    ConfRecord::Domain {
        domain: domain.clone(),
        base: change.base,
        state: change.state,
        domains_version: view.domains_version(),
    }
}

fn check_capacity(
    domain: &DomainName,
    change: DomainChange,
    capacity: &CapacityCheck,
) -> Result<(), ApiError> {
    if change.state == DomainState::In {
        return Ok(());
    }
    if capacity.is_last {
        let message = format!("{domain} is the last failure domain in service");
        return Err(ApiError::new(ErrorCode::NoCapacity, message));
    }
    if capacity.fits() || change.force {
        return Ok(());
    }
    let shortfall = capacity.describe_shortfall();
    let message =
        format!("the remaining domains lack the capacity for the work of {domain}: {shortfall}");
    let error = ApiError::new(ErrorCode::NoCapacity, message);
    Err(error.with_shortfall(capacity.shortfall.as_slice()))
}

/// Handles `GET /v1/domains`.
pub(crate) struct Domains(pub(crate) Arc<Shared>);

#[handler]
impl Domains {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.list(req));
    }
}

impl Domains {
    fn list(&self, req: &Request) -> Result<DomainList, ApiError> {
        Caller::from_request(&self.0, req)?;
        self.0.check_conf_known()?;
        let domains = self.0.domains.iter();
        let domains = domains.map(|domain| phases::status(&self.0, domain));
        Ok(DomainList {
            domains: domains.collect(),
        })
    }
}

/// Handles `PUT /v1/quotas/{team}`.
pub(crate) struct SetQuota(pub(crate) Arc<Shared>);

#[handler]
impl SetQuota {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.set(req).await);
    }
}

impl SetQuota {
    async fn set(&self, req: &mut Request) -> Result<QuotaReply, ApiError> {
        Caller::from_request(&self.0, req)?.require_operator()?;
        let team: TeamName = path_param(req, "team")?;
        let QuotaChange { base, quota } = read_json(req).await?;
        writes::check_writable(&self.0, WriteRequirement::Confirmation)?;
        let is_in_force = |view: &ConfView| view.quotas.get(&team) == Some(&(base, quota));
        if writes::is_already_in_force(&self.0, is_in_force).await? {
            return Ok(reply(team, base, quota, false));
        }
        let record = ConfRecord::Quota {
            team: team.clone(),
            base,
            quota,
        };
        let what = format!("quota of team {team}");
        let version = writes::write(&self.0, &what, record, WriteRequirement::Confirmation).await?;
        let has_changed = version.is_some();
        Ok(reply(team, version.unwrap_or(base), quota, has_changed))
    }
}

fn reply(
    team: TeamName,
    version: Version,
    quota: hyssop_core::Quota,
    has_changed: bool,
) -> QuotaReply {
    QuotaReply {
        team,
        version,
        quota,
        has_changed,
    }
}

/// Handles `GET /v1/quotas/{team}`.
pub(crate) struct ShowQuota(pub(crate) Arc<Shared>);

#[handler]
impl ShowQuota {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.show(req));
    }
}

impl ShowQuota {
    fn show(&self, req: &Request) -> Result<QuotaReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let team: TeamName = path_param(req, "team")?;
        caller.check_access(&team)?;
        self.0.check_conf_known()?;
        let known = self.0.view().quotas.get(&team).copied();
        let Some((version, quota)) = known else {
            let message = format!("team {team} has no quota");
            return Err(ApiError::new(ErrorCode::NotFound, message));
        };
        Ok(reply(team, version, quota, false))
    }
}

/// Handles `GET /v1/quotas`.
pub(crate) struct Quotas(pub(crate) Arc<Shared>);

#[handler]
impl Quotas {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.list(req));
    }
}

impl Quotas {
    fn list(&self, req: &Request) -> Result<QuotaList, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        self.0.check_conf_known()?;
        let view = self.0.view();
        let visible = view.quotas.iter();
        let visible = visible.filter(|(team, _)| caller.check_access(team).is_ok());
        let quotas =
            visible.map(|(team, (version, quota))| reply(team.clone(), *version, *quota, false));
        Ok(QuotaList {
            quotas: quotas.collect(),
        })
    }
}
