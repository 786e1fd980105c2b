//! Checks of a change that depend on the settings or on the document in force.

use std::collections::BTreeSet;

use hyssop_core::{ConfRecord, DomainName, Error as ValueError, ServiceDoc, ServiceName, TeamName};

use crate::{ConfStore, Error, Result};

impl ConfStore {
    /// Checks a change requested by an operator, before it is written to the log.
    ///
    /// `known_domains` contains the failure domains of the settings. `team` is the team of the
    /// operator; `None` stands for an operator of the whole fleet, who may change the documents of
    /// every team.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Value`] for a field whose value is not allowed, and [`Error::TeamMismatch`]
    /// when the document in force belongs to another team.
    pub fn check_change(
        &self,
        change: &ConfRecord,
        known_domains: &BTreeSet<DomainName>,
        team: Option<&TeamName>,
    ) -> Result<()> {
        match change {
            ConfRecord::Put { doc, .. } => {
                doc.check()?;
                check_domains(doc, known_domains)?;
                check_doc_team(doc, team)?;
                self.check_owner(&doc.service, team)
            }
            ConfRecord::Remove { service, .. } => self.check_owner(service, team),
            ConfRecord::Domain { domain, .. } => {
                check_known_domain("domain", domain, known_domains)
            }
            ConfRecord::Quota { .. } => Ok(()),
            ConfRecord::Snapshot { .. } => Err(ValueError::field(
                "change",
                "a snapshot",
                "a document, a removal, a domain state or a quota",
            )
            .into()),
        }
    }

    /// Rejects a change of a document in force that belongs to another team.
    fn check_owner(&self, service: &ServiceName, team: Option<&TeamName>) -> Result<()> {
        let owner = self.view().doc(service).map(|doc| &doc.team);
        match (owner, team) {
            (Some(owner), Some(team)) if owner != team => Err(Error::TeamMismatch {
                service: service.clone(),
                owner: owner.clone(),
            }),
            _ => Ok(()),
        }
    }
}

/// Rejects a document that names another team than the team of the operator.
fn check_doc_team(doc: &ServiceDoc, team: Option<&TeamName>) -> Result<()> {
    match team {
        Some(team) if *team != doc.team => {
            Err(ValueError::field("team", doc.team.as_str(), team.as_str()).into())
        }
        _ => Ok(()),
    }
}

/// Rejects failure domains that are unknown or listed twice.
fn check_domains(doc: &ServiceDoc, known_domains: &BTreeSet<DomainName>) -> Result<()> {
    let mut seen = BTreeSet::new();
    for (index, domain) in doc.domains.iter().enumerate() {
        let field = format!("domains[{index}]");
        check_known_domain(&field, domain, known_domains)?;
        if !seen.insert(domain) {
            let found = format!("{domain} a second time");
            return Err(ValueError::field(field, found, "each failure domain once").into());
        }
    }
    Ok(())
}

/// Rejects a failure domain that is not in the settings.
fn check_known_domain(
    field: &str,
    domain: &DomainName,
    known_domains: &BTreeSet<DomainName>,
) -> Result<()> {
    if known_domains.contains(domain) {
        return Ok(());
    }
    let allowed: Vec<&str> = known_domains.iter().map(DomainName::as_str).collect();
    Err(ValueError::field(field, domain.as_str(), allowed.join(", ")).into())
}
