//! Entries, a grantor of shares and backend servers, in virtual time.
//!
//! A message between nodes arrives after 1 ms, a backend server answers after 20 ms on average
//! (exponential). One grantor owns all racks. Messages aren't lost.

use {
    crate::models::{
        class_name,
        place::{Held, node_id, vm_list},
        timeline::Timeline,
    },
    egretlb_requests::{
        AttemptId, BodyHash, Entry, EntryEffect, EntryEvent, EntryOptions, RequestId, ShareTable,
        ShareTableEffect, ShareTableEvent,
        entry::{Arrival, AttemptResult, ShardOwner, Verdict},
        shares::{ServerInfo, ServerSpec},
    },
    egretlb_types::{
        ClassName, ConfigDocument, NodeId, SHARD_COUNT, ShardId, Time, VmRecord, shard_of_rack,
    },
    rand::{SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(100);
const PEER_DELAY: Duration = Duration::from_millis(1);
const SERVICE_MEAN_S: f64 = 0.020;

/// Index of the grantor node.
const GRANTOR: usize = 1_000;

/// Number of classes per backend server.
const CLASSES_PER_SERVER: usize = 7;

/// Counts since the last reset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Duration of the entries' steps.
    pub entry_time: Duration,
    /// Duration of the grantor's steps.
    pub grantor_time: Duration,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered by a backend server.
    pub answered: u64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Share requests.
    pub share_requests: u64,
    /// Bytes of the share requests.
    pub share_request_bytes: u64,
    /// Bytes of the grants.
    pub grant_bytes: u64,
    /// Bytes of the load reports.
    pub load_bytes: u64,
}

enum Event {
    Tick,
    Arrive,
    Entry(EntryEvent),
    Grantor(ShareTableEvent),
}

/// Entries, their grantor and backend servers.
pub struct Requests {
    now: Time,
    rng: SmallRng,
    entries: Vec<Entry>,
    index: BTreeMap<NodeId, usize>,
    grantor: ShareTable,
    held: Held,
    timeline: Timeline<(usize, Event)>,
    arrival_gaps: Option<Exp<f64>>,
    service: Exp<f64>,
    class: ClassName,
    next_request: u64,
    counts: Counts,
}

impl Requests {
    /// Creates entries and backend servers without arriving requests.
    pub fn new(entries: usize, servers: usize, document: Arc<ConfigDocument>, seed: u64) -> Self {
        let shards: Vec<_> = (0..SHARD_COUNT).map(ShardId).collect();
        let mut requests = Requests {
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            index: (0..entries).map(|n| (node_id(n), n)).collect(),
            grantor: ShareTable::new(),
            held: Held::new(&shards),
            timeline: Timeline::new(),
            arrival_gaps: None,
            service: Exp::new(1.0 / SERVICE_MEAN_S).expect("a rate"),
            class: class_name(0),
            next_request: 0,
            counts: Counts::default(),
        };
        let list = vm_list(servers);
        requests.assign_shards(&shards, &list);
        for n in 0..entries {
            requests.add_entry(n, &shards, &list, &document, seed);
        }
        requests
    }

    fn assign_shards(&mut self, shards: &[ShardId], list: &[VmRecord]) {
        for shard in shards {
            let (shard, epoch) = (*shard, Held::EPOCH);
            self.grant(ShareTableEvent::Owned { shard, epoch, had_owner: false });
            let here = list.iter().enumerate().filter(|(_, r)| shard_of_rack(&r.rack) == shard);
            let servers = here.map(|(n, record)| server_spec(n, record)).collect();
            self.grant(ShareTableEvent::Servers { shard, servers });
        }
    }

    fn add_entry(
        &mut self,
        n: usize,
        shards: &[ShardId],
        list: &[VmRecord],
        document: &Arc<ConfigDocument>,
        seed: u64,
    ) {
        let data_centre = list[0].data_centre.clone();
        let options = EntryOptions::new(node_id(n), data_centre, seed.wrapping_add(n as u64));
        self.entries.push(Entry::new(options.max_queue_len(usize::MAX)));
        let owner = |shard: &ShardId| ShardOwner {
            shard: *shard,
            node: node_id(GRANTOR),
            epoch: Held::EPOCH,
        };
        self.entry(n, EntryEvent::Config { document: Arc::clone(document) });
        self.entry(n, EntryEvent::Owners { owners: shards.iter().map(owner).collect() });
        self.entry(n, EntryEvent::Vms { vms: list.to_vec() });
        self.push(TICK.mul_f64((n + 1) as f64 / 18.0), n, Event::Tick);
    }

    /// Sets the rate of arriving requests per entry, in requests per second.
    pub fn set_arrival_rate(&mut self, per_s: f64) {
        let first = self.arrival_gaps.is_none();
        self.arrival_gaps = Exp::new(per_s).ok();
        for n in 0..self.entries.len() {
            if first {
                self.push(TICK, n, Event::Arrive);
            }
        }
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, (n, event))) = self.timeline.pop_before(until) {
            self.now = at;
            match event {
                Event::Tick => {
                    self.entry(n, EntryEvent::Tick);
                    self.push(TICK, n, Event::Tick);
                }
                Event::Arrive => self.arrive(n),
                Event::Entry(event) => self.entry(n, event),
                Event::Grantor(event) => self.grant(event),
            }
        }
        self.now = until;
    }

    /// Adds a request at the first entry now.
    pub fn add_request(&mut self) {
        let arrival = self.new_arrival();
        self.entry(0, EntryEvent::Arrived(arrival));
    }

    /// Resets all counts.
    pub fn reset(&mut self) {
        self.counts = Counts::default();
    }

    /// Returns the counts.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn push(&mut self, after: Duration, entry: usize, event: Event) {
        self.timeline.push(self.now + after, (entry, event));
    }

    fn new_arrival(&mut self) -> Arrival {
        self.next_request += 1;
        self.counts.arrived += 1;
        Arrival {
            request: RequestId(self.next_request),
            class: self.class.clone(),
            deadline: None,
            key: None,
            body: BodyHash(self.next_request),
            body_size: 200,
        }
    }

    fn arrive(&mut self, entry: usize) {
        let arrival = self.new_arrival();
        self.entry(entry, EntryEvent::Arrived(arrival));
        if let Some(arrival_gaps) = self.arrival_gaps {
            let gap = Duration::from_secs_f64(arrival_gaps.sample(&mut self.rng));
            self.push(gap, entry, Event::Arrive);
        }
    }

    fn entry(&mut self, n: usize, event: EntryEvent) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.entries[n].step(self.now, event, &mut out);
        self.counts.entry_time += start.elapsed();
        for effect in out {
            self.perform(n, effect);
        }
    }

    fn perform(&mut self, n: usize, effect: EntryEffect) {
        match effect {
            EntryEffect::Send { attempt, .. } => {
                let time = Duration::from_secs_f64(self.service.sample(&mut self.rng));
                self.push(time, n, answered(attempt));
            }
            EntryEffect::RequestShares { request, .. } => {
                self.counts.share_requests += 1;
                self.counts.share_request_bytes += len(&request);
                self.push(PEER_DELAY, n, Event::Grantor(ShareTableEvent::Request { request }));
            }
            EntryEffect::Answer { verdict: Verdict::Forward { .. }, .. } => {
                self.counts.answered += 1;
            }
            EntryEffect::Answer { .. } => self.counts.refused += 1,
            EntryEffect::ReportLoad { class, load } => {
                self.counts.load_bytes += len(&(class, load));
            }
            _ => {}
        }
    }

    fn grant(&mut self, event: ShareTableEvent) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.grantor.step(self.now, event, &self.held, &mut out);
        self.counts.grantor_time += start.elapsed();
        for effect in out {
            let (to, event) = match effect {
                ShareTableEffect::Grant { entry, grant } => {
                    self.counts.grant_bytes += len(&grant);
                    (entry, EntryEvent::SharesGranted { grant })
                }
                ShareTableEffect::Recall { entry, shard, .. } => {
                    (entry, EntryEvent::SharesRecalled { shard })
                }
            };
            let to = self.index[&to];
            self.push(PEER_DELAY, to, Event::Entry(event));
        }
    }
}

fn answered(attempt: AttemptId) -> Event {
    let result = AttemptResult::Complete { status: 200, recorded_body: None };
    Event::Entry(EntryEvent::AttemptEnded { attempt, result })
}

fn len(value: &impl Serialize) -> u64 {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}

fn server_spec(n: usize, record: &VmRecord) -> ServerSpec {
    // Each latency class runs on some of the servers, the first class on all.
    let other_classes = (1..CLASSES_PER_SERVER).map(|k| class_name(2 * (1 + (n + 3 * k) % 19)));
    ServerSpec {
        info: ServerInfo {
            vm: record.vm.clone(),
            addr: record.addr.clone(),
            data_centre: record.data_centre.clone(),
            state: record.state,
            classes: std::iter::once(class_name(0)).chain(other_classes).collect(),
        },
        slots: record.slots,
        connections: record.connections,
    }
}
