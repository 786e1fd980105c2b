//! Commands about failure domains.

use std::time::Duration;

use hyssop_core::api::{
    DomainChange, DomainList, DomainPhase, DomainReply, DomainStatus, Shortfall,
};
use hyssop_core::{DomainName, DomainState, Version};
use reqwest::Method;

use super::Context;
use super::waits::{Wait, wait};
use crate::args::{DomainBack, DomainOut};
use crate::clients::{Repeat, Request};
use crate::errors::{CtlError, Result};
use crate::tables::{Table, amount, class};

/// Command that shows the state of the domains.
const CHECK: &str = "hyssopctl domain list";

/// Lists the domains.
pub(crate) async fn list(ctx: &mut Context<'_, '_>) -> Result<()> {
    let reply = statuses(ctx).await?;
    ctx.console.emit(&reply, listed)
}

pub(crate) async fn statuses(ctx: &mut Context<'_, '_>) -> Result<DomainList> {
    ctx.client.call(&Request::get("/v1/domains")).await
}

fn listed(reply: &DomainList) -> String {
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

/// Takes a domain out of service.
pub(crate) async fn out(ctx: &mut Context<'_, '_>, args: &DomainOut) -> Result<()> {
    let change = DomainChange {
        state: DomainState::Out,
        base: base(ctx, &args.domain, args.base).await?,
        force: args.force,
        dry_run: args.dry_run,
    };
    let reply = match put(ctx, &args.domain, change).await {
        Err(error) => {
            if let Some(shortfall) = error.shortfall() {
                ctx.console.note(&shortfalls(shortfall))?;
            }
            return Err(error);
        }
        Ok(reply) => reply,
    };
    if !args.wait || args.dry_run {
        return ctx.console.emit(&reply, changed);
    }
    ctx.console.note(&changed(&reply))?;
    let goal = DomainPhase::Empty;
    finish(ctx, reply, goal, args.wait_limit).await
}

/// Brings a domain back into service.
pub(crate) async fn back(ctx: &mut Context<'_, '_>, args: &DomainBack) -> Result<()> {
    let change = DomainChange {
        state: DomainState::In,
        base: base(ctx, &args.domain, args.base).await?,
        force: false,
        dry_run: false,
    };
    let reply = put(ctx, &args.domain, change).await?;
    if !args.wait {
        return ctx.console.emit(&reply, changed);
    }
    ctx.console.note(&changed(&reply))?;
    let goal = DomainPhase::InService;
    finish(ctx, reply, goal, args.wait_limit).await
}

async fn finish(
    ctx: &mut Context<'_, '_>,
    reply: DomainReply,
    goal: DomainPhase,
    limit: Option<u64>,
) -> Result<()> {
    let waiting = Wait {
        domain: reply.domain,
        version: reply.version,
        goal,
        limit: limit.map(Duration::from_secs),
    };
    let (status, seconds) = wait(ctx, &waiting).await?;
    ctx.console.emit(&status, |status| {
        format!("{}: {} after {seconds} s", status.domain, status.phase)
    })
}

/// Returns the version that a change replaces. A domain that the entry does not list has none,
/// and the entry decides whether it exists.
async fn base(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    given: Option<u64>,
) -> Result<Version> {
    match given {
        Some(base) => Ok(Version(base)),
        None => Ok(find(ctx, domain)
            .await?
            .map_or(Version(0), |status| status.version)),
    }
}

async fn find(ctx: &mut Context<'_, '_>, domain: &DomainName) -> Result<Option<DomainStatus>> {
    let list = statuses(ctx).await?;
    Ok(list
        .domains
        .into_iter()
        .find(|status| &status.domain == domain))
}

fn request(domain: &DomainName, change: DomainChange) -> Result<Request> {
    let repeat = if change.dry_run {
        Repeat::Read
    } else {
        Repeat::Idempotent
    };
    let request = Request::new(Method::PUT, format!("/v1/domains/{domain}"), repeat);
    Ok(request.with_json(&change)?.with_check(CHECK))
}

async fn put(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    change: DomainChange,
) -> Result<DomainReply> {
    match ctx.client.call(&request(domain, change)?).await {
        Err(error) if error.may_be_own() => settle(ctx, domain, change, error).await,
        other => other,
    }
}

/// Decides whether a conflict is with this command's own earlier try: the state asked for is then
/// in force under a later version. A dry run repeats the room check of the lost answer.
async fn settle(
    ctx: &mut Context<'_, '_>,
    domain: &DomainName,
    change: DomainChange,
    error: CtlError,
) -> Result<DomainReply> {
    let status = match find(ctx, domain).await? {
        Some(status) if status.state == change.state && status.version > change.base => status,
        _ => return Err(error),
    };
    let check = DomainChange {
        base: status.version,
        dry_run: true,
        ..change
    };
    let reply: DomainReply = ctx.client.call(&request(domain, check)?).await?;
    Ok(DomainReply {
        has_changed: true,
        ..reply
    })
}

fn changed(reply: &DomainReply) -> String {
    let what = match (reply.has_changed, reply.state) {
        (false, _) => "unchanged",
        (true, DomainState::Out) => "out of service",
        (true, DomainState::In) => "back in service",
    };
    let mut text = format!(
        "{}: {what}, {}, version {}",
        reply.domain, reply.phase, reply.version
    );
    if !reply.has_capacity {
        text.push('\n');
        text.push_str(&shortfalls(&reply.shortfall));
    }
    text
}

fn shortfalls(list: &[Shortfall]) -> String {
    let mut lines = vec!["the remaining domains have no room for:".to_owned()];
    for short in list {
        let who = short
            .service
            .as_ref()
            .map_or("all work", |service| service.as_str());
        lines.push(format!(
            "  {who} ({}): needs {}; room for {}; lacks {}",
            class(short.class),
            amount(short.needs),
            amount(short.available),
            amount(short.missing),
        ));
    }
    lines.join("\n")
}
