//! Framing and encoding of messages, the same for clients and servers.

use std::io;
use std::marker::PhantomData;
use std::pin::{Pin, pin};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::Map;
use hyssop_core::limits::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::io::InspectReader;

/// Longest deadline of a call, relative to its receipt. Far longer ones overflow the clock and the
/// timers of the RPC library, which then panics.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Text of the error that a server sends instead of a response above the frame limit.
pub(super) const RESPONSE_TOO_LARGE: &str = "the response exceeds the frame limit";

/// A connection with framed, encoded messages.
type Framed<S, In, Out, Codec = Bincode<In, Out>> = Transport<S, In, Out, Codec>;

fn frame<S, In, Out, Codec>(stream: S, codec: Codec) -> Framed<S, In, Out, Codec>
where
    S: AsyncRead + AsyncWrite,
    In: for<'a> Deserialize<'a>,
    Out: Serialize,
    Codec: Serializer<Out> + Deserializer<In>,
{
    let mut frames = LengthDelimitedCodec::builder();
    let framed = frames.max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    serde_transport::new(framed, codec)
}

/// Encoding of a server. A response above the frame limit would break the connection for all calls
/// in flight, so that an error is sent to its caller instead.
pub(crate) struct ServerCodec<In, Out>(PhantomData<fn() -> (In, Out)>);

impl<In, Out> Deserializer<In> for ServerCodec<In, Out>
where
    In: for<'a> Deserialize<'a>,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<In> {
        pin!(Bincode::<In, ()>::default()).deserialize(bytes)
    }
}

impl<In, Out> Serializer<Response<Out>> for ServerCodec<In, Out>
where
    Out: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, response: &Response<Out>) -> io::Result<Bytes> {
        let encode = |response: &Response<Out>| {
            pin!(Bincode::<(), Response<Out>>::default()).serialize(response)
        };
        let encoded = encode(response)?;
        if encoded.len() <= MAX_FRAME_BYTES {
            return Ok(encoded);
        }
        log::error!(
            bytes = encoded.len(), limit = MAX_FRAME_BYTES;
            "response not sent: it exceeds the frame limit"
        );
        let error = ServerError::new(io::ErrorKind::InvalidData, RESPONSE_TOO_LARGE.into());
        encode(&Response {
            request_id: response.request_id,
            message: Err(error),
        })
    }
}

/// The client's side of a connection. `F` is called with all data that is received.
pub(crate) type ClientTransport<Req, Resp, F> =
    Framed<InspectReader<TcpStream, F>, Response<Resp>, ClientMessage<Req>>;

/// Adds framing and encoding to an opened connection. `on_data` is called with all data that is
/// received. Nagle's algorithm is disabled, since a caller waits for each message.
///
/// # Errors
///
/// Returns the error of the socket.
pub(crate) fn wrap_client<Req, Resp, F>(
    stream: TcpStream,
    on_data: F,
) -> io::Result<ClientTransport<Req, Resp, F>>
where
    Req: Serialize,
    Resp: for<'a> Deserialize<'a>,
    F: FnMut(&[u8]),
{
    stream.set_nodelay(true)?;
    Ok(frame(
        InspectReader::new(stream, on_data),
        Bincode::default(),
    ))
}

type Convert<Req> = fn(io::Result<Incoming<Req>>) -> io::Result<ClientMessage<Req>>;

/// The server's side of a connection. Messages are checked before they reach the RPC library.
pub(crate) type ServerTransport<Req, Resp> = Map<ServerFramed<Req, Resp>, Convert<Req>>;

type ServerFramed<Req, Resp> =
    Framed<TcpStream, Incoming<Req>, Response<Resp>, ServerCodec<Incoming<Req>, Resp>>;

/// Adds framing, encoding and the check of deadlines to an accepted connection. Nagle's algorithm
/// is disabled, as for clients.
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
    stream.set_nodelay(true)?;
    Ok(frame(stream, ServerCodec(PhantomData)).map(convert))
}

/// Encoded form of [`ClientMessage`], in which the deadline is the remaining time.
#[derive(Deserialize)]
pub(crate) enum Incoming<T> {
    Request(IncomingRequest<T>),
    Cancel {
        trace_context: trace::Context,
        request_id: u64,
    },
}

/// Encoded form of [`Request`].
#[derive(Deserialize)]
pub(crate) struct IncomingRequest<T> {
    context: IncomingContext,
    id: u64,
    message: T,
}

/// Encoded form of [`context::Context`].
#[derive(Deserialize)]
struct IncomingContext {
    deadline: Duration,
    trace_context: trace::Context,
}

impl<T> Incoming<T> {
    /// Converts the message, or returns an error if its deadline exceeds [`MAX_DEADLINE`].
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
        let remaining = request.context.deadline;
        if remaining > MAX_DEADLINE {
            let text = format!(
                "deadline of {} s exceeds the limit of {MAX_DEADLINE:?}",
                remaining.as_secs()
            );
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        let mut context = context::current();
        context.deadline = Instant::now() + remaining;
        context.trace_context = request.context.trace_context;
        Ok(ClientMessage::Request(Request {
            context,
            id: request.id,
            message: request.message,
        }))
    }
}
