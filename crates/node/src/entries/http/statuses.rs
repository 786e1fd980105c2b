//! Handlers of the fleet's status and of explanations of pending work.

use std::sync::Arc;

use hyssop_core::api::{ApiError, ErrorCode, ExplainReply, MemberStatus, PeerStatus, StatusReply};
use hyssop_core::{CellId, Explanation, JobCall, JobReply, ServiceName, Subject};
use salvo::{Request, Response, handler};

use super::jobs::{find, reply_error};
use super::replies::{path_param, respond};
use crate::entries::access::Caller;
use crate::entries::jobs;
use crate::entries::shared::Shared;

/// Handles `GET /v1/status`.
pub(crate) struct Status(pub(crate) Arc<Shared>);

#[handler]
impl Status {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.status(req));
    }
}

impl Status {
    fn status(&self, req: &Request) -> Result<StatusReply, ApiError> {
        Caller::from_request(&self.0, req)?;
        let shared = &self.0;
        let members = shared.member_list();
        let names: Vec<_> = shared.peers.keys().cloned().collect();
        let now = shared.now();
        let fleet = shared.fleet();
        let peers = fleet.peer_views(now, &names);
        Ok(StatusReply {
            entry: shared.name.clone(),
            incarnation: shared.incarnation,
            connectivity: fleet.connectivity(now),
            confirmation_age: fleet.conf.confirmation_age(now),
            applied: fleet.conf.view().applied,
            uptime: now,
            cells: fleet.cells(now).into_values().collect(),
            members: live_members(members),
            peers: peers
                .into_iter()
                .map(|peer| PeerStatus {
                    entry: peer.entry,
                    is_alive: peer.is_alive,
                    last_reply_age: peer.last_reply_age,
                    confirmation_age: peer.confirmation_age,
                })
                .collect(),
        })
    }
}

fn live_members(
    members: Vec<(hyssop_route::MemberStatus, hyssop_core::Load)>,
) -> Vec<MemberStatus> {
    let live = members.into_iter().filter(|(member, _)| member.is_live);
    live.map(|(member, load)| MemberStatus {
        agent: member.agent,
        incarnation: member.incarnation,
        service: member.service,
        domain: member.domain,
        rack: member.rack,
        state: member.state,
        load,
        is_ejected: member.is_ejected,
    })
    .collect()
}

/// Handles `GET /v1/explain/{kind}/{name}`.
pub(crate) struct Explain(pub(crate) Arc<Shared>);

#[handler]
impl Explain {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.explain(req).await);
    }
}

impl Explain {
    async fn explain(&self, req: &Request) -> Result<ExplainReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let kind: String = req.param("kind").unwrap_or_default();
        let (subject, cells) = match kind.as_str() {
            "job" => self.job(&caller, req).await?,
            "worker" => self.worker(req)?,
            "service" => self.service(&caller, req)?,
            other => {
                let message = format!("{other:?} cannot be explained");
                let error = ApiError::new(ErrorCode::Invalid, message);
                return Err(error.with_field("kind", "job, worker, service"));
            }
        };
        let mut explanations: Vec<Explanation> = Vec::new();
        for cell in cells {
            let call = JobCall::Explain(subject.clone());
            match jobs::call(&self.0, &cell, call).await {
                JobReply::Explained(list) => explanations.extend(list),
                other => return Err(reply_error(other)),
            }
        }
        Ok(ExplainReply {
            subject,
            explanations,
        })
    }

    async fn job(
        &self,
        caller: &Caller,
        req: &Request,
    ) -> Result<(Subject, Vec<CellId>), ApiError> {
        let job = path_param(req, "name")?;
        let (cell, _) = find(&self.0, caller, &job).await?;
        Ok((Subject::Job(job), vec![cell]))
    }

    fn worker(&self, req: &Request) -> Result<(Subject, Vec<CellId>), ApiError> {
        let worker = path_param(req, "name")?;
        let Some(cell) = self.0.workers.get(&worker) else {
            let message = format!("worker {worker} is not known");
            return Err(ApiError::new(ErrorCode::NotFound, message));
        };
        Ok((Subject::Worker(worker), vec![cell.clone()]))
    }

    fn service(&self, caller: &Caller, req: &Request) -> Result<(Subject, Vec<CellId>), ApiError> {
        let service: ServiceName = path_param(req, "name")?;
        let view = self.0.view();
        let Some(doc) = view.doc(&service) else {
            let message = format!("service {service} has no document");
            return Err(ApiError::new(ErrorCode::NotFound, message));
        };
        caller.check_access(&doc.team)?;
        let allowed = |cell: &&CellId| doc.domains.contains(&cell.domain);
        let cells = self.0.cells.iter().filter(allowed).cloned().collect();
        Ok((Subject::Service(service), cells))
    }
}
