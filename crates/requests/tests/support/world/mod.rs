//! The world: time, messages, and the parts that exchange them.

use {
    super::{
        faults::{Plan, Step},
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
const LOG_HALF: Duration = Duration::from_millis(10);
const LOG_AGAIN: Duration = Duration::from_millis(200);
const CONTROL_READ: Duration = Duration::from_secs(1);

/// One class of the world's configuration.
#[derive(Clone, Debug)]
pub struct ClassSetup {
    pub name: &'static str,
    pub member: &'static str,
    pub target: Duration,
    pub idempotent: bool,
}

/// The sizes of a world.
#[derive(Clone, Debug)]
pub struct Setup {
    pub entries: usize,
    pub schedulers: usize,
    pub servers: usize,
    pub slots: u16,
    pub connections: u16,
    pub per_rack: usize,
    pub data_centres: usize,
    pub classes: Vec<ClassSetup>,
    pub order: QueueOrder,
    pub protections: Protections,
    pub seed: u64,
}

/// One request as the checker sees it.
#[derive(Clone, Debug)]
pub struct Record {
    pub class: usize,
    pub arrived: Time,
    pub work: Duration,
    pub deadline: Option<Duration>,
    pub key: Option<RequestKey>,
    /// Which request of a caller this is a try of.
    pub intent: usize,
    pub entry: usize,
    pub incarnation: u32,
    pub answers: Vec<(Time, Verdict)>,
    pub runs: u32,
    pub sends: u32,
    pub caller_gone: bool,
    /// The caller's connection broke, since the entry died.
    pub cut_off: bool,
}

pub struct EntrySim {
    pub reducer: Entry,
    pub node: NodeId,
    pub alive: bool,
    pub incarnation: u32,
    pub paused_until: Time,
    /// Exchanges whose end the runtime still owes.
    pub open: HashMap<AttemptId, Run>,
    woken_at: Option<Time>,
    pub drained: bool,
    /// How much faster its clock runs than the others', in thousandths.
    pub clock_permille: i64,
}

#[derive(Debug)]
pub enum Ev {
    Arrive(RequestId),
    ToEntry(usize, u32, Box<EntryEvent>),
    Tick(usize, u32),
    Wake(usize, u32),
    AttemptTimeout(usize, u32, AttemptId),
    Recv(usize, Run),
    Back(Run, AttemptResult),
    Ran(usize, u32, Run),
    ToShares(usize, usize, ShareTableEvent),
    ToKeys(usize, usize, KeyTableEvent),
    SchedTick(usize),
    LogApply(Append),
    LogAck(Append),
    Own(usize, ShardId, Epoch),
    Restart(usize),
    Act(u32),
}

struct Due(Time, u64, Ev);

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

/// When every clock showed the same.
const CLOCKS_SET: u64 = 100_000_000;

impl EntrySim {
    /// What the entry's own clock shows.
    pub fn clock(&self, now: Time) -> Time {
        scaled(now, 1_000 + self.clock_permille, 1_000)
    }

    /// When the entry's clock shows `at`, rounded up.
    pub fn world_time(&self, at: Time) -> Time {
        let time = scaled(at, 1_000, 1_000 + self.clock_permille);
        if self.clock_permille == 0 { time } else { time + Duration::from_micros(1) }
    }
}

fn scaled(time: Time, times: i64, over: i64) -> Time {
    let since = time.as_micros() as i64 - CLOCKS_SET as i64;
    Time::from_micros((CLOCKS_SET as i64 + since * times / over) as u64)
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
    /// Messages from an entry to a scheduler that get lost, and those the other way.
    pub cut_to: BTreeSet<(usize, usize)>,
    pub cut_from: BTreeSet<(usize, usize)>,
    pub plan: Plan,
    /// Whose sending each attempt of each entry's incarnation was.
    pub sent: HashMap<(usize, u32, AttemptId), RequestId>,
    /// Those whose answer was cut off.
    pub truncated: BTreeSet<(usize, u32, AttemptId)>,
    /// How much longer messages between entries and owners may take.
    pub jitter: Duration,
    pub messages: u64,
    /// What the asks for shares and their answers take, encoded.
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
            cut_to: BTreeSet::new(),
            cut_from: BTreeSet::new(),
            plan: Plan::default(),
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
            let rack = format!("rack-{}", i / self.setup.per_rack);
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
            self.at(self.now, Ev::SchedTick(i));
        }
        let racks: BTreeSet<ShardId> = self.rack_shards();
        for shard in (0..SHARD_COUNT).map(ShardId) {
            // Racks are owned by the first scheduler, keys by the second, so that each can fail
            // alone.
            let owner = usize::from(!racks.contains(&shard)).min(self.setup.schedulers - 1);
            self.owners.insert(shard, (owner, Epoch(1)));
            self.at(self.now, Ev::Own(owner, shard, Epoch(1)));
        }
        for i in 0..self.setup.entries {
            let entry = self.new_entry(i, 0);
            self.entries.push(entry);
            self.introduce(i);
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
            woken_at: None,
            drained: false,
            clock_permille: 0,
        }
    }

    /// Tells a new entry what its runtime reads first.
    fn introduce(&mut self, i: usize) {
        self.tell(i, EntryEvent::Config { document: self.config.clone() });
        self.tell(i, EntryEvent::Vms { vms: self.vms.clone() });
        let owners = self.owner_list();
        self.tell(i, EntryEvent::Owners { owners });
        let incarnation = self.entries[i].incarnation;
        self.at(self.now + TICK, Ev::Tick(i, incarnation));
    }

    fn owner_list(&self) -> Vec<ShardOwner> {
        let owners = self.owners.iter().map(|(shard, (owner, epoch))| ShardOwner {
            shard: *shard,
            node: self.schedulers[*owner].node,
            epoch: *epoch,
        });
        owners.collect()
    }

    /// Hands an event to an entry now.
    pub fn tell(&mut self, i: usize, event: EntryEvent) {
        let incarnation = self.entries[i].incarnation;
        self.at(self.now, Ev::ToEntry(i, incarnation, Box::new(event)));
    }

    pub fn tell_all(&mut self, event: impl Fn() -> EntryEvent) {
        for i in 0..self.entries.len() {
            self.tell(i, event());
        }
    }

    pub fn at(&mut self, at: Time, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse(Due(at, self.seq, ev)));
    }

    fn hop(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(400..1_200))
    }

    /// The way of a message between an entry and an owner; later ones may overtake it.
    fn control_hop(&mut self) -> Duration {
        let jitter = self.jitter.as_micros() as u64;
        self.hop() + Duration::from_micros(self.rng.random_range(0..=jitter))
    }

    /// Lets a caller send a request at `at`.
    pub fn request(&mut self, at: Time, record: Record) -> RequestId {
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(record);
        self.at(at, Ev::Arrive(id));
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

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Arrive(id) => self.arrive(id),
            Ev::ToEntry(i, incarnation, event) => self.entry_event(i, incarnation, event),
            Ev::Tick(i, incarnation) => {
                if self.lives(i, incarnation) {
                    self.entry_event(i, incarnation, Box::new(EntryEvent::Tick));
                    self.at(self.now + TICK, Ev::Tick(i, incarnation));
                }
            }
            Ev::Wake(i, incarnation) => {
                if self.lives(i, incarnation) {
                    self.entries[i].woken_at = None;
                    self.entry_event(i, incarnation, Box::new(EntryEvent::Tick));
                }
            }
            Ev::AttemptTimeout(i, incarnation, attempt) => {
                if self.lives(i, incarnation) && self.entries[i].open.contains_key(&attempt) {
                    self.end_attempt(i, attempt, AttemptResult::Failed);
                }
            }
            Ev::Recv(server, run) => self.server_receives(server, run),
            Ev::Back(run, result) => self.back_at_entry(&run, result),
            Ev::Ran(server, life, run) => self.server_ran(server, life, run),
            Ev::ToShares(s, from, event) => self.share_event(s, from, event),
            Ev::ToKeys(s, from, event) => self.key_event(s, from, event),
            Ev::SchedTick(s) => self.scheduler_tick(s),
            Ev::LogApply(append) => self.log_apply(append),
            Ev::LogAck(append) => {
                let ticket = append.ticket;
                self.key_event(append.scheduler, usize::MAX, KeyTableEvent::Journaled { ticket });
            }
            Ev::Own(s, shard, epoch) => self.own(s, shard, epoch),
            Ev::Restart(i) => self.restart_entry(i),
            Ev::Act(number) => self.act(number),
        }
    }

    pub fn lives(&self, i: usize, incarnation: u32) -> bool {
        self.entries[i].alive && self.entries[i].incarnation == incarnation
    }

    fn arrive(&mut self, id: RequestId) {
        let record = &mut self.requests[id.0 as usize];
        let i = record.entry;
        record.incarnation = self.entries[i].incarnation;
        if !self.entries[i].alive {
            record.cut_off = true;
            self.caller_next(id);
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
        self.tell(i, EntryEvent::Arrived(arrival));
        self.step(Step::Arrived, id);
    }

    fn entry_event(&mut self, i: usize, incarnation: u32, event: Box<EntryEvent>) {
        if !self.lives(i, incarnation) {
            return;
        }
        let paused_until = self.entries[i].paused_until;
        if self.now < paused_until {
            self.at(paused_until, Ev::ToEntry(i, incarnation, event));
            return;
        }
        let mut out = Vec::new();
        let now = self.entries[i].clock(self.now);
        self.entries[i].reducer.step(now, *event, &mut out);
        for effect in out {
            self.entry_effect(i, effect);
        }
        if !self.lives(i, incarnation) {
            return;
        }
        let wake = self.entries[i].reducer.wake_at().map(|at| self.entries[i].world_time(at));
        if let Some(at) = wake
            && self.entries[i].woken_at.is_none_or(|woken| at < woken)
        {
            self.entries[i].woken_at = Some(at);
            self.at(at.max(self.now), Ev::Wake(i, incarnation));
        }
    }
}

/// Configuration of the classes.
fn document(classes: &[ClassSetup]) -> ConfigDocument {
    let specs = classes.iter().map(|class| ClassSpec {
        name: class.name.parse().unwrap(),
        member: class.member.parse::<Organisation>().unwrap(),
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
