//! Detection of changes of the settings file.

use hyssop_fleet::{SettingField, changed_fields};
use hyssop_platform::Settings;
use hyssop_platform_standins::{HostOptions, settings};

fn host() -> Settings {
    let options = HostOptions {
        node: "front-1".to_owned(),
        domain: "forde".to_owned(),
        ip: "10.1.0.13".parse().unwrap(),
        store: "10.200.1.7:8169".parse().unwrap(),
        is_entry: true,
        grace_s: 6.0,
    };
    Settings::parse(&settings(&options)).unwrap()
}

fn changed(change: impl Fn(&mut Settings)) -> Vec<SettingField> {
    let (old, mut new) = (host(), host());
    change(&mut new);
    changed_fields(&old, &new)
}

/// Guards against changes that are missed, and changes that are reported without cause.
#[test]
fn changed_fields_are_detected() {
    assert_eq!(changed(|_| ()), []);
    assert_eq!(changed(|s| s.node = "front-2".into()), [SettingField::Host]);
    assert_eq!(changed(|s| s.cpu_share = 0.5), [SettingField::Host]);
    assert_eq!(changed(|s| s.grace_s = 7.0), [SettingField::Grace]);
    assert_eq!(changed(|s| s.max_lease.0 += 1), [SettingField::Lease]);
    assert_eq!(
        changed(|s| s.max_record_bytes -= 1),
        [SettingField::StoreLimits]
    );
    assert_eq!(
        changed(|s| s.max_append_bytes -= 1),
        [SettingField::StoreLimits]
    );
    assert_eq!(
        changed(|s| s.append_rate += 1.0),
        [SettingField::StoreLimits]
    );
    assert_eq!(
        changed(|s| s.store_address.set_port(1)),
        [SettingField::Store]
    );
    assert_eq!(
        changed(|s| s.advice_address = Some(s.store_address)),
        [SettingField::Advice]
    );
    assert_eq!(
        changed(|s| s.machines_address = Some(s.store_address)),
        [SettingField::Machines]
    );
}

/// Guards against a log line that says a change has taken effect although it needs a restart.
#[test]
fn addresses_of_the_host_need_a_restart() {
    assert!(SettingField::Store.is_reloadable() && SettingField::Grace.is_reloadable());
    assert!(!SettingField::Host.is_reloadable() && !SettingField::Advice.is_reloadable());
}
