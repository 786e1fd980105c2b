//! Reloads the settings file on SIGHUP, and when it changes without a signal.

use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform::{Settings, SettingsError, settings_path};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval at which the file is read without a signal. The file has only a few kilobytes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Setting, or group of settings, that a reload can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingField {
    /// Address of the platform's store, `platform.addr`. Takes effect at once.
    Store,
    /// Time from SIGTERM to SIGKILL, `bounds.graceS`. Takes effect at once.
    Grace,
    /// Address of the service that decides on which workers a step may run, `advice`. Takes effect
    /// after a restart.
    Advice,
    /// Address of the service that takes machines down for maintenance, `cloudApi.addr`. Takes
    /// effect after a restart.
    Machines,
    /// Longest lease that workers grant, `bounds.maxHoldMs`. Takes effect after a restart.
    Lease,
    /// Sizes of records and appends that the store takes and its rate, `platform.recordBytes`,
    /// `platform.callBytes` and `platform.partMbS`. Takes effect after a restart.
    StoreLimits,
    /// Name, failure domain and addresses of this host, and the share of a core that the process may
    /// use. Takes effect after a restart.
    Host,
}

impl SettingField {
    /// Returns whether a running process applies the change. Other changes need a restart.
    #[must_use]
    pub const fn is_reloadable(self) -> bool {
        matches!(self, Self::Store | Self::Grace)
    }
}

/// Returns the fields that differ between two settings.
#[must_use]
pub fn changed_fields(old: &Settings, new: &Settings) -> Vec<SettingField> {
    let is_host_changed = (&old.node, &old.domain) != (&new.node, &new.domain)
        || (old.front_address, old.ready_address, old.control_address)
            != (new.front_address, new.ready_address, new.control_address)
        || (old.peer_address, old.worker_address) != (new.peer_address, new.worker_address)
        || old.cpu_share != new.cpu_share;
    let differences = [
        (SettingField::Store, old.store_address != new.store_address),
        (SettingField::Grace, old.grace_s != new.grace_s),
        (
            SettingField::Advice,
            old.advice_address != new.advice_address,
        ),
        (
            SettingField::Machines,
            old.machines_address != new.machines_address,
        ),
        (
            SettingField::StoreLimits,
            (old.max_record_bytes, old.max_append_bytes, old.append_rate)
                != (new.max_record_bytes, new.max_append_bytes, new.append_rate),
        ),
        (SettingField::Lease, old.max_lease != new.max_lease),
        (SettingField::Host, is_host_changed),
    ];
    let changed = differences.into_iter().filter(|(_, differs)| *differs);
    changed.map(|(field, _)| field).collect()
}

/// Watcher of the settings file of a running process.
pub(crate) struct SettingsWatcher {
    path: PathBuf,
    /// Settings that were read last, including changes that take effect only after a restart.
    last_read: Settings,
    /// Last error of the file, so that a repeated one is not logged again.
    last_error: Option<SettingsError>,
    sighup: Signal,
    ticks: Interval,
}

impl SettingsWatcher {
    /// Watches the settings file from which `last_read` was read.
    pub(crate) fn new(last_read: Settings) -> std::io::Result<Self> {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            path: settings_path(),
            last_read,
            last_error: None,
            sighup: signal(SignalKind::hangup())?,
            ticks,
        })
    }

    /// Waits for a change and returns the new settings. An invalid file is logged and ignored.
    pub(crate) async fn next_change(&mut self) -> &Settings {
        loop {
            let is_signalled = tokio::select! {
                _ = self.sighup.recv() => true,
                _ = self.ticks.tick() => false,
            };
            if self.reload(is_signalled) {
                return &self.last_read;
            }
        }
    }

    /// Reads the file. Returns whether the settings have changed.
    fn reload(&mut self, is_signalled: bool) -> bool {
        let settings = match Settings::load(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                if is_signalled || self.last_error.as_ref() != Some(&error) {
                    log::error!("reload: keeping the current settings: {error}");
                }
                self.last_error = Some(error);
                return false;
            }
        };
        self.last_error = None;
        let fields = changed_fields(&self.last_read, &settings);
        for field in &fields {
            let when = if field.is_reloadable() {
                "now"
            } else {
                "after a restart"
            };
            log::info!("reload: {field:?} changed, takes effect {when}");
        }
        if is_signalled && fields.is_empty() {
            log::info!("reload: no setting changed");
        }
        self.last_read = settings;
        !fields.is_empty()
    }
}
