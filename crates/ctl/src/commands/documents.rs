//! Commands for service documents.

use std::io::Read;

use hyssop_core::api::{
    ApplyReply, DocumentList, DocumentReply, ErrorCode, HistoryReply, RemoveReply, differences,
};
use hyssop_core::{DomainName, ServiceDoc, ServiceName, Version};
use reqwest::Method;

use super::Context;
use crate::args::{Apply, Get, History, Remove};
use crate::clients::{Request, RetryPolicy};
use crate::errors::{CtlError, Result};
use crate::tables::{Table, class_name};

/// Path argument that means standard input.
const STDIN: &str = "-";

/// Current document of a service.
struct Current {
    /// Version of the document, which is the base of the next change; 0 without a document.
    version: Version,
    doc: Option<ServiceDoc>,
    /// Version that removed the document, if it was removed.
    removal_version: Option<Version>,
}

/// Applies a document. A document equal to the current one is not sent.
pub(crate) async fn apply(ctx: &mut Context<'_, '_>, args: &Apply) -> Result<()> {
    let text = read_document(&args.file)?;
    let doc = ServiceDoc::parse(&text).map_err(|cause| CtlError::Document {
        path: args.file.clone(),
        cause,
    })?;
    let current = fetch_current(ctx, &doc.service).await?;
    let base = args.base.map_or(current.version, Version);
    ctx.console
        .emit_note(&format_change(&doc, &current, base))?;
    let reply = if current.doc.as_ref() == Some(&doc) && base == current.version {
        unchanged_reply(&doc, current.version, args.dry_run)
    } else {
        put(ctx, &doc, text, base, args.dry_run).await?
    };
    ctx.console.emit(&reply, format_reply)
}

fn read_document(path: &str) -> Result<String> {
    let text = if path == STDIN {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    text.map_err(|e| CtlError::File {
        path: path.to_owned(),
        cause: e.to_string(),
    })
}

fn document_path(service: &ServiceName) -> String {
    format!("/v1/documents/{service}")
}

fn status_command(service: &ServiceName) -> String {
    format!("hyssopctl get {service}")
}

/// Fetches the current document. If it was removed, the entry's error carries the version of the
/// removal.
async fn fetch_current(ctx: &mut Context<'_, '_>, service: &ServiceName) -> Result<Current> {
    let request = Request::get(document_path(service));
    match ctx.client.call::<DocumentReply>(&request).await {
        Ok(reply) => Ok(Current {
            version: reply.version,
            doc: Some(reply.doc),
            removal_version: None,
        }),
        Err(CtlError::Api { error, .. }) if error.code == ErrorCode::NotFound => Ok(Current {
            version: Version(0),
            doc: None,
            removal_version: error.version,
        }),
        Err(other) => Err(other),
    }
}

fn format_change(doc: &ServiceDoc, current: &Current, base: Version) -> String {
    let mut text = match &current.doc {
        None => format!("{}: no document in force", doc.service),
        Some(_) => format!("{}: version {} in force", doc.service, current.version),
    };
    text.push_str(&format!(", base {base}"));
    for difference in differences(current.doc.as_ref(), Some(doc)) {
        text.push_str(&format!("\n  {difference}"));
    }
    text
}

fn unchanged_reply(doc: &ServiceDoc, version: Version, dry_run: bool) -> ApplyReply {
    ApplyReply {
        service: doc.service.clone(),
        version,
        has_changed: false,
        dry_run,
        differences: Vec::new(),
    }
}

async fn put(
    ctx: &mut Context<'_, '_>,
    doc: &ServiceDoc,
    text: String,
    base: Version,
    dry_run: bool,
) -> Result<ApplyReply> {
    let path = format!(
        "{}?base={base}&dry_run={dry_run}",
        document_path(&doc.service)
    );
    let retry_policy = if dry_run {
        RetryPolicy::Read
    } else {
        RetryPolicy::Idempotent
    };
    let request = Request::new(Method::PUT, path, retry_policy)
        .with_toml(text)
        .with_status_command(status_command(&doc.service));
    match ctx.client.call(&request).await {
        Err(error) if error.may_be_own_change() => resolve_conflict(ctx, doc, base, error).await,
        other => other,
    }
}

/// Resolves a conflict that an earlier attempt of this command may have caused. If the sent
/// document is in force, that attempt succeeded; otherwise returns the error.
async fn resolve_conflict(
    ctx: &mut Context<'_, '_>,
    doc: &ServiceDoc,
    base: Version,
    error: CtlError,
) -> Result<ApplyReply> {
    let current = fetch_current(ctx, &doc.service).await?;
    if current.doc.as_ref() != Some(doc) || current.version <= base {
        return Err(error);
    }
    let mut reply = unchanged_reply(doc, current.version, false);
    reply.has_changed = true;
    Ok(reply)
}

fn format_reply(reply: &ApplyReply) -> String {
    let service = &reply.service;
    let version = reply.version;
    match (reply.dry_run, reply.has_changed) {
        (_, false) => format!("{service}: unchanged, version {version} stays in force"),
        (true, true) => format!("{service}: dry run, would replace version {version}"),
        (false, true) => format!("{service}: version {version} in force"),
    }
}

/// Shows a document as TOML, or as JSON.
pub(crate) async fn get(ctx: &mut Context<'_, '_>, args: &Get) -> Result<()> {
    let request = Request::get(document_path(&args.service));
    let reply: DocumentReply = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, |reply| {
        let doc = toml::to_string(&reply.doc).unwrap_or_default();
        format!("# version {}\n{doc}", reply.version)
    })
}

