//! Virtual time: a queue of jobs, the log, and the processes.

use {
    super::{
        app::{Recovery, Waiter, change_entry, decode, snapshot_entry},
        checker::Checker,
        faults::{Fault, Moment, Step},
        log::FakeLog,
        node::{Delivery, SimNode},
    },
    egretlb_control::{
        Control, ControlEffect, ControlEvent, ControlOptions, ControlRecord, NodeInfo, Predecessor,
        ProposalId, Protections, Role, Verdict,
    },
    egretlb_log::{
        AppendOutcome, EntryKind, JournalBatch, JournalReader, JournalWriter, NotAppendedReason,
        ReadOutcome, ReadStep, StreamName, WriterOptions,
    },
    egretlb_types::{Authority, ConfigDocument, NodeId, Offset, Seq, ShardId, Ticket, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
};

/// The shards that hold a state and whose owners are checked at each step.
pub const WATCHED: u16 = 8;

const MS: u64 = 1_000;
/// A second in microseconds of virtual time.
pub const SEC: u64 = 1_000_000;
const HALF_WAY: u64 = 500;
const TIMEOUT: u64 = SEC;

pub struct Options {
    pub seed: u64,
    pub schedulers: usize,
    pub entries: usize,
    pub protections: Protections,
    pub dedupe: bool,
    pub journal_retention: Duration,
}

impl Options {
    pub fn new(seed: u64, schedulers: usize) -> Self {
        let protections = Protections::default();
        let journal_retention = Duration::from_secs(24 * 3600);
        Options { seed, schedulers, entries: 1, protections, dedupe: true, journal_retention }
    }
}

#[derive(Clone, Debug)]
enum Reply {
    ControlRead { sent: Time },
    Recovery { job: u64 },
    ControlAppend { ticket: Ticket },
    Journal { seq: Seq },
    Nobody,
}

#[derive(Clone, Debug)]
enum Job {
    Tick(usize),
    Read { node: usize, stream: StreamName, from: Offset, reply: Reply },
    Append { node: usize, stream: StreamName, bytes: Vec<u8>, reply: Reply },
    Deliver { node: usize, delivery: Delivery },
    Start(usize),
    Inject(usize, Fault),
}

/// What sets off the fault of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Trigger {
    pub node: usize,
    pub step: Step,
    pub moment: Moment,
    pub fault: Fault,
}

pub struct World {
    pub now: u64,
    pub log: FakeLog,
    pub checker: Checker,
    pub nodes: Vec<SimNode>,
    pub trigger: Option<Trigger>,
    pub fired_at: Option<u64>,
    pub heartbeat_bytes: u64,
    pub heartbeats: u64,
    pub log_down_until: u64,
    pub log_slow_until: u64,
    pub watched_changes: bool,
    options: Options,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    jobs: BTreeMap<u64, (Job, u32)>,
    next_job: u64,
}

fn validate(text: &str) -> Result<ConfigDocument, compact_str::CompactString> {
    if text.contains("fault") { Err("a fault".into()) } else { Ok(ConfigDocument::default()) }
}

impl World {
    pub fn new(options: Options) -> Self {
        let mut world = World {
            now: 0,
            log: FakeLog::default(),
            checker: Checker::default(),
            nodes: Vec::new(),
            trigger: None,
            fired_at: None,
            heartbeat_bytes: 0,
            heartbeats: 0,
            log_down_until: 0,
            log_slow_until: 0,
            watched_changes: true,
            rng: SmallRng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            options,
        };
        for _ in 0..world.options.schedulers {
            world.add(Role::Scheduler);
        }
        for _ in 0..world.options.entries {
            world.add(Role::Entry);
        }
        world
    }

    /// Adds a process that starts now.
    pub fn add(&mut self, role: Role) -> usize {
        let index = self.nodes.len();
        let node = self.make(index, role, 0);
        self.nodes.push(node);
        self.tick_soon(index);
        index
    }

    fn make(&mut self, index: usize, role: Role, incarnation: u32) -> SimNode {
        let node = NodeId(self.rng.random());
        let addr = format!("10.0.0.{index}:7000");
        let info = NodeInfo {
            node,
            role,
            data_centre: "dc-1".parse().unwrap(),
            peer_addr: addr.as_str().into(),
            http_addr: addr.as_str().into(),
        };
        let options = ControlOptions::new(info.clone(), self.rng.random())
            .protections(self.options.protections);
        let control = Control::new(options, Arc::new(validate));
        let writer = WriterOptions::new(node, self.rng.random());
        let journal = JournalWriter::new(writer.retention(self.options.journal_retention));
        SimNode::new(info, incarnation, control, journal)
    }

