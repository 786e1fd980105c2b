//! Bodies, headers and status codes of an entry's HTTP interface for operators and callers.
//!
//! The entry and the command line share these types, so a field that one side renames fails to
//! compile on the other.

mod changes;
mod differences;
mod errors;
mod headers;
mod requests;
mod statuses;

pub use changes::{
    ApplyQuery, ApplyReply, DocumentList, DocumentReply, DocumentSummary, DomainChange,
    DomainReply, HistoryEntry, HistoryReply, QuotaChange, QuotaList, QuotaReply, RemoveReply,
    Shortfall,
};
pub use differences::{Difference, differences};
pub use errors::{ApiError, ErrorCode};
pub use headers::{
    AUTHORIZATION, BEARER, DEADLINE_MS, IDEMPOTENCY_KEY, OUTCOME, OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, REASON, TEAM, bearer_token,
};
pub use requests::{
    ExplainReply, JobList, JobSubmit, ResultReply, ResultRequest, TicketsReply, TicketsRequest,
};
pub use statuses::{DomainList, DomainPhase, DomainStatus, MemberStatus, PeerStatus, StatusReply};
