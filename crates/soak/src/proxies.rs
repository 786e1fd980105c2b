//! A loopback proxy whose connections can be made to fail.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1_024;

/// What the proxy does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    Open,
    /// Passes everything on after a pause.
    Delayed(Duration),
    /// Ends all connections and refuses new ones.
    Reset,
    /// Accepts connections and passes nothing on.
    Silent,
    /// Passes on what callers send and holds back the answers.
    OneWay,
}

/// A proxy to one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
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

    /// Returns the address that stands for the target.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to all connections, open ones too.
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
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        if *modes.borrow() == ProxyMode::Reset {
            // Closing at once, with a request on its way, resets the connection.
            drop(near);
            continue;
        }
        let modes = modes.clone();
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                pass(near, far, modes).await;
            }
        });
    }
}

async fn pass(near: TcpStream, far: TcpStream, mut modes: watch::Receiver<ProxyMode>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, modes.clone(), false);
    let back = copy(far_read, near_write, modes.clone(), true);
    let reset = async {
        // The sender lives as long as the proxy; without it the connection ends too.
        let _reset = modes.wait_for(|mode| *mode == ProxyMode::Reset).await;
    };
    tokio::select! {
        () = there => {}
        () = back => {}
        () = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    is_answer: bool,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let is_held = |mode: &ProxyMode| match mode {
            ProxyMode::Silent => true,
            ProxyMode::OneWay => is_answer,
            ProxyMode::Open | ProxyMode::Delayed(_) | ProxyMode::Reset => false,
        };
        let mode = match modes.wait_for(|mode| !is_held(mode)).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if let ProxyMode::Delayed(pause) = mode {
            sleep(pause).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
