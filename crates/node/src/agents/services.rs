//! Calls of the entries.

use hyssop_core::{
    AgentRpc, Call, Drain, Incarnation, Load, MemberState, NotRun, Outcome, Reply, Ticket,
    TicketCall, Unknown,
};
use tarpc::context::Context;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::drivers::Command;

/// Hands calls to the driver and waits for its answers.
#[derive(Clone)]
pub(super) struct AgentService {
    incarnation: Incarnation,
    commands: mpsc::Sender<Command>,
}

impl AgentService {
    /// Creates the service.
    pub(super) const fn new(incarnation: Incarnation, commands: mpsc::Sender<Command>) -> Self {
        Self {
            incarnation,
            commands,
        }
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl AgentRpc for AgentService {
    async fn call(self, _: Context, call: Call) -> Reply {
        let id = call.id;
        let received = Instant::now();
        let command = |reply| Command::Call {
            call,
            received,
            reply,
        };
        // Without an answer the driver has ended, and what it had done is not known.
        self.ask(command).await.unwrap_or(Reply {
            id,
            incarnation: self.incarnation,
            outcome: Outcome::Unknown(Unknown::ConnectionBroken),
            load: Load::default(),
        })
    }

    async fn tickets(self, _: Context, call: TicketCall) -> Result<Vec<Ticket>, NotRun> {
        let command = |reply| Command::Tickets { call, reply };
        self.ask(command).await.unwrap_or(Err(NotRun::Leaving))
    }

    async fn drain(self, _: Context, drain: Drain) -> MemberState {
        let command = |reply| Command::Drain { drain, reply };
        self.ask(command).await.unwrap_or(MemberState::Down)
    }
}
