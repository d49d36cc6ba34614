//! The state of an entry for its dump on request: no bodies, no keys.

use {
    super::{Entry, health::Standing},
    egretlb_types::{ClassName, VmId},
    serde::{Deserialize, Serialize},
};

/// What an entry is doing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryDump {
    /// Requests that aren't finished.
    pub requests: usize,
    /// Exchanges open at backend servers.
    pub attempts: usize,
    /// Outcomes of keys that their owners haven't confirmed.
    pub reports: usize,
    /// Whether the entry takes nothing new.
    pub shutting_down: bool,
    /// The classes of the configuration in force.
    pub classes: Vec<ClassDump>,
    /// The backend servers.
    pub servers: Vec<ServerDump>,
}

/// One class in an [`EntryDump`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassDump {
    /// Its name.
    pub class: ClassName,
    /// Requests waiting.
    pub queued: usize,
    /// Exchanges open.
    pub open: u32,
    /// The most exchanges that may be open, if their latency has set a limit.
    pub limit: Option<u32>,
    /// Half of the recent answers came within this, in microseconds.
    pub p50_micros: Option<u64>,
    /// 99 in 100 of the recent answers came within this, in microseconds.
    pub p99_micros: Option<u64>,
    /// Backend servers that run it.
    pub servers: u32,
}

/// One backend server in an [`EntryDump`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerDump {
    /// Its VM.
    pub vm: VmId,
    /// How many requests the entry may have open there.
    pub share: u16,
    /// How many it has.
    pub open: u16,
    /// Its latency against the others', in thousandths.
    pub slowness_permille: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is being tried again after an ejection.
    pub probing: bool,
}

impl Entry {
    /// The state for a dump.
    pub fn dump(&self) -> EntryDump {
        let micros = |span: std::time::Duration| span.as_micros() as u64;
        let classes = self.classes.indices().map(|ix| (ix, self.classes.get(ix)));
        let served = classes.filter(|(_, class)| class.service.is_some());
        let servers = self.servers.iter().map(|(_, server)| ServerDump {
            vm: server.vm.clone(),
            share: server.share,
            open: server.open,
            slowness_permille: (server.health.slowness * 1_000.0) as u32,
            ejected: matches!(server.health.standing, Standing::Out { .. }),
            probing: matches!(server.health.standing, Standing::Probing { .. }),
        });
        EntryDump {
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            reports: self.reports.len(),
            shutting_down: self.shut_down_at.is_some(),
            classes: served
                .map(|(ix, class)| ClassDump {
                    class: class.name.clone(),
                    queued: class.queue.len(),
                    open: class.open,
                    limit: class.limit.get(),
                    p50_micros: class.latency.quantile(500).map(micros),
                    p99_micros: class.latency.quantile(990).map(micros),
                    servers: self.servers.serving(ix),
                })
                .collect(),
            servers: servers.collect(),
        }
    }
}
