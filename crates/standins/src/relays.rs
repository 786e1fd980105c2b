//! A TCP relay on loopback whose connections can be made to go silent.

use std::future::pending;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// A relay to one target address. Dropping it closes its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    accepted: watch::Receiver<usize>,
    silenced: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (accepted_sender, accepted) = watch::channel(0);
        let silenced = watch::Sender::new(());
        let task = tokio::spawn(accept(listener, target, accepted_sender, silenced.clone()));
        Ok(Self {
            address,
            accepted,
            silenced,
            task,
        })
    }

    /// Returns the address on which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that were accepted.
    #[must_use]
    pub fn accepted(&self) -> usize {
        *self.accepted.borrow()
    }

    /// Waits until a number of connections have been accepted.
    pub async fn wait_for_accepted(&self, connections: usize) {
        let mut accepted = self.accepted.clone();
        let _ = accepted.wait_for(|accepted| *accepted >= connections).await;
    }

    /// Stops forwarding on all connections that were accepted so far, without closing them. Later
    /// connections are forwarded.
    pub fn silence_open_connections(&self) {
        self.silenced.send_replace(());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    accepted: watch::Sender<usize>,
    silenced: watch::Sender<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        connections.spawn(forward(client, target, silenced.subscribe()));
        accepted.send_modify(|accepted| *accepted += 1);
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut silenced: watch::Receiver<()>) {
    let copy = async {
        let mut server = TcpStream::connect(target).await?;
        copy_bidirectional(&mut client, &mut server).await
    };
    tokio::select! {
        biased;
        _ = silenced.changed() => {}
        _ = copy => return,
    }
    // Keeps the client's connection open.
    pending::<()>().await;
}
