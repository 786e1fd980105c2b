//! Upper bounds of the encoded sizes of reports and orders.
//!
//! The RPC links encode a number in 9 bytes at most and a text with its length before it; fields have
//! no names. So the size of a row has a bound that is known without encoding it.

use hyssop_core::limits::MAX_FRAME_BYTES;
use hyssop_jobs::{Order, RunEnd, RunStatus};

/// Maximum size of the orders in a reply, of the ends in a report, and of the checkpoints of its runs.
/// It is far below the frame limit, because the lease of the worker is renewed by the same messages,
/// within 1.4 s each: 1 MiB takes 84 ms at 100 Mbit/s, and a full frame 0.7 s.
pub(crate) const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Upper bound of the encoded size of one row without its texts. An order has the most fields:
/// 9 bytes for each of its number, job, occurrence, step, index, run and the lengths of three texts,
/// and one byte for each of its kind and two optional texts.
pub(crate) const ROW_BYTES: usize = 84;
/// Space in a frame for all but the rows: the call's header and the description of the worker.
const ENVELOPE_BYTES: usize = 64 * 1024;
/// Maximum size of an order, which is sent alone if it is larger than [`MAX_BATCH_BYTES`].
pub(crate) const MAX_ORDER_BYTES: usize = MAX_FRAME_BYTES - ENVELOPE_BYTES;
/// Maximum number of refused starts in a report. The next one has the others.
pub(crate) const MAX_REFUSALS: usize = 10_000;

/// Returns an upper bound of the encoded size of an order with its number.
pub(crate) fn order_bytes(order: &Order) -> usize {
    let (Order::Start(start) | Order::Canary(start)) = order else {
        return ROW_BYTES;
    };
    let texts = [start.checkpoint.as_deref(), start.ticket.as_deref()];
    let texts = texts.into_iter().flatten().map(str::len);
    ROW_BYTES + start.payload.len() + texts.sum::<usize>()
}

/// Returns an upper bound of the encoded size of an end.
pub(crate) fn end_bytes(end: &RunEnd) -> usize {
    ROW_BYTES + end.checkpoint.as_deref().map_or(0, str::len)
}

/// Returns the size of a run's checkpoint.
pub(crate) fn checkpoint_bytes(status: &RunStatus) -> usize {
    status.checkpoint.as_deref().map_or(0, str::len)
}
