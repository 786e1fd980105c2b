//! Framing and encoding, the same on both sides.

use hyssop_core::limits::MAX_FRAME;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// A TCP connection that carries messages.
pub(crate) type TcpTransport<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Wraps a connection. Small messages are sent at once, since each one is awaited by a caller.
///
/// # Errors
///
/// Returns the error of the socket.
pub(crate) fn wrap<In, Out>(stream: TcpStream) -> std::io::Result<TcpTransport<In, Out>>
where
    In: for<'a> Deserialize<'a>,
    Out: Serialize,
{
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec.max_frame_length(MAX_FRAME).new_framed(stream);
    Ok(serde_transport::new(framed, Bincode::default()))
}
