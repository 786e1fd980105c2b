//! Services of the platform that the owner calls, other than the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssop_core::Millis;
use hyssop_jobs::{AdviceReply, CallPermit, MaintenanceReply, StepId};
use hyssop_platform::{AdviceError, Advisor, MachinesClient, Store};

use super::OwnerEvent;
use crate::metrics::metrics;

/// Timeout of a call about machines.
const MACHINES_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Clients of the platform's services.
#[derive(Clone, Debug)]
pub(crate) struct Services {
    /// Store with all durable state.
    pub(crate) store: Store,
    /// Service that decides on which workers a step may run, if it is configured.
    pub(crate) advisor: Option<Advisor>,
    /// Service that takes machines down for maintenance, if it is configured.
    pub(crate) machines: Option<MachinesClient>,
    /// Longest lease that workers grant.
    pub(crate) max_lease: Millis,
    /// Largest size of a record that the store takes, in bytes.
    pub(crate) max_record_bytes: usize,
    /// Largest size of the records of one append, in bytes.
    pub(crate) max_append_bytes: usize,
    /// Rate at which the store takes the appends to a topic, in MB per second.
    pub(crate) append_rate: f64,
}

impl Services {
    /// Requests the workers that may run a step. Without an advisor the event reports a failed request.
    pub(super) async fn advise(
        self,
        call: u64,
        step: StepId,
        workers: Vec<Arc<str>>,
        timeout: Millis,
    ) -> OwnerEvent {
        let started_at = Instant::now();
        let timeout = Duration::from_millis(timeout.0);
        let advice = match self.advisor {
            Some(advisor) => advisor.advise(step, &workers, timeout).await,
            None => Err(AdviceError::NotConfigured),
        };
        let time = started_at.elapsed();
        let (reply, outcome) = match advice {
            Ok(advice) => (AdviceReply::Answered(advice), "ok"),
            Err(error) => {
                let time_ms = time.as_millis() as u64;
                log::warn!(
                    call = call, step:% = step, workers = workers.len(), time_ms = time_ms;
                    "request for advice failed: {error}"
                );
                match error.is_overload() {
                    true => (AdviceReply::Overloaded, "overloaded"),
                    false => (AdviceReply::Failed, "failed"),
                }
            }
        };
        metrics().record_call("advise", outcome, time);
        OwnerEvent::Advised(call, reply)
    }

    /// Lists the machines. Without a machines service the event reports a failed request.
    pub(super) async fn list_machines(self) -> OwnerEvent {
        let Some(client) = self.machines else {
            return OwnerEvent::Machines(None);
        };
        let machines = client.list(MACHINES_TIMEOUT).await;
        if let Err(error) = &machines {
            log::warn!("listing machines failed: {error}");
        }
        OwnerEvent::Machines(machines.ok())
    }

    /// Requests that the platform takes a machine down for a maintenance wave. Nothing is sent without
    /// a permit, which is requested last.
    pub(super) async fn start_maintenance(
        self,
        permit: impl FnOnce() -> Option<CallPermit> + Send,
        epoch: u64,
        wave: u64,
        machine: Arc<str>,
    ) -> OwnerEvent {
        let Some(client) = self.machines else {
            return OwnerEvent::Maintenance(wave, machine, MaintenanceReply::Gone);
        };
        let Some(permit) = permit() else {
            log::warn!(wave = wave, machine:% = machine; "maintenance request not sent: ownership not proved");
            return OwnerEvent::Maintenance(wave, machine, MaintenanceReply::NotSent);
        };
        let reply = client
            .start_maintenance(permit, &machine, wave, epoch, MACHINES_TIMEOUT)
            .await;
        if let Err(error) = &reply {
            log::warn!(wave = wave, machine:% = machine; "maintenance request failed: {error}");
        }
        OwnerEvent::Maintenance(wave, machine, reply.unwrap_or(MaintenanceReply::Unknown))
    }
}