    /// Replaces the process by a new, empty one.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (role, incarnation) = (old.info.role, old.incarnation + 1);
        self.nodes[index] = self.make(index, role, incarnation);
        self.tick_soon(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].control = None;
        self.nodes[index].incarnation += 1;
    }

    pub fn restart_at(&mut self, index: usize, at: u64) {
        self.push(at, Job::Start(index), 0);
    }

    pub fn inject_at(&mut self, index: usize, fault: Fault, at: u64) {
        self.push(at, Job::Inject(index, fault), 0);
    }

    fn tick_soon(&mut self, index: usize) {
        let at = self.now + self.rng.random_range(0..100 * MS);
        self.push(at, Job::Tick(index), self.nodes[index].incarnation);
    }

    fn push(&mut self, at: u64, job: Job, incarnation: u32) {
        self.next_job += 1;
        self.jobs.insert(self.next_job, (job, incarnation));
        self.queue.push(Reverse((at, self.next_job)));
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let (job, incarnation) = self.jobs.remove(&id).unwrap();
            self.run(job, incarnation);
            self.check();
        }
        self.now = end;
    }

    /// Runs until `done`, at most for `limit`; how long it took.
    pub fn run_while(&mut self, limit: u64, mut done: impl FnMut(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_until(self.now + 20 * MS);
        }
        None
    }

    fn run(&mut self, job: Job, incarnation: u32) {
        match job {
            Job::Start(index) => {
                if self.nodes[index].control.is_none() {
                    self.restart(index);
                }
            }
            Job::Inject(index, fault) => self.inject(index, fault),
            Job::Tick(node) => self.tick(node, incarnation),
            Job::Deliver { node, delivery } => self.deliver(node, delivery, incarnation),
            Job::Read { node, stream, from, reply } => {
                self.read_at_log(node, &stream, from, reply, incarnation);
            }
            Job::Append { node, stream, bytes, reply } => {
                self.append_at_log(node, stream, bytes, reply, incarnation);
            }
        }
    }

    fn is_current(&self, node: usize, incarnation: u32) -> bool {
        self.nodes[node].control.is_some() && self.nodes[node].incarnation == incarnation
    }

    fn tick(&mut self, node: usize, incarnation: u32) {
        if !self.is_current(node, incarnation) {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.push(paused_until, Job::Tick(node), incarnation);
            return;
        }
        self.push(self.now + 100 * MS, Job::Tick(node), incarnation);
        self.write_changes(node);
        self.step(node, ControlEvent::Tick);
    }

    fn deliver(&mut self, node: usize, delivery: Delivery, incarnation: u32) {
        if !self.is_current(node, incarnation) {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            self.push(paused_until, Job::Deliver { node, delivery }, incarnation);
            return;
        }
        match delivery {
            Delivery::Control(event) => self.step(node, event),
            Delivery::JournalAnswer { seq, outcome } => self.journal_answer(node, seq, outcome),
            Delivery::RecoveryPage { job, outcome } => self.recovery_page(node, job, outcome),
        }
    }

    pub fn step(&mut self, node: usize, event: ControlEvent) {
        let now = self.local(node);
        let mut out = Vec::new();
        let Some(control) = &mut self.nodes[node].control else { return };
        control.step(now, event, &mut out);
        for effect in out {
            self.perform(node, effect);
        }
        self.flush(node);
        self.watch_wait(node);
    }

    pub fn local(&self, node: usize) -> Time {
        self.nodes[node].clock.read(self.now)
    }

    fn half_way(&self) -> u64 {
        if self.now < self.log_slow_until { 1_250 * MS } else { HALF_WAY }
    }

    fn way_back(&self, node: usize) -> u64 {
        let late = self.now < self.nodes[node].late_answers_until;
        if late { 4 * SEC } else { self.half_way() }
    }

    fn is_cut(&self, node: usize, stream: &StreamName) -> bool {
        let of = &self.nodes[node];
        let journal = *stream != StreamName::control() && self.now < of.journals_cut_until;
        journal || self.now < self.log_down_until || self.now < of.log_cut_until
    }

    fn read_at_log(
        &mut self,
        node: usize,
        stream: &StreamName,
        from: Offset,
        reply: Reply,
        incarnation: u32,
    ) {
        let cut = self.is_cut(node, stream);
        let outcome = if cut { ReadOutcome::Unavailable } else { self.log.read(stream, from) };
        let at = self.now + if cut { TIMEOUT } else { self.way_back(node) };
        let delivery = match reply {
            Reply::ControlRead { sent } => {
                Delivery::Control(ControlEvent::ReadDone { sent, outcome })
            }
            Reply::Recovery { job } => Delivery::RecoveryPage { job, outcome },
            _ => return,
        };
        self.push(at, Job::Deliver { node, delivery }, incarnation);
        if stream == &StreamName::control() && self.owns(node) {
            self.reach(node, Step::Renew, Moment::After);
        }
    }

    fn append_at_log(
        &mut self,
        node: usize,
        stream: StreamName,
        bytes: Vec<u8>,
        reply: Reply,
        incarnation: u32,
    ) {
        let of = &mut self.nodes[node];
        let late = of.late_appends > 0 && !matches!(reply, Reply::Nobody);
        let lost = of.lose_answers > 0;
        of.late_appends -= u32::from(late);
        let (outcome, after) = if self.is_cut(node, &stream) {
            (AppendOutcome::NotAppended(NotAppendedReason::Unreachable), TIMEOUT)
        } else if late {
            let again = Job::Append { node, stream, bytes, reply: Reply::Nobody };
            self.push(self.now + 5 * SEC, again, incarnation);
            self.answer(node, reply, AppendOutcome::Unknown, TIMEOUT, incarnation);
            return;
        } else {
            let offset = self.log.append(&stream, &bytes);
            (AppendOutcome::Appended(offset), self.way_back(node))
        };
        self.nodes[node].lose_answers -= u32::from(lost);
        let outcome = if lost { AppendOutcome::Unknown } else { outcome };
        self.answer(node, reply, outcome, if lost { TIMEOUT } else { after }, incarnation);
        if let Some(step) = self.step_of(&stream, &bytes) {
            self.reach(node, step, Moment::After);
        }
    }

    fn answer(
        &mut self,
        node: usize,
        reply: Reply,
        outcome: AppendOutcome,
        after: u64,
        incarnation: u32,
    ) {
        let delivery = match reply {
            Reply::ControlAppend { ticket } => {
                Delivery::Control(ControlEvent::AppendDone { ticket, outcome })
            }
            Reply::Journal { seq } => Delivery::JournalAnswer { seq, outcome },
            _ => return,
        };
        self.push(self.now + after, Job::Deliver { node, delivery }, incarnation);
    }

    fn perform(&mut self, node: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Read { from } => {
                if self.owns(node) {
                    self.reach(node, Step::Renew, Moment::Before);
                }
                let reply = Reply::ControlRead { sent: self.local(node) };
                self.send_read(node, StreamName::control(), from, reply);
            }
            ControlEffect::Append { ticket, bytes } => {
                let reply = Reply::ControlAppend { ticket };
                self.send_append(node, StreamName::control(), bytes, reply);
            }
            ControlEffect::Recover { shard, epoch, from } => self.recover(node, shard, epoch, from),
            ControlEffect::ShardOwned { shard, epoch } => {
                let of = &mut self.nodes[node].app;
                if let Some(app) = of.shards.get_mut(&shard).filter(|app| app.epoch == epoch) {
                    app.active = true;
                    let entries = app.entries.clone();
                    self.checker.recovered(node, shard, &entries);
                } else if shard.0 < WATCHED {
                    self.checker.recovered(node, shard, &[]);
                }
            }
            ControlEffect::ShardLost { shard, .. } => {
                self.nodes[node].app.shards.remove(&shard);
                self.nodes[node].journal.forget(shard);
            }
            ControlEffect::ConfigInForce { version, text, .. } => {
                let incarnation = self.nodes[node].incarnation;
                self.checker.in_force(node, incarnation, version, &text);
            }
            ControlEffect::ProposalDecided { id, verdict } => self.checker.decided(id, verdict),
            ControlEffect::Heartbeat { to, heartbeat } => {
                self.heartbeats += 1;
                self.heartbeat_bytes += heartbeat.encoded_len() as u64;
                let event = ControlEvent::HeartbeatReceived(heartbeat);
                self.send_peer(node, to.node, event);
            }
            ControlEffect::FetchConfig { from } => self.fetch_config(node, from),
            ControlEffect::Alarm { .. } => {}
            ControlEffect::ShutdownDone => self.kill(node),
        }
    }

    fn send_read(&mut self, node: usize, stream: StreamName, from: Offset, reply: Reply) {
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + self.half_way();
        self.push(at, Job::Read { node, stream, from, reply }, incarnation);
    }

    fn send_append(&mut self, node: usize, stream: StreamName, bytes: Vec<u8>, reply: Reply) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(step) = self.step_of(&stream, &bytes) {
            self.reach(node, step, Moment::Before);
        }
        if self.nodes[node].incarnation != incarnation {
            // Killed before the record left.
            return;
        }
        // A process that stands still sends what it was about to send when it goes on.
        let at = self.now.max(self.nodes[node].paused_until) + self.half_way();
        self.push(at, Job::Append { node, stream, bytes, reply }, incarnation);
    }

    fn send_peer(&mut self, node: usize, to: NodeId, event: ControlEvent) {
        let Some(peer) = self.nodes.iter().position(|n| n.info.node == to) else { return };
        let cut = |n: &SimNode| n.peers_cut_until > self.now;
        if cut(&self.nodes[node]) || cut(&self.nodes[peer]) {
            return;
        }
        let incarnation = self.nodes[peer].incarnation;
        let delivery = Delivery::Control(event);
        self.push(self.now + HALF_WAY, Job::Deliver { node: peer, delivery }, incarnation);
    }

    fn fetch_config(&mut self, node: usize, from: Option<NodeInfo>) {
        let asked = |n: &&SimNode| from.as_ref().is_none_or(|info| info.node == n.info.node);
        let peers = self.nodes.iter().filter(asked).filter(|n| n.peers_cut_until <= self.now);
        let answers: Vec<ControlEvent> = peers
            .filter_map(|n| n.control.as_ref())
            .map(Control::in_force)
            .filter(|in_force| in_force.version.0 > 0)
            .map(|of| ControlEvent::PeerConfig {
                version: of.version,
                document: of.text.to_string(),
            })
            .collect();
        let me = self.nodes[node].info.node;
        for event in answers {
            self.send_peer(node, me, event);
        }
    }

    fn owns(&self, node: usize) -> bool {
        self.nodes[node].control.as_ref().is_some_and(|c| c.shard_counts().0 > 0)
    }

    /// Which step an append is.
    fn step_of(&self, stream: &StreamName, bytes: &[u8]) -> Option<Step> {
        if *stream != StreamName::control() {
            let is_snapshot = |batch: JournalBatch| {
                batch.entries.iter().any(|entry| entry.kind == EntryKind::Snapshot)
            };
            return JournalBatch::decode(bytes).is_some_and(is_snapshot).then_some(Step::Snapshot);
        }
        match ControlRecord::decode(bytes)? {
            ControlRecord::Join(_) => Some(Step::Join),
            ControlRecord::Claim { .. } => Some(Step::Claim),
            ControlRecord::Settled { .. } => Some(Step::Settle),
            ControlRecord::Release { .. } => Some(Step::Release),
            ControlRecord::Propose { .. } => Some(Step::Propose),
            _ => None,
        }
    }

    /// The process waits for a predecessor's authority to lapse.
    fn watch_wait(&mut self, node: usize) {
        let waits = |c: &Control| c.shard_counts().1 > 0;
        if self.nodes[node].control.as_ref().is_some_and(waits) {
            self.reach(node, Step::Wait, Moment::Before);
            let since = *self.nodes[node].waits_since.get_or_insert(self.now);
            if self.now >= since + 1_500 * MS {
                self.reach(node, Step::Wait, Moment::After);
            }
        } else {
            self.nodes[node].waits_since = None;
        }
    }

    fn reach(&mut self, node: usize, step: Step, moment: Moment) {
        let Some(trigger) = self.trigger else { return };
        if (trigger.node, trigger.step, trigger.moment) == (node, step, moment) {
            self.trigger = None;
            self.fired_at = Some(self.now);
            self.inject(node, trigger.fault);
        }
    }

    pub fn inject(&mut self, node: usize, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill => {
                self.kill(node);
                self.restart_at(node, now + 3 * SEC);
            }
            Fault::Pause => self.nodes[node].paused_until = now + 6 * SEC,
            Fault::CutFromLog => self.nodes[node].log_cut_until = now + 8 * SEC,
            Fault::CutFromPeers => self.nodes[node].peers_cut_until = now + 15 * SEC,
            Fault::CutOff => {
                self.nodes[node].log_cut_until = now + 8 * SEC;
                self.nodes[node].peers_cut_until = now + 8 * SEC;
            }
            Fault::LogDown => self.log_down_until = now + 8 * SEC,
            Fault::LogSlow => self.log_slow_until = now + 10 * SEC,
            Fault::LateAnswers => {
                self.nodes[node].late_answers_until = now + 12 * SEC;
                self.nodes[node].peers_cut_until = now + 12 * SEC;
            }
            Fault::AnswerLost => self.nodes[node].lose_answers = 3,
            Fault::AppendLate => self.nodes[node].late_appends = 3,
            Fault::Expired => self.expire_control(node),
            Fault::ClockRate => {
                for (index, of) in self.nodes.iter_mut().enumerate() {
                    of.clock.set_rate(now, if index == node { 990 } else { 1_010 });
                }
                self.nodes[node].log_cut_until = now + 8 * SEC;
                self.nodes[node].peers_cut_until = now + 8 * SEC;
            }
            Fault::Operators => {
                let other = (0..self.nodes.len()).find(|index| *index != node).unwrap();
                self.propose(node, "first");
                self.propose(other, "second");
            }
        }
    }

    /// The process stands still while another one's snapshot lets the records before it expire.
    fn expire_control(&mut self, node: usize) {
        self.nodes[node].paused_until = self.now + 4 * SEC;
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != node);
        let donor = others.filter_map(|(_, n)| n.control.as_ref()).find(|c| c.state().is_some());
        let Some((next, state)) = donor.map(|c| (c.next(), c.state().unwrap().encode())) else {
            return;
        };
        let record = ControlRecord::Snapshot { next, state };
        self.log.append(&StreamName::control(), &record.encode());
        self.log.expire(&StreamName::control(), next);
    }

    /// An operator changes the version that the process shows.
    pub fn propose(&mut self, node: usize, text: &str) -> ProposalId {
        let id = ProposalId(self.rng.random());
        let Some(control) = &self.nodes[node].control else { return id };
        let base = control.in_force().version;
        self.checker.proposed(id, base);
        let document = format!("{text} on {base}");
        let event = ControlEvent::Propose { id, base, by: "operator".into(), document };
        let incarnation = self.nodes[node].incarnation;
        let delivery = Delivery::Control(event);
        self.push(self.now, Job::Deliver { node, delivery }, incarnation);
        id
    }

    pub fn won(&self, id: ProposalId) -> bool {
        matches!(self.checker.decided.get(&id), Some(Verdict::Won { .. }))
    }
}

