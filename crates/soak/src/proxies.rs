//! A TCP proxy on loopback that injects connection faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Size of the forwarding buffer of each direction.
const CHUNK_BYTES: usize = 16 * 1_024;

/// How the proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards both directions.
    Open,
    /// Forwards both directions, each chunk after the given delay.
    Delayed(Duration),
    /// Closes all connections and rejects new ones.
    Reset,
    /// Accepts connections and forwards nothing.
    Silent,
    /// Forwards requests and blocks responses.
    OneWay,
}

/// A proxy to one target address. Stops accepting connections when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port, in mode [`ProxyMode::Open`].
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the listening socket cannot be opened.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Open);
        let task = tokio::spawn(accept(listener, target, modes));
        Ok(Self {
            address,
            mode,
            task,
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all connections, including open ones.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        if *modes.borrow() == ProxyMode::Reset {
            // Closing the socket with unread data resets the connection.
            drop(client);
            continue;
        }
        let modes = modes.clone();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                forward(client, server, modes).await;
            }
        });
    }
}

async fn forward(client: TcpStream, server: TcpStream, mut modes: watch::Receiver<ProxyMode>) {
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, modes.clone(), false);
    let responses = copy(server_read, client_write, modes.clone(), true);
    let reset = async {
        // Also returns when the proxy, which owns the sender, is dropped.
        let _reset = modes.wait_for(|mode| *mode == ProxyMode::Reset).await;
    };
    tokio::select! {
        () = requests => {}
        () = responses => {}
        () = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    is_response: bool,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let is_blocked = |mode: &ProxyMode| match mode {
            ProxyMode::Silent => true,
            ProxyMode::OneWay => is_response,
            ProxyMode::Open | ProxyMode::Delayed(_) | ProxyMode::Reset => false,
        };
        let mode = match modes.wait_for(|mode| !is_blocked(mode)).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let ProxyMode::Delayed(delay) = mode {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
