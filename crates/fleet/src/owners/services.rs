//! Services of the platform that an owner asks beside the store.

use std::sync::Arc;
use std::time::Duration;

use hyssop_jobs::{StepId, UpkeepAnswer};
use hyssop_platform::{AdviceError, Advisor, MachinesClient, Store};

use super::OwnerEvent;

/// Time within which a question for advice has to be answered: the service takes a few milliseconds
/// a worker, one question after the other.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which a call about machines has to be answered.
const MACHINES_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Clients of the platform that an owner needs.
#[derive(Clone, Debug)]
pub(crate) struct Services {
    /// Store.
    pub(crate) store: Store,
    /// Service that says where a step may run, if there is one.
    pub(crate) advisor: Option<Advisor>,
    /// Service that takes machines down for upkeep, if there is one.
    pub(crate) machines: Option<MachinesClient>,
}

impl Services {
    /// Asks which workers may run a step. Without a service to ask, the owner hears that no answer
    /// came.
    pub(super) async fn advise(self, step: StepId, workers: Vec<Arc<str>>) -> OwnerEvent {
        let advice = match self.advisor {
            Some(advisor) => advisor.advise(step, &workers, ADVICE_TIMEOUT).await,
            None => Err(AdviceError::Refused(0)),
        };
        if let Err(error) = &advice {
            log::warn!(step:% = step; "no advice: {error}");
        }
        OwnerEvent::Advised(step, advice.ok())
    }

    /// Lists the machines.
    pub(super) async fn list_machines(self) -> OwnerEvent {
        let Some(client) = self.machines else {
            return OwnerEvent::Machines(None);
        };
        let machines = client.list(MACHINES_TIMEOUT).await;
        if let Err(error) = &machines {
            log::warn!("machines not listed: {error}");
        }
        OwnerEvent::Machines(machines.ok())
    }

    /// Takes a machine down for the upkeep of a wave.
    pub(super) async fn order_maintenance(
        self,
        epoch: u64,
        wave: u64,
        machine: Arc<str>,
    ) -> OwnerEvent {
        let Some(client) = self.machines else {
            return OwnerEvent::Maintenance(wave, machine, UpkeepAnswer::Gone);
        };
        let answer = client
            .start_maintenance(&machine, wave, epoch, MACHINES_TIMEOUT)
            .await;
        if let Err(error) = &answer {
            log::warn!(wave = wave, machine:% = machine; "upkeep not answered: {error}");
        }
        OwnerEvent::Maintenance(wave, machine, answer.unwrap_or(UpkeepAnswer::Unknown))
    }
}
