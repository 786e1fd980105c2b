//! Tests of the recorded changes of failure domains.

use hyssop_conf::DomainTracker;
use hyssop_core::{ConfView, DomainName, DomainState, Millis, Version};

fn domain() -> DomainName {
    DomainName::new("forde").expect("domain name")
}

fn view(version: u64, state: DomainState) -> ConfView {
    let mut view = ConfView::default();
    view.domains.insert(domain(), (Version(version), state));
    view
}

/// Guards against a reply that reads the state of a domain before the driver has recorded its
/// change, and reports a domain that is being refilled as in service.
#[test]
fn query_includes_the_change_of_its_own_view() {
    let mut tracker = DomainTracker::new();
    tracker.update(Millis(60_000), &view(1, DomainState::Out));
    let back = view(2, DomainState::In);
    assert!(tracker.is_returning(Millis(70_000), &back, &domain()));
    assert!(!tracker.is_returning(Millis(90_000), &back, &domain()));
}

/// Guards against a domain that is reported as empty at the moment at which it is taken out, while
/// an owner may still order starts there.
#[test]
fn domain_that_was_just_taken_out_may_still_get_tasks() {
    let mut tracker = DomainTracker::new();
    tracker.update(Millis(60_000), &view(1, DomainState::Out));
    tracker.update(Millis(120_000), &view(2, DomainState::In));
    let out = view(3, DomainState::Out);
    assert!(tracker.may_start_tasks(Millis(200_000), &out, &domain()));
    assert!(!tracker.may_start_tasks(Millis(400_000), &out, &domain()));
}
