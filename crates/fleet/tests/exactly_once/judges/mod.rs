//! Judge of a run: follows the true events of the workers and finds broken promises.

mod rules;

use std::collections::{BTreeMap, BTreeSet};

use hyssop_jobs::{EndKind, JobId, JobSpec, RunId, TaskId, WorkerInfo};

/// Time before the first event of a finding from which its trace begins.
const TRACE_BEFORE_MS: u64 = 6_000;
/// Largest number of lines of a trace.
const MAX_TRACE_LINES: usize = 90;

/// Largest number of findings of one run.
const MAX_FINDINGS: usize = 60;

/// What a line of the trace is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    Worker(usize, Option<TaskId>),
    Host(usize),
    Owner,
    All,
}

#[derive(Debug)]
struct Note {
    at: u64,
    scope: Scope,
    text: String,
}

/// How the call that started a run was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: u64,
    /// Whether it was meant for another incarnation than the one that has executed it.
    pub(crate) is_to_other: bool,
    pub(crate) session: u64,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    at: u64,
    worker: usize,
    run: RunId,
    sent: Sent,
}

/// End of a run as done or failed.
#[derive(Clone, Copy, Debug)]
struct End {
    kind: EndKind,
    at: u64,
    worker: usize,
    run: RunId,
    acknowledged_at: Option<u64>,
    /// Whether the worker's lease has ended between the end and its acknowledgement.
    has_lapsed: bool,
    /// Whether the row of the end cannot be read in any list of the worker.
    is_unreadable: bool,
}

#[derive(Debug)]
struct Worker {
    host: usize,
    id: String,
    label: String,
}

/// Broken promise.
#[derive(Clone, Debug)]
pub(crate) struct Finding {
    pub(crate) kind: String,
    pub(crate) at: u64,
    pub(crate) trace: String,
}

/// Judge of one run of the model.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    notes: Vec<Note>,
    workers: Vec<Worker>,
    running: BTreeMap<TaskId, Vec<Started>>,
    starts: BTreeMap<TaskId, Vec<Started>>,
    /// Ends as done or failed.
    ends: Vec<End>,
    /// Indices of ends in `ends` that are not acknowledged, by worker and number.
    unacknowledged: BTreeMap<(usize, u64), usize>,
    findings: Vec<Finding>,
    /// Workers for which owners have opened sessions.
    sessions: BTreeMap<u64, String>,
    /// Number of starts, to show that a run did work.
    pub(crate) start_count: usize,
    /// Number of jobs that were reported complete.
    pub(crate) complete_count: usize,
    /// Number of ends as done that were acknowledged while another run of their task was under way.
    pub(crate) repeated_count: usize,
    /// Number of runs that were stopped.
    pub(crate) stopped_count: usize,
    /// Runs that started although their task was over, by calls that were sent before.
    late_starts: BTreeSet<(usize, RunId)>,
    complete: Vec<(u64, TaskId)>,
    /// Number of jobs that were reported failed.
    pub(crate) failed_count: usize,
    /// Whether the process of a worker has ended.
    has_crashed: bool,
    /// Number of failed runs of one task that the queue of each job allows.
    attempts: BTreeMap<JobId, u32>,
}

impl Judge {
    pub(crate) fn add_worker(&mut self, now: u64, index: usize, host: usize, info: &WorkerInfo) {
        let id = info.id.to_string();
        let label = format!("{id}@{}", info.incarnation);
        self.workers.push(Worker { host, id, label });
        self.note(now, index, None, "process starts".to_owned());
    }

    pub(crate) fn add_job(&mut self, job: JobId, attempts: u32) {
        self.attempts.insert(job, attempts);
    }

    /// Records for which worker an owner has opened a session.
    pub(crate) fn open_session(&mut self, session: u64, info: &WorkerInfo) {
        let label = format!("{}@{}", info.id, info.incarnation);
        self.sessions.insert(session, label);
    }

    /// Returns whether a worker runs a task in a session that was opened for another one.
    fn is_in_other_session(&self, started: &Started) -> bool {
        let label = self.sessions.get(&started.sent.session);
        label.is_some_and(|label| *label != self.workers[started.worker].label)
    }

    pub(crate) fn note(&mut self, at: u64, worker: usize, task: Option<TaskId>, text: String) {
        let scope = Scope::Worker(worker, task);
        self.notes.push(Note { at, scope, text });
    }

