//! Texts of messages.

use hyssop_core::{
    AnnounceReply, Announcement, Call, CellId, CellState, ConfView, Heartbeat, JobCall, JobReply,
    JobStatus, Outcome, PollReply, PollRequest, Renewal,
};

use super::histories::{Memory, key, life};
use super::records;
use crate::world::{Asked, Body, Message, Node, highest};

/// What a message says.
pub(super) enum Said {
    /// Something that is listed.
    News(String),
    /// Nothing new, by kind.
    Idle(&'static str),
    /// What another line shows.
    Nothing,
}

/// Returns what a message says.
pub(super) fn describe(memory: &mut Memory, message: &Message) -> Said {
    let said = match &message.body {
        Body::Append(stream, texts) => Said::News(records::append(memory, stream, texts)),
        Body::Read(..) | Body::Records(_) => Said::Idle("reads of the log"),
        Body::Appended(_) => Said::Nothing,
        Body::Poll(cell, request) => poll(memory, message, cell, request),
        Body::Polled(Ok(reply)) => polled(memory, reply),
        Body::Polled(Err(fenced)) => Said::News(format!("fenced: term {} is known", fenced.term)),
        Body::Beat(beat) | Body::Beaten(beat) => beaten(memory, message, beat),
        Body::Announce(announcement) => announce(memory, message.to, announcement),
        Body::Announced(reply) => announced(memory, message, reply),
        Body::Call(call) => Said::News(format!("call {}", asked(&asked_of(call)))),
        Body::Called(reply) => Said::News(outcome(&reply.outcome)),
        Body::Tickets(call) => Said::News(format!("issue {} ticket", call.count)),
        Body::Issued(Some(tickets)) => {
            let keys: Vec<String> = tickets.iter().copied().map(key).collect();
            Said::News(format!("issued {}", keys.join(", ")))
        }
        Body::Issued(None) | Body::GiveTicket(None) => Said::News("no ticket".to_owned()),
        Body::Job(_, JobCall::Show(_)) => Said::Idle("questions about jobs"),
        Body::Job(cell, call) => Said::News(format!("{cell}: {}", job(call))),
        Body::JobDone(reply) => job_done(memory, message, reply),
        Body::Ask(request) => Said::News(asked(request)),
        Body::Answer(result) => Said::News(outcome(result)),
        Body::AskTicket => Said::News("ticket?".to_owned()),
        Body::GiveTicket(Some(ticket)) => Said::News(format!("ticket {}", key(*ticket))),
        Body::Refused => refused(memory, message),
    };
    if message.body.is_answer() && !matches!(message.body, Body::Refused) {
        memory.forget(&refusal_of(message));
    }
    if let Said::Idle(kind) = said
        && !message.body.is_answer()
    {
        memory.note_kind(message.rpc, kind);
    }
    said
}

fn refusal_of(message: &Message) -> String {
    format!("refusal {:?} {:?}", message.from, message.to)
}

/// The first refusal is news, and those of exchanges that are always listed.
fn refused(memory: &mut Memory, message: &Message) -> Said {
    let first = memory.is_news(refusal_of(message), "refused");
    match memory.kind(message.rpc) {
        Some(kind) if !first => Said::Idle(kind),
        _ => Said::News("refused".to_owned()),
    }
}

/// Returns the number of the request that a call carries.
pub(super) fn request_of(call: &Call) -> u64 {
    let text = std::str::from_utf8(&call.body).unwrap_or_default();
    text.parse().unwrap_or_default()
}

fn asked_of(call: &Call) -> Asked {
    Asked {
        request: request_of(call),
        ticket: call.ticket,
        idempotent: call.is_idempotent,
    }
}

fn asked(asked: &Asked) -> String {
    match asked.ticket {
        Some(ticket) => format!("R{} with key {}", asked.request, key(ticket)),
        None => format!("R{}", asked.request),
    }
}

fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Complete(whole) => format!("{} {}", whole.status, text_of(&whole.body)),
        Outcome::NotRun(why) => format!("not run: {why}"),
        Outcome::Unknown(why) => format!("outcome unknown: {why}"),
    }
}

fn text_of(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.replace("answer to ", "answer to R")
}

/// A poll without orders is news if it differs from the last one of its sender.
fn poll(memory: &mut Memory, message: &Message, cell: &CellId, request: &PollRequest) -> Said {
    memory.note_kind(message.rpc, "polls");
    let mut parts: Vec<String> = request.orders.iter().map(records::order).collect();
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
    let news = request.orders.is_empty() && memory.is_news(subject, &text);
    if parts.is_empty() || request.orders.is_empty() && !news {
        return Said::Idle("polls");
    }
    Said::News(format!("{cell} in term {}: {text}", request.term))
}

