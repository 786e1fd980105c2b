//! Services of the platform that the owner calls, other than the store.

use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{CallPermit, MaintenanceReply, StepId};
use hyssop_platform::{AdviceError, Advisor, MachinesClient, Store};

use super::OwnerEvent;

/// Timeout of a request for advice. The service needs a few milliseconds per worker and handles
/// requests one after the other.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
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
}

impl Services {
    /// Requests the workers that may run a step. Without an advisor the event reports a failed request.
    pub(super) async fn advise(self, step: StepId, workers: Vec<Arc<str>>) -> OwnerEvent {
        let advice = match self.advisor {
            Some(advisor) => advisor.advise(step, &workers, ADVICE_TIMEOUT).await,
            None => Err(AdviceError::NotConfigured),
        };
        if let Err(error) = &advice {
            log::warn!(step:% = step; "request for advice failed: {error}");
        }
        OwnerEvent::Advised(step, advice.ok())
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
