//! Checks of a change that need the settings or the document in force.

use std::collections::BTreeSet;

use hyssop_core::{ConfRecord, DomainName, Error as ValueError, ServiceDoc, ServiceName, TeamName};

use crate::{ConfStore, Error, Result};

impl ConfStore {
    /// Checks a change that an operator asks for, before it is written to the log.
    ///
    /// `known` are the failure domains of the settings. `team` is the team that asks; `None`
    /// stands for an operator of the whole fleet, who may change the documents of every team.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Value`] for a field whose value is not allowed, and [`Error::TeamMismatch`]
    /// when the document in force belongs to another team.
    pub fn check_change(
        &self,
        change: &ConfRecord,
        known: &BTreeSet<DomainName>,
        team: Option<&TeamName>,
    ) -> Result<()> {
        match change {
            ConfRecord::Put { doc, .. } => {
                doc.check()?;
                check_domains(doc, known)?;
                check_writer(doc, team)?;
                self.check_owner(&doc.service, team)
            }
            ConfRecord::Remove { service, .. } => self.check_owner(service, team),
            ConfRecord::Domain { domain, .. } => check_known("domain", domain, known),
            ConfRecord::Quota { .. } => Ok(()),
            ConfRecord::Snapshot { .. } => Err(ValueError::field(
                "change",
                "a snapshot",
                "a document, a removal, a domain state or a quota",
            )
            .into()),
        }
    }

    /// Refuses a change of a document in force that another team owns.
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

/// Refuses a document that names another team than the one that asks.
fn check_writer(doc: &ServiceDoc, team: Option<&TeamName>) -> Result<()> {
    match team {
        Some(team) if *team != doc.team => {
            Err(ValueError::field("team", doc.team.as_str(), team.as_str()).into())
        }
        _ => Ok(()),
    }
}

/// Refuses failure domains that are unknown or named twice.
fn check_domains(doc: &ServiceDoc, known: &BTreeSet<DomainName>) -> Result<()> {
    let mut seen = BTreeSet::new();
    for (index, domain) in doc.domains.iter().enumerate() {
        let field = format!("domains[{index}]");
        check_known(&field, domain, known)?;
        if !seen.insert(domain) {
            let found = format!("{domain} a second time");
            return Err(ValueError::field(field, found, "each failure domain once").into());
        }
    }
    Ok(())
}

/// Refuses a failure domain that the settings do not name.
fn check_known(field: &str, domain: &DomainName, known: &BTreeSet<DomainName>) -> Result<()> {
    if known.contains(domain) {
        return Ok(());
    }
    let allowed: Vec<&str> = known.iter().map(DomainName::as_str).collect();
    Err(ValueError::field(field, domain.as_str(), allowed.join(", ")).into())
}