fn polled(memory: &mut Memory, reply: &PollReply) -> Said {
    let mut parts: Vec<String> = reply.events.iter().map(records::event).collect();
    if let Some(inventory) = &reply.inventory {
        let runs = inventory.iter();
        let runs: Vec<String> = runs.map(|r| format!("{}#{}", r.job, r.attempt)).collect();
        parts.push(format!(
            "{} runs [{}]",
            life(reply.timestamp.incarnation),
            runs.join(", ")
        ));
    }
    for usage in &reply.usage {
        let text = format!("{} takes {} percent", usage.job, usage.slowdown);
        let standing = usage.job.as_str().starts_with("standing-");
        if standing && memory.is_news(format!("usage {}", usage.job), &text) {
            parts.push(format!("{text}, measured {} ms ago", usage.sample_age));
        }
    }
    for (number, reject) in &reply.rejected {
        parts.push(format!("order {number} refused: {reject:?}"));
    }
    if parts.is_empty() {
        return Said::Idle("polls");
    }
    Said::News(parts.join("; "))
}

fn beaten(memory: &mut Memory, message: &Message, beat: &Heartbeat) -> Said {
    // Claims of others that a heartbeat passes on are shown by their appends.
    let own = |state: &&CellState| state.owner == beat.entry;
    let cells = beat.cells.iter().filter(own);
    let mut cells: Vec<String> = cells
        .map(|c| format!("{} in term {}", c.cell, c.term))
        .collect();
    cells.sort();
    let text = format!("{} owns [{}]", life(beat.incarnation), cells.join(", "));
    if let Some(view) = &beat.view {
        let subject = format!("view {:?} {:?}", message.from, message.to);
        return configuration(memory, subject, "", view);
    }
    if memory.is_news(format!("beat {}", beat.entry), &text) {
        return Said::News(text);
    }
    Said::Idle("heartbeats")
}

/// A copy of the configuration, news if its contents were not sent to the receiver before.
fn configuration(memory: &mut Memory, subject: String, serving: &str, view: &ConfView) -> Said {
    let text = format!("configuration version {}", highest(view));
    if memory.is_news(subject, &text) || !serving.is_empty() {
        return Said::News(format!("{serving}{text}"));
    }
    Said::Idle("copies of the same configuration")
}

fn announce(memory: &mut Memory, to: Node, announcement: &Announcement) -> Said {
    let Announcement {
        agent,
        incarnation,
        state,
        service,
        domain,
        ..
    } = announcement;
    let life = life(*incarnation);
    let text = format!("{life} serves {service} in {domain}, {state:?}");
    if memory.is_news(format!("announce {agent} {to:?}"), &text) {
        return Said::News(text);
    }
    Said::Idle("announcements")
}

fn announced(memory: &mut Memory, message: &Message, reply: &AnnounceReply) -> Said {
    let serving = if reply.can_serve {
        "serving"
    } else {
        "not serving"
    };
    let subject = format!("announced {:?} {:?}", message.from, message.to);
    let changed = memory.is_news(subject, serving);
    let subject = format!("view {:?} {:?}", message.from, message.to);
    match &reply.view {
        Some(view) if !changed => configuration(memory, subject, "", view),
        Some(view) => configuration(memory, subject, &format!("{serving}, "), view),
        None if changed => Said::News(serving.to_owned()),
        None => Said::Idle("announcements"),
    }
}

fn job(call: &JobCall) -> String {
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
        } => format!(
            "transfer {} after attempt {attempt} at {checkpoint} ms",
            spec.id
        ),
        JobCall::Explain(subject) => format!("explain {subject:?}"),
    }
}

fn job_done(memory: &mut Memory, message: &Message, reply: &JobReply) -> Said {
    match reply {
        JobReply::Status(status) => {
            let text = phase(status);
            let subject = format!("job {}", status.id);
            let asked = memory.kind(message.rpc).is_none();
            if memory.is_news(subject, &text) || asked {
                return Said::News(text);
            }
            Said::Idle("questions about jobs")
        }
        JobReply::Result {
            job,
            attempt,
            result,
        } => Said::News(format!("result of {job}#{attempt}: {result}")),
        JobReply::Redirect(cell) => Said::News(format!("ask {cell}")),
        JobReply::Refused(why) => Said::News(format!("refused: {why}")),
        JobReply::Unknown => Said::News("outcome unknown".to_owned()),
        JobReply::List(_) | JobReply::Explained(_) => Said::Nothing,
    }
}

fn phase(status: &JobStatus) -> String {
    let mut text = format!("{} {:?}", status.id, status.phase);
    if let Some(worker) = &status.worker {
        text += &format!(" on {worker}, attempt {}", status.attempt);
    }
    if let Some(last) = status.history.last() {
        text += &format!(" ({})", last.reason);
    }
    text
}