/// Lists the documents in force.
pub(crate) async fn list(ctx: &mut Context<'_, '_>) -> Result<()> {
    let reply: DocumentList = ctx.client.call(&Request::get("/v1/documents")).await?;
    ctx.console.emit(&reply, format_list)
}

fn format_list(reply: &DocumentList) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "TEAM",
        "CLASS",
        "INSTANCES",
        "DOMAINS",
        "VERSION",
    ]);
    for doc in &reply.documents {
        let domains: Vec<&str> = doc.domains.iter().map(DomainName::as_str).collect();
        table.push(vec![
            doc.service.to_string(),
            doc.team.to_string(),
            class_name(doc.class).to_owned(),
            doc.instances.to_string(),
            domains.join(","),
            doc.version.to_string(),
        ]);
    }
    table.render("no documents")
}

/// Shows the versions of a document.
pub(crate) async fn history(ctx: &mut Context<'_, '_>, args: &History) -> Result<()> {
    let request = Request::get(format!("{}/history", document_path(&args.service)));
    let reply: HistoryReply = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, format_history)
}

fn format_history(reply: &HistoryReply) -> String {
    let mut lines = Vec::new();
    for entry in &reply.versions {
        let action = if entry.is_removal {
            "removed"
        } else {
            "applied"
        };
        lines.push(format!(
            "version {}, {action} through {}",
            entry.version, entry.writer
        ));
        lines.extend(entry.differences.iter().map(|d| format!("  {d}")));
    }
    if lines.is_empty() {
        lines.push(format!("{}: no known versions", reply.service));
    }
    lines.join("\n")
}

/// Removes a document, by default the version in force.
pub(crate) async fn remove(ctx: &mut Context<'_, '_>, args: &Remove) -> Result<()> {
    let base = match args.base {
        Some(base) => Version(base),
        None => current_version(ctx, &args.service).await?,
    };
    let path = format!("{}?base={base}", document_path(&args.service));
    let request = Request::new(Method::DELETE, path, RetryPolicy::Idempotent)
        .with_status_command(format!("hyssopctl history {}", args.service));
    let reply = match ctx.client.call(&request).await {
        Err(error) if error.may_be_own_change() => {
            resolve_removal_conflict(ctx, &args.service, error).await?
        }
        other => other?,
    };
    ctx.console.emit(&reply, |reply: &RemoveReply| {
        format!("{}: removed by version {}", reply.service, reply.version)
    })
}

/// Returns the version in force, or an error if there is none.
async fn current_version(ctx: &mut Context<'_, '_>, service: &ServiceName) -> Result<Version> {
    let reply: DocumentReply = ctx
        .client
        .call(&Request::get(document_path(service)))
        .await?;
    Ok(reply.version)
}

/// Resolves a refusal that an earlier attempt of this command may have caused. If no document is in
/// force, the removal took effect; otherwise returns the error.
async fn resolve_removal_conflict(
    ctx: &mut Context<'_, '_>,
    service: &ServiceName,
    error: CtlError,
) -> Result<RemoveReply> {
    let current = fetch_current(ctx, service).await?;
    if current.doc.is_some() {
        return Err(error);
    }
    Ok(RemoveReply {
        service: service.clone(),
        version: current.removal_version.unwrap_or_default(),
        has_changed: true,
    })
}
