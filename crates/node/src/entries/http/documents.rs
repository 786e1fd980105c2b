//! Service documents.

use std::sync::Arc;

use hyssop_core::api::{
    ApiError, ApplyQuery, ApplyReply, DocumentList, DocumentReply, DocumentSummary, ErrorCode,
    HistoryEntry, HistoryReply, RemoveReply, differences,
};
use hyssop_core::limits::MAX_DOCUMENT_BYTES;
use hyssop_core::{ConfRecord, ConfView, DocVersion, ServiceDoc, ServiceName, TeamName, Version};
use salvo::{Request, Response, handler};

use super::replies::{answer, param, query, read_body};
use crate::entries::access::Caller;
use crate::entries::shared::Shared;
use crate::entries::writes::{self, Need};

/// What is known of a service.
struct Current {
    /// Version of the document; 0 without one, which is also the base of a new document after a
    /// removal. Late copies of the creation are recognized by the identifier of its record.
    version: Version,
    /// Version of the removal of the last document, if it is still known.
    removed: Option<Version>,
    doc: Option<ServiceDoc>,
    /// Team of the document, or of the one that was removed.
    owner: Option<TeamName>,
}

impl Current {
    fn of(shared: &Shared, service: &ServiceName) -> Self {
        let fleet = shared.fleet();
        let history = fleet.conf.history(service);
        let last = history
            .iter()
            .rev()
            .find_map(|version| version.doc.as_ref());
        if let Some(view) = fleet.conf.view().docs.get(service) {
            return Self {
                version: view.version,
                removed: None,
                doc: Some(view.doc.clone()),
                owner: Some(view.doc.team.clone()),
            };
        }
        Self {
            version: Version(0),
            removed: history.last().map(|last| last.version),
            doc: None,
            owner: last.map(|doc| doc.team.clone()),
        }
    }

    /// Checks that the caller may see or change the document.
    fn check_owner(&self, caller: &Caller) -> Result<(), ApiError> {
        self.owner
            .as_ref()
            .map_or(Ok(()), |owner| caller.may_touch(owner))
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
        answer(res, self.apply(req).await);
    }
}

impl Apply {
    async fn apply(&self, req: &mut Request) -> Result<ApplyReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let service: ServiceName = param(req, "service")?;
        let asked = ApplyQuery {
            base: Version(query(req, "base", 0, "a version")?),
            dry_run: query(req, "dry_run", false, "true, false")?,
        };
        let body = read_body(req, MAX_DOCUMENT_BYTES).await?;
        let doc = parse(&body)?;
        self.check(&caller, &service, &doc, &body)?;
        // An entry that cannot accept must not say either that a change is needless.
        writes::check_able(&self.0, Need::Proof)?;
        let current = Current::of(&self.0, &service);
        current.check_owner(&caller)?;
        let differences = differences(current.doc.as_ref(), Some(&doc));
        let reply = |version, changed| ApplyReply {
            service: service.clone(),
            version,
            has_changed: changed,
            dry_run: asked.dry_run,
            differences: differences.clone(),
        };
        let same = current.doc.as_ref() == Some(&doc);
        let holds = |view: &ConfView| {
            let known = view.docs.get(&service);
            known.is_some_and(|known| known.version == asked.base && known.doc == doc)
        };
        if asked.dry_run || writes::is_needless(&self.0, holds).await? {
            return Ok(reply(current.version, !same));
        }
        let change = ConfRecord::Put {
            base: asked.base,
            doc,
        };
        let what = format!("document {service}");
        let version = writes::write(&self.0, &what, change, Need::Proof).await?;
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
        caller.may_touch(&doc.team)?;
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
            other => writes::refusal(other),
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
        answer(res, self.remove(req).await);
    }
}

impl Remove {
    async fn remove(&self, req: &mut Request) -> Result<RemoveReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let service: ServiceName = param(req, "service")?;
        let base = Version(query(req, "base", 0, "a version")?);
        writes::check_able(&self.0, Need::Majority)?;
        let current = Current::of(&self.0, &service);
        current.check_owner(&caller)?;
        let reply = |version, changed| RemoveReply {
            service: service.clone(),
            version,
            has_changed: changed,
        };
        if current.doc.is_none() {
            return Ok(reply(current.removed.unwrap_or_default(), false));
        }
        let change = ConfRecord::Remove {
            service: service.clone(),
            base,
        };
        let what = format!("document {service}");
        let version = writes::write(&self.0, &what, change, Need::Majority).await?;
        Ok(reply(version.unwrap_or(current.version), version.is_some()))
    }
}

/// Handles `GET /v1/documents/{service}`.
pub(crate) struct Show(pub(crate) Arc<Shared>);

#[handler]
impl Show {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        answer(res, self.show(req));
    }
}

impl Show {
    fn show(&self, req: &Request) -> Result<DocumentReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let service: ServiceName = param(req, "service")?;
        self.0.check_known()?;
        let current = Current::of(&self.0, &service);
        current.check_owner(&caller)?;
        let version = current.version;
        let missing = || ApiError {
            version: current.removed,
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
        answer(res, self.list(req));
    }
}

impl List {
    fn list(&self, req: &Request) -> Result<DocumentList, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        self.0.check_known()?;
        let view = self.0.view();
        let docs = view.docs.values();
        let own = docs.filter(|view| caller.may_touch(&view.doc.team).is_ok());
        let documents = own.map(|view| DocumentSummary::new(view.version, &view.doc));
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
        answer(res, self.history(req));
    }
}

impl History {
    fn history(&self, req: &Request) -> Result<HistoryReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let service: ServiceName = param(req, "service")?;
        self.0.check_known()?;
        Current::of(&self.0, &service).check_owner(&caller)?;
        let known = self.0.fleet().conf.history(&service).to_vec();
        if known.is_empty() {
            return Err(not_found(&service));
        }
        let versions = entries(&known);
        Ok(HistoryReply { service, versions })
    }
}

fn entries(known: &[DocVersion]) -> Vec<HistoryEntry> {
    let mut before: Option<&ServiceDoc> = None;
    let mut entries = Vec::new();
    for version in known {
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
