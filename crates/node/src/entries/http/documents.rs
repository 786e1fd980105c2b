//! Handlers of service documents: apply, remove, show, list and history.

use std::sync::Arc;

use hyssop_core::api::{
    ApiError, ApplyQuery, ApplyReply, DocumentList, DocumentReply, DocumentSummary, ErrorCode,
    HistoryEntry, HistoryReply, RemoveReply, differences,
};
use hyssop_core::limits::MAX_DOCUMENT_BYTES;
use hyssop_core::{ConfRecord, ConfView, DocVersion, ServiceDoc, ServiceName, TeamName, Version};
use salvo::{Request, Response, handler};

use super::replies::{path_param, query_param, read_body, respond};
use crate::entries::access::Caller;
use crate::entries::shared::Shared;
use crate::entries::writes::{self, WriteRequirement};

/// Document of a service, or what remains known after its removal.
struct CurrentDocument {
    /// Version of the document; 0 without one, which is also the expected version for creating a
    /// document after a removal. Delayed duplicates of a creation are recognized by the record
    /// identifier.
    version: Version,
    /// Version at which the last document was removed, if that is still in the history.
    removed_version: Option<Version>,
    doc: Option<ServiceDoc>,
    /// Team of the document, or of the removed one.
    team: Option<TeamName>,
}

impl CurrentDocument {
    fn load(shared: &Shared, service: &ServiceName) -> Self {
        let fleet = shared.fleet();
        let history = fleet.conf.history(service);
        let last = history
            .iter()
            .rev()
            .find_map(|version| version.doc.as_ref());
        if let Some(view) = fleet.conf.view().docs.get(service) {
            return Self {
                version: view.version,
                removed_version: None,
                doc: Some(view.doc.clone()),
                team: Some(view.doc.team.clone()),
            };
        }
        Self {
            version: Version(0),
            removed_version: history.last().map(|last| last.version),
            doc: None,
            team: last.map(|doc| doc.team.clone()),
        }
    }

    /// Checks that the caller may read and change the document.
    fn check_caller(&self, caller: &Caller) -> Result<(), ApiError> {
        self.team
            .as_ref()
            .map_or(Ok(()), |team| caller.check_access(team))
    }
}

fn not_found(service: &ServiceName) -> ApiError {
    let message = format!("service {service} has no document");
    ApiError::new(ErrorCode::NotFound, message)
}

/// Handles `PUT /v1/documents/{service}`.
pub(crate) struct Apply(pub(crate) Arc<Shared>);

#[handler]
impl Apply {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.apply(req).await);
    }
}

impl Apply {
    async fn apply(&self, req: &mut Request) -> Result<ApplyReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let service: ServiceName = path_param(req, "service")?;
        let options = ApplyQuery {
            base: Version(query_param(req, "base", 0, "a version")?),
            dry_run: query_param(req, "dry_run", false, "true, false")?,
        };
        let body = read_body(req, MAX_DOCUMENT_BYTES).await?;
        let doc = parse(&body)?;
        self.check(&caller, &service, &doc, &body)?;
        // An entry that cannot accept changes must not report a change as already in force either.
        writes::check_writable(&self.0, WriteRequirement::Confirmation)?;
        let current = CurrentDocument::load(&self.0, &service);
        current.check_caller(&caller)?;
        let differences = differences(current.doc.as_ref(), Some(&doc));
        let reply = |version, has_changed| ApplyReply {
            service: service.clone(),
            version,
            has_changed,
            dry_run: options.dry_run,
            differences: differences.clone(),
        };
        let is_same = current.doc.as_ref() == Some(&doc);
        let is_in_force = |view: &ConfView| {
            let known = view.docs.get(&service);
            known.is_some_and(|known| known.version == options.base && known.doc == doc)
        };
        if options.dry_run || writes::is_already_in_force(&self.0, is_in_force).await? {
            return Ok(reply(current.version, !is_same));
        }
        let change = ConfRecord::Put {
            base: options.base,
            doc,
        };
        let what = format!("document {service}");
        let version = writes::write(&self.0, &what, change, WriteRequirement::Confirmation).await?;
        Ok(reply(version.unwrap_or(current.version), version.is_some()))
    }

    fn check(
        &self,
        caller: &Caller,
        service: &ServiceName,
        doc: &ServiceDoc,
        body: &[u8],
    ) -> Result<(), ApiError> {
        if doc.service != *service {
            let found =
                hyssop_core::Error::field("service", doc.service.as_str(), service.as_str());
            return Err(writes::with_line(found, &String::from_utf8_lossy(body)));
        }
        caller.check_access(&doc.team)?;
        let change = ConfRecord::Put {
            base: Version(0),
            doc: doc.clone(),
        };
        let fleet = self.0.fleet();
        let checked = fleet
            .conf
            .check_change(&change, &self.0.domains, caller.team());
        checked.map_err(|error| match error {
            hyssop_conf::Error::Value(error) => {
                writes::with_line(error, &String::from_utf8_lossy(body))
            }
            other => writes::validation_error(other),
        })
    }
}

