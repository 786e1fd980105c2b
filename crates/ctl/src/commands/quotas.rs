//! Commands for quotas.

use hyssop_core::api::{ErrorCode, QuotaChange, QuotaList, QuotaReply};
use hyssop_core::{Quota, Resources, TeamName, Version};
use reqwest::Method;

use super::Context;
use crate::args::QuotaSet;
use crate::clients::{Request, RetryPolicy};
use crate::errors::{CtlError, Result};
use crate::tables::{Table, format_resources};

/// Lists the quotas in force.
pub(crate) async fn list(ctx: &mut Context<'_, '_>) -> Result<()> {
    let reply: QuotaList = ctx.client.call(&Request::get("/v1/quotas")).await?;
    ctx.console.emit(&reply, |reply| {
        let mut table = Table::new(&["TEAM", "QUOTA", "VERSION"]);
        for quota in &reply.quotas {
            let amount = format_resources(quota.quota.resources);
            table.push(vec![
                quota.team.to_string(),
                amount,
                quota.version.to_string(),
            ]);
        }
        table.render("no quotas")
    })
}

/// Sets a team's quota, by default on the base of the version in force.
pub(crate) async fn set(ctx: &mut Context<'_, '_>, args: &QuotaSet) -> Result<()> {
    let quota = Quota {
        resources: Resources::new(args.cpu, args.mem, args.accel),
    };
    let base = match args.base {
        Some(base) => Version(base),
        None => fetch_current(ctx, &args.of)
            .await?
            .map_or(Version(0), |reply| reply.version),
    };
    let reply = put(ctx, &args.of, QuotaChange { base, quota }).await?;
    ctx.console.emit(&reply, |reply| {
        let amount = format_resources(reply.quota.resources);
        format!(
            "{}: {amount}, version {} in force",
            reply.team, reply.version
        )
    })
}

fn quota_path(team: &TeamName) -> String {
    format!("/v1/quotas/{team}")
}

async fn fetch_current(ctx: &mut Context<'_, '_>, team: &TeamName) -> Result<Option<QuotaReply>> {
    match ctx.client.call(&Request::get(quota_path(team))).await {
        Ok(reply) => Ok(Some(reply)),
        Err(error) if error.has_code(ErrorCode::NotFound) => Ok(None),
        Err(other) => Err(other),
    }
}

async fn put(
    ctx: &mut Context<'_, '_>,
    team: &TeamName,
    change: QuotaChange,
) -> Result<QuotaReply> {
    let request = Request::new(Method::PUT, quota_path(team), RetryPolicy::Idempotent)
        .with_json(&change)?
        .with_status_command("hyssopctl quota list");
    match ctx.client.call(&request).await {
        Err(error) if error.may_be_own_change() => resolve_conflict(ctx, team, change, error).await,
        other => other,
    }
}

/// Resolves a conflict that an earlier attempt of this command may have caused. If the sent
/// quota is in force, that attempt succeeded; otherwise returns the error.
async fn resolve_conflict(
    ctx: &mut Context<'_, '_>,
    team: &TeamName,
    change: QuotaChange,
    error: CtlError,
) -> Result<QuotaReply> {
    match fetch_current(ctx, team).await? {
        Some(reply) if reply.quota == change.quota && reply.version > change.base => Ok(reply),
        _ => Err(error),
    }
}