/// The state of the watched shards.
impl World {
    fn recover(
        &mut self,
        node: usize,
        shard: ShardId,
        epoch: egretlb_types::Epoch,
        from: Option<Predecessor>,
    ) {
        if shard.0 >= WATCHED {
            let event = ControlEvent::RecoveryDone { shard, epoch };
            let delivery = Delivery::Control(event);
            let incarnation = self.nodes[node].incarnation;
            self.push(self.now + HALF_WAY, Job::Deliver { node, delivery }, incarnation);
            return;
        }
        self.reach(node, Step::Recover, Moment::Before);
        let Some(from) = from else {
            self.write_snapshot(node, shard, epoch, Vec::new());
            return;
        };
        let mut reader =
            JournalReader::new(from.node, [(shard, from.epoch)]).starting_at(from.start);
        if !self.options.dedupe {
            reader = reader.without_dedupe();
        }
        let app = &mut self.nodes[node].app;
        app.next += 1;
        let job = app.next;
        app.recoveries.insert(job, Recovery { shard, epoch, from: from.epoch, reader });
        let stream = StreamName::journal(from.node);
        self.send_read(node, stream, from.start, Reply::Recovery { job });
    }

    fn recovery_page(&mut self, node: usize, job: u64, outcome: ReadOutcome) {
        let Some(recovery) = self.nodes[node].app.recoveries.get_mut(&job) else { return };
        match recovery.reader.fold(outcome) {
            ReadStep::End => {}
            ReadStep::More | ReadStep::Unavailable => {
                let from = recovery.reader.next();
                let stream = StreamName::journal(recovery.reader.writer());
                self.send_read(node, stream, from, Reply::Recovery { job });
                return;
            }
        }
        let Recovery { shard, epoch, from, reader } =
            self.nodes[node].app.recoveries.remove(&job).unwrap();
        let control = self.nodes[node].control.as_ref().unwrap();
        if control.takeover_epoch(shard) != Some(epoch) {
            return;
        }
        match reader.recovered(shard, from) {
            Ok(recovered) => {
                let mut entries = decode(&recovered.snapshot);
                entries.extend(recovered.changes.iter().flat_map(|change| decode(change)));
                self.reach(node, Step::Recover, Moment::After);
                self.write_snapshot(node, shard, epoch, entries);
            }
            Err(err) => {
                self.checker.violations.insert(format!("node {node}: {err}"));
            }
        }
    }

