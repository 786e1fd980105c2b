//! Settings of an agent.

use std::net::SocketAddr;

use hyssop_core::{AgentName, DomainName, Millis, RackName, ServiceName};

use super::sources::Source;
use super::tables::AgentFlags;
use super::{EntryAddress, Exit, HttpBase, LogSettings};

/// Checked settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Name of this agent.
    pub name: AgentName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Rack of the host.
    pub rack: RackName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address for the HTTP announcements of the backend server.
    pub listen: SocketAddr,
    /// Address for the entries.
    pub rpc: SocketAddr,
    /// All entries.
    pub entries: Vec<EntryAddress>,
    /// Interval of the announcements.
    pub announce_interval: Millis,
    /// Log lines.
    pub log_lines: LogSettings,
    /// Collector of the metrics.
    pub otlp: Option<HttpBase>,
    /// Longest wait of a stop for requests in flight and unused tickets.
    pub shutdown_limit: Millis,
}

impl AgentSettings {
    /// Reads and checks the settings from the arguments, without the name of the program, and the
    /// environment.
    ///
    /// # Errors
    ///
    /// Returns an [`Exit`] if help or a check was asked for, and with all problems if a value is
    /// not allowed.
    pub fn load(args: &[&str], env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Exit> {
        let mut source = Source::<AgentFlags>::new("hyssop-agent", args, env)?;
        let settings = read(&mut source);
        source.finish(settings)
    }
}

/// Reads every setting before it gives up, so that all problems are found.
fn read(source: &mut Source<'_, AgentFlags>) -> Option<AgentSettings> {
    let name = source.value("name", |text| AgentName::new(text).ok());
    let domain = source.value("domain", |text| DomainName::new(text).ok());
    let rack = source.value("rack", |text| RackName::new(text).ok());
    let service = source.value("service", |text| ServiceName::new(text).ok());
    let listen = source.address("listen");
    let rpc = read_rpc(source);
    source.distinct(listen, rpc);
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

/// Reads the address that is announced to the entries, which has to name this host.
fn read_rpc(source: &mut Source<'_, AgentFlags>) -> Option<SocketAddr> {
    source.value("rpc", |text| {
        let address: SocketAddr = text.parse().ok()?;
        (!address.ip().is_unspecified()).then_some(address)
    })
}

fn read_entries(source: &mut Source<'_, AgentFlags>) -> Vec<EntryAddress> {
    let entries = source.list("entries", EntryAddress::parse);
    source.unique("entries", &entries, |entry| &entry.name);
    source.unique("entries", &entries, |entry| &entry.address);
    entries
}
