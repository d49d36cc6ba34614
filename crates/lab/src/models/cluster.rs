//! Processes that follow one control stream, in virtual time.
//!
//! The log answers after 5 ms, a heartbeat arrives after 1 ms, and the recovery of a shard takes
//! 50 ms. Messages aren't lost.

use {
    crate::models::timeline::Timeline,
    compact_str::{CompactString, format_compact},
    egretlb_config::parse_config,
    egretlb_control::{
        ConfigVersion, Control, ControlEffect, ControlEvent, ControlOptions, ControlRecord,
        NodeInfo, ProposalId, Role, Validator,
    },
    egretlb_log::{AppendOutcome, ReadOutcome, Record},
    egretlb_types::{DataCentre, NodeId, Offset, SHARD_COUNT, ShardId, Time},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(100);
const LOG_DELAY: Duration = Duration::from_millis(5);
const PEER_DELAY: Duration = Duration::from_millis(1);
const RECOVERY_TIME: Duration = Duration::from_millis(50);

/// Traffic of the processes, without protocol headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Reads of the control stream.
    pub reads: u64,
    /// Bytes of the records read.
    pub read_bytes: u64,
    /// Appends to the control stream.
    pub appends: u64,
    /// Bytes appended.
    pub append_bytes: u64,
    /// Heartbeats sent.
    pub heartbeats: u64,
    /// Bytes of heartbeats sent.
    pub heartbeat_bytes: u64,
    /// Bytes of the largest heartbeat.
    pub heartbeat_max: u64,
}

/// The processes and their log.
pub struct Cluster {
    now: Time,
    nodes: Vec<Option<Control>>,
    index: BTreeMap<NodeId, usize>,
    stream: Vec<Record>,
    timeline: Timeline<(usize, ControlEvent)>,
    traffic: Traffic,
    versions_in_force: Vec<ConfigVersion>,
    cpu: Duration,
    counted_from: usize,
    out: Vec<ControlEffect>,
}

/// The validator that all processes use.
pub fn validator() -> Arc<Validator> {
    Arc::new(|text| parse_config(text).map_err(|faults| CompactString::new(faults.to_string())))
}

