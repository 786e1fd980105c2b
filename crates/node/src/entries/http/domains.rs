//! Failure domains and quotas, which need the operators' token.

use std::sync::Arc;

use hyssop_core::api::{
    ApiError, DomainChange, DomainList, DomainReply, ErrorCode, QuotaChange, QuotaList, QuotaReply,
};
use hyssop_core::{ConfRecord, ConfView, DomainName, DomainState, TeamName, Version};
use salvo::{Request, Response, handler};

use super::replies::{answer, param, read_json};
use crate::entries::access::Caller;
use crate::entries::capacities::{self, Room};
use crate::entries::phases;
use crate::entries::shared::Shared;
use crate::entries::writes::{self, Need};

/// Most times that a change is checked and written when changes of other domains come first.
const MAX_TRIES: usize = 4;

/// Handles `PUT /v1/domains/{domain}`.
pub(crate) struct Change(pub(crate) Arc<Shared>);

#[handler]
impl Change {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        answer(res, self.change(req).await);
    }
}

impl Change {
    async fn change(&self, req: &mut Request) -> Result<DomainReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        caller.need_operator()?;
        let domain: DomainName = param(req, "domain")?;
        let change: DomainChange = read_json(req).await?;
        let mut tries = 1;
        loop {
            match self.attempt(&domain, change).await {
                Err(error) if tries < MAX_TRIES && self.is_overtaken(&domain, change, &error) => {
                    log::info!(domain:% = domain; "checked again: another domain was changed");
                    tries += 1;
                }
                Err(error) if self.is_overtaken(&domain, change, &error) => {
                    return Err(ApiError {
                        message: format!("other domains were changed first {tries} times"),
                        ..error
                    });
                }
                done => return done,
            }
        }
    }

    /// Checks a change on the configuration in force and writes it.
    async fn attempt(
        &self,
        domain: &DomainName,
        change: DomainChange,
    ) -> Result<DomainReply, ApiError> {
        let need = match change.state {
            DomainState::Out => Need::Majority,
            DomainState::In => Need::Proof,
        };
        // One view for all checks, so that the record names what they were made on.
        let view = self.0.view();
        let record = record(&view, domain, change);
        self.check(&record)?;
        writes::check_able(&self.0, need)?;
        let (version, state) = current(&view, domain);
        let room = self.room(&view, domain, change.state);
        let differs = state != change.state;
        let holds = |view: &ConfView| current(view, domain) == (change.base, change.state);
        if change.dry_run || writes::is_needless(&self.0, holds).await? {
            return Ok(self.reply(domain, version, state, differs, &room));
        }
        check_room(domain, change, &room)?;
        let what = format!("domain {domain}");
        let written = writes::write(&self.0, &what, record, need).await?;
        let version = written.unwrap_or(version);
        log::info!(domain:%, version:%, force = change.force; "domain set to {:?}", change.state);
        Ok(self.reply(domain, version, change.state, written.is_some(), &room))
    }

    fn check(&self, record: &ConfRecord) -> Result<(), ApiError> {
        let fleet = self.0.fleet();
        let checked = fleet.conf.check_change(record, &self.0.domains, None);
        checked.map_err(writes::refusal)
    }

    /// Tells whether a change lost against one of another domain only, so that what its operator
    /// saw of the domain itself still holds.
    fn is_overtaken(&self, domain: &DomainName, change: DomainChange, error: &ApiError) -> bool {
        let (version, _) = current(&self.0.view(), domain);
        error.code == ErrorCode::Conflict && version == change.base
    }

    fn room(&self, view: &ConfView, domain: &DomainName, state: DomainState) -> Room {
        if state == DomainState::In {
            return Room {
                last: false,
                shortfall: Vec::new(),
            };
        }
        let cells = self.0.fleet().cells(self.0.now());
        capacities::check(view, &self.0.domains, &cells, domain)
    }

    fn reply(
        &self,
        domain: &DomainName,
        version: Version,
        state: DomainState,
        changed: bool,
        room: &Room,
    ) -> DomainReply {
        DomainReply {
            phase: phases::status(&self.0, domain).phase,
            domain: domain.clone(),
            version,
            state,
            has_changed: changed,
            has_capacity: room.fits(),
            shortfall: room.shortfall.clone(),
        }
    }
}

/// Returns the state of a domain and the version that set it.
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

fn check_room(domain: &DomainName, change: DomainChange, room: &Room) -> Result<(), ApiError> {
    if change.state == DomainState::In {
        return Ok(());
    }
    if room.last {
        let message = format!("{domain} is the last failure domain in service");
        return Err(ApiError::new(ErrorCode::NoCapacity, message));
    }
    if room.fits() || change.force {
        return Ok(());
    }
    let lacks = room.describe();
    let message = format!("the remaining domains have no room for the work of {domain}: {lacks}");
    let error = ApiError::new(ErrorCode::NoCapacity, message);
    Err(error.with_shortfall(room.shortfall.as_slice()))
}

/// Handles `GET /v1/domains`.
pub(crate) struct Domains(pub(crate) Arc<Shared>);

#[handler]
impl Domains {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        answer(res, self.list(req));
    }
}

impl Domains {
    fn list(&self, req: &Request) -> Result<DomainList, ApiError> {
        Caller::of(&self.0, req)?;
        self.0.check_known()?;
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
        answer(res, self.set(req).await);
    }
}

impl SetQuota {
    async fn set(&self, req: &mut Request) -> Result<QuotaReply, ApiError> {
        Caller::of(&self.0, req)?.need_operator()?;
        let team: TeamName = param(req, "team")?;
        let QuotaChange { base, quota } = read_json(req).await?;
        writes::check_able(&self.0, Need::Proof)?;
        let holds = |view: &ConfView| view.quotas.get(&team) == Some(&(base, quota));
        if writes::is_needless(&self.0, holds).await? {
            return Ok(reply(team, base, quota, false));
        }
        let record = ConfRecord::Quota {
            team: team.clone(),
            base,
            quota,
        };
        let what = format!("quota of team {team}");
        let version = writes::write(&self.0, &what, record, Need::Proof).await?;
        let changed = version.is_some();
        Ok(reply(team, version.unwrap_or(base), quota, changed))
    }
}

fn reply(team: TeamName, version: Version, quota: hyssop_core::Quota, changed: bool) -> QuotaReply {
    QuotaReply {
        team,
        version,
        quota,
        has_changed: changed,
    }
}

/// Handles `GET /v1/quotas/{team}`.
pub(crate) struct ShowQuota(pub(crate) Arc<Shared>);

#[handler]
impl ShowQuota {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        answer(res, self.show(req));
    }
}

impl ShowQuota {
    fn show(&self, req: &Request) -> Result<QuotaReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let team: TeamName = param(req, "team")?;
        caller.may_touch(&team)?;
        self.0.check_known()?;
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
        answer(res, self.list(req));
    }
}

impl Quotas {
    fn list(&self, req: &Request) -> Result<QuotaList, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        self.0.check_known()?;
        let view = self.0.view();
        let own = view.quotas.iter();
        let own = own.filter(|(team, _)| caller.may_touch(team).is_ok());
        let quotas =
            own.map(|(team, (version, quota))| reply(team.clone(), *version, *quota, false));
        Ok(QuotaList {
            quotas: quotas.collect(),
        })
    }
}
