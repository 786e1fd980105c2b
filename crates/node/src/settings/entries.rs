//! Settings of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hyssop_core::limits::MAX_CELL_WORKERS;
use hyssop_core::{CellId, DomainName, EntryName, Millis, TeamName};

use super::sources::{Source, split_list};
use super::tables::EntryFlags;
use super::{EntryAddress, Exit, HttpBase, LogSettings, Secret, Tokens, WorkerAddress};

/// Checked settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this entry, the same after a restart.
    pub name: EntryName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Listening address for the HTTP requests of callers and operators; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Listening address for RPC calls of the other entries and the agents.
    pub rpc: SocketAddr,
    /// All other entries; this one isn't among them.
    pub peers: Vec<EntryAddress>,
    /// Base URL of the platform's log service.
    pub log: HttpBase,
    /// All workers with their cells.
    pub workers: Vec<WorkerAddress>,
    /// All failure domains of the fleet; never empty.
    pub domains: BTreeSet<DomainName>,
    /// Tokens by which the teams authenticate.
    pub tokens: Tokens,
    /// Token by which the operators of the fleet authenticate.
    pub operator_token: Secret,
    /// Time for which the log service retains records.
    pub retention: Millis,
    /// Time between two polls of an idle worker.
    pub worker_poll: Millis,
    /// Format and least severity of the log lines.
    pub log_lines: LogSettings,
    /// Collector to which the metrics are exported; `None` if there is none.
    pub otlp: Option<HttpBase>,
    /// Longest time that a stop waits for requests in flight.
    pub shutdown_limit: Millis,
}

impl EntrySettings {
    /// Reads and validates the settings from the arguments, without the program name, and from the
    /// environment.
    ///
    /// # Errors
    ///
    /// Returns an [`Exit`] if help or a check was requested, if the command line is malformed, or
    /// if any value is invalid, and then with all problems.
    pub fn load(args: &[&str], env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Exit> {
        let mut source = Source::<EntryFlags>::new("hyssop-entry", args, env)?;
        let settings = read(&mut source);
        source.finish(settings)
    }

    /// Returns all cells in order, each once: shard 0 of each failure domain, and the cells of the
    /// workers.
    #[must_use]
    pub fn cells(&self) -> Vec<CellId> {
        let domains = self.domains.iter().cloned();
        let first = domains.map(|domain| CellId::new(domain, 0));
        let named = self.workers.iter().map(|worker| worker.cell.clone());
        let cells: BTreeSet<_> = first.chain(named).collect();
        cells.into_iter().collect()
    }

    /// Returns the names of all entries, this one included.
    pub fn entries(&self) -> impl Iterator<Item = &EntryName> {
        let peers = self.peers.iter().map(|peer| &peer.name);
        peers.chain(std::iter::once(&self.name))
    }
}

/// Reads every setting, also after a problem, so that all problems are found.
fn read(source: &mut Source<'_, EntryFlags>) -> Option<EntrySettings> {
    let name = source.value("name", |text| EntryName::new(text).ok());
    let domains = read_domains(source);
    let domain = read_domain(source, &domains);
    let listen = source.address("listen");
    let rpc = source.address("rpc");
    source.check_distinct(listen, rpc);
    let peers = read_peers(source, name.as_ref());
    let log = source.value("log", HttpBase::parse);
    let workers = read_workers(source, &domains);
    let tokens = read_tokens(source);
    let operator_token = read_operator_token(source, &tokens);
    let retention = source.seconds("retention", 60..=31_536_000);
    let worker_poll = source.millis("worker-poll", 100..=5_000);
    let log_lines = source.log_lines();
    let otlp = source.collector();
    let shutdown_limit = source.seconds("shutdown-limit", 1..=3_600);
    Some(EntrySettings {
        name: name?,
        domain: domain?,
        listen: listen?,
        rpc: rpc?,
        peers,
        log: log?,
        workers,
        domains,
        tokens,
        operator_token: operator_token?,
        retention: retention?,
        worker_poll: worker_poll?,
        log_lines: log_lines?,
        otlp: otlp?,
        shutdown_limit: shutdown_limit?,
    })
}

fn read_domains(source: &mut Source<'_, EntryFlags>) -> BTreeSet<DomainName> {
    let names = source.list("domains", |text| DomainName::new(text).ok());
    source.check_unique("domains", &names, |name| name);
    BTreeSet::from_iter(names)
}

/// Tells whether a domain is among `domains`. While that list is empty because it was invalid,
/// every domain is accepted, so that the same problem isn't reported twice.
fn is_known(domain: &DomainName, domains: &BTreeSet<DomainName>) -> bool {
    domains.is_empty() || domains.contains(domain)
}

fn read_domain(
    source: &mut Source<'_, EntryFlags>,
    domains: &BTreeSet<DomainName>,
) -> Option<DomainName> {
    source.value("domain", |text| {
        let domain = DomainName::new(text).ok()?;
        is_known(&domain, domains).then_some(domain)
    })
}

fn read_peers(
    source: &mut Source<'_, EntryFlags>,
    own_name: Option<&EntryName>,
) -> Vec<EntryAddress> {
    let peers = source.list("peers", EntryAddress::parse);
    source.check_unique("peers", &peers, |peer| &peer.name);
    source.check_unique("peers", &peers, |peer| &peer.address);
    if peers.iter().any(|peer| Some(&peer.name) == own_name) {
        source.reject("peers", "this entry is among them");
    }
    peers
}

fn read_workers(
    source: &mut Source<'_, EntryFlags>,
    domains: &BTreeSet<DomainName>,
) -> Vec<WorkerAddress> {
    let workers = source.list("workers", WorkerAddress::parse);
    source.check_unique("workers", &workers, |worker| &worker.name);
    source.check_unique("workers", &workers, |worker| &worker.base_url);
    let mut sizes = BTreeMap::<&CellId, usize>::new();
    for worker in &workers {
        let domain = &worker.cell.domain;
        if !is_known(domain, domains) {
            let found = format!("{} in unknown domain {domain}", worker.name);
            source.reject("workers", found);
        }
        *sizes.entry(&worker.cell).or_default() += 1;
    }
    for (cell, size) in sizes {
        if size > MAX_CELL_WORKERS {
            source.reject("workers", format!("{size} workers in cell {cell}"));
        }
    }
    workers
}

/// Reads the tokens of the teams. Problems never contain the text of an item.
fn read_tokens(source: &mut Source<'_, EntryFlags>) -> Tokens {
    let text = source.text("tokens").unwrap_or_default();
    let mut tokens = Tokens::default();
    for (index, item) in split_list(&text).enumerate() {
        let parsed = item
            .split_once('=')
            .and_then(|(team, token)| Some((TeamName::new(team).ok()?, Secret::new(token)?)));
        let number = index + 1;
        match parsed {
            None => source.reject("tokens", format!("item {number} (hidden)")),
            Some((team, token)) => {
                if !tokens.insert(team, token) {
                    let found = format!("item {number} (hidden) repeats a token");
                    source.reject("tokens", found);
                }
            }
        }
    }
    tokens
}

fn read_operator_token(source: &mut Source<'_, EntryFlags>, tokens: &Tokens) -> Option<Secret> {
    let text = source.text("operator-token")?;
    let secret = Secret::new(&text);
    if secret.is_none() {
        source.reject("operator-token", "(hidden)");
    }
    if let Some(team) = tokens.team(&text) {
        let found = format!("(hidden) is the token of team {team}");
        source.reject("operator-token", found);
    }
    secret
}
