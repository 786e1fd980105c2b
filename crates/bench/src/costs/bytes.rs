//! Sizes of messages and records in bytes.

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

use super::fixtures::{CellFixture, Sizes, TICKS_PER_SECOND};
use super::routes::announcement;
use crate::reports::{Report, Series};

/// Length prefix of an RPC frame.
const FRAME_PREFIX_BYTES: f64 = 4.0;

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Returns the length of a value in JSON, in bytes.
pub(super) fn json_len<T: Serialize>(value: &T) -> f64 {
    to_f64(serde_json::to_vec(value).map_or(0, |text| text.len()))
}

/// Returns the length of a value in bincode, the encoding of RPC messages, in bytes.
pub(super) fn bincode_len<T: Serialize + for<'a> Deserialize<'a>>(value: &T) -> f64 {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(value);
    to_f64(bytes.map_or(0, |bytes| bytes.len()))
}

fn request_len(message: EntryRpcRequest) -> f64 {
    let message = ClientMessage::Request(Request {
        context: context::current(),
        id: 1,
        message,
    });
    bincode_len(&message) + FRAME_PREFIX_BYTES
}

fn response_len(message: EntryRpcResponse) -> f64 {
    let response = Response {
        request_id: 1,
        message: Ok(message),
    };
    bincode_len(&response) + FRAME_PREFIX_BYTES
}

pub(super) async fn measure(report: &mut Report) -> Result<()> {
    measure_polls(report);
    measure_records(report);
    measure_rpc(report);
    measure_http(report).await
}

/// Measures polls and their replies by the number of orders, events and measurements in them.
fn measure_polls(report: &mut Report) {
    let mut fixture = CellFixture::new(Sizes {
        workers: 4,
        tasks: 64,
        pending_jobs: 0,
        has_usage: false,
    });
    fixture.is_recording = true;
    for n in 0..20 * TICKS_PER_SECOND {
        if n % TICKS_PER_SECOND < 6 {
            fixture.submit(n, Millis(800));
        }
        fixture.tick();
    }
    let orders = fixture.polls.iter();
    let orders = orders.map(|(request, _)| (to_f64(request.orders.len()), json_len(request)));
    report.add_series(Series::new(
        "poll in JSON",
        "start orders",
        "bytes",
        mean_by_size(orders),
    ));
    let events = fixture
        .polls
        .iter()
        .filter(|(_, reply)| reply.inventory.is_none());
    let events = events.map(|(_, reply)| (to_f64(reply.events.len()), json_len(reply)));
    report.add_series(Series::new(
        "answer to a poll in JSON",
        "events",
        "bytes",
        mean_by_size(events),
    ));
    let usage = [4, 16, 64, 256].map(usage_reply_len);
    let name = "answer to a poll in JSON with measurements";
    report.add_series(Series::new(name, "measurements", "bytes", usage.to_vec()));
}

fn usage_reply_len(tasks: usize) -> (f64, f64) {
    let mut fixture = CellFixture::new(Sizes {
        workers: 1,
        tasks,
        pending_jobs: 0,
        has_usage: true,
    });
    fixture.is_recording = true;
    for _ in 0..TICKS_PER_SECOND + 1 {
        fixture.tick();
    }
    let replies = fixture
        .polls
        .iter()
        .filter(|(_, reply)| reply.inventory.is_none());
    let first_len = replies.map(|(_, reply)| json_len(reply)).next();
    (to_f64(tasks), first_len.unwrap_or(0.0))
}

/// Replaces the points of each size by their mean.
fn mean_by_size(points: impl Iterator<Item = (f64, f64)>) -> Vec<(f64, f64)> {
    let mut points: Vec<_> = points.collect();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = points.chunk_by(|a, b| (a.0 - b.0).abs() < 0.5);
    groups
        .map(|group| {
            let sum: f64 = group.iter().map(|p| p.1).sum();
            (group[0].0, sum / to_f64(group.len()))
        })
        .collect()
}

