//! Settings of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hyssop_core::limits::MAX_CELL_WORKERS;
use hyssop_core::{CellId, DomainName, EntryName, Millis, TeamName};

use super::sources::{Source, items_of};
use super::tables::EntryFlags;
use super::{EntryAddress, Exit, HttpBase, LogSettings, Secret, Tokens, WorkerAddress};

/// Checked settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this entry.
    pub name: EntryName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for the HTTP requests of callers and operators.
    pub listen: SocketAddr,
    /// Address for the other entries and the agents.
    pub rpc: SocketAddr,
    /// All other entries.
    pub peers: Vec<EntryAddress>,
    /// Log service of the platform.
    pub log: HttpBase,
    /// Workers.
    pub workers: Vec<WorkerAddress>,
    /// All failure domains.
    pub domains: BTreeSet<DomainName>,
    /// Tokens of the teams.
    pub tokens: Tokens,
    /// Token of the operators of the fleet.
    pub operator_token: Secret,
    /// Time for which the log keeps records.
    pub retention: Millis,
    /// Interval of polls of an idle worker.
    pub worker_poll: Millis,
    /// Log lines.
    pub log_lines: LogSettings,
    /// Collector of the metrics.
    pub otlp: Option<HttpBase>,
    /// Longest wait of a stop for requests in flight.
    pub shutdown_limit: Millis,
}

impl EntrySettings {
    /// Reads and checks the settings from the arguments, without the name of the program, and the
    /// environment.
    ///
    /// # Errors
    ///
    /// Returns an [`Exit`] if help or a check was asked for, and with all problems if a value is
    /// not allowed.
    pub fn load(args: &[&str], env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Exit> {
        let mut source = Source::<EntryFlags>::new("hyssop-entry", args, env)?;
        let settings = read(&mut source);
        source.finish(settings)
    }

    /// Returns the cells: shard 0 of each failure domain and those of the workers.
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

/// Reads every setting before it gives up, so that all problems are found.
fn read(source: &mut Source<'_, EntryFlags>) -> Option<EntrySettings> {
    let name = source.value("name", |text| EntryName::new(text).ok());
    let domains = read_domains(source);
    let domain = read_domain(source, &domains);
    let listen = source.address("listen");
    let rpc = source.address("rpc");
    source.distinct(listen, rpc);
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
    source.unique("domains", &names, |name| name);
    BTreeSet::from_iter(names)
}

/// Tells whether a domain is among the known ones; any is while the list itself is refused.
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

fn read_peers(source: &mut Source<'_, EntryFlags>, own: Option<&EntryName>) -> Vec<EntryAddress> {
    let peers = source.list("peers", EntryAddress::parse);
    source.unique("peers", &peers, |peer| &peer.name);
    source.unique("peers", &peers, |peer| &peer.address);
    if peers.iter().any(|peer| Some(&peer.name) == own) {
        source.refuse("peers", "this entry is among them");
    }
    peers
}

fn read_workers(
    source: &mut Source<'_, EntryFlags>,
    domains: &BTreeSet<DomainName>,
) -> Vec<WorkerAddress> {
    let workers = source.list("workers", WorkerAddress::parse);
    source.unique("workers", &workers, |worker| &worker.name);
    source.unique("workers", &workers, |worker| &worker.base_url);
    let mut sizes = BTreeMap::<&CellId, usize>::new();
    for worker in &workers {
        let domain = &worker.cell.domain;
        if !is_known(domain, domains) {
            let found = format!("{} in unknown domain {domain}", worker.name);
            source.refuse("workers", found);
        }
        *sizes.entry(&worker.cell).or_default() += 1;
    }
    for (cell, size) in sizes {
        if size > MAX_CELL_WORKERS {
            source.refuse("workers", format!("{size} workers in cell {cell}"));
        }
    }
    workers
}

/// Reads the tokens without ever putting one into a message.
fn read_tokens(source: &mut Source<'_, EntryFlags>) -> Tokens {
    let text = source.text("tokens").unwrap_or_default();
    let mut tokens = Tokens::default();
    for (index, item) in items_of(&text).enumerate() {
        let parsed = item
            .split_once('=')
            .and_then(|(team, token)| Some((TeamName::new(team).ok()?, Secret::new(token)?)));
        let number = index + 1;
        match parsed {
            None => source.refuse("tokens", format!("item {number} (hidden)")),
            Some((team, token)) => {
                if !tokens.insert(team, token) {
                    let found = format!("item {number} (hidden) repeats a token");
                    source.refuse("tokens", found);
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
        source.refuse("operator-token", "(hidden)");
    }
    if let Some(team) = tokens.team(&text) {
        let found = format!("(hidden) is the token of team {team}");
        source.refuse("operator-token", found);
    }
    secret
}