    pub(crate) fn note_host(&mut self, at: u64, host: usize, text: &str) {
        let text = text.to_owned();
        let scope = Scope::Host(host);
        self.notes.push(Note { at, scope, text });
    }

    pub(crate) fn note_all(&mut self, at: u64, text: &str) {
        let text = text.to_owned();
        let scope = Scope::All;
        self.notes.push(Note { at, scope, text });
    }

    pub(crate) fn log_owner(&mut self, at: u64, epoch: u64, text: &str) {
        let text = format!("owner {epoch}: {text}");
        let scope = Scope::Owner;
        self.notes.push(Note { at, scope, text });
    }

    pub(crate) fn start(&mut self, now: u64, worker: usize, run: RunId, sent: Sent) {
        self.start_count += 1;
        let started = Started {
            at: now,
            worker,
            run,
            sent,
        };
        let session = sent.session;
        let opened_for = self.sessions.get(&session).map_or("none", String::as_str);
        let text = format!(
            "STARTS {run} (call of {}, session {session} opened for {opened_for})",
            sent.at
        );
        self.note(now, worker, Some(run.task), text);
        let others = self.running.entry(run.task).or_default();
        let first = others.first().copied();
        others.push(started);
        self.starts.entry(run.task).or_default().push(started);
        if let Some(first) = first.filter(|_| self.findings.len() < MAX_FINDINGS) {
            let how = self.describe_cause(&first, &started);
            self.report(now, format!("overlap: {how}"), run.task, first.at);
        }
    }

    pub(crate) fn end(
        &mut self,
        now: u64,
        worker: usize,
        run: RunId,
        kind: EndKind,
        number: u64,
        is_hidden: bool,
    ) {
        let hidden = if is_hidden { ", never listed" } else { "" };
        let text = format!("ENDS {run} {kind:?} number={number}{hidden}");
        self.note(now, worker, Some(run.task), text);
        self.forget(worker, run);
        self.stopped_count += usize::from(kind == EndKind::Stopped);
        if matches!(kind, EndKind::Done | EndKind::Failed) {
            self.unacknowledged
                .insert((worker, number), self.ends.len());
            self.ends.push(End {
                kind,
                at: now,
                worker,
                run,
                acknowledged_at: None,
                has_lapsed: false,
                is_unreadable: false,
            });
            if is_hidden {
                self.acknowledge(now, worker, number);
            }
        }
    }

    /// Records that the row of an end cannot be read in any list of its worker.
    pub(crate) fn hide_row(&mut self, now: u64, worker: usize, run: RunId, number: u64) {
        let text = format!("row of the end of {run} cannot be read");
        self.note(now, worker, Some(run.task), text);
        if let Some(&index) = self.unacknowledged.get(&(worker, number)) {
            self.ends[index].is_unreadable = true;
        }
    }

    fn forget(&mut self, worker: usize, run: RunId) {
        if let Some(running) = self.running.get_mut(&run.task) {
            running.retain(|started| started.worker != worker || started.run != run);
        }
    }

    pub(crate) fn acknowledge(&mut self, now: u64, worker: usize, number: u64) {
        let range = (worker, 0)..=(worker, number);
        let keys: Vec<(usize, u64)> = self.unacknowledged.range(range).map(|(&k, _)| k).collect();
        for key in keys {
            if let Some(index) = self.unacknowledged.remove(&key) {
                let end = &mut self.ends[index];
                end.acknowledged_at = Some(now);
                let (run, kind) = (end.run, end.kind);
                let others = self.running.get(&run.task);
                let is_repeated =
                    kind == EndKind::Done && others.is_some_and(|others| !others.is_empty());
                self.repeated_count += usize::from(is_repeated);
                let text = format!("end of {run} is acknowledged up to {number}");
                self.note(now, worker, Some(run.task), text);
            }
        }
    }

    pub(crate) fn lapse(&mut self, now: u64, worker: usize) {
        self.note(now, worker, None, "lease ends".to_owned());
        let range = (worker, 0)..=(worker, u64::MAX);
        for &index in self.unacknowledged.range(range).map(|(_, index)| index) {
            self.ends[index].has_lapsed = true;
        }
    }