fn parse(body: &[u8]) -> Result<ServiceDoc, ApiError> {
    let text = std::str::from_utf8(body).map_err(|e| {
        let message = format!("the document is not UTF-8 text: {e}");
        ApiError::new(ErrorCode::Malformed, message)
    })?;
    ServiceDoc::parse(text).map_err(|e| writes::with_line(e, text))
}

/// Handles `DELETE /v1/documents/{service}`.
pub(crate) struct Remove(pub(crate) Arc<Shared>);

#[handler]
impl Remove {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.remove(req).await);
    }
}

impl Remove {
    async fn remove(&self, req: &mut Request) -> Result<RemoveReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let service: ServiceName = path_param(req, "service")?;
        let base = Version(query_param(req, "base", 0, "a version")?);
        writes::check_writable(&self.0, WriteRequirement::Majority)?;
        let current = CurrentDocument::load(&self.0, &service);
        current.check_caller(&caller)?;
        let reply = |version, has_changed| RemoveReply {
            service: service.clone(),
            version,
            has_changed,
        };
        if current.doc.is_none() {
            return Ok(reply(current.removed_version.unwrap_or_default(), false));
        }
        let change = ConfRecord::Remove {
            service: service.clone(),
            base,
        };
        let what = format!("document {service}");
        let version = writes::write(&self.0, &what, change, WriteRequirement::Majority).await?;
        Ok(reply(version.unwrap_or(current.version), version.is_some()))
    }
}

/// Handles `GET /v1/documents/{service}`.
pub(crate) struct Show(pub(crate) Arc<Shared>);

#[handler]
impl Show {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.show(req));
    }
}

impl Show {
    fn show(&self, req: &Request) -> Result<DocumentReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let service: ServiceName = path_param(req, "service")?;
        self.0.check_conf_known()?;
        let current = CurrentDocument::load(&self.0, &service);
        current.check_caller(&caller)?;
        let version = current.version;
        let missing = || ApiError {
            version: current.removed_version,
            ..not_found(&service)
        };
        let doc = current.doc.ok_or_else(missing)?;
        Ok(DocumentReply {
            service,
            version,
            doc,
        })
    }
}

/// Handles `GET /v1/documents`.
pub(crate) struct List(pub(crate) Arc<Shared>);

#[handler]
impl List {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.list(req));
    }
}

impl List {
    fn list(&self, req: &Request) -> Result<DocumentList, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        self.0.check_conf_known()?;
        let view = self.0.view();
        let docs = view.docs.values();
        let visible = docs.filter(|view| caller.check_access(&view.doc.team).is_ok());
        let documents = visible.map(|view| DocumentSummary::new(view.version, &view.doc));
        Ok(DocumentList {
            documents: documents.collect(),
        })
    }
}

/// Handles `GET /v1/documents/{service}/history`.
pub(crate) struct History(pub(crate) Arc<Shared>);

#[handler]
impl History {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.history(req));
    }
}

impl History {
    fn history(&self, req: &Request) -> Result<HistoryReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let service: ServiceName = path_param(req, "service")?;
        self.0.check_conf_known()?;
        CurrentDocument::load(&self.0, &service).check_caller(&caller)?;
        let history = self.0.fleet().conf.history(&service).to_vec();
        if history.is_empty() {
            return Err(not_found(&service));
        }
        let versions = history_entries(&history);
        Ok(HistoryReply { service, versions })
    }
}

fn history_entries(history: &[DocVersion]) -> Vec<HistoryEntry> {
    let mut before: Option<&ServiceDoc> = None;
    let mut entries = Vec::new();
    for version in history {
        let doc = version.doc.as_ref();
        entries.push(HistoryEntry {
            version: version.version,
            writer: version.writer.clone(),
            is_removal: doc.is_none(),
            differences: differences(before, doc),
        });
        before = doc;
    }
    entries
}
