//! Responses whose body is delimited by the end of the connection.
//!
//! The HTTP library always sends `Content-Length` or chunks to an HTTP/1.1 client. This module
//! therefore removes `Content-Length` from responses with a [`CLOSE_MARKER`] header while they are
//! written to the socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Acceptor, Holding, StraightStream};
use salvo::fuse::ArcFusePolicy;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Header that marks a response whose body ends when the connection closes.
pub(super) const CLOSE_MARKER: &str = "x-standin-close";
/// Separator between the head and the body of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Acceptor whose connections rewrite marked responses.
pub(super) struct ClosingAcceptor(TcpAcceptor);

impl ClosingAcceptor {
    pub(super) const fn new(inner: TcpAcceptor) -> Self {
        Self(inner)
    }
}

impl Acceptor for ClosingAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = ClosingStream;

    fn holdings(&self) -> &[Holding] {
        self.0.holdings()
    }

    async fn accept(
        &mut self,
        fuse: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.0.accept(fuse).await?;
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: ClosingStream::new(accepted.stream),
            fuse_config: accepted.fuse_config,
            conn_ctrl: accepted.conn_ctrl,
            local_addr: accepted.local_addr,
            remote_addr: accepted.remote_addr,
            http_scheme: accepted.http_scheme,
        })
    }
}

/// Connection that removes `Content-Length` from marked responses.
pub(super) struct ClosingStream {
    inner: StraightStream<TcpStream>,
    /// Bytes of a rewritten response that are not yet written.
    pending: Vec<u8>,
}

impl ClosingStream {
    const fn new(inner: StraightStream<TcpStream>) -> Self {
        Self {
            inner,
            pending: Vec::new(),
        }
    }

    fn poll_write_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let inner = Pin::new(&mut self.inner);
            let written = ready!(inner.poll_write(cx, &self.pending))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns a marked response without its `Content-Length`, or `None` for any other data.
fn without_length(buf: &[u8]) -> Option<Vec<u8>> {
    let end = buf.windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    let head = std::str::from_utf8(&buf[..end]).ok()?;
    if !head.contains(CLOSE_MARKER) {
        return None;
    }
    let lines = head.split("\r\n");
    let lines: Vec<&str> = lines
        .filter(|l| !l.starts_with("content-length:"))
        .collect();
    let mut bytes = lines.join("\r\n").into_bytes();
    bytes.extend_from_slice(&buf[end..]);
    Some(bytes)
}

impl AsyncRead for ClosingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

/// Vectored writes are not supported, so that the head of a response arrives in one buffer.
impl AsyncWrite for ClosingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_pending(cx))?;
        match without_length(buf) {
            Some(rewritten) => {
                self.pending = rewritten;
                Poll::Ready(Ok(buf.len()))
            }
            None => Pin::new(&mut self.inner).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_pending(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_write_pending(cx))?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
