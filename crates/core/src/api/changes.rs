//! Changes of the configuration: documents, domains and quotas.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Difference, DomainPhase};
use crate::{
    Class, DomainName, DomainState, EntryName, Quota, Resources, ServiceDoc, ServiceName, TeamName,
    Version,
};

/// Query of `PUT` and `DELETE /v1/documents/{service}`; the body of `PUT` is the document in TOML.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ApplyQuery {
    /// Version that the operator edited; 0 for a new document, also after a removal.
    pub base: Version,
    /// Whether to check only and to change nothing.
    pub dry_run: bool,
}

/// Answer to `PUT /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// Service.
    pub service: ServiceName,
    /// Version in force after the call.
    pub version: Version,
    /// Whether the call changed the document; a dry run says whether it would.
    #[serde(rename = "changed")]
    pub has_changed: bool,
    /// Whether the call was a dry run.
    pub dry_run: bool,
    /// What differs from the document in force before the call.
    pub differences: Vec<Difference>,
}

/// Answer to `DELETE /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoveReply {
    /// Service.
    pub service: ServiceName,
    /// Version of the removal; 0 if it is not known.
    pub version: Version,
    /// Whether there was a document to remove.
    #[serde(rename = "changed")]
    pub has_changed: bool,
}

/// Answer to `GET /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Service.
    pub service: ServiceName,
    /// Version in force.
    pub version: Version,
    /// Document in force.
    pub doc: ServiceDoc,
}

/// Answer to `GET /v1/documents`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentList {
    /// Documents in force, by service.
    pub documents: Vec<DocumentSummary>,
}

/// One line of a list of documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSummary {
    /// Service.
    pub service: ServiceName,
    /// Team that owns the document.
    pub team: TeamName,
    /// Class.
    pub class: Class,
    /// Standing instances.
    pub instances: u32,
    /// Failure domains allowed.
    pub domains: SmallVec<[DomainName; 4]>,
    /// Version in force.
    pub version: Version,
}

impl DocumentSummary {
    /// Summarizes a document.
    #[must_use]
    pub fn new(version: Version, doc: &ServiceDoc) -> Self {
        Self {
            service: doc.service.clone(),
            team: doc.team.clone(),
            class: doc.class,
            instances: doc.needs.instances,
            domains: doc.domains.clone(),
            version,
        }
    }
}

/// Answer to `GET /v1/documents/{service}/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Service.
    pub service: ServiceName,
    /// Versions still known, oldest first.
    pub versions: Vec<HistoryEntry>,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version.
    pub version: Version,
    /// Entry through which the change was made.
    pub writer: EntryName,
    /// Whether the change removed the document.
    #[serde(rename = "removed")]
    pub is_removal: bool,
    /// What differs from the version before it; all fields for the oldest one known.
    pub differences: Vec<Difference>,
}

/// Body of `PUT /v1/domains/{domain}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainChange {
    /// New state.
    pub state: DomainState,
    /// Version that the operator saw; 0 for a domain never changed.
    pub base: Version,
    /// Whether to take the domain out even if the rest has no room.
    #[serde(default)]
    pub force: bool,
    /// Whether to report the room only and to change nothing.
    #[serde(default)]
    pub dry_run: bool,
}

/// Answer to `PUT /v1/domains/{domain}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainReply {
    /// Domain.
    pub domain: DomainName,
    /// Version in force after the call.
    pub version: Version,
    /// State set, or in force after a dry run.
    pub state: DomainState,
    /// Phase of the life cycle when the call was answered.
    pub phase: DomainPhase,
    /// Whether the call changed the state; a dry run says whether it would.
    #[serde(rename = "changed")]
    pub has_changed: bool,
    /// Whether the remaining domains have room for everything.
    #[serde(rename = "fits")]
    pub has_capacity: bool,
    /// What will not fit in the remaining domains; empty if everything does.
    #[serde(default)]
    pub shortfall: Vec<Shortfall>,
}

/// Work that has no room in the domains that remain in service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// Service, or `None` for all work of the class together.
    pub service: Option<ServiceName>,
    /// Class.
    pub class: Class,
    /// Resources that the work needs.
    pub needs: Resources,
    /// Resources that the remaining domains have for it.
    #[serde(rename = "room")]
    pub available: Resources,
    /// Resources that are missing.
    #[serde(rename = "lacks")]
    pub missing: Resources,
}

impl Shortfall {
    /// Compares needs with room; returns `None` if the work fits.
    #[must_use]
    pub fn between(
        service: Option<ServiceName>,
        class: Class,
        needs: Resources,
        available: Resources,
    ) -> Option<Self> {
        let missing = needs.saturating_sub(available);
        (!missing.is_zero()).then_some(Self {
            service,
            class,
            needs,
            available,
            missing,
        })
    }
}

/// Body of `PUT /v1/quotas/{team}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaChange {
    /// Version that the operator saw; 0 for a team without quota.
    pub base: Version,
    /// New quota.
    pub quota: Quota,
}

/// Answer to `PUT` and `GET /v1/quotas/{team}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Team.
    pub team: TeamName,
    /// Version in force.
    pub version: Version,
    /// Quota in force.
    pub quota: Quota,
    /// Whether the call changed the quota.
    #[serde(default, rename = "changed")]
    pub has_changed: bool,
}

/// Answer to `GET /v1/quotas`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaList {
    /// Quotas in force, by team.
    pub quotas: Vec<QuotaReply>,
}
