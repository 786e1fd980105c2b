//! Commands for failure domains.

use std::time::Duration;

use hyssop_core::api::{
    DomainChange, DomainList, DomainPhase, DomainReply, DomainStatus, Shortfall,
};
use hyssop_core::{DomainName, DomainState, Version};
use reqwest::Method;

use super::Context;
use super::waits::{WaitOptions, wait_for_phase};
use crate::args::{DomainBack, DomainOut};
use crate::clients::{Request, RetryPolicy};
use crate::errors::{CtlError, Result};
use crate::tables::{Table, class_name, format_resources};

/// Command that shows the state of the domains, for error messages.
const STATUS_COMMAND: &str = "hyssopctl domain list";

/// Lists the domains with their load.
pub(crate) async fn list(ctx: &mut Context<'_, '_>) -> Result<()> {
    let reply = fetch_statuses(ctx).await?;
    ctx.console.emit(&reply, format_list)
}

pub(crate) async fn fetch_statuses(ctx: &mut Context<'_, '_>) -> Result<DomainList> {
    ctx.client.call(&Request::get("/v1/domains")).await
}

fn format_list(reply: &DomainList) -> String {
    let mut table = Table::new(&[
        "DOMAIN", "PHASE", "RUNNING", "PENDING", "DOUBTFUL", "UP", "LEAVING", "WORKERS", "VERSION",
    ]);
    for domain in &reply.domains {
        table.push(vec![
            domain.domain.to_string(),
            domain.phase.to_string(),
            domain.running.to_string(),
            domain.pending.to_string(),
            domain.unconfirmed.to_string(),
            domain.members_up.to_string(),
            domain.members_leaving.to_string(),
            domain.workers.to_string(),
            domain.version.to_string(),
        ]);
    }
    table.render("no failure domains")
}

/// Takes a domain out of service, and optionally waits until it is empty.
pub(crate) async fn out(ctx: &mut Context<'_, '_>, args: &DomainOut) -> Result<()> {
    let change = DomainChange {
        state: DomainState::Out,
        base: resolve_base(ctx, &args.domain, args.base).await?,
        force: args.force,
        dry_run: args.dry_run,
    };
    let reply = match put(ctx, &args.domain, change).await {
        Err(error) => {
            if let Some(shortfall) = error.shortfall() {
                ctx.console.emit_note(&format_shortfalls(shortfall))?;
            }
            return Err(error);
        }
        Ok(reply) => reply,
    };
    if !args.wait || args.dry_run {
        return ctx.console.emit(&reply, format_reply);
    }
    ctx.console.emit_note(&format_reply(&reply))?;
    let target_phase = DomainPhase::Empty;
    emit_after_wait(ctx, reply, target_phase, args.wait_limit).await
}

/// Brings a domain back into service, and optionally waits until it is in service.
pub(crate) async fn back(ctx: &mut Context<'_, '_>, args: &DomainBack) -> Result<()> {
    let change = DomainChange {
        state: DomainState::In,
        base: resolve_base(ctx, &args.domain, args.base).await?,
        force: false,
        dry_run: false,
    };
    let reply = put(ctx, &args.domain, change).await?;
    if !args.wait {
        return ctx.console.emit(&reply, format_reply);
    }
    ctx.console.emit_note(&format_reply(&reply))?;
    let target_phase = DomainPhase::InService;
    emit_after_wait(ctx, reply, target_phase, args.wait_limit).await
}

async fn emit_after_wait(
    ctx: &mut Context<'_, '_>,
    reply: DomainReply,
    target_phase: DomainPhase,
    limit: Option<u64>,
) -> Result<()> {
    let wait_options = WaitOptions {
        domain: reply.domain,
        version: reply.version,
        target_phase,
        limit: limit.map(Duration::from_secs),
    };
    let (status, seconds) = wait_for_phase(ctx, &wait_options).await?;
    ctx.console.emit(&status, |status| {
        format!("{}: {} after {seconds} s", status.domain, status.phase)
    })
}

/// Returns the version that a change replaces. For a domain that the entry does not list this is 0;
/// the entry then decides whether the domain exists.
async fn resolve_base(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    given: Option<u64>,
) -> Result<Version> {
    match given {
        Some(base) => Ok(Version(base)),
        None => Ok(find_domain(ctx, domain)
            .await?
            .map_or(Version(0), |status| status.version)),
    }
}

async fn find_domain(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
) -> Result<Option<DomainStatus>> {
    let list = fetch_statuses(ctx).await?;
    Ok(list
        .domains
        .into_iter()
        .find(|status| &status.domain == domain))
}

fn change_request(domain: &DomainName, change: DomainChange) -> Result<Request> {
    let retry_policy = if change.dry_run {
        RetryPolicy::Read
    } else {
        RetryPolicy::Idempotent
    };
    let request = Request::new(Method::PUT, format!("/v1/domains/{domain}"), retry_policy);
    Ok(request
        .with_json(&change)?
        .with_status_command(STATUS_COMMAND))
}

async fn put(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    change: DomainChange,
) -> Result<DomainReply> {
    match ctx.client.call(&change_request(domain, change)?).await {
        Err(error) if error.may_be_own_change() => {
            resolve_conflict(ctx, domain, change, error).await
        }
        other => other,
    }
}

/// Resolves a conflict that an earlier attempt of this command may have caused. If the requested
/// state is in force under a later version, that attempt succeeded, and a dry run repeats the
/// capacity check of the lost response. Otherwise returns the error.
async fn resolve_conflict(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    change: DomainChange,
    error: CtlError,
) -> Result<DomainReply> {
    let status = match find_domain(ctx, domain).await? {
        Some(status) if status.state == change.state && status.version > change.base => status,
        _ => return Err(error),
    };
    let dry_run_change = DomainChange {
        base: status.version,
        dry_run: true,
        ..change
    };
    let reply: DomainReply = ctx
        .client
        .call(&change_request(domain, dry_run_change)?)
        .await?;
    Ok(DomainReply {
        has_changed: true,
        ..reply
    })
}

fn format_reply(reply: &DomainReply) -> String {
    let result = match (reply.has_changed, reply.state) {
        (false, _) => "unchanged",
        (true, DomainState::Out) => "out of service",
        (true, DomainState::In) => "back in service",
    };
    let mut text = format!(
        "{}: {result}, {}, version {}",
        reply.domain, reply.phase, reply.version
    );
    if !reply.has_capacity {
        text.push('\n');
        text.push_str(&format_shortfalls(&reply.shortfall));
    }
    text
}

fn format_shortfalls(list: &[Shortfall]) -> String {
    let mut lines = vec!["the remaining domains lack capacity for:".to_owned()];
    for item in list {
        let subject = item
            .service
            .as_ref()
            .map_or("all work", |service| service.as_str());
        lines.push(format!(
            "  {subject} ({}): needs {}; available {}; lacks {}",
            class_name(item.class),
            format_resources(item.needs),
            format_resources(item.available),
            format_resources(item.missing),
        ));
    }
    lines.join("\n")
}
