//! Messages between the system's own processes.

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_jobs::{CallerRequest, CallerResponse, Order, Report, WorkerInfo};
use hyssop_node::links::{Link, LinkResult};
use serde::{Deserialize, Serialize};

use crate::Lead;

/// An order with its number in the session, from 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NumberedOrder {
    /// Number.
    pub number: u64,
    /// Order.
    pub order: Order,
}

/// What an agent tells the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Session, or none to open one.
    pub session: Option<u64>,
    /// The worker, if a session is to be opened or the worker has changed.
    pub worker: Option<WorkerInfo>,
    /// Number of the last order that was taken in.
    pub seen: u64,
    /// Report.
    pub report: Report,
}

/// What the owner answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Whether the process owns the jobs. If not, nothing else in the reply counts.
    pub owner: bool,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Session; another than the agent's own if it has to report completely.
    pub session: Option<u64>,
    /// Whether the worker's lease is extended, counted from the moment at which the agent asked.
    pub granted: bool,
    /// Orders that the agent has not said to have seen, in their order.
    pub orders: Vec<NumberedOrder>,
    /// Number of the last end that the worker may forget.
    pub acknowledged: u64,
}

/// What came of a caller's request at the process that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskReply {
    /// The process does not own the jobs; nothing was done.
    NotOwner,
    /// The process owned the jobs, took the request in, and stopped owning them before it answered.
    Lost,
    /// The owner's answer.
    Answered(CallerResponse),
}

impl AskReply {
    /// Returns whether the request surely had no effect.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotOwner)
    }
}

/// Calls that an entry serves for the others.
#[tarpc::service]
pub(crate) trait FleetRpc {
    /// Takes the report of an agent and answers with orders, at once if there are any and after a
    /// short wait otherwise.
    async fn exchange(exchange: Exchange) -> ExchangeReply;
    /// Takes the request of a caller.
    async fn ask(ask: CallerRequest) -> AskReply;
    /// Tells who owns the jobs, as far as the process knows.
    async fn lead() -> Option<Lead>;
    /// Tells whether the process owns the jobs in an epoch. Asked by an entry that reaches the store;
    /// an owner that does not gives way.
    async fn owns(epoch: u64) -> bool;
}

/// Client of an entry.
pub(crate) type FleetLink = Link<FleetRpcRequest, FleetRpcResponse>;

/// Connections to one entry, whose calls are small.
const CONNECTIONS: usize = 1;

pub(crate) fn link(address: SocketAddr) -> FleetLink {
    FleetLink::with_connections(address, CONNECTIONS)
}

pub(crate) async fn exchange(
    link: &FleetLink,
    message: Exchange,
    limit: Duration,
) -> LinkResult<ExchangeReply> {
    let send = |channel, context| async move {
        FleetRpcClient::from(channel)
            .exchange(context, message)
            .await
    };
    link.exchange(limit, send).await
}

pub(crate) async fn ask(
    link: &FleetLink,
    ask: CallerRequest,
    limit: Duration,
) -> LinkResult<AskReply> {
    let send =
        |channel, context| async move { FleetRpcClient::from(channel).ask(context, ask).await };
    link.exchange(limit, send).await
}

pub(crate) async fn lead(link: &FleetLink, limit: Duration) -> LinkResult<Option<Lead>> {
    let send = |channel, context| async move { FleetRpcClient::from(channel).lead(context).await };
    link.exchange(limit, send).await
}

pub(crate) async fn owns(link: &FleetLink, epoch: u64, limit: Duration) -> LinkResult<bool> {
    let send =
        |channel, context| async move { FleetRpcClient::from(channel).owns(context, epoch).await };
    link.exchange(limit, send).await
}
