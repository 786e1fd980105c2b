//! Reload of the settings file: after SIGHUP, and when it has changed without a signal.

use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform::{Settings, SettingsError, settings_path};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval at which the file is read without a signal. It has a few kilobytes.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A setting whose value differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingField {
    /// Address of the platform's store. Taken in while the process runs.
    Store,
    /// Grace period. Taken in while the process runs.
    Grace,
    /// Address of the service that advises on workers. Needs a start.
    Advice,
    /// Address of the service that lists machines. Needs a start.
    Machines,
    /// Host, failure domain, own addresses and share of a core. Needs a start.
    Host,
}

impl SettingField {
    /// Returns whether a running process takes the change in.
    #[must_use]
    pub const fn is_reloadable(self) -> bool {
        matches!(self, Self::Store | Self::Grace)
    }
}

/// Returns what differs between two settings.
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
        (SettingField::Host, is_host_changed),
    ];
    let changed = differences.into_iter().filter(|(_, differs)| *differs);
    changed.map(|(field, _)| field).collect()
}

/// Watches the settings file of a running process.
pub(crate) struct Reloads {
    path: PathBuf,
    current: Settings,
    /// The last error of the file, so that it is logged once.
    last_error: Option<SettingsError>,
    hangup: Signal,
    ticks: Interval,
}

impl Reloads {
    /// Watches the file that the process has read at its start.
    pub(crate) fn new(current: Settings) -> std::io::Result<Self> {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            path: settings_path(),
            current,
            last_error: None,
            hangup: signal(SignalKind::hangup())?,
            ticks,
        })
    }

    /// Waits for a change and returns the settings as they are now. A file that cannot be used
    /// changes nothing.
    pub(crate) async fn changed(&mut self) -> &Settings {
        loop {
            let is_signalled = tokio::select! {
                _ = self.hangup.recv() => true,
                _ = self.ticks.tick() => false,
            };
            if self.reload(is_signalled) {
                return &self.current;
            }
        }
    }

    /// Reads the file. Returns whether the settings have changed.
    fn reload(&mut self, is_signalled: bool) -> bool {
        let settings = match Settings::load(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                if is_signalled || self.last_error.as_ref() != Some(&error) {
                    log::error!("reload: the settings stay as they are: {error}");
                }
                self.last_error = Some(error);
                return false;
            }
        };
        self.last_error = None;
        let fields = changed_fields(&self.current, &settings);
        for field in &fields {
            let when = if field.is_reloadable() {
                "now"
            } else {
                "at the next start"
            };
            log::info!("reload: {field:?} has changed and takes effect {when}");
        }
        if is_signalled && fields.is_empty() {
            log::info!("reload: no setting has changed");
        }
        self.current = settings;
        !fields.is_empty()
    }
}
