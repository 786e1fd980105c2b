//! Framing and encoding, the same on both sides.

use std::io;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::Map;
use hyssop_core::limits::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{ClientMessage, Request, Response, context, trace};
use tokio::net::TcpStream;

/// Longest time that a caller may leave for a call. Far longer ones exceed what the clock and the
/// timers of the RPC library can hold, on which it panics.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A TCP connection that carries messages.
pub(crate) type TcpTransport<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Wraps a connection. Small messages are sent at once, since each one is awaited by a caller.
///
/// # Errors
///
/// Returns the error of the socket.
pub(crate) fn wrap<In, Out>(stream: TcpStream) -> io::Result<TcpTransport<In, Out>>
where
    In: for<'a> Deserialize<'a>,
    Out: Serialize,
{
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    Ok(serde_transport::new(framed, Bincode::default()))
}

type Convert<Req> = fn(io::Result<Incoming<Req>>) -> io::Result<ClientMessage<Req>>;

/// The server's side of a connection, whose messages are checked before the library takes them.
pub(crate) type ServerTransport<Req, Resp> =
    Map<TcpTransport<Incoming<Req>, Response<Resp>>, Convert<Req>>;

/// Wraps a connection on the server's side.
///
/// # Errors
///
/// Returns the error of the socket.
pub(crate) fn wrap_server<Req, Resp>(stream: TcpStream) -> io::Result<ServerTransport<Req, Resp>>
where
    Req: for<'a> Deserialize<'a>,
    Resp: Serialize,
{
    let convert: Convert<Req> = |message| message.and_then(Incoming::check);
    Ok(wrap(stream)?.map(convert))
}

/// [`ClientMessage`] as it is encoded, with the deadline as the time left.
#[derive(Deserialize)]
pub(crate) enum Incoming<T> {
    Request(IncomingRequest<T>),
    Cancel {
        trace_context: trace::Context,
        request_id: u64,
    },
}

/// [`Request`] as it is encoded.
#[derive(Deserialize)]
pub(crate) struct IncomingRequest<T> {
    context: IncomingContext,
    id: u64,
    message: T,
}

/// [`context::Context`] as it is encoded.
#[derive(Deserialize)]
struct IncomingContext {
    deadline: Duration,
    trace_context: trace::Context,
}

impl<T> Incoming<T> {
    /// Converts the message unless its deadline is too far away.
    fn check(self) -> io::Result<ClientMessage<T>> {
        let request = match self {
            Self::Request(request) => request,
            Self::Cancel {
                trace_context,
                request_id,
            } => {
                return Ok(ClientMessage::Cancel {
                    trace_context,
                    request_id,
                });
            }
        };
        let left = request.context.deadline;
        if left > MAX_DEADLINE {
            let text = format!("deadline of {} s, {MAX_DEADLINE:?} allowed", left.as_secs());
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        let mut context = context::current();
        context.deadline = Instant::now() + left;
        context.trace_context = request.context.trace_context;
        Ok(ClientMessage::Request(Request {
            context,
            id: request.id,
            message: request.message,
        }))
    }
}
