//! Settings of an agent.

use std::net::SocketAddr;

use hyssop_core::{AgentName, DomainName, Millis, RackName, ServiceName};

use super::sources::Source;
use super::tables::AgentFlags;
use super::{EntryAddress, Exit, HttpBase, LogSettings};

/// Checked settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of this agent, the same after a restart.
    pub name: AgentName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Rack of the host.
    pub rack: RackName,
    /// Service that the backend server implements.
    pub service: ServiceName,
    /// Listening address for the HTTP announcements of the backend server; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Listening address for RPC calls of the entries, which is announced to them.
    pub rpc: SocketAddr,
    /// All entries; never empty.
    pub entries: Vec<EntryAddress>,
    /// Time between two announcements to an entry.
    pub announce_interval: Millis,
    /// Format and least severity of the log lines.
    pub log_lines: LogSettings,
    /// Collector to which the metrics are exported; `None` if there is none.
    pub otlp: Option<HttpBase>,
    /// Longest time that a stop waits for requests in flight and unused tickets.
    pub shutdown_limit: Millis,
}

impl AgentSettings {
    /// Reads and validates the settings from the arguments, without the program name, and from the
    /// environment.
    ///
    /// # Errors
    ///
    /// Returns an [`Exit`] if help or a check was requested, if the command line is malformed, or
    /// if any value is invalid, and then with all problems.
    pub fn load(args: &[&str], env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Exit> {
        let mut source = Source::<AgentFlags>::new("hyssop-agent", args, env)?;
        let settings = read(&mut source);
        source.finish(settings)
    }
}

/// Reads every setting, also after a problem, so that all problems are found.
fn read(source: &mut Source<'_, AgentFlags>) -> Option<AgentSettings> {
    let name = source.value("name", |text| AgentName::new(text).ok());
    let domain = source.value("domain", |text| DomainName::new(text).ok());
    let rack = source.value("rack", |text| RackName::new(text).ok());
    let service = source.value("service", |text| ServiceName::new(text).ok());
    let listen = source.address("listen");
    let rpc = read_rpc(source);
    source.check_distinct(listen, rpc);
    let entries = read_entries(source);
    let announce_interval = source.millis("announce-interval", 100..=10_000);
    let log_lines = source.log_lines();
    let otlp = source.collector();
    let shutdown_limit = source.seconds("shutdown-limit", 1..=3_600);
    Some(AgentSettings {
        name: name?,
        domain: domain?,
        rack: rack?,
        service: service?,
        listen: listen?,
        rpc: rpc?,
        entries,
        announce_interval: announce_interval?,
        log_lines: log_lines?,
        otlp: otlp?,
        shutdown_limit: shutdown_limit?,
    })
}

/// Reads the RPC address. It is announced to the entries, so it can't be the unspecified address.
fn read_rpc(source: &mut Source<'_, AgentFlags>) -> Option<SocketAddr> {
    source.value("rpc", |text| {
        let address: SocketAddr = text.parse().ok()?;
        (!address.ip().is_unspecified()).then_some(address)
    })
}

fn read_entries(source: &mut Source<'_, AgentFlags>) -> Vec<EntryAddress> {
    let entries = source.list("entries", EntryAddress::parse);
    source.check_unique("entries", &entries, |entry| &entry.name);
    source.check_unique("entries", &entries, |entry| &entry.address);
    entries
}