/// Measures the records that are written for jobs from submission to finish.
fn measure_records(report: &mut Report) {
    let mut fixture = CellFixture::new(Sizes {
        workers: 4,
        tasks: 64,
        pending_jobs: 0,
        has_usage: false,
    });
    fixture.is_recording = true;
    for n in 0..20 * TICKS_PER_SECOND {
        if n % TICKS_PER_SECOND < n / TICKS_PER_SECOND {
            fixture.submit(n, Millis(800));
        }
        fixture.tick();
    }
    let mean = |report: &mut Report, name: &str, matches_kind: fn(&CellRecord) -> bool| {
        let lengths: Vec<f64> = fixture
            .records
            .iter()
            .filter(|record| matches_kind(&record.body))
            .map(json_len)
            .collect();
        let count = to_f64(lengths.len()).max(1.0);
        report.add_figure(name, "bytes", lengths.iter().sum::<f64>() / count);
    };
    mean(report, "record Accepted in JSON", |b| {
        matches!(b, CellRecord::Accepted { .. })
    });
    mean(report, "record Finished in JSON", |b| {
        matches!(b, CellRecord::Finished { .. })
    });
    let intents = fixture
        .records
        .iter()
        .filter_map(|record| match &record.body {
            CellRecord::Intents(list) => Some((to_f64(list.len()), json_len(record))),
            _ => None,
        });
    report.add_series(Series::new(
        "record Intents in JSON",
        "intents",
        "bytes",
        mean_by_size(intents),
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

fn heartbeat(cells: u16) -> Heartbeat {
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

fn measure_rpc(report: &mut Report) {
    let heartbeats = [0_u16, 1, 4, 16].map(|cells| {
        let sent = request_len(EntryRpcRequest::Heartbeat {
            heartbeat: heartbeat(cells),
        });
        (f64::from(cells), sent)
    });
    report.add_series(Series::new(
        "beat as sent",
        "cells owned",
        "bytes",
        heartbeats.to_vec(),
    ));
    let reply = response_len(EntryRpcResponse::Heartbeat(heartbeat(1)));
    report.add_figure("answer to a beat, one cell", "bytes", reply);
    let sent: Announcement = announcement(7, 1_000);
    let announce = request_len(EntryRpcRequest::Announce { announcement: sent });
    report.add_figure("announcement as sent", "bytes", announce);
    let reply = response_len(EntryRpcResponse::Announce(AnnounceReply {
        view: None,
        applied: Offset(100),
        confirmation_age: Some(Millis(250)),
        can_serve: true,
    }));
    report.add_figure("answer to an announcement", "bytes", reply);
}

/// Measures polls over loopback connections, with HTTP headers.
async fn measure_http(report: &mut Report) -> Result<()> {
    let worker = WorkerServer::start(WorkerOptions::new(
        WorkerName::new("bergen-a-w1")?,
        RackName::new("bergen-a-r1")?,
        Resources::new(16_000, 60_000, 0),
    ))
    .await?;
    let counter = ByteCounter::start(worker.address()).await?;
    let client = reqwest::Client::new();
    let url = format!("http://{}/v1/poll", counter.address);
    let mut points = Vec::new();
    let (mut request_body, mut reply_body) = (0.0, 0.0);
    let mut last_timestamp = None;
    for n in 1..=20_u32 {
        let request = PollRequest {
            term: Term(4_711),
            owner: EntryName::new("entry-a")?,
            timestamp: last_timestamp,
            renewal: hyssop_core::Renewal::All,
            wants_inventory: false,
            acked_seq: 0,
            orders: Vec::new(),
        };
        let reply = client.post(&url).json(&request).send().await?;
        let text = reply.bytes().await?;
        let reply: PollReply = serde_json::from_slice(&text)?;
        last_timestamp = Some(reply.timestamp);
        request_body = json_len(&request);
        reply_body = to_f64(text.len());
        points.push((f64::from(n), counter.total_bytes()));
    }
    report.add_figure("poll without news, body in JSON", "bytes", request_body);
    report.add_figure("answer without news, body in JSON", "bytes", reply_body);
    // The first polls include the set-up of the connection.
    let steady_points = points.split_off(2);
    let steady_points = steady_points.into_iter().step_by(4).collect();
    let name = "polls without news and their answers, with HTTP headers";
    report.add_series(Series::new(name, "polls", "bytes", steady_points));
    worker.stop().await;
    Ok(())
}

/// A TCP proxy that counts the bytes of both directions.
struct ByteCounter {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl ByteCounter {
    async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let shared_bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(forward_connection(
                    inbound,
                    target,
                    Arc::clone(&shared_bytes),
                ));
            }
        });
        Ok(Self { address, bytes })
    }

    fn total_bytes(&self) -> f64 {
        let total = self.bytes.load(Ordering::Relaxed);
        f64::from(u32::try_from(total).unwrap_or(u32::MAX))
    }
}

async fn forward_connection(
    inbound: TcpStream,
    target: SocketAddr,
    bytes: Arc<AtomicU64>,
) -> io::Result<()> {
    let outbound = TcpStream::connect(target).await?;
    let (in_read, in_write) = inbound.into_split();
    let (out_read, out_write) = outbound.into_split();
    tokio::try_join!(
        copy_counted(in_read, out_write, &bytes),
        copy_counted(out_read, in_write, &bytes)
    )?;
    Ok(())
}

async fn copy_counted(
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
