//! Definitions of the settings, from which the flags and the public tables are generated.

use argh::FromArgs;

/// One setting of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name; the flag is `--<name>`.
    pub name: &'static str,
    /// Environment variable that is read when the flag is not given.
    pub env: &'static str,
    /// Value if neither flag nor variable is given; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description of the allowed values, for messages and the manual.
    pub allowed: &'static str,
    /// Description of the setting, for `--help` and the manual.
    pub doc: &'static str,
}

/// Parsed flags of a daemon.
pub(super) trait Flags: FromArgs {
    /// All settings of the daemon.
    const TABLE: &'static [Setting];

    /// Returns the value of a flag; `None` if it was not given.
    fn value(&self, name: &str) -> Option<&str>;

    /// Tells whether `--check` was given, which only validates the settings.
    fn is_check_only(&self) -> bool;
}

/// Defines the flags of a daemon and the table of its settings.
macro_rules! settings {
    (
        $(#[doc = $about:tt])* $flags:ident, $table:ident, $daemon:tt;
        $($field:ident, $name:tt, $env:tt, $default:expr, $allowed:tt, $doc:tt;)*
    ) => {
        #[doc = concat!("Settings of `", $daemon, "`.")]
        pub const $table: &[Setting] = &[
            $(Setting { name: $name, env: $env, default: $default, allowed: $allowed, doc: $doc },)*
        ];

        $(#[doc = $about])*
        #[derive(FromArgs)]
        pub(super) struct $flags {
            $(
                #[argh(option, long = $name, arg_name = "value", description = $doc)]
                $field: Option<String>,
            )*
            /// check the settings and exit
            #[argh(switch)]
            check: bool,
        }

        impl Flags for $flags {
            const TABLE: &'static [Setting] = $table;

            fn value(&self, name: &str) -> Option<&str> {
                match name {
                    $($name => self.$field.as_deref(),)*
                    _ => None,
                }
            }

            fn is_check_only(&self) -> bool {
                self.check
            }
        }
    };
}

settings! {
    /// Entry of hyssoptrack: takes the requests of callers and operators and owns cells. Each
    /// setting may also be given in the environment, as HYSSOP_ and its name.
    EntryFlags, ENTRY_SETTINGS, "hyssop-entry";
    name, "name", "HYSSOP_NAME", None,
        "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
        "name of this entry, the same after a restart";
    domain, "domain", "HYSSOP_DOMAIN", None,
        "one of the failure domains in domains",
        "failure domain of this host";
    listen, "listen", "HYSSOP_LISTEN", None,
        "<ip>:<port>; port 0 takes a free one",
        "address for the HTTP requests of callers and operators";
    rpc, "rpc", "HYSSOP_RPC", None,
        "<ip>:<port>; port 0 takes a free one; not the address of listen",
        "address for the other entries and the agents";
    peers, "peers", "HYSSOP_PEERS", Some(""),
        "comma-separated <name>=<ip>:<port>, each name once, without this entry",
        "all other entries with their rpc addresses";
    log, "log", "HYSSOP_LOG", None,
        "http://<ip>:<port>",
        "log service of the platform";
    workers, "workers", "HYSSOP_WORKERS", Some(""),
        "comma-separated <name>@<domain>[/<shard>]=http://<ip>:<port>, each name once, domains of domains, at most 32 to a cell",
        "workers with their cells; without a shard, shard 0";
    domains, "domains", "HYSSOP_DOMAINS", None,
        "comma-separated names of 1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':', one or more, each once",
        "all failure domains";
    tokens, "tokens", "HYSSOP_TOKENS", Some(""),
        "comma-separated <team>=<token>; a token has 8 to 256 printable ASCII characters without ',' and '=' and is used once",
        "tokens of the teams; better given in the environment";
    operator_token, "operator-token", "HYSSOP_OPERATOR_TOKEN", None,
        "8 to 256 printable ASCII characters without ',' and '=', not a token of a team",
        "token of the operators of the fleet; better given in the environment";
    retention, "retention", "HYSSOP_RETENTION", Some("3600"),
        "60 to 31536000",
        "seconds for which the log keeps records";
    worker_poll, "worker-poll", "HYSSOP_WORKER_POLL", Some("1000"),
        "100 to 5000",
        "milliseconds between polls of an idle worker";
    log_format, "log-format", "HYSSOP_LOG_FORMAT", Some("text"),
        "text, json",
        "format of the log lines on standard output";
    log_level, "log-level", "HYSSOP_LOG_LEVEL", Some("info"),
        "off, error, warn, info, debug, trace",
        "least severity of the log lines";
    otlp, "otlp", "HYSSOP_OTLP", Some(""),
        "http://<ip>:<port>, or empty",
        "collector to which the metrics are sent by OTLP over HTTP";
    shutdown_limit, "shutdown-limit", "HYSSOP_SHUTDOWN_LIMIT", Some("30"),
        "1 to 3600",
        "seconds for which a stop waits for requests in flight";
}

settings! {
    /// Agent of hyssoptrack: runs beside a backend server, announces it and enforces its limits.
    /// Each setting may also be given in the environment, as HYSSOP_ and its name.
    AgentFlags, AGENT_SETTINGS, "hyssop-agent";
    name, "name", "HYSSOP_NAME", None,
        "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
        "name of this agent, the same after a restart";
    domain, "domain", "HYSSOP_DOMAIN", None,
        "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
        "failure domain of this host";
    rack, "rack", "HYSSOP_RACK", None,
        "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
        "rack of this host";
    service, "service", "HYSSOP_SERVICE", None,
        "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
        "service of the backend server";
    listen, "listen", "HYSSOP_LISTEN", None,
        "<ip>:<port>; port 0 takes a free one",
        "address for the HTTP announcements of the backend server";
    rpc, "rpc", "HYSSOP_RPC", None,
        "<ip>:<port> with the host's own IP number; port 0 takes a free one; not the address of listen",
        "address for the entries, which is announced to them";
    entries, "entries", "HYSSOP_ENTRIES", None,
        "comma-separated <name>=<ip>:<port>, one or more, each name once",
        "all entries with their rpc addresses";
    announce_interval, "announce-interval", "HYSSOP_ANNOUNCE_INTERVAL", Some("1000"),
        "100 to 10000",
        "milliseconds between announcements to each entry";
    log_format, "log-format", "HYSSOP_LOG_FORMAT", Some("text"),
        "text, json",
        "format of the log lines on standard output";
    log_level, "log-level", "HYSSOP_LOG_LEVEL", Some("info"),
        "off, error, warn, info, debug, trace",
        "least severity of the log lines";
    otlp, "otlp", "HYSSOP_OTLP", Some(""),
        "http://<ip>:<port>, or empty",
        "collector to which the metrics are sent by OTLP over HTTP";
    shutdown_limit, "shutdown-limit", "HYSSOP_SHUTDOWN_LIMIT", Some("90"),
        "1 to 3600",
        "seconds for which a stop waits for requests in flight and unused tickets";
}
