//! The stand-ins and the daemons, as threads of this program.

use {
    crate::error::QuickstartError,
    compact_str::ToCompactString,
    egretlb_config::{Settings, parse_settings},
    egretlb_net::{Running, start_entry, start_scheduler},
    egretlb_standins::{
        checker::History,
        log::{LogServer, LogSettings, start_log},
        vms::start_vms,
        worker::{WorkerServer, WorkerSettings, start_worker},
    },
    egretlb_types::{Megabytes, MilliCores, Resources, VmId, VmRecord, VmState},
    std::net::SocketAddr,
};

/// Number of workers, two in each data centre.
const WORKERS: usize = 8;

/// The data centres of the workers.
const DATA_CENTRES: [&str; 4] = ["bog-a", "bog-b", "bog-c", "bog-d"];

/// Number of entries, and of schedulers.
pub(crate) const NODES: usize = 2;

/// The running parts.
pub(crate) struct System {
    pub(crate) log: LogServer,
    pub(crate) workers: Vec<WorkerServer>,
    pub(crate) schedulers: Vec<Running>,
    pub(crate) entries: Vec<Running>,
}

fn capacity() -> Resources {
    Resources { cpu: MilliCores(30_000), memory: Megabytes(125_000), ..Resources::default() }
}

fn vm(n: usize) -> VmId {
    format!("worker-{n}").parse().expect("a valid name")
}

fn worker(n: usize) -> Result<(WorkerServer, VmRecord), QuickstartError> {
    let settings = WorkerSettings::new(vm(n), capacity());
    let server = start_worker(settings, 0).map_err(QuickstartError::StandIn)?;
    let data_centre = DATA_CENTRES[n % DATA_CENTRES.len()];
    let record = VmRecord {
        vm: vm(n),
        addr: server.addr().to_compact_string(),
        data_centre: data_centre.parse().expect("a valid name"),
        rack: format!("rack-{data_centre}").parse().expect("a valid name"),
        state: VmState::Live,
        capacity: capacity(),
        slots: 8,
        connections: 64,
    };
    Ok((server, record))
}

fn settings(n: usize, entry: bool, log: SocketAddr, vms: SocketAddr) -> Settings {
    let callers = if entry { r#""callers": "127.0.0.1:0","# } else { "" };
    let role = if entry { "entry" } else { "scheduler" };
    let data_centre = DATA_CENTRES[n % DATA_CENTRES.len()];
    let text = format!(
        r#"{{ "name": "{role}-{n}", "data_centre": "{data_centre}",
             "listen": {{ {callers} "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" }},
             "log_service": ["{log}"], "vm_list": "{vms}" }}"#
    );
    parse_settings(&text).expect("settings without faults")
}

impl System {
    /// Starts all parts without a configuration.
    pub(crate) fn start() -> Result<Self, QuickstartError> {
        let log = start_log(LogSettings::default(), 0).map_err(QuickstartError::StandIn)?;
        let workers: Result<Vec<_>, _> = (0..WORKERS).map(worker).collect();
        let (workers, records): (Vec<_>, Vec<_>) = workers?.into_iter().unzip();
        let vms = start_vms(records, 0).map_err(QuickstartError::StandIn)?;
        let settings_for = |n, entry| settings(n, entry, log.addr(), vms.addr());
        let schedulers: Result<Vec<_>, _> =
            (0..NODES).map(|n| start_scheduler(&settings_for(n, false))).collect();
        let entries: Result<Vec<_>, _> =
            (0..NODES).map(|n| start_entry(&settings_for(n, true))).collect();
        Ok(System {
            log,
            workers,
            schedulers: schedulers.map_err(QuickstartError::Daemon)?,
            entries: entries.map_err(QuickstartError::Daemon)?,
        })
    }

    /// Returns an entry's callers' address.
    pub(crate) fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].callers().expect("entries take callers")
    }

    /// Returns the first entry's operators' address.
    pub(crate) fn operators(&self) -> SocketAddr {
        self.entries[0].operators()
    }

    /// Returns the workers' events and capacities.
    pub(crate) fn history(&self) -> History {
        History {
            worker_events: self.workers.iter().flat_map(WorkerServer::history).collect(),
            capacities: (0..WORKERS).map(|n| (vm(n), capacity())).collect(),
            ..History::default()
        }
    }

    /// Shuts all daemons down gracefully; returns the number of aborted requests.
    pub(crate) fn stop(self) -> usize {
        let daemons: Vec<_> = self.entries.into_iter().chain(self.schedulers).collect();
        daemons.iter().for_each(Running::shutdown);
        daemons.into_iter().map(|daemon| daemon.join().cut_off).sum()
    }
}