    pub(crate) fn crash(&mut self, now: u64, worker: usize, is_silent: bool) {
        self.has_crashed = true;
        let how = if is_silent { "silent" } else { "seen" };
        self.note(now, worker, None, format!("process ends ({how})"));
        for running in self.running.values_mut() {
            running.retain(|started| started.worker != worker);
        }
        // Ends that were not acknowledged are gone.
        self.unacknowledged.retain(|&(of, _), _| of != worker);
    }

    pub(crate) fn complete(&mut self, now: u64, job: JobId, spec: &JobSpec) {
        self.complete_count += 1;
        let tasks = rules::tasks(job, spec);
        self.complete.extend(tasks.map(|task| (now, task)));
    }

    /// Describes why the second run was started: the last decisions about the first one.
    fn describe_cause(&self, first: &Started, second: &Started) -> String {
        let worker = &self.workers[first.worker];
        let run = first.run.to_string();
        let until = second.at;
        let is_cause = |note: &&Note| {
            let is_owner = note.scope == Scope::Owner
                && (note.text.contains(&run)
                    || note.text.contains(&format!("worker {} ", worker.id))
                        && ["lost", "restarted", "complete report"]
                            .iter()
                            .any(|word| note.text.contains(word)));
            let is_agent = note.scope == Scope::Host(worker.host) && note.text.contains("is lost");
            note.at >= first.at && note.at <= until && (is_owner || is_agent)
        };
        let notes: Vec<&Note> = self.notes.iter().filter(is_cause).collect();
        let skip = notes.len().saturating_sub(2);
        let mut causes: Vec<String> = notes[skip..]
            .iter()
            .map(|note| plain(&note.text, &worker.id))
            .collect();
        causes.dedup();
        let flag = |started: &Started| {
            let is_late = started.at > started.sent.at + 1_000;
            match (started.sent.is_to_other, is_late) {
                (true, false) => " by a new incarnation",
                (true, true) => " by a new incarnation from a late call",
                (false, true) => " from a late call",
                (false, false) if self.is_in_other_session(started) => {
                    " in a session of another worker"
                }
                (false, false) => "",
            }
        };
        format!(
            "first run executed{}, second{}; {}",
            flag(first),
            flag(second),
            causes.join("; ")
        )
    }

    fn report(&mut self, at: u64, kind: String, task: TaskId, first_at: u64) {
        if self.findings.len() >= MAX_FINDINGS {
            return;
        }
        let trace = self.trace(task, first_at.saturating_sub(TRACE_BEFORE_MS), at);
        let trace = format!("{task} at {at}: {kind}{trace}");
        self.findings.push(Finding { kind, at, trace });
    }

    fn trace(&self, task: TaskId, from: u64, until: u64) -> String {
        let starts = self.starts.get(&task).into_iter().flatten();
        let involved: Vec<usize> = starts.map(|started| started.worker).collect();
        let hosts: Vec<usize> = involved.iter().map(|&w| self.workers[w].host).collect();
        let text = task.to_string();
        let is_shown = |note: &&Note| {
            let is_about = match note.scope {
                Scope::Worker(worker, about) => {
                    hosts.contains(&self.workers[worker].host)
                        && about.is_none_or(|about| about == task)
                }
                Scope::Host(host) => hosts.contains(&host),
                Scope::Owner => {
                    note.text.contains(&text)
                        || hosts
                            .iter()
                            .any(|host| note.text.contains(&format!(" worker i-{host}-")))
                }
                Scope::All => true,
            };
            note.at >= from && note.at <= until && is_about
        };
        let lines: Vec<String> = self
            .notes
            .iter()
            .filter(is_shown)
            .map(|n| self.line(n))
            .collect();
        let skip = lines.len().saturating_sub(MAX_TRACE_LINES);
        lines[skip..].concat()
    }

    fn line(&self, note: &Note) -> String {
        let who = match note.scope {
            Scope::Worker(worker, _) => format!("worker {}", self.workers[worker].label),
            Scope::Host(host) => format!("host {host}"),
            Scope::Owner | Scope::All => String::new(),
        };
        format!("\n    {} {who} {}", note.at, note.text)
    }
}

/// Replaces identifiers and numbers, so that findings of the same kind have the same text.
fn plain(text: &str, worker: &str) -> String {
    let text = text.replace(worker, "W");
    let words = text.split(' ').map(|word| {
        let is_name = word.chars().any(|c| c.is_ascii_digit());
        if is_name { "_" } else { word }
    });
    words.collect::<Vec<_>>().join(" ")
}
