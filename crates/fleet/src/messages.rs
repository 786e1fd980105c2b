//! Messages between the system's own processes.

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_jobs::{Answer, Ask, Order, Report, WorkerInfo};
use hyssop_node::links::{Link, LinkResult};
use serde::{Deserialize, Serialize};

use crate::OwnerRecord;

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
pub struct ReportRequest {
    /// Session, or none to open one.
    pub session: Option<u64>,
    /// The worker, if a session is to be opened or the worker has changed.
    pub worker: Option<WorkerInfo>,
    /// Number of the last order that was taken in.
    #[serde(rename = "seen")]
    pub applied_order: u64,
    /// Report.
    pub report: Report,
}

/// What the owner answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Whether the process owns the jobs. If not, nothing else in the reply counts.
    #[serde(rename = "owner")]
    pub is_owner: bool,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Session; another than the agent's own if it has to report completely.
    pub session: Option<u64>,
    /// Whether the worker's lease is extended, counted from the moment at which the agent asked.
    #[serde(rename = "granted")]
    pub is_lease_renewed: bool,
    /// Orders that the agent has not said to have seen, in their order.
    pub orders: Vec<NumberedOrder>,
    /// Number of the last end that the worker may forget.
    #[serde(rename = "acknowledged")]
    pub acknowledged_end: u64,
}

/// What came of a caller's request at the process that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestReply {
    /// The process does not own the jobs; nothing was done.
    NotOwner,
    /// The process owned the jobs, took the request in, and stopped owning them before it answered.
    Lost,
    /// The owner's answer.
    Answered(Answer),
}

impl RequestReply {
    /// Returns whether the request surely had no effect.
    #[must_use]
    pub const fn is_not_executed(&self) -> bool {
        matches!(self, Self::NotOwner)
    }
}

/// Calls that an entry serves for the others.
#[tarpc::service]
pub(crate) trait FleetRpc {
    /// Takes the report of an agent and answers with orders, at once if there are any and after a
    /// short wait otherwise.
    async fn report(request: ReportRequest) -> ReportReply;
    /// Takes the request of a caller.
    async fn request(request: Ask) -> RequestReply;
    /// Tells who owns the jobs, as far as the process knows.
    async fn known_owner() -> Option<OwnerRecord>;
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

pub(crate) async fn report(
    link: &FleetLink,
    request: ReportRequest,
    timeout: Duration,
) -> LinkResult<ReportReply> {
    let send = |channel, context| async move {
        FleetRpcClient::from(channel).report(context, request).await
    };
    link.exchange(timeout, send).await
}

pub(crate) async fn request(
    link: &FleetLink,
    request: Ask,
    timeout: Duration,
) -> LinkResult<RequestReply> {
    let send = |channel, context| async move {
        FleetRpcClient::from(channel)
            .request(context, request)
            .await
    };
    link.exchange(timeout, send).await
}

pub(crate) async fn known_owner(
    link: &FleetLink,
    timeout: Duration,
) -> LinkResult<Option<OwnerRecord>> {
    let send =
        |channel, context| async move { FleetRpcClient::from(channel).known_owner(context).await };
    link.exchange(timeout, send).await
}

pub(crate) async fn owns(link: &FleetLink, epoch: u64, timeout: Duration) -> LinkResult<bool> {
    let send =
        |channel, context| async move { FleetRpcClient::from(channel).owns(context, epoch).await };
    link.exchange(timeout, send).await
}
