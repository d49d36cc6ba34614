//! State dump of an entry, without bodies and keys.

use {
    super::{Entry, health::HealthState},
    egretlb_types::{ClassName, VmId},
    serde::{Deserialize, Serialize},
};

/// State of an entry.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryDump {
    /// Number of unfinished requests.
    pub requests: usize,
    /// Number of exchanges open at backend servers.
    pub attempts: usize,
    /// Number of outcome reports that key owners haven't confirmed.
    pub reports: usize,
    /// Whether the entry refuses new requests because of a shutdown.
    pub shutting_down: bool,
    /// The latency-critical classes of the current configuration.
    pub classes: Vec<ClassDump>,
    /// The backend servers.
    pub servers: Vec<ServerDump>,
}

/// One class in an [`EntryDump`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassDump {
    /// Name of the class.
    pub class: ClassName,
    /// Number of waiting requests.
    pub queued: usize,
    /// Number of open exchanges.
    pub open: u32,
    /// Limit on open exchanges; `None` if latency hasn't set one.
    pub limit: Option<u32>,
    /// Median of the recent latencies, in microseconds.
    pub p50_micros: Option<u64>,
    /// 99th percentile of the recent latencies, in microseconds.
    pub p99_micros: Option<u64>,
    /// Number of backend servers that run the class.
    pub servers: u32,
}

/// One backend server in an [`EntryDump`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerDump {
    /// The server's VM.
    pub vm: VmId,
    /// Maximum number of requests that the entry may have open there.
    pub share: u16,
    /// Number of requests that it has open there.
    pub open: u16,
    /// Latency relative to the class means, in thousandths.
    pub slowness_permille: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is probed after an ejection.
    pub probing: bool,
}

impl Entry {
    /// Returns the state for a dump.
    pub fn dump(&self) -> EntryDump {
        let micros = |span: std::time::Duration| span.as_micros() as u64;
        let classes = self.classes.indices().map(|ix| (ix, self.classes.get(ix)));
        let configured = classes.filter(|(_, class)| class.settings.is_some());
        let servers = self.servers.iter().map(|(_, server)| ServerDump {
            vm: server.vm.clone(),
            share: server.share,
            open: server.open,
            slowness_permille: (server.health.slowness * 1_000.0) as u32,
            ejected: matches!(server.health.state, HealthState::Ejected { .. }),
            probing: matches!(server.health.state, HealthState::Probing { .. }),
        });
        EntryDump {
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            reports: self.reports.len(),
            shutting_down: self.shutdown_started_at.is_some(),
            classes: configured
                .map(|(ix, class)| ClassDump {
                    class: class.name.clone(),
                    queued: class.queue.len(),
                    open: class.open,
                    limit: class.limit.get(),
                    p50_micros: class.latency.quantile(500).map(micros),
                    p99_micros: class.latency.quantile(990).map(micros),
                    servers: self.servers.server_count(ix),
                })
                .collect(),
            servers: servers.collect(),
        }
    }
}