    fn write_snapshot(
        &mut self,
        node: usize,
        shard: ShardId,
        epoch: egretlb_types::Epoch,
        entries: Vec<u64>,
    ) {
        let of = &mut self.nodes[node];
        let entry = snapshot_entry(shard, epoch, &entries);
        let app = super::app::AppShard { epoch, entries, active: false };
        of.app.shards.insert(shard, app);
        let ticket = of.app.ticket(Waiter::Snapshot { shard, epoch });
        of.journal.push(entry, ticket).unwrap();
        self.flush(node);
    }

    /// Each owner changes each of its watched shards some three times a second.
    fn write_changes(&mut self, node: usize) {
        let now = self.local(node);
        if self.nodes[node].change_at > self.now || !self.watched_changes {
            return;
        }
        self.nodes[node].change_at = self.now + 300 * MS;
        for shard in (0..WATCHED).map(ShardId) {
            let id = self.rng.random();
            let of = &mut self.nodes[node];
            let Some(epoch) = of.control.as_ref().unwrap().epoch_if_held(now, shard) else {
                continue;
            };
            let Some(app) = of.app.shards.get_mut(&shard).filter(|app| app.active) else {
                continue;
            };
            app.entries.push(id);
            let ticket = of.app.ticket(Waiter::Change { shard, epoch, id });
            of.journal.push(change_entry(shard, epoch, id), ticket).unwrap();
        }
        if let Some(from) = self.nodes[node].journal.live_from() {
            self.step(node, ControlEvent::JournalLive { from });
        }
        for shard in self.nodes[node].journal.snapshots_due(now) {
            let of = &mut self.nodes[node];
            let Some(app) = of.app.shards.get(&shard) else { continue };
            let entry = snapshot_entry(shard, app.epoch, &app.entries);
            let ticket = of.app.ticket(Waiter::Upkeep);
            of.journal.push(entry, ticket).unwrap();
        }
    }

