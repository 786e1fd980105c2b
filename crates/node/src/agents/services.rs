//! RPC service for the calls of the entries.

use hyssop_core::{
    AgentRpc, Call, Drain, Incarnation, Load, MemberState, NotRun, Outcome, Reply, Ticket,
    TicketCall, Unknown,
};
use tarpc::context::Context;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::drivers::Command;

/// Passes calls to the driver and waits for its replies.
#[derive(Clone)]
pub(super) struct AgentService {
    incarnation: Incarnation,
    commands: mpsc::Sender<Command>,
}

impl AgentService {
    /// Creates a service that sends its commands to the driver.
    pub(super) const fn new(incarnation: Incarnation, commands: mpsc::Sender<Command>) -> Self {
        Self {
            incarnation,
            commands,
        }
    }

    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        response.await.ok()
    }
}

impl AgentRpc for AgentService {
    async fn call(self, _: Context, call: Call) -> Reply {
        let id = call.id;
        let received_at = Instant::now();
        let command = |reply| Command::Call {
            call,
            received_at,
            reply,
        };
        // The driver ended without a reply, so whether the call was executed is unknown.
        self.request(command).await.unwrap_or(Reply {
            id,
            incarnation: self.incarnation,
            outcome: Outcome::Unknown(Unknown::ConnectionBroken),
            load: Load::default(),
        })
    }

    async fn tickets(self, _: Context, call: TicketCall) -> Result<Vec<Ticket>, NotRun> {
        let command = |reply| Command::Tickets { call, reply };
        self.request(command).await.unwrap_or(Err(NotRun::Leaving))
    }

    async fn drain(self, _: Context, drain: Drain) -> MemberState {
        let command = |reply| Command::Drain { drain, reply };
        self.request(command).await.unwrap_or(MemberState::Down)
    }
}
