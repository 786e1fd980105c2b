//! Sizes of messages and records.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use eyre::Result;
use hyssop_core::{
    AnnounceReply, Announcement, CellId, CellRecord, CellState, CellSummary, DomainName, EntryName,
    EntryRpcRequest, EntryRpcResponse, Evictions, Heartbeat, Incarnation, Millis, Offset,
    PollReply, PollRequest, RackName, Resources, Term, WorkerName,
};
use hyssop_standins::{WorkerOptions, WorkerServer};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Request, Response, context};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fixtures::{Sizes, Stage, TICKS};
use super::routes::announcement;
use crate::reports::{Report, Series};

/// Length prefix of a frame between the system's own processes.
const PREFIX: f64 = 4.0;

fn float(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Returns the length of a value in JSON.
pub(super) fn json_len<T: Serialize>(value: &T) -> f64 {
    float(serde_json::to_vec(value).map_or(0, |text| text.len()))
}

/// Returns the length of a value in the encoding between the system's own processes.
pub(super) fn bincode_len<T: Serialize + for<'a> Deserialize<'a>>(value: &T) -> f64 {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(value);
    float(bytes.map_or(0, |bytes| bytes.len()))
}

fn request_len(message: EntryRpcRequest) -> f64 {
    let message = ClientMessage::Request(Request {
        context: context::current(),
        id: 1,
        message,
    });
    bincode_len(&message) + PREFIX
}

fn response_len(message: EntryRpcResponse) -> f64 {
    let response = Response {
        request_id: 1,
        message: Ok(message),
    };
    bincode_len(&response) + PREFIX
}

pub(super) async fn measure(report: &mut Report) -> Result<()> {
    polls(report);
    records(report);
    rpc(report);
    headers(report).await
}

/// Polls and answers by the number of orders, events and measurements in them.
fn polls(report: &mut Report) {
    let mut stage = Stage::new(Sizes {
        workers: 4,
        tasks: 64,
        pending: 0,
        usage: false,
    });
    stage.keep = true;
    for n in 0..20 * TICKS {
        if n % TICKS < 6 {
            stage.submit(n, Millis(800));
        }
        stage.tick();
    }
    let orders = stage.polls.iter();
    let orders = orders.map(|(q, _)| (float(q.orders.len()), json_len(q)));
    report.add(Series::new(
        "poll in JSON",
        "start orders",
        "bytes",
        distinct(orders),
    ));
    let events = stage.polls.iter().filter(|(_, a)| a.inventory.is_none());
    let events = events.map(|(_, a)| (float(a.events.len()), json_len(a)));
    report.add(Series::new(
        "answer to a poll in JSON",
        "events",
        "bytes",
        distinct(events),
    ));
    let usage = [4, 16, 64, 256].map(usage_len);
    let name = "answer to a poll in JSON with measurements";
    report.add(Series::new(name, "measurements", "bytes", usage.to_vec()));
}

fn usage_len(tasks: usize) -> (f64, f64) {
    let mut stage = Stage::new(Sizes {
        workers: 1,
        tasks,
        pending: 0,
        usage: true,
    });
    stage.keep = true;
    for _ in 0..TICKS + 1 {
        stage.tick();
    }
    let answers = stage.polls.iter().filter(|(_, a)| a.inventory.is_none());
    let answer = answers.map(|(_, a)| json_len(a)).next();
    (float(tasks), answer.unwrap_or(0.0))
}

/// Keeps the mean of each size.
fn distinct(points: impl Iterator<Item = (f64, f64)>) -> Vec<(f64, f64)> {
    let mut points: Vec<_> = points.collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = points.chunk_by(|a, b| (a.0 - b.0).abs() < 0.5);
    groups
        .map(|group| {
            let sum: f64 = group.iter().map(|p| p.1).sum();
            (group[0].0, sum / float(group.len()))
        })
        .collect()
}

/// Records of a job that is submitted, runs and ends.
fn records(report: &mut Report) {
    let mut stage = Stage::new(Sizes {
        workers: 4,
        tasks: 64,
        pending: 0,
        usage: false,
    });
    stage.keep = true;
    for n in 0..20 * TICKS {
        if n % TICKS < n / TICKS {
            stage.submit(n, Millis(800));
        }
        stage.tick();
    }
    let mean = |report: &mut Report, name: &str, pick: fn(&CellRecord) -> bool| {
        let lens: Vec<f64> = stage
            .written
            .iter()
            .filter(|record| pick(&record.body))
            .map(json_len)
            .collect();
        let count = float(lens.len()).max(1.0);
        report.note(name, "bytes", lens.iter().sum::<f64>() / count);
    };
    mean(report, "record Accepted in JSON", |b| {
        matches!(b, CellRecord::Accepted { .. })
    });
    mean(report, "record Finished in JSON", |b| {
        matches!(b, CellRecord::Finished { .. })
    });
    let intents = stage
        .written
        .iter()
        .filter_map(|record| match &record.body {
            CellRecord::Intents(list) => Some((float(list.len()), json_len(record))),
            _ => None,
        });
    report.add(Series::new(
        "record Intents in JSON",
        "intents",
        "bytes",
        distinct(intents),
    ));
}

fn cell_state(n: u16) -> CellState {
    let domain = DomainName::new("bergen-a").expect("a valid name");
    CellState {
        cell: CellId::new(domain, n),
        term: Term(4_711),
        owner: EntryName::new("entry-a").expect("a valid name"),
        incarnation: Incarnation(0x1234_5678_9abc),
        summary: CellSummary {
            capacity: Resources::new(512_000, 1_920_000, 0),
            allocated: Resources::new(376_000, 1_210_000, 0),
            allocated_critical: Resources::new(102_000, 340_000, 0),
            workers: 32,
            running: 251,
            pending: 100,
            unconfirmed: 0,
            finished: 255,
            evictions: Evictions {
                protect: 3,
                preempt: 4,
                drain: 5,
                ..Evictions::default()
            },
        },
    }
}

fn beat(cells: u16) -> Heartbeat {
    Heartbeat {
        entry: EntryName::new("entry-a").expect("a valid name"),
        incarnation: Incarnation(0x1234_5678_9abc),
        applied: Offset(100),
        confirmation_age: Some(Millis(250)),
        uptime: Millis(1_000_000),
        cells: (0..cells).map(cell_state).collect(),
        view: None,
    }
}

fn rpc(report: &mut Report) {
    let beats = [0_u16, 1, 4, 16].map(|cells| {
        let sent = request_len(EntryRpcRequest::Heartbeat {
            heartbeat: beat(cells),
        });
        (f64::from(cells), sent)
    });
    report.add(Series::new(
        "beat as sent",
        "cells owned",
        "bytes",
        beats.to_vec(),
    ));
    let reply = response_len(EntryRpcResponse::Heartbeat(beat(1)));
    report.note("answer to a beat, one cell", "bytes", reply);
    let sent: Announcement = announcement(7, 1_000);
    let announce = request_len(EntryRpcRequest::Announce { announcement: sent });
    report.note("announcement as sent", "bytes", announce);
    let reply = response_len(EntryRpcResponse::Announce(AnnounceReply {
        view: None,
        applied: Offset(100),
        confirmation_age: Some(Millis(250)),
        can_serve: true,
    }));
    report.note("answer to an announcement", "bytes", reply);
}

/// Counts the bytes of polls over real connections, with HTTP headers.
async fn headers(report: &mut Report) -> Result<()> {
    let worker = WorkerServer::start(WorkerOptions::new(
        WorkerName::new("bergen-a-w1")?,
        RackName::new("bergen-a-r1")?,
        Resources::new(16_000, 60_000, 0),
    ))
    .await?;
    let tap = Tap::start(worker.address()).await?;
    let client = reqwest::Client::new();
    let url = format!("http://{}/v1/poll", tap.address);
    let mut points = Vec::new();
    let (mut request_body, mut reply_body) = (0.0, 0.0);
    let mut stamp = None;
    for n in 1..=20_u32 {
        let request = PollRequest {
            term: Term(4_711),
            owner: EntryName::new("entry-a")?,
            timestamp: stamp,
            renewal: hyssop_core::Renewal::All,
            wants_inventory: false,
            acked_seq: 0,
            orders: Vec::new(),
        };
        let reply = client.post(&url).json(&request).send().await?;
        let text = reply.bytes().await?;
        let reply: PollReply = serde_json::from_slice(&text)?;
        stamp = Some(reply.timestamp);
        request_body = json_len(&request);
        reply_body = float(text.len());
        points.push((f64::from(n), tap.total()));
    }
    report.note("poll without news, body in JSON", "bytes", request_body);
    report.note("answer without news, body in JSON", "bytes", reply_body);
    // The first polls pay for the connection.
    let later = points.split_off(2);
    let later = later.into_iter().step_by(4).collect();
    let name = "polls without news and their answers, with HTTP headers";
    report.add(Series::new(name, "polls", "bytes", later));
    worker.stop().await;
    Ok(())
}

/// Forwards connections and counts their bytes.
struct Tap {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Tap {
    async fn start(to: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(forward(inbound, to, Arc::clone(&counter)));
            }
        });
        Ok(Self { address, bytes })
    }

    fn total(&self) -> f64 {
        let total = self.bytes.load(Ordering::Relaxed);
        f64::from(u32::try_from(total).unwrap_or(u32::MAX))
    }
}

async fn forward(inbound: TcpStream, to: SocketAddr, bytes: Arc<AtomicU64>) -> io::Result<()> {
    let outbound = TcpStream::connect(to).await?;
    let (in_read, in_write) = inbound.into_split();
    let (out_read, out_write) = outbound.into_split();
    tokio::try_join!(
        pump(in_read, out_write, &bytes),
        pump(out_read, in_write, &bytes)
    )?;
    Ok(())
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1_024];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        to.write_all(&buffer[..read]).await?;
    }
}
