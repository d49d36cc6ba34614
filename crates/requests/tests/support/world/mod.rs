//! The simulated world: time, messages and the processes that exchange them.

use {
    super::{
        faults::{FaultPlan, Step},
        owners::{AUTHORITY, Append, Held, Log, Scheduler},
        servers::{Run, Server},
    },
    egretlb_requests::{
        AttemptId, BodyHash, Entry, EntryEffect, EntryEvent, EntryOptions, KeyTableEffect,
        KeyTableEvent, Protections, RequestId, ShareTableEffect, ShareTableEvent,
        entry::{Arrival, AttemptResult, QueueOrder, ShardOwner, Verdict},
        keys::{KeyJournalEntry, Permit},
        shares::{ServerInfo, ServerSpec},
    },
    egretlb_types::{
        ClassKind, ClassName, ClassSpec, ConfigDocument, DataCentre, Epoch, NodeId, Organisation,
        RequestKey, Resources, SHARD_COUNT, ShardId, Time, VmId, VmRecord, VmState, shard_of_rack,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

const TICK: Duration = Duration::from_millis(100);
const LOG_DELAY: Duration = Duration::from_millis(10);
const LOG_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_CONTROL_READ_DELAY: Duration = Duration::from_secs(1);

/// One class of the configuration.
#[derive(Clone, Debug)]
pub struct ClassSetup {
    pub name: &'static str,
    pub organisation: &'static str,
    pub target: Duration,
    pub idempotent: bool,
}

/// Parameters of a world.
#[derive(Clone, Debug)]
pub struct Setup {
    pub entries: usize,
    pub schedulers: usize,
    pub servers: usize,
    pub slots: u16,
    pub connections: u16,
    pub servers_per_rack: usize,
    pub data_centres: usize,
    pub classes: Vec<ClassSetup>,
    pub order: QueueOrder,
    pub protections: Protections,
    pub seed: u64,
}

/// History of one request for the checker.
#[derive(Clone, Debug)]
pub struct Record {
    pub class: usize,
    pub arrived: Time,
    pub work: Duration,
    pub deadline: Option<Duration>,
    pub key: Option<RequestKey>,
    /// Id of the caller's operation; each try is a request.
    pub operation: usize,
    pub entry: usize,
    pub incarnation: u32,
    pub answers: Vec<(Time, Verdict)>,
    pub runs: u32,
    pub sends: u32,
    pub caller_gone: bool,
    /// Whether the caller's connection broke because the entry died.
    pub connection_lost: bool,
}

pub struct EntrySim {
    pub reducer: Entry,
    pub node: NodeId,
    pub alive: bool,
    pub incarnation: u32,
    pub paused_until: Time,
    /// Open exchanges whose end hasn't been reported to the entry.
    pub open: HashMap<AttemptId, Run>,
    /// When its next timer event is due.
    wake_due_at: Option<Time>,
    pub drained: bool,
    /// How much faster its clock runs than the others', in thousandths.
    pub clock_permille: i64,
}

/// Events of the simulation. A `usize` is the index of the entry, server or scheduler; a `u32` is an
/// entry's incarnation or a server's generation, except in `RunAction`.
#[derive(Debug)]
pub enum SimEvent {
    Arrive(RequestId),
    ToEntry(usize, u32, Box<EntryEvent>),
    Tick(usize, u32),
    Wake(usize, u32),
    AttemptTimeout(usize, u32, AttemptId),
    ServerReceives(usize, Run),
    ResultArrives(Run, AttemptResult),
    RunFinished(usize, u32, Run),
    ToShares(usize, usize, ShareTableEvent),
    ToKeys(usize, usize, KeyTableEvent),
    SchedulerTick(usize),
    LogApply(Append),
    LogAck(Append),
    TakeOwnership(usize, ShardId, Epoch),
    Restart(usize),
    RunAction(u32),
}

/// An event, when it is due, and a number that breaks ties.
struct Due(Time, u64, SimEvent);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// When all clocks showed the same time, in microseconds.
const CLOCK_SYNC_MICROS: u64 = 100_000_000;

impl EntrySim {
    /// Time on the entry's own clock.
    pub fn clock(&self, now: Time) -> Time {
        scaled(now, 1_000 + self.clock_permille, 1_000)
    }

    /// World time when the entry's clock shows `at`, rounded up.
    pub fn world_time(&self, at: Time) -> Time {
        let time = scaled(at, 1_000, 1_000 + self.clock_permille);
        if self.clock_permille == 0 { time } else { time + Duration::from_micros(1) }
    }
}

fn scaled(time: Time, numerator: i64, denominator: i64) -> Time {
    let since = time.as_micros() as i64 - CLOCK_SYNC_MICROS as i64;
    Time::from_micros((CLOCK_SYNC_MICROS as i64 + since * numerator / denominator) as u64)
}

pub struct World {
    pub now: Time,
    queue: BinaryHeap<Reverse<Due>>,
    seq: u64,
    pub setup: Setup,
    pub rng: SmallRng,
    pub entries: Vec<EntrySim>,
    pub schedulers: Vec<Scheduler>,
    pub servers: Vec<Server>,
    by_vm: HashMap<VmId, usize>,
    pub vms: Vec<VmRecord>,
    pub log: Log,
    pub owners: BTreeMap<ShardId, (usize, Epoch)>,
    pub config: Arc<ConfigDocument>,
    pub requests: Vec<Record>,
    /// Pairs of entry and scheduler whose messages are lost, for each direction.
    pub blocked_to_owner: BTreeSet<(usize, usize)>,
    pub blocked_from_owner: BTreeSet<(usize, usize)>,
    pub plan: FaultPlan,
    /// Request of each attempt, by entry and incarnation.
    pub sent: HashMap<(usize, u32, AttemptId), RequestId>,
    /// Attempts whose answer was truncated.
    pub truncated: BTreeSet<(usize, u32, AttemptId)>,
    /// Maximum extra delay of messages between entries and owners.
    pub jitter: Duration,
    pub messages: u64,
    /// Encoded size of all share requests and grants, in bytes.
    pub share_bytes: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let mut world = World {
            now: Time::from_secs(100),
            queue: BinaryHeap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            entries: Vec::new(),
            schedulers: Vec::new(),
            servers: Vec::new(),
            by_vm: HashMap::new(),
            vms: Vec::new(),
            log: Log::default(),
            owners: BTreeMap::new(),
            config: Arc::new(document(&setup.classes)),
            requests: Vec::new(),
            blocked_to_owner: BTreeSet::new(),
            blocked_from_owner: BTreeSet::new(),
            plan: FaultPlan::default(),
            sent: HashMap::new(),
            truncated: BTreeSet::new(),
            jitter: Duration::ZERO,
            messages: 0,
            share_bytes: 0,
            setup,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        for i in 0..self.setup.servers {
            let vm: VmId = format!("vm-{i}").parse().unwrap();
            let rack = format!("rack-{}", i / self.setup.servers_per_rack);
            let dc = format!("dc-{}", i % self.setup.data_centres);
            self.vms.push(VmRecord {
                vm: vm.clone(),
                addr: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
                data_centre: dc.parse().unwrap(),
                rack: rack.parse().unwrap(),
                state: VmState::Live,
                capacity: Resources::default(),
                slots: self.setup.slots,
                connections: self.setup.connections,
            });
            self.by_vm.insert(vm.clone(), i);
            self.servers.push(Server::new(vm, usize::from(self.setup.slots)));
        }
        for i in 0..self.setup.schedulers {
            let node = NodeId(1_000 + i as u64);
            self.schedulers.push(Scheduler::new(node, self.setup.protections));
            self.at(self.now, SimEvent::SchedulerTick(i));
        }
        let racks: BTreeSet<ShardId> = self.rack_shards();
        for shard in (0..SHARD_COUNT).map(ShardId) {
            // The first scheduler owns the racks and the second the keys, so that each can fail
            // alone.
            let owner = usize::from(!racks.contains(&shard)).min(self.setup.schedulers - 1);
            self.owners.insert(shard, (owner, Epoch(1)));
            self.at(self.now, SimEvent::TakeOwnership(owner, shard, Epoch(1)));
        }
        for i in 0..self.setup.entries {
            let entry = self.new_entry(i, 0);
            self.entries.push(entry);
            self.send_initial_state(i);
        }
    }

    pub fn rack_shards(&self) -> BTreeSet<ShardId> {
        self.vms.iter().map(|record| shard_of_rack(&record.rack)).collect()
    }

    fn new_entry(&self, i: usize, incarnation: u32) -> EntrySim {
        let node = NodeId(1 + i as u64 + u64::from(incarnation) * 100);
        let dc: DataCentre = format!("dc-{}", i % self.setup.data_centres).parse().unwrap();
        let seed = self.setup.seed ^ node.0;
        let opts = EntryOptions::new(node, dc, seed)
            .order(self.setup.order)
            .protections(self.setup.protections);
        EntrySim {
            reducer: Entry::new(opts),
            node,
            alive: true,
            incarnation,
            paused_until: Time::ZERO,
            open: HashMap::new(),
            wake_due_at: None,
            drained: false,
            clock_permille: 0,
        }
    }

    /// Sends a new entry its configuration, VMs and owners.
    fn send_initial_state(&mut self, i: usize) {
        self.send_to(i, EntryEvent::Config { document: self.config.clone() });
        self.send_to(i, EntryEvent::Vms { vms: self.vms.clone() });
        let owners = self.owner_list();
        self.send_to(i, EntryEvent::Owners { owners });
        let incarnation = self.entries[i].incarnation;
        self.at(self.now + TICK, SimEvent::Tick(i, incarnation));
    }

    fn owner_list(&self) -> Vec<ShardOwner> {
        let owners = self.owners.iter().map(|(shard, (owner, epoch))| ShardOwner {
            shard: *shard,
            node: self.schedulers[*owner].node,
            epoch: *epoch,
        });
        owners.collect()
    }

    /// Delivers an event to an entry now.
    pub fn send_to(&mut self, i: usize, event: EntryEvent) {
        let incarnation = self.entries[i].incarnation;
        self.at(self.now, SimEvent::ToEntry(i, incarnation, Box::new(event)));
    }

    pub fn send_to_all(&mut self, event: impl Fn() -> EntryEvent) {
        for i in 0..self.entries.len() {
            self.send_to(i, event());
        }
    }

    pub fn at(&mut self, at: Time, ev: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse(Due(at, self.seq, ev)));
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(400..1_200))
    }

    /// Delay of a message between an entry and an owner; messages may overtake each other.
    fn control_delay(&mut self) -> Duration {
        let jitter = self.jitter.as_micros() as u64;
        self.network_delay() + Duration::from_micros(self.rng.random_range(0..=jitter))
    }

    /// Schedules a caller's request at `at`.
    pub fn request(&mut self, at: Time, record: Record) -> RequestId {
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(record);
        self.at(at, SimEvent::Arrive(id));
        id
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.0 > end {
                break;
            }
            let Some(Reverse(Due(at, _, ev))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(ev);
        }
        self.now = end;
    }

    fn handle(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::Arrive(id) => self.arrive(id),
            SimEvent::ToEntry(i, incarnation, event) => self.entry_event(i, incarnation, event),
            SimEvent::Tick(i, incarnation) => {
                if self.is_running(i, incarnation) {
                    self.entry_event(i, incarnation, Box::new(EntryEvent::Tick));
                    self.at(self.now + TICK, SimEvent::Tick(i, incarnation));
                }
            }
            SimEvent::Wake(i, incarnation) => {
                if self.is_running(i, incarnation) {
                    self.entries[i].wake_due_at = None;
                    self.entry_event(i, incarnation, Box::new(EntryEvent::Tick));
                }
            }
            SimEvent::AttemptTimeout(i, incarnation, attempt) => {
                if self.is_running(i, incarnation) && self.entries[i].open.contains_key(&attempt) {
                    self.end_attempt(i, attempt, AttemptResult::Failed);
                }
            }
            SimEvent::ServerReceives(server, run) => self.server_receives(server, run),
            SimEvent::ResultArrives(run, result) => self.result_arrives(&run, result),
            SimEvent::RunFinished(server, generation, run) => {
                self.server_ran(server, generation, run)
            }
            SimEvent::ToShares(s, from, event) => self.share_event(s, from, event),
            SimEvent::ToKeys(s, from, event) => self.key_event(s, from, event),
            SimEvent::SchedulerTick(s) => self.scheduler_tick(s),
            SimEvent::LogApply(append) => self.log_apply(append),
            SimEvent::LogAck(append) => {
                let ticket = append.ticket;
                self.key_event(append.scheduler, usize::MAX, KeyTableEvent::Journaled { ticket });
            }
            SimEvent::TakeOwnership(s, shard, epoch) => self.take_ownership(s, shard, epoch),
            SimEvent::Restart(i) => self.restart_entry(i),
            SimEvent::RunAction(number) => self.run_action(number),
        }
    }

    pub fn is_running(&self, i: usize, incarnation: u32) -> bool {
        self.entries[i].alive && self.entries[i].incarnation == incarnation
    }

    fn arrive(&mut self, id: RequestId) {
        let record = &mut self.requests[id.0 as usize];
        let i = record.entry;
        record.incarnation = self.entries[i].incarnation;
        if !self.entries[i].alive {
            record.connection_lost = true;
            self.caller_retry(id);
            return;
        }
        let arrival = Arrival {
            request: id,
            class: self.setup.classes[record.class].name.parse::<ClassName>().unwrap(),
            deadline: record.deadline,
            key: record.key.clone(),
            body: BodyHash(7),
            body_size: 100,
        };
        self.send_to(i, EntryEvent::Arrived(arrival));
        self.step(Step::Arrived, id);
    }

    fn entry_event(&mut self, i: usize, incarnation: u32, event: Box<EntryEvent>) {
        if !self.is_running(i, incarnation) {
            return;
        }
        let paused_until = self.entries[i].paused_until;
        if self.now < paused_until {
            self.at(paused_until, SimEvent::ToEntry(i, incarnation, event));
            return;
        }
        let mut out = Vec::new();
        let now = self.entries[i].clock(self.now);
        self.entries[i].reducer.step(now, *event, &mut out);
        for effect in out {
            self.entry_effect(i, effect);
        }
        if !self.is_running(i, incarnation) {
            return;
        }
        let wake = self.entries[i].reducer.wake_at().map(|at| self.entries[i].world_time(at));
        if let Some(at) = wake
            && self.entries[i].wake_due_at.is_none_or(|due_at| at < due_at)
        {
            self.entries[i].wake_due_at = Some(at);
            self.at(at.max(self.now), SimEvent::Wake(i, incarnation));
        }
    }
}

/// Configuration with the given classes.
fn document(classes: &[ClassSetup]) -> ConfigDocument {
    let specs = classes.iter().map(|class| ClassSpec {
        name: class.name.parse().unwrap(),
        member: class.organisation.parse::<Organisation>().unwrap(),
        team: "team".parse().unwrap(),
        kind: ClassKind::Latency {
            permille: 990,
            target: class.target,
            idempotent: class.idempotent,
            replica: Resources::default(),
            spread: false,
        },
    });
    ConfigDocument { classes: specs.collect(), ..ConfigDocument::default() }
}

mod performing;
