//! Commands for jobs and tickets.

use hyssop_core::api::{
    JobList, JobSubmit, ResultReply, ResultRequest, TicketsReply, TicketsRequest,
};
use hyssop_core::limits::MAX_TICKET_BATCH;
use hyssop_core::{JobId, JobPhase, JobStatus, Millis, Resources};
use reqwest::Method;

use super::Context;
use crate::args::{Cancel, JobShow, Jobs, ResultArgs, Submit, TicketArgs};
use crate::clients::{Request, RetryPolicy};
use crate::errors::{CtlError, Result};
use crate::tables::{Table, class_name};

/// Submits a job. Repeating the submission with the same key returns the same job.
pub(crate) async fn submit(ctx: &mut Context<'_, '_>, args: Submit) -> Result<()> {
    let body = JobSubmit {
        key: args.key,
        kind: args.kind.unwrap_or_else(|| args.service.clone()),
        service: args.service,
        class: args.class,
        needs: Resources::new(args.cpu, args.mem, args.accel),
        work: Millis(args.work),
        domains: args.domain.into(),
        payload: args.payload,
    };
    let request = Request::new(Method::POST, "/v1/jobs", RetryPolicy::Idempotent)
        .with_json(&body)?
        .with_status_command("hyssopctl jobs");
    let reply: JobStatus = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, |job| {
        format!("{} {}", job.id, phase_name(job.phase))
    })
}

fn job_path(job: &JobId) -> String {
    format!("/v1/jobs/{job}")
}

fn status_command(job: &JobId) -> String {
    format!("hyssopctl job show {job}")
}

/// Fetches all jobs of the team.
pub(crate) async fn fetch_jobs(ctx: &mut Context<'_, '_>) -> Result<JobList> {
    ctx.client.call(&Request::get("/v1/jobs")).await
}

/// Lists the team's jobs, optionally of a single service.
pub(crate) async fn list(ctx: &mut Context<'_, '_>, args: &Jobs) -> Result<()> {
    let mut reply = fetch_jobs(ctx).await?;
    if let Some(service) = &args.service {
        reply.jobs.retain(|job| &job.service == service);
    }
    ctx.console.emit(&reply, |reply| format_table(&reply.jobs))
}

/// Formats jobs as a table.
pub(crate) fn format_table(jobs: &[JobStatus]) -> String {
    let mut table = Table::new(&[
        "JOB",
        "SERVICE",
        "KIND",
        "CLASS",
        "PHASE",
        "ATTEMPT",
        "WORKER",
        "EVICTIONS",
    ]);
    for job in jobs {
        table.push(vec![
            job.id.to_string(),
            job.service.to_string(),
            job.kind.to_string(),
            class_name(job.class).to_owned(),
            phase_name(job.phase).to_owned(),
            job.attempt.to_string(),
            job.worker
                .as_ref()
                .map_or("-", |worker| worker.as_str())
                .to_owned(),
            job.evictions.to_string(),
        ]);
    }
    table.render("no jobs")
}

const fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Pending => "pending",
        JobPhase::Running => "running",
        JobPhase::InDoubt => "in-doubt",
        JobPhase::Finished => "finished",
        JobPhase::Fetched => "fetched",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
        JobPhase::Moved => "moved",
    }
}

/// Shows a job with its history.
pub(crate) async fn show(ctx: &mut Context<'_, '_>, args: &JobShow) -> Result<()> {
    let reply: JobStatus = ctx.client.call(&Request::get(job_path(&args.job))).await?;
    ctx.console.emit(&reply, format_job)
}

fn format_job(job: &JobStatus) -> String {
    let mut text = format!(
        "{}: {}\n  team {}, service {}, kind {}, class {}\n  attempt {}",
        job.id,
        phase_name(job.phase),
        job.team,
        job.service,
        job.kind,
        class_name(job.class),
        job.attempt,
    );
    if let Some(worker) = &job.worker {
        text.push_str(&format!(" on {worker}"));
    }
    text.push_str(&format!(", {} evictions", job.evictions));
    for explanation in &job.history {
        text.push_str(&format!(
            "\n  [{} ms] {}",
            explanation.at, explanation.reason
        ));
    }
    text
}

/// Cancels a job and shows the resulting phase.
pub(crate) async fn cancel(ctx: &mut Context<'_, '_>, args: &Cancel) -> Result<()> {
    let request = Request::new(Method::DELETE, job_path(&args.job), RetryPolicy::Idempotent)
        .with_status_command(status_command(&args.job));
    let reply: JobStatus = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, |job| {
        format!("{} {}", job.id, phase_name(job.phase))
    })
}

/// Fetches a result. Repeating the call with the same receipt returns the result again.
pub(crate) async fn result(ctx: &mut Context<'_, '_>, args: &ResultArgs) -> Result<()> {
    let body = ResultRequest {
        receipt: args.receipt.clone(),
    };
    let path = format!("{}/result", job_path(&args.job));
    let request = Request::new(Method::POST, path, RetryPolicy::Idempotent)
        .with_json(&body)?
        .with_status_command(status_command(&args.job));
    let reply: ResultReply = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, |reply| reply.result.clone())
}

/// Issues tickets and writes one per line.
pub(crate) async fn ticket(ctx: &mut Context<'_, '_>, args: &TicketArgs) -> Result<()> {
    if args.count == 0 || args.count > MAX_TICKET_BATCH {
        let text = format!(
            "--count {}: must be between 1 and {MAX_TICKET_BATCH}",
            args.count
        );
        return Err(CtlError::Usage(text));
    }
    let path = format!("/v1/services/{}/tickets", args.service);
    // Each call issues more tickets, which occupy slots in the agent's table.
    let request = Request::new(Method::POST, path, RetryPolicy::Never)
        .with_json(&TicketsRequest { count: args.count })?;
    let reply: TicketsReply = ctx.client.call(&request).await?;
    ctx.console.emit(&reply, |reply| reply.tickets.join("\n"))
}
