//! Candidates under random faults.

use std::collections::BTreeSet;

use hyssop_core::Millis;
use hyssop_jobs::RENEWAL_VALIDITY;
use proptest::prelude::*;

use crate::support::{Topic, entry, run};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against two owners with the same epoch, and against an owner whose epoch is later than
    /// that of the newest record. Two owners that do not fence each other could run a task twice.
    #[test]
    fn owners_have_distinct_recorded_epochs(
        faults in prop::collection::vec((0_usize..3, 0_u8..4, 50_u64..3_000), 1..20),
        delays in prop::array::uniform3(0_u64..300),
    ) {
        let mut entries = [
            entry("a", 1, delays[0]), entry("b", 2, delays[1]), entry("c", 3, delays[2]),
        ];
        let mut topic = Topic::default();
        let mut now = 1_000;
        for (index, fault, millis) in faults {
            match fault {
                0 => entries[index].is_running = !entries[index].is_running,
                1 => entries[index].is_store_reachable = !entries[index].is_store_reachable,
                2 => entries[index].is_store_reachable = true,
                _ => entries[index].is_running = true,
            }
            for _ in 0..millis / 50 {
                now = run(now, 50, &mut entries, &mut topic);
                let epochs: Vec<u64> = entries.iter().filter_map(|e| e.owned_epoch).collect();
                let unique: BTreeSet<u64> = epochs.iter().copied().collect();
                prop_assert_eq!(epochs.len(), unique.len(), "one epoch has two owners");
                let newest = topic.owner.as_ref().map_or(0, |owner| owner.epoch);
                let is_unrecorded = entries
                    .iter()
                    .any(|e| e.owned_epoch.is_some_and(|epoch| epoch > newest));
                prop_assert!(!is_unrecorded, "an owner has a later epoch than the newest record");
            }
        }
    }

    /// Guards against entries that remain without an owner after all faults have ended.
    #[test]
    fn one_owner_after_all_faults_have_ended(
        faults in prop::collection::vec((0_usize..3, 0_u8..2, 50_u64..2_000), 1..12),
    ) {
        let mut entries = [entry("a", 1, 0), entry("b", 2, 100), entry("c", 3, 200)];
        let mut topic = Topic::default();
        let mut now = 1_000;
        for (index, fault, millis) in faults {
            match fault {
                0 => entries[index].is_running = !entries[index].is_running,
                _ => entries[index].is_store_reachable = !entries[index].is_store_reachable,
            }
            now = run(now, millis, &mut entries, &mut topic);
        }
        for entry in &mut entries {
            entry.is_running = true;
            entry.is_store_reachable = true;
        }
        run(now, 4_000, &mut entries, &mut topic);
        prop_assert_eq!(entries.iter().filter(|e| e.owned_epoch.is_some()).count(), 1);
    }

    /// Guards against an owner that answers from the past: whatever was frozen or cut off, no other
    /// process has claimed while the last renewal of an owner is valid.
    #[test]
    fn no_claim_while_a_renewal_is_valid(
        faults in prop::collection::vec((0_usize..3, 0_u8..3, 50_u64..3_000), 1..20),
        delays in prop::array::uniform3(0_u64..300),
    ) {
        let mut entries = [
            entry("a", 1, delays[0]), entry("b", 2, delays[1]), entry("c", 3, delays[2]),
        ];
        let mut topic = Topic::default();
        let mut now = 1_000;
        for (index, fault, millis) in faults {
            match fault {
                0 => entries[index].is_frozen = !entries[index].is_frozen,
                1 => entries[index].is_store_reachable = !entries[index].is_store_reachable,
                _ => entries[index].is_frozen = false,
            }
            for _ in 0..millis / 10 {
                now = run(now, 10, &mut entries, &mut topic);
                let newest = topic.owner.as_ref().map_or(0, |owner| owner.epoch);
                let is_valid = |at: Millis| Millis(now).since(at) <= RENEWAL_VALIDITY;
                let mut valid = entries.iter().filter(|e| e.renewed_at.is_some_and(is_valid));
                let is_current = valid.all(|e| e.owned_epoch.is_none_or(|epoch| epoch == newest));
                prop_assert!(is_current, "a later owner claimed while a renewal was valid");
            }
        }
    }
}
