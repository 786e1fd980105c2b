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
    /// Whether to validate only and change nothing.
    pub dry_run: bool,
}

/// Response to `PUT /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// Service whose document was applied.
    pub service: ServiceName,
    /// Version in force after the call.
    pub version: Version,
    /// Whether the call changed the document, or for a dry run whether it would.
    #[serde(rename = "changed")]
    pub has_changed: bool,
    /// Whether the call was a dry run, which changes nothing.
    pub dry_run: bool,
    /// Fields that differ from the document in force before the call.
    pub differences: Vec<Difference>,
}

/// Response to `DELETE /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoveReply {
    /// Service whose document was removed.
    pub service: ServiceName,
    /// Version of the removal; 0 if it is not known.
    pub version: Version,
    /// Whether there was a document to remove.
    #[serde(rename = "changed")]
    pub has_changed: bool,
}

/// Response to `GET /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReply {
    /// Service that the document describes.
    pub service: ServiceName,
    /// Version in force; the base of the next change.
    pub version: Version,
    /// Contents of that version.
    pub doc: ServiceDoc,
}

/// Response to `GET /v1/documents`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentList {
    /// Documents in force, by service.
    pub documents: Vec<DocumentSummary>,
}

/// Summary of a document in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSummary {
    /// Service that the document describes.
    pub service: ServiceName,
    /// Team that owns the document.
    pub team: TeamName,
    /// Scheduling class of the tasks of the service.
    pub class: Class,
    /// Number of service tasks to keep running.
    pub instances: u32,
    /// Failure domains in which tasks of the service may run.
    pub domains: SmallVec<[DomainName; 4]>,
    /// Version in force; the base of the next change.
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

/// Response to `GET /v1/documents/{service}/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Service that the document describes.
    pub service: ServiceName,
    /// Versions that are still stored, oldest first.
    pub versions: Vec<HistoryEntry>,
}

/// One version in the history of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the record that set this version.
    pub version: Version,
    /// Entry through which the operator made the change.
    pub writer: EntryName,
    /// Whether the change removed the document.
    #[serde(rename = "removed")]
    pub is_removal: bool,
    /// Fields that differ from the previous version; all fields for the oldest one stored.
    pub differences: Vec<Difference>,
}

/// Body of `PUT /v1/domains/{domain}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainChange {
    /// State to set.
    pub state: DomainState,
    /// Version on which the operator based the change; 0 if the state was never set.
    pub base: Version,
    /// Whether to take the failure domain out of service even if the remaining ones lack capacity.
    #[serde(default)]
    pub force: bool,
    /// Whether to check the capacity only and change nothing.
    #[serde(default)]
    pub dry_run: bool,
}

/// Response to `PUT /v1/domains/{domain}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainReply {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Version in force after the call.
    pub version: Version,
    /// State that was set, or for a dry run the state in force.
    pub state: DomainState,
    /// Phase in the life cycle when the response was sent.
    pub phase: DomainPhase,
    /// Whether the call changed the state, or for a dry run whether it would.
    #[serde(rename = "changed")]
    pub has_changed: bool,
    /// Whether the remaining failure domains have capacity for all work.
    #[serde(rename = "fits")]
    pub has_capacity: bool,
    /// Work that does not fit in the remaining failure domains; empty if all does.
    #[serde(default)]
    pub shortfall: Vec<Shortfall>,
}

/// Work for which the failure domains that remain in service lack capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// Service, or `None` for all work of the class together.
    pub service: Option<ServiceName>,
    /// Scheduling class of the work.
    pub class: Class,
    /// Resources that the work needs.
    pub needs: Resources,
    /// Resources that the remaining failure domains have available for it.
    #[serde(rename = "room")]
    pub available: Resources,
    /// Resources by which `needs` exceeds `available`.
    #[serde(rename = "lacks")]
    pub missing: Resources,
}

impl Shortfall {
    /// Compares needs with the available resources; returns `None` if the work fits.
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
    /// Version on which the operator based the change; 0 for a team without a quota.
    pub base: Version,
    /// Quota to set.
    pub quota: Quota,
}

/// Response to `PUT` and `GET /v1/quotas/{team}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Team to which the quota applies.
    pub team: TeamName,
    /// Version in force; the base of the next change.
    pub version: Version,
    /// Quota in force over all cells.
    pub quota: Quota,
    /// Whether the call changed the quota; false for a `GET`.
    #[serde(default, rename = "changed")]
    pub has_changed: bool,
}

/// Response to `GET /v1/quotas`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaList {
    /// Quotas in force, by team.
    pub quotas: Vec<QuotaReply>,
}