    fn flush(&mut self, node: usize) {
        let now = self.local(node);
        let of = &mut self.nodes[node];
        let Some(append) = of.control.as_ref().and_then(|_| of.journal.poll(now)) else { return };
        let stream = StreamName::journal(of.info.node);
        self.send_append(node, stream, append.bytes, Reply::Journal { seq: append.seq });
    }

    fn journal_answer(&mut self, node: usize, seq: Seq, outcome: AppendOutcome) {
        let now = self.local(node);
        let answered = self.nodes[node].journal.answered(now, seq, outcome);
        for ticket in answered.durable {
            let waiter = self.nodes[node].app.waiters.remove(&ticket).unwrap();
            match waiter {
                Waiter::Snapshot { shard, epoch } => {
                    self.step(node, ControlEvent::RecoveryDone { shard, epoch });
                }
                Waiter::Change { shard, epoch, id } => {
                    // Acknowledged only if this process may act at this moment.
                    let control = self.nodes[node].control.as_ref();
                    if control.and_then(|c| c.epoch_if_held(now, shard)) == Some(epoch) {
                        self.checker.acked(shard, id);
                    }
                }
                Waiter::Upkeep => {}
            }
        }
        self.flush(node);
    }

    fn check(&mut self) {
        for shard in (0..WATCHED).map(ShardId) {
            let holders: Vec<_> = self.holders(shard);
            self.checker.holders(shard, &holders);
        }
    }

    /// Who may act for the shard now.
    pub fn holders(&self, shard: ShardId) -> Vec<(usize, egretlb_types::Epoch)> {
        let held = |(index, n): (usize, &SimNode)| {
            let epoch = n.control.as_ref()?.epoch_if_held(n.clock.read(self.now), shard)?;
            Some((index, epoch))
        };
        self.nodes.iter().enumerate().filter_map(held).collect()
    }

    /// How many shards nobody may act for now.
    pub fn unserved(&self) -> usize {
        (0..egretlb_types::SHARD_COUNT).filter(|s| self.holders(ShardId(*s)).is_empty()).count()
    }

    /// Compares what the processes hold at the same offset.
    pub fn compare_states(&mut self) {
        for of in &self.nodes {
            if let Some((control, state)) = of.control.as_ref().and_then(|c| Some((c, c.state()?)))
            {
                self.checker.state(control.next(), state);
            }
        }
    }
}
