//! Changes of the settings file.

use hyssop_fleet::{SettingField, changed_fields};
use hyssop_platform::Settings;

const TEXT: &str = "node=front-1\nzone=forde\nip=10.1.0.13\nlisten.front=10.1.0.13:8161\n\
    internalPorts=7720,7735\nbounds.graceS=6\nplatform.addr=10.200.1.7:8169\n";

fn changed(from: &str, to: &str) -> Vec<SettingField> {
    let old = Settings::parse(TEXT).unwrap();
    let new = Settings::parse(&TEXT.replace(from, to)).unwrap();
    changed_fields(&old, &new)
}

/// Guards against changes that are not noticed, and against ones that are reported without cause.
#[test]
fn changes_are_told_apart() {
    assert_eq!(changed("", ""), []);
    assert_eq!(changed("front-1", "front-2"), [SettingField::Host]);
    assert_eq!(changed("graceS=6", "graceS=7"), [SettingField::Grace]);
    assert_eq!(changed("10.200.1.7", "10.200.1.8"), [SettingField::Store]);
    let advice = "node=front-1\nadvice=10.200.1.9:8169";
    assert_eq!(changed("node=front-1", advice), [SettingField::Advice]);
}

/// Guards against a promise that a running process takes in what needs a start.
#[test]
fn addresses_of_the_host_need_a_start() {
    assert!(SettingField::Store.is_live() && SettingField::Grace.is_live());
    assert!(!SettingField::Host.is_live() && !SettingField::Advice.is_live());
}
