//! Commands that show the state of the fleet.

use hyssop_core::api::{ExplainReply, MemberStatus, PeerStatus, StatusReply};
use hyssop_core::{
    CellState, Connectivity, Explanation, JobPhase, JobStatus, MemberState, WorkerName,
};
use serde::Serialize;

use super::{Context, jobs};
use crate::args::Worker;
use crate::clients::Request;
use crate::consoles::Console;
use crate::errors::Result;
use crate::tables::{Table, format_millis};

/// Shows the state of the entry that answers.
pub(crate) async fn status(ctx: &mut Context<'_, '_>) -> Result<()> {
    let reply: StatusReply = ctx.client.call(&Request::get("/v1/status")).await?;
    ctx.console.emit(&reply, |reply| {
        let parts = [
            format_head(reply),
            format_cells(&reply.cells),
            format_members(&reply.members),
            format_peers(&reply.peers),
        ];
        parts.join("\n\n")
    })
}

fn format_head(reply: &StatusReply) -> String {
    let connectivity = match reply.connectivity {
        Connectivity::Confirmed => "proved",
        Connectivity::MajorityReachable => {
            "heard (no recent proof: starts no work, serves requests)"
        }
        Connectivity::Isolated => "isolated (rejects requests and changes)",
    };
    format!(
        "entry {}: {connectivity}\nproof age {}, configuration up to offset {}, up for {} s",
        reply.entry,
        format_millis(reply.confirmation_age),
        reply.applied,
        reply.uptime.0 / 1_000,
    )
}

fn format_cells(cells: &[CellState]) -> String {
    let mut table = Table::new(&[
        "CELL",
        "OWNER",
        "TERM",
        "WORKERS",
        "RUNNING",
        "PENDING",
        "DOUBTFUL",
        "FINISHED",
        "EVICTIONS",
    ]);
    for state in cells {
        let summary = &state.summary;
        table.push(vec![
            state.cell.to_string(),
            state.owner.to_string(),
            state.term.to_string(),
            summary.workers.to_string(),
            summary.running.to_string(),
            summary.pending.to_string(),
            summary.unconfirmed.to_string(),
            summary.finished.to_string(),
            summary.evictions.total().to_string(),
        ]);
    }
    table.render("no cell has a known owner")
}

fn format_members(members: &[MemberStatus]) -> String {
    let mut table = Table::new(&[
        "BACKEND SERVER",
        "SERVICE",
        "DOMAIN",
        "RACK",
        "STATE",
        "LOAD",
    ]);
    for member in members {
        let load = member.load;
        table.push(vec![
            member.agent.to_string(),
            member.service.to_string(),
            member.domain.to_string(),
            member.rack.to_string(),
            format_member_state(member),
            format!(
                "{}/{} running, {} waiting",
                load.running, load.slots, load.waiting
            ),
        ]);
    }
    table.render("no backend servers")
}

fn format_member_state(member: &MemberStatus) -> String {
    let state = match member.state {
        MemberState::Up => "up",
        MemberState::Leaving => "leaving",
        MemberState::Down => "down",
    };
    if member.is_ejected {
        format!("{state}, ejected")
    } else {
        state.to_owned()
    }
}

fn format_peers(peers: &[PeerStatus]) -> String {
    let mut table = Table::new(&["PEER", "STATE", "HEARD", "PROOF AGE"]);
    for peer in peers {
        let state = if peer.is_alive { "alive" } else { "silent" };
        table.push(vec![
            peer.entry.to_string(),
            state.to_owned(),
            format_millis(peer.last_reply_age),
            format_millis(peer.confirmation_age),
        ]);
    }
    table.render("no peers")
}

/// JSON output of the `worker` command.
#[derive(Debug, Serialize)]
struct WorkerReport {
    worker: WorkerName,
    explanations: Vec<Explanation>,
    jobs: Vec<JobStatus>,
}

/// Shows the decisions about a worker, and the team's running and unconfirmed jobs on it.
pub(crate) async fn worker(ctx: &mut Context<'_, '_>, args: &Worker) -> Result<()> {
    let explanation_reply = fetch_explanations(ctx, "worker", args.worker.as_str()).await?;
    let mut jobs = jobs::fetch_jobs(ctx).await?.jobs;
    jobs.retain(|job| {
        let is_active = matches!(job.phase, JobPhase::Running | JobPhase::InDoubt);
        is_active && job.worker.as_ref() == Some(&args.worker)
    });
    let report = WorkerReport {
        worker: args.worker.clone(),
        explanations: explanation_reply.explanations,
        jobs,
    };
    ctx.console.emit(&report, |report| {
        let decisions = format_explanations(&report.explanations);
        format!(
            "{}\n{decisions}\n\n{}",
            report.worker,
            jobs::format_table(&report.jobs)
        )
    })
}

/// Shows the decisions about a subject. `kind` is `job`, `worker` or `service`.
pub(crate) async fn explain(ctx: &mut Context<'_, '_>, kind: &str, name: &str) -> Result<()> {
    let reply = fetch_explanations(ctx, kind, name).await?;
    ctx.console
        .emit(&reply, |reply| format_explanations(&reply.explanations))
}

async fn fetch_explanations(
    ctx: &mut Context<'_, '_>,
    kind: &str,
    name: &str,
) -> Result<ExplainReply> {
    ctx.client
        .call(&Request::get(format!("/v1/explain/{kind}/{name}")))
        .await
}

fn format_explanations(explanations: &[Explanation]) -> String {
    if explanations.is_empty() {
        return "no decisions recorded; a new owner starts without any".to_owned();
    }
    let lines: Vec<String> = explanations
        .iter()
        .map(|e| format!("[{} ms] {}", e.at, e.reason))
        .collect();
    lines.join("\n")
}

/// Shows the version of this program.
pub(crate) fn version(console: &mut Console<'_>) -> Result<()> {
    let version = env!("CARGO_PKG_VERSION");
    console.emit(&serde_json::json!({ "version": version }), |_| {
        format!("hyssopctl {version}")
    })
}
