//! Text of each message in a session.

use hyssop_core::{
    AnnounceReply, Announcement, Call, CellId, CellState, ConfView, Heartbeat, JobCall, JobReply,
    JobStatus, Outcome, PollReply, PollRequest, Renewal,
};

use super::histories::{History, incarnation_name, key_name};
use super::records;
use crate::world::{Body, EntryRequest, Message, Node, highest_version};

/// How a message appears in the session.
pub(super) enum Description {
    /// A line with this text.
    Listed(String),
    /// Only counted, by kind, because it repeats known contents.
    Counted(&'static str),
    /// Not shown, because another line shows its effect.
    Omitted,
}

/// Returns how a message appears in the session.
pub(super) fn describe(history: &mut History, message: &Message) -> Description {
    let description = match &message.body {
        Body::Append(stream, texts) => {
            Description::Listed(records::append_text(history, stream, texts))
        }
        Body::Read(..) | Body::Records(_) => Description::Counted("reads of the log"),
        Body::Appended(_) => Description::Omitted,
        Body::Poll(cell, request) => describe_poll(history, message, cell, request),
        Body::PollReply(Ok(reply)) => describe_poll_reply(history, reply),
        Body::PollReply(Err(fenced)) => {
            Description::Listed(format!("fenced: term {} is known", fenced.term))
        }
        Body::Heartbeat(heartbeat) | Body::HeartbeatReply(heartbeat) => {
            describe_heartbeat(history, message, heartbeat)
        }
        Body::Announce(announcement) => describe_announcement(history, message.to, announcement),
        Body::AnnounceReply(reply) => describe_announce_reply(history, message, reply),
        Body::Call(call) => {
            Description::Listed(format!("call {}", request_text(&request_of_call(call))))
        }
        Body::CallReply(reply) => Description::Listed(outcome_text(&reply.outcome)),
        Body::IssueTickets(call) => Description::Listed(format!("issue {} ticket", call.count)),
        Body::TicketsIssued(Some(tickets)) => {
            let keys: Vec<String> = tickets.iter().copied().map(key_name).collect();
            Description::Listed(format!("issued {}", keys.join(", ")))
        }
        Body::TicketsIssued(None) | Body::TicketResponse(None) => {
            Description::Listed("no ticket".to_owned())
        }
        Body::JobCall(_, JobCall::Show(_)) => Description::Counted("questions about jobs"),
        Body::JobCall(cell, call) => {
            Description::Listed(format!("{cell}: {}", job_call_text(call)))
        }
        Body::JobReply(reply) => describe_job_reply(history, message, reply),
        Body::Request(request) => Description::Listed(request_text(request)),
        Body::Response(result) => Description::Listed(outcome_text(result)),
        Body::RequestTicket => Description::Listed("ticket?".to_owned()),
        Body::TicketResponse(Some(ticket)) => {
            Description::Listed(format!("ticket {}", key_name(*ticket)))
        }
        Body::Refused => describe_refusal(history, message),
    };
    if message.body.is_reply() && !matches!(message.body, Body::Refused) {
        history.forget(&refusal_key(message));
    }
    if let Description::Counted(kind) = description
        && !message.body.is_reply()
    {
        history.record_kind(message.rpc, kind);
    }
    description
}

fn refusal_key(message: &Message) -> String {
    format!("refusal {:?} {:?}", message.from, message.to)
}

/// Lists the first refusal between two processes, and each refusal of an exchange that is always
/// listed.
fn describe_refusal(history: &mut History, message: &Message) -> Description {
    let first = history.has_changed(refusal_key(message), "refused");
    match history.kind(message.rpc) {
        Some(kind) if !first => Description::Counted(kind),
        _ => Description::Listed("refused".to_owned()),
    }
}

/// Returns the number of the request that a call carries.
pub(super) fn request_number(call: &Call) -> u64 {
    let text = std::str::from_utf8(&call.body).unwrap_or_default();
    text.parse().unwrap_or_default()
}

fn request_of_call(call: &Call) -> EntryRequest {
    EntryRequest {
        number: request_number(call),
        ticket: call.ticket,
        is_idempotent: call.is_idempotent,
    }
}

fn request_text(request: &EntryRequest) -> String {
    match request.ticket {
        Some(ticket) => format!("R{} with key {}", request.number, key_name(ticket)),
        None => format!("R{}", request.number),
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Complete(response) => format!("{} {}", response.status, body_text(&response.body)),
        Outcome::NotRun(reason) => format!("not run: {reason}"),
        Outcome::Unknown(reason) => format!("outcome unknown: {reason}"),
    }
}

fn body_text(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.replace("answer to ", "answer to R")
}

/// Lists a poll with orders, and a poll without orders if it differs from the previous one between
/// the two processes.
fn describe_poll(
    history: &mut History,
    message: &Message,
    cell: &CellId,
    request: &PollRequest,
) -> Description {
    history.record_kind(message.rpc, "polls");
    let mut parts: Vec<String> = request.orders.iter().map(records::order_text).collect();
    if request.wants_inventory {
        parts.push("report everything".to_owned());
    }
    match request.renewal {
        Renewal::All => {}
        Renewal::Critical => parts.push("renew latency-critical leases only".to_owned()),
        Renewal::Nothing => parts.push("renew nothing".to_owned()),
    }
    let text = parts.join("; ");
    let subject = format!("poll {:?} {:?}", message.from, message.to);
    let has_changed = request.orders.is_empty() && history.has_changed(subject, &text);
    if parts.is_empty() || request.orders.is_empty() && !has_changed {
        return Description::Counted("polls");
    }
    Description::Listed(format!("{cell} in term {}: {text}", request.term))
}

fn describe_poll_reply(history: &mut History, reply: &PollReply) -> Description {
    let mut parts: Vec<String> = reply.events.iter().map(records::event_text).collect();
    if let Some(inventory) = &reply.inventory {
        let runs = inventory.iter();
        let runs: Vec<String> = runs.map(|r| format!("{}#{}", r.job, r.attempt)).collect();
        parts.push(format!(
            "{} runs [{}]",
            incarnation_name(reply.timestamp.incarnation),
            runs.join(", ")
        ));
    }
    for usage in &reply.usage {
        let text = format!("{} takes {} percent", usage.job, usage.slowdown);
        let is_service_task = usage.job.as_str().starts_with("standing-");
        if is_service_task && history.has_changed(format!("usage {}", usage.job), &text) {
            parts.push(format!("{text}, measured {} ms ago", usage.sample_age));
        }
    }
    for (number, reject) in &reply.rejected {
        parts.push(format!("order {number} refused: {reject:?}"));
    }
    if parts.is_empty() {
        return Description::Counted("polls");
    }
    Description::Listed(parts.join("; "))
}

fn describe_heartbeat(
    history: &mut History,
    message: &Message,
    heartbeat: &Heartbeat,
) -> Description {
    // Claims of other entries that a heartbeat forwards are shown by their appends.
    let own = |state: &&CellState| state.owner == heartbeat.entry;
    let cells = heartbeat.cells.iter().filter(own);
    let mut cells: Vec<String> = cells
        .map(|c| format!("{} in term {}", c.cell, c.term))
        .collect();
    cells.sort();
    let text = format!(
        "{} owns [{}]",
        incarnation_name(heartbeat.incarnation),
        cells.join(", ")
    );
    if let Some(view) = &heartbeat.view {
        let subject = format!("view {:?} {:?}", message.from, message.to);
        return describe_view(history, subject, "", view);
    }
    if history.has_changed(format!("heartbeat {}", heartbeat.entry), &text) {
        return Description::Listed(text);
    }
    Description::Counted("heartbeats")
}

/// Lists a copy of the configuration if its version was not sent to the receiver before.
fn describe_view(
    history: &mut History,
    subject: String,
    serving: &str,
    view: &ConfView,
) -> Description {
    let text = format!("configuration version {}", highest_version(view));
    if history.has_changed(subject, &text) || !serving.is_empty() {
        return Description::Listed(format!("{serving}{text}"));
    }
    Description::Counted("copies of the same configuration")
}

fn describe_announcement(
    history: &mut History,
    to: Node,
    announcement: &Announcement,
) -> Description {
    let Announcement {
        agent,
        incarnation,
        state,
        service,
        domain,
        ..
    } = announcement;
    let name = incarnation_name(*incarnation);
    let text = format!("{name} serves {service} in {domain}, {state:?}");
    if history.has_changed(format!("announce {agent} {to:?}"), &text) {
        return Description::Listed(text);
    }
    Description::Counted("announcements")
}

fn describe_announce_reply(
    history: &mut History,
    message: &Message,
    reply: &AnnounceReply,
) -> Description {
    let serving = if reply.can_serve {
        "serving"
    } else {
        "not serving"
    };
    let subject = format!("announced {:?} {:?}", message.from, message.to);
    let changed = history.has_changed(subject, serving);
    let subject = format!("view {:?} {:?}", message.from, message.to);
    match &reply.view {
        Some(view) if !changed => describe_view(history, subject, "", view),
        Some(view) => describe_view(history, subject, &format!("{serving}, "), view),
        None if changed => Description::Listed(serving.to_owned()),
        None => Description::Counted("announcements"),
    }
}

fn job_call_text(call: &JobCall) -> String {
    match call {
        JobCall::Submit(spec) => format!("submit {} of {}/{}", spec.id, spec.service, spec.kind),
        JobCall::Show(job) => format!("show {job}"),
        JobCall::List(team) => format!("list the jobs of {team}"),
        JobCall::Cancel(job) => format!("cancel {job}"),
        JobCall::Fetch { job, receipt } => format!("fetch {job} under receipt {receipt}"),
        JobCall::Transfer {
            spec,
            attempt,
            checkpoint,
        }
        | JobCall::TransferWithCrashes {
            spec,
            attempt,
            checkpoint,
            ..
        } => format!(
            "transfer {} after attempt {attempt} at {checkpoint} ms",
            spec.id
        ),
        JobCall::LateResult { job, attempt, .. } => {
            format!("late result of attempt {attempt} of {job}")
        }
        JobCall::Explain(subject) => format!("explain {subject:?}"),
    }
}

fn describe_job_reply(history: &mut History, message: &Message, reply: &JobReply) -> Description {
    match reply {
        JobReply::Status(status) => {
            let text = status_text(status);
            let subject = format!("job {}", status.id);
            let asked = history.kind(message.rpc).is_none();
            if history.has_changed(subject, &text) || asked {
                return Description::Listed(text);
            }
            Description::Counted("questions about jobs")
        }
        JobReply::Result {
            job,
            attempt,
            result,
        } => Description::Listed(format!("result of {job}#{attempt}: {result}")),
        JobReply::Redirect(cell) => Description::Listed(format!("ask {cell}")),
        JobReply::Refused(reason) => Description::Listed(format!("refused: {reason}")),
        JobReply::Unknown => Description::Listed("outcome unknown".to_owned()),
        JobReply::List(_) | JobReply::Explained(_) => Description::Omitted,
    }
}

fn status_text(status: &JobStatus) -> String {
    let mut text = format!("{} {:?}", status.id, status.phase);
    if let Some(worker) = &status.worker {
        text += &format!(" on {worker}, attempt {}", status.attempt);
    }
    if let Some(last) = status.history.last() {
        text += &format!(" ({})", last.reason);
    }
    text
}
