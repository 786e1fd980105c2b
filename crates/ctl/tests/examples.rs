//! The example documents: they are valid, and their resources fit the users' fleets.

use std::collections::BTreeMap;
use std::path::PathBuf;

use hyssop_core::{Class, DomainName, Resources, ServiceDoc};
use rstest::rstest;

/// Capacity of one worker: 16 cores and 60 GB.
const WORKER_CAPACITY: Resources = Resources::new(16_000, 57_220, 0);
/// Number of workers of each domain, ten in total; the first domain is the largest.
const WORKERS_PER_DOMAIN: [u32; 3] = [4, 3, 3];

fn load_documents(user: &str) -> BTreeMap<String, ServiceDoc> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut docs = BTreeMap::new();
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        if name.starts_with(&format!("{user}.")) {
            let text = std::fs::read_to_string(&path).unwrap();
            let doc = ServiceDoc::parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
            docs.insert(name, doc);
        }
    }
    docs
}

/// Guards against an example that the parser rejects, or whose file is named after another service.
#[rstest]
#[case("haugland", &["cut-lists", "day-sheets", "planner", "route-plans", "slot-watchers"], &["bergen-a", "bergen-b", "forde"])]
#[case("morski", &["logbook", "quota-summaries", "reconciliations"], &["gdynia", "kolobrzeg", "wladyslawowo"])]
fn examples_parse(#[case] user: &str, #[case] services: &[&str], #[case] domains: &[&str]) {
    let docs = load_documents(user);
    let found: Vec<&str> = docs.values().map(|doc| doc.service.as_str()).collect();
    assert_eq!(found, services);
    for (name, doc) in &docs {
        assert_eq!(name, &format!("{user}.{}.toml", doc.service));
        assert_eq!(doc.team.as_str(), user);
        let allowed: Vec<&str> = doc.domains.iter().map(DomainName::as_str).collect();
        assert_eq!(allowed, domains, "{name}");
        assert!(
            doc.needs.resources.fits(WORKER_CAPACITY),
            "{name} is larger than a worker"
        );
    }
}

/// Guards against examples whose latency-critical instances do not fit while the largest domain is
/// out for cleaning. Every weekly cleaning would then need `--force`.
#[rstest]
#[case("haugland", "planner")]
#[case("morski", "logbook")]
fn latency_critical_instances_fit_without_the_largest_domain(
    #[case] user: &str,
    #[case] main_service: &str,
) {
    let docs = load_documents(user);
    let critical: Vec<_> = docs
        .values()
        .filter(|d| d.class == Class::LatencyCritical)
        .collect();
    let doc = critical
        .iter()
        .find(|d| d.service.as_str() == main_service)
        .unwrap();
    assert_eq!(doc.needs.instances, 10);
    assert_eq!((doc.limits.slots, doc.limits.connections), (8, 64));

    let remaining_workers: u32 = WORKERS_PER_DOMAIN[1..].iter().sum();
    let mut free = vec![WORKER_CAPACITY; remaining_workers as usize];
    for doc in critical {
        for _ in 0..doc.needs.instances {
            place_instance(&mut free, doc.needs.resources);
        }
    }
}

/// Places one instance on the worker with the most free cores.
fn place_instance(free: &mut [Resources], needs: Resources) {
    let worker = free.iter_mut().max_by_key(|free| free.cpu).unwrap();
    assert!(
        needs.fits(*worker),
        "no worker has free capacity for {needs:?}"
    );
    *worker = worker.saturating_sub(needs);
}
