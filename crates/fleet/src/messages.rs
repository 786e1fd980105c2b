//! Messages between agents and entries.

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_jobs::{CallerRequest, CallerResponse, Order, Report, WorkerInfo};
use hyssop_node::links::{Link, LinkResult};
use serde::{Deserialize, Serialize};

use crate::OwnerRecord;

/// An order with its position in the session. Numbers let the agent skip repeated and overtaken
/// orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NumberedOrder {
    /// Position in the session, from 1, without gaps.
    pub number: u64,
    /// Command for the worker.
    pub order: Order,
}

/// Report of an agent to the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Session of the agent, or none to open one.
    pub session: Option<u64>,
    /// Description of the worker, present when a session is opened or the description has changed.
    pub worker: Option<WorkerInfo>,
    /// Number of the last order that the agent has applied, or 0.
    #[serde(rename = "seen")]
    pub applied_order: u64,
    /// Runs on the worker and their ends. Empty when a session is opened.
    pub report: Report,
}

/// Reply of an entry to the report of an agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Whether the entry is the owner. If not, the other fields have no meaning.
    #[serde(rename = "owner")]
    pub is_owner: bool,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Session of the agent. A new one requires a complete report; none requires the agent to open
    /// another one.
    pub session: Option<u64>,
    /// Whether the worker's lease is renewed. Its duration counts from when the agent sent the
    /// report.
    #[serde(rename = "granted")]
    pub is_lease_renewed: bool,
    /// Orders that the agent has not acknowledged yet, by number.
    pub orders: Vec<NumberedOrder>,
    /// Number of the last end that the owner has stored, up to which the worker may forget ends.
    #[serde(rename = "acknowledged")]
    pub acknowledged_end: u64,
}

/// Outcome of a caller's request at the entry that received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestReply {
    /// The entry is not the owner; the request had no effect.
    NotOwner,
    /// The entry accepted the request as the owner and lost the ownership before it responded. The
    /// request may have been executed.
    Lost,
    /// Response of the owner.
    Answered(CallerResponse),
}

impl RequestReply {
    /// Returns whether the request certainly had no effect.
    #[must_use]
    pub const fn is_not_executed(&self) -> bool {
        matches!(
            self,
            Self::NotOwner | Self::Answered(CallerResponse::Unconfirmed)
        )
    }

    /// Returns the response to pass on to the caller. Without one, the request is sent again, to the
    /// owner in force by then.
    #[must_use]
    pub fn into_response(self) -> Option<CallerResponse> {
        match self {
            Self::NotOwner | Self::Lost | Self::Answered(CallerResponse::Unconfirmed) => None,
            Self::Answered(response) => Some(response),
        }
    }
}

/// Calls that an entry serves for agents and other entries.
#[tarpc::service]
pub(crate) trait FleetRpc {
    /// Receives the report of an agent. Replies with orders, at once if there are any and otherwise
    /// after a short wait.
    async fn report(request: ReportRequest) -> ReportReply;
    /// Executes the request of a caller if the entry is the owner.
    async fn request(request: CallerRequest) -> RequestReply;
    /// Returns the owner that the entry knows.
    async fn known_owner() -> Option<OwnerRecord>;
    /// Returns whether the entry owns the jobs in an epoch. The caller is an entry that can reach
    /// the store; an owner that cannot reach it gives up the ownership.
    async fn owns(epoch: u64) -> bool;
}

/// Client of one entry.
pub(crate) type FleetLink = Link<FleetRpcRequest, FleetRpcResponse>;

/// Connections to one entry. All calls are small, so that one is enough.
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
    request: CallerRequest,
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