impl Cluster {
    /// Starts `schedulers` schedulers and as many entries.
    pub fn new(schedulers: usize, seed: u64) -> Self {
        let mut cluster = Cluster {
            now: Time::ZERO,
            nodes: Vec::new(),
            index: BTreeMap::new(),
            stream: Vec::new(),
            timeline: Timeline::new(),
            traffic: Traffic::default(),
            versions_in_force: vec![ConfigVersion::NONE; 2 * schedulers],
            cpu: Duration::ZERO,
            counted_from: 0,
            out: Vec::new(),
        };
        for n in 0..2 * schedulers {
            let role = if n < schedulers { Role::Scheduler } else { Role::Entry };
            let info = info(n, role, seed);
            cluster.index.insert(info.node, n);
            let options = ControlOptions::new(info, seed.wrapping_add(n as u64));
            cluster.nodes.push(Some(Control::new(options, validator())));
            // Spread over one tick, like processes on different VMs.
            let offset = TICK.mul_f64(n as f64 / (2 * schedulers) as f64);
            cluster.push(Time::ZERO + offset, n, ControlEvent::Tick);
        }
        cluster
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, (node, event))) = self.timeline.pop_before(until) {
            self.now = at;
            self.step(node, event);
        }
        self.now = until;
    }

    /// Advances until `done` or `limit`; returns the elapsed time.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Cluster) -> bool) -> Duration {
        let start = self.now;
        while !done(self) && self.now.since(start) < limit {
            self.run(Duration::from_millis(10));
        }
        self.now.since(start)
    }

    /// Returns whether the last process sees an owner other than `gone` for every shard.
    pub fn all_owned_without(&self, gone: Option<usize>) -> bool {
        let Some(reader) = self.nodes.iter().flatten().last() else { return false };
        let owned_by_other = |shard| {
            let owner = reader.owner_of(ShardId(shard)).and_then(|info| self.index.get(&info.node));
            owner.is_some() && owner != gone.as_ref()
        };
        (0..SHARD_COUNT).all(owned_by_other)
    }

    /// Counts the control records since the last reset by kind.
    pub fn records_by_kind(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for record in &self.stream[self.counted_from..] {
            let kind = ControlRecord::decode(&record.bytes).map_or("unreadable", |r| kind(&r));
            *kinds.entry(kind).or_default() += 1;
        }
        kinds
    }

    /// Returns the lowest configuration version in force in any living process.
    pub fn lowest_version(&self) -> ConfigVersion {
        let living =
            self.nodes.iter().zip(&self.versions_in_force).filter(|(node, _)| node.is_some());
        living.map(|(_, version)| *version).min().unwrap_or_default()
    }

    /// Kills a process.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Requests a graceful shutdown of a process.
    pub fn shut_down(&mut self, node: usize) {
        self.step(node, ControlEvent::Shutdown);
    }

    /// Proposes a document at a process, based on the process's version.
    pub fn propose(&mut self, node: usize, id: u64, document: String) {
        let base = self.versions_in_force[node];
        let by = CompactString::const_new("operator");
        let event = ControlEvent::Propose { id: ProposalId(id), base, by, document };
        self.step(node, event);
    }

    /// Resets all counts.
    pub fn reset(&mut self) {
        self.traffic = Traffic::default();
        self.cpu = Duration::ZERO;
        self.counted_from = self.stream.len();
    }

    /// Returns the traffic of all processes since the last reset.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns the duration of all reducer steps since the last reset.
    pub fn cpu(&self) -> Duration {
        self.cpu
    }

    /// Returns the encoded size of the state folded from the control stream.
    pub fn state_bytes(&self) -> usize {
        let state = self.nodes.iter().flatten().next().and_then(Control::state);
        state.map_or(0, |state| state.encode().len())
    }

    fn push(&mut self, at: Time, node: usize, event: ControlEvent) {
        self.timeline.push(at, (node, event));
    }

    fn step(&mut self, node: usize, event: ControlEvent) {
        let Some(control) = &mut self.nodes[node] else { return };
        let tick = matches!(event, ControlEvent::Tick);
        let mut out = std::mem::take(&mut self.out);
        // A step takes microseconds, too short for the kernel's CPU accounting.
        let start = Instant::now();
        control.step(self.now, event, &mut out);
        self.cpu += start.elapsed();
        if tick {
            self.push(self.now + TICK, node, ControlEvent::Tick);
        }
        for effect in out.drain(..) {
            self.perform(node, effect);
        }
        self.out = out;
    }

    fn perform(&mut self, node: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Read { from } => {
                let outcome = self.read(from);
                let event = ControlEvent::ReadDone { sent: self.now, outcome };
                self.push(self.now + LOG_DELAY, node, event);
            }
            ControlEffect::Append { ticket, bytes } => {
                self.traffic.appends += 1;
                self.traffic.append_bytes += bytes.len() as u64;
                let offset = Offset(self.stream.len() as u64);
                self.stream.push(Record { offset, bytes });
                let outcome = AppendOutcome::Appended(offset);
                self.push(self.now + LOG_DELAY, node, ControlEvent::AppendDone { ticket, outcome });
            }
            ControlEffect::Recover { shard, epoch, .. } => {
                let event = ControlEvent::RecoveryDone { shard, epoch };
                self.push(self.now + RECOVERY_TIME, node, event);
            }
            ControlEffect::Heartbeat { to, heartbeat } => {
                let len = heartbeat.encoded_len() as u64;
                self.traffic.heartbeats += 1;
                self.traffic.heartbeat_bytes += len;
                self.traffic.heartbeat_max = self.traffic.heartbeat_max.max(len);
                if let Some(peer) = self.index.get(&to.node).copied() {
                    let event = ControlEvent::HeartbeatReceived(heartbeat);
                    self.push(self.now + PEER_DELAY, peer, event);
                }
            }
            ControlEffect::ConfigInForce { version, .. } => self.versions_in_force[node] = version,
            _ => {}
        }
    }

    fn read(&mut self, from: Offset) -> ReadOutcome {
        let records = self.stream.get(from.0 as usize..).unwrap_or_default().to_vec();
        self.traffic.reads += 1;
        self.traffic.read_bytes += records.iter().map(|r| r.bytes.len() as u64).sum::<u64>();
        ReadOutcome::Page { records, next: Offset(self.stream.len() as u64), end: true }
    }
}

fn info(n: usize, role: Role, seed: u64) -> NodeInfo {
    // Spread over the whole range, like random ids.
    let node = NodeId((n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed);
    let data_centre: DataCentre = format_compact!("dc{}", n % 5).parse().expect("a name");
    NodeInfo {
        node,
        role,
        data_centre,
        peer_addr: format_compact!("10.0.{}.{}:7000", n / 250, n % 250),
        http_addr: format_compact!("10.0.{}.{}:8080", n / 250, n % 250),
    }
}

fn kind(record: &ControlRecord) -> &'static str {
    match record {
        ControlRecord::Join(_) => "join",
        ControlRecord::Leave { .. } => "leave",
        ControlRecord::Claim { .. } => "claim",
        ControlRecord::Settled { .. } => "settled",
        ControlRecord::Release { .. } => "release",
        ControlRecord::LivenessCheck { .. } => "doubt",
        ControlRecord::Propose { .. } => "propose",
        ControlRecord::Snapshot { .. } => "snapshot",
        ControlRecord::LowWaterMark { .. } => "mark",
    }
}
