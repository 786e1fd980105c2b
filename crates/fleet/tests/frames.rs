//! Orders for one worker that do not fit into a single message.

use std::pin::pin;

use hyssop_core::limits::MAX_FRAME_BYTES;
use hyssop_fleet::{NumberedOrder, OrderQueue, ReportReply};
use hyssop_jobs::{JobId, Order, RunId, Start, TaskId};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

/// Space in a frame for the header of a reply.
const HEADER_BYTES: usize = 1_024;

/// Returns the start of a run with the longest encoding of each number.
fn start(run: u64, payload: usize, checkpoint: usize) -> Order {
    let text = |bytes| "x".repeat(bytes).into();
    Order::Start(Start {
        run: RunId {
            task: TaskId {
                job: JobId(u64::MAX),
                occurrence: u32::MAX,
                step: u16::MAX,
                index: u16::MAX,
            },
            run: u64::MAX - run,
        },
        payload: text(payload),
        checkpoint: (checkpoint > 0).then(|| text(checkpoint)),
        ticket: Some(text(300)),
    })
}

/// Takes all orders of a queue as an agent does that acknowledges each batch, and checks that each
/// reply fits into a frame.
fn deliver(queue: &mut OrderQueue) -> Vec<NumberedOrder> {
    let mut delivered: Vec<NumberedOrder> = Vec::new();
    while !queue.is_empty() {
        let reply = ReportReply {
            is_owner: true,
            epoch: u64::MAX,
            session: Some(u64::MAX),
            is_lease_renewed: true,
            orders: queue.next_batch(),
            acknowledged_end: u64::MAX,
        };
        let codec = pin!(Bincode::<ReportReply, ReportReply>::default());
        let bytes = codec.serialize(&reply).unwrap().len();
        assert!(bytes + HEADER_BYTES <= MAX_FRAME_BYTES, "{bytes} bytes");
        assert!(!reply.orders.is_empty(), "no order in a reply");
        delivered.extend(reply.orders);
        queue.acknowledge(delivered.len() as u64);
    }
    delivered
}

/// Guards against a worker that gets no work any more: its outstanding orders exceed the frame limit,
/// so that each reply breaks the connection.
#[test]
fn orders_above_the_frame_limit_are_delivered_in_turn() {
    let mut queue = OrderQueue::default();
    for run in 0..3_000 {
        queue.push(start(run, 4_000, 0)).unwrap();
    }
    let delivered = deliver(&mut queue);
    let numbers = delivered.iter().map(|order| order.number);
    assert!(numbers.eq(1..=3_000), "order of the numbers");
    let orders = delivered.into_iter().map(|order| order.order);
    assert!(orders.eq((0..3_000).map(|run| start(run, 4_000, 0))));
}

/// Guards against a batch that exceeds the frame limit by the numbers of many orders without long
/// texts, or by orders that nearly fill a frame each.
#[test]
fn small_and_large_orders_keep_to_the_frame_limit() {
    let mut queue = OrderQueue::default();
    for run in 0..20_000 {
        queue.push(start(run, 0, 0)).unwrap();
        if run % 5_000 == 0 {
            queue.push(start(run, 100, 7_500_000)).unwrap();
        }
    }
    assert_eq!(deliver(&mut queue).len(), 20_004);
}

/// Guards against an order that no frame can hold and that holds up all orders after it.
#[test]
fn order_above_the_frame_limit_is_refused() {
    let mut queue = OrderQueue::default();
    queue.push(start(1, 10, 0)).unwrap();
    let large = start(2, 10, MAX_FRAME_BYTES);
    assert_eq!(queue.push(large.clone()), Err(Box::new(large)));
    queue.push(start(3, 10, 0)).unwrap();
    let delivered = deliver(&mut queue);
    let numbers: Vec<u64> = delivered.iter().map(|order| order.number).collect();
    assert_eq!(numbers, [1, 2]);
}

/// Guards against orders that are skipped because an acknowledgement is repeated or of an earlier
/// reply.
#[test]
fn earlier_acknowledgement_changes_nothing() {
    let mut queue = OrderQueue::default();
    for run in 0..3 {
        queue.push(start(run, 10, 0)).unwrap();
    }
    queue.acknowledge(2);
    queue.acknowledge(1);
    queue.acknowledge(2);
    let left = queue.next_batch();
    assert_eq!(
        left.iter().map(|order| order.number).collect::<Vec<_>>(),
        [3]
    );
}
