//! Measures what a request costs an entry, without I/O: `cargo run --release -p egretlb-requests
//! --example request_cost`
//!
//! Prints one line per size: nanoseconds for a request's arrival, sending and answer with half of
//! the entry's slots open, nanoseconds for a refusal on arrival, bytes of memory per waiting
//! request, and bytes per share request.

use {
    egretlb_requests::{
        AttemptId, BodyHash, Entry, EntryEffect, EntryEvent, EntryOptions, RequestId, ShareTable,
        ShareTableEffect, ShareTableEvent,
        entry::{Arrival, AttemptResult, QueueOrder, ShardOwner},
        shares::{ServerInfo, ServerSpec},
    },
    egretlb_types::{
        Authority, ClassKind, ClassName, ClassSpec, ConfigDocument, Epoch, NodeId, Resources,
        ShardId, Time, VmRecord, VmState, shard_of_rack,
    },
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REQUESTS: u64 = 400_000;
const WAITING: u64 = 100_000;
const SLOTS: u16 = 8;
const SERVERS_PER_RACK: usize = 8;
const SCHEDULER: NodeId = NodeId(1_000);

struct Owner;

impl Authority for Owner {
    fn epoch_if_held(&self, _: Time, _: ShardId) -> Option<Epoch> {
        Some(Epoch(1))
    }
}

/// One entry, the grantor and a virtual clock.
struct Bench {
    entry: Entry,
    shares: ShareTable,
    now: Time,
    next_request: u64,
    sent: VecDeque<AttemptId>,
    classes: Vec<ClassName>,
    share_request_bytes: usize,
    share_requests: usize,
}

impl Bench {
    fn new(servers: usize, classes: usize, order: QueueOrder) -> Self {
        let names = (0..classes).map(|i| format!("class-{i}").parse().unwrap());
        let opts = EntryOptions::new(NodeId(1), "dc-0".parse().unwrap(), 7)
            .order(order)
            .max_queue_len(usize::MAX);
        let mut bench = Bench {
            entry: Entry::new(opts),
            shares: ShareTable::new(),
            now: Time::from_secs(100),
            next_request: 0,
            sent: VecDeque::new(),
            classes: names.collect(),
            share_request_bytes: 0,
            share_requests: 0,
        };
        bench.set_up(servers);
        bench
    }

    fn set_up(&mut self, servers: usize) {
        let vms: Vec<VmRecord> = (0..servers).map(vm).collect();
        let shards: BTreeSet<ShardId> = vms.iter().map(|vm| shard_of_rack(&vm.rack)).collect();
        for shard in &shards {
            let in_shard = vms.iter().filter(|vm| shard_of_rack(&vm.rack) == *shard);
            let servers = in_shard.map(|vm| self.spec(vm)).collect();
            self.grantor(ShareTableEvent::Owned {
                shard: *shard,
                epoch: Epoch(1),
                had_owner: false,
            });
            self.grantor(ShareTableEvent::Servers { shard: *shard, servers });
        }
        let owner =
            |shard: &ShardId| ShardOwner { shard: *shard, node: SCHEDULER, epoch: Epoch(1) };
        let document = Arc::new(self.document());
        self.step(EntryEvent::Config { document });
        self.step(EntryEvent::Vms { vms });
        self.step(EntryEvent::Owners { owners: shards.iter().map(owner).collect() });
    }

    fn spec(&self, vm: &VmRecord) -> ServerSpec {
        // Each VM runs four of the classes.
        let number: usize = vm.vm.as_str()[3..].parse().unwrap();
        let count = self.classes.len();
        let classes = (0..count.min(4)).map(|i| self.classes[(number * 4 + i) % count].clone());
        let info = ServerInfo {
            vm: vm.vm.clone(),
            addr: vm.addr.clone(),
            data_centre: vm.data_centre.clone(),
            state: vm.state,
            classes: classes.collect(),
        };
        ServerSpec { info, slots: SLOTS, connections: 64 }
    }

    fn document(&self) -> ConfigDocument {
        let classes = self.classes.iter().enumerate().map(|(i, name)| ClassSpec {
            name: name.clone(),
            member: format!("member-{}", i % 25).parse().unwrap(),
            team: "team".parse().unwrap(),
            kind: ClassKind::Latency {
                permille: 990,
                target: Duration::from_secs(60),
                idempotent: true,
                replica: Resources::default(),
                spread: false,
            },
        });
        ConfigDocument { classes: classes.collect(), ..ConfigDocument::default() }
    }

    fn grantor(&mut self, event: ShareTableEvent) {
        let mut out = Vec::new();
        self.shares.step(self.now, event, &Owner, &mut out);
        for effect in out {
            if let ShareTableEffect::Grant { grant, .. } = effect {
                self.step(EntryEvent::SharesGranted { grant });
            }
        }
    }

    fn step(&mut self, event: EntryEvent) {
        let mut out = Vec::new();
        self.entry.step(self.now, event, &mut out);
        for effect in out {
            match effect {
                EntryEffect::Send { attempt, .. } => self.sent.push_back(attempt),
                EntryEffect::RequestShares { request, .. } => {
                    self.share_request_bytes += postcard::to_allocvec(&request).unwrap().len();
                    self.share_requests += 1;
                    self.grantor(ShareTableEvent::Request { request });
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self) {
        let class = self.classes[self.next_request as usize % self.classes.len()].clone();
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.step(EntryEvent::Arrived(Arrival {
            request,
            class,
            deadline: None,
            key: None,
            body: BodyHash(1),
            body_size: 100,
        }));
    }

    fn answer_oldest(&mut self) {
        if let Some(attempt) = self.sent.pop_front() {
            let result = AttemptResult::Complete { status: 200, recorded_body: None };
            self.step(EntryEvent::AttemptEnded { attempt, result });
        }
    }

    /// Nanoseconds per request while `open` requests are open.
    fn serve(&mut self, open: usize) -> f64 {
        let gap = Duration::from_micros(100_000 / open as u64);
        let mut ticked = self.now;
        let start = Instant::now();
        for _ in 0..REQUESTS {
            self.now = self.now + gap;
            self.arrive();
            while self.sent.len() > open {
                self.answer_oldest();
            }
            if self.now.since(ticked) >= Duration::from_millis(100) {
                ticked = self.now;
                self.step(EntryEvent::Tick);
            }
        }
        start.elapsed().as_nanos() as f64 / REQUESTS as f64
    }
}

fn vm(i: usize) -> VmRecord {
    VmRecord {
        vm: format!("vm-{i}").parse().unwrap(),
        addr: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
        data_centre: format!("dc-{}", i % 4).parse().unwrap(),
        rack: format!("rack-{}", i / SERVERS_PER_RACK).parse().unwrap(),
        state: VmState::Live,
        capacity: Resources::default(),
        slots: SLOTS,
        connections: 64,
    }
}

/// Nanoseconds per request of an unknown class.
fn refusal_cost(bench: &mut Bench) -> f64 {
    let class: ClassName = "unknown".parse().unwrap();
    let start = Instant::now();
    for i in 0..REQUESTS {
        bench.step(EntryEvent::Arrived(Arrival {
            request: RequestId(u64::MAX - i),
            class: class.clone(),
            deadline: None,
            key: None,
            body: BodyHash(1),
            body_size: 100,
        }));
    }
    start.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// Bytes per waiting request, from the growth of the resident memory.
fn waiting_bytes(servers: usize, classes: usize) -> f64 {
    let mut bench = Bench::new(servers, classes, QueueOrder::NewestFirst);
    for _ in 0..WAITING {
        bench.arrive();
    }
    let before = resident_bytes();
    for _ in 0..WAITING {
        bench.arrive();
    }
    (resident_bytes() - before) / WAITING as f64
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

fn main() {
    println!(
        "| servers | classes | ns per request | ns per refusal | bytes waiting | bytes per share request |"
    );
    println!("|---|---|---|---|---|---|");
    for (servers, classes, open) in [(50, 4, 25), (65, 8, 29), (1_300, 64, 300)] {
        let mut bench = Bench::new(servers, classes, QueueOrder::default());
        bench.serve(open);
        let served = bench.serve(open);
        let refused = refusal_cost(&mut bench);
        let waiting = waiting_bytes(servers, classes);
        let share_request = bench.share_request_bytes / bench.share_requests.max(1);
        println!(
            "| {servers} | {classes} | {served:.0} | {refused:.0} | {waiting:.0} | {share_request} |"
        );
    }
}
