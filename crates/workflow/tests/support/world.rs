//! The simulation. Time advances in steps of 5 ms, and messages take one to three steps.

use {
    super::{
        advisor::Advisor, checker::Checker, crashing_tasks::CrashingTasks,
        evacuations::Evacuations, fleet::Fleet, messages::Msg, node::Node, stalls::StallWatch,
        store::Store, worker::Worker,
    },
    egretlb_types::{Offset, Time},
    egretlb_workflow::{
        DirectoryChange, Key, LeadershipEffect, Limits, Outcome, Record, Submission, Wave,
        WorkerId, WorkerInfo, WorkflowId, WorkflowState,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, time::Duration},
};

pub const STEP: Duration = Duration::from_millis(5);

/// Interval of store reads, in steps.
const READ_EVERY: u64 = 4;

/// Intervals of directory reads on the leader and on followers, in steps.
const DIRECTORY_EVERY: u64 = 50;
const DIRECTORY_FOLLOWER_EVERY: u64 = 300;

pub struct World {
    pub now: Time,
    pub rng: SmallRng,
    pub store: Store,
    pub store_down: bool,
    /// Rate of appends that are stored but get no answer, in thousandths.
    pub lost_appends: u32,
    /// Rate of appends that get no answer and reach the store 0.1 to 3 s later, in thousandths.
    pub late_appends: u32,
    /// Rate of commands that get no answer and are executed 2 to 12 s later, in thousandths.
    pub late_commands: u32,
    /// How long commands wait at the node before they are sent, as on an overloaded VM.
    pub command_wait: Duration,
    /// Maximum number of unanswered commands per worker; `None` for no limit.
    pub max_concurrent_commands: Option<usize>,
    /// When the last commands to each worker are answered or time out.
    pub busy_until: BTreeMap<WorkerId, Vec<Time>>,
    pub advisor: Advisor,
    pub fleet: Fleet,
    /// Waves requested by the operator; nodes read them at once.
    pub waves: Vec<(u64, Wave)>,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub checker: Checker,
    pub crashing_tasks: CrashingTasks,
    pub evacuations: Evacuations,
    pub stall_watch: Option<StallWatch>,
    /// A submission that no node reads, so that a check must notice.
    pub hidden: Option<WorkflowId>,
    pub submitted: Vec<WorkflowId>,
    /// Keys of records that may be unreadable, since another writer wrote them.
    foreign_keys: Vec<Key>,
    limits: Limits,
    incarnations: u64,
    workers_made: usize,
    pub messages: Vec<(Time, Msg)>,
    steps: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize, workers: usize, limits: Limits) -> World {
        let now = Time::from_secs(100);
        let mut world = World {
            now,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            store_down: false,
            lost_appends: 0,
            late_appends: 0,
            late_commands: 0,
            command_wait: Duration::ZERO,
            max_concurrent_commands: None,
            busy_until: BTreeMap::new(),
            advisor: Advisor::default(),
            fleet: Fleet::default(),
            waves: Vec::new(),
            nodes: Vec::new(),
            workers: Vec::new(),
            checker: Checker::default(),
            crashing_tasks: CrashingTasks::default(),
            evacuations: Evacuations::default(),
            stall_watch: None,
            hidden: None,
            submitted: Vec::new(),
            foreign_keys: Vec::new(),
            limits,
            incarnations: 0,
            workers_made: 0,
            messages: Vec::new(),
            steps: 0,
        };
        for name in 0..nodes {
            world.incarnations += 1;
            world.nodes.push(Node::new(now, name, world.incarnations, limits));
        }
        for _ in 0..workers {
            world.add_worker(8);
        }
        world
    }

    pub fn add_worker(&mut self, cores: u32) -> usize {
        self.workers.push(Worker::new(self.workers_made, cores));
        self.workers_made += 1;
        let id = self.workers.last().map(|worker| worker.info.id.clone());
        self.advisor.allowed.extend(id.filter(|_| self.advisor.allows_new));
        self.workers.len() - 1
    }

    /// Lets all workers say when they started, so that they restart under their names.
    pub fn tell_start_times(&mut self) {
        for worker in &mut self.workers {
            worker.info.id.started_ms = Some(1);
        }
    }

    /// Restarts a worker at its address, unless one runs there already. It keeps its name if workers say when they
    /// started, else it has another one.
    pub fn revive(&mut self, number: usize) -> usize {
        let addr = self.workers[number].info.addr;
        let current = |worker: &Worker| worker.up && worker.info.addr == addr;
        if let Some(current) = self.workers.iter().position(current) {
            return current;
        }
        let revived = self.add_worker(8);
        self.workers[revived].info.addr = addr;
        let earlier = &self.workers[number].info.id;
        if earlier.started_ms.is_some() {
            let started_ms = self.now.as_micros() / 1_000;
            let id = WorkerId::started_at(earlier.name.clone(), started_ms);
            self.workers[revived].info.id = id;
            self.workers[revived].clock_start = self.now;
        }
        revived
    }

    /// Records a client's workflow at once.
    pub fn submit(&mut self, id: u64, submission: &Submission) -> WorkflowId {
        let id = WorkflowId(id);
        self.store.append(&[Record::new(Key::Submission(id), submission)], None);
        self.submitted.push(id);
        id
    }

    /// Stores a submission of another writer, which needn't be readable.
    pub fn submit_foreign(&mut self, id: u64, submission: &Submission) -> WorkflowId {
        let id = WorkflowId(id);
        self.foreign_keys.push(Key::Submission(id));
        for node in &mut self.nodes {
            node.foreign_keys.clone_from(&self.foreign_keys);
        }
        self.store.append(&[Record::new(Key::Submission(id), submission)], None);
        id
    }

    /// Lets another writer replace a record by one that can't be read. Processes started later don't read the former one.
    pub fn overwrite(&mut self, key: Key) {
        self.foreign_keys.push(key);
        for node in &mut self.nodes {
            node.foreign_keys.clone_from(&self.foreign_keys);
        }
        self.store.replace(&key.to_bytes(), &[u8::MAX]);
    }

    /// Lets another writer append a record of a key, which needn't be readable.
    pub fn overwrite_with(&mut self, key: Key, value: &impl serde::Serialize) {
        self.foreign_keys.push(key);
        for node in &mut self.nodes {
            node.foreign_keys.clone_from(&self.foreign_keys);
        }
        self.store.append(&[Record::new(key, value)], None);
    }

    pub fn cancel(&mut self, id: WorkflowId) {
        self.store.append(&[Record::new(Key::Cancel(id), &true)], None);
        self.checker.cancelled.insert(id);
    }

    /// Returns the node that may send commands, if any.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &&Node| node.runs(self.now) && node.leads(self.now);
        let newest = |node: &&Node| node.leadership.term();
        self.nodes.iter().filter(leads).max_by_key(newest).map(|node| node.name)
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].scheduler = None;
    }

    pub fn restart(&mut self, node: usize) {
        self.incarnations += 1;
        self.nodes[node] = Node::new(self.now, node, self.incarnations, self.limits);
        self.nodes[node].foreign_keys.clone_from(&self.foreign_keys);
    }

    pub fn freeze(&mut self, node: usize, span: Duration) {
        self.nodes[node].frozen_until = self.now + span;
    }

    /// Returns the recorded state of a workflow.
    pub fn state(&self, id: WorkflowId) -> Option<WorkflowState> {
        let mut ledger = egretlb_workflow::Ledger::default();
        for (offset, record) in self.store.from(Offset(0)) {
            let applied = ledger.apply(offset, &record.key, &record.value);
            let foreign =
                Key::from_bytes(&record.key).is_ok_and(|key| self.foreign_keys.contains(&key));
            assert!(applied.is_ok() || foreign, "{applied:?}");
        }
        ledger.get(id).map(egretlb_workflow::Entry::state)
    }

    pub fn completed(&self, id: WorkflowId) -> bool {
        self.state(id) == Some(WorkflowState::Ended(Outcome::Completed))
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` or for `limit`; returns the time it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&World) -> bool,
    ) -> Option<Duration> {
        let begin = self.now;
        while self.now.since(begin) < limit {
            if done(self) {
                return Some(self.now.since(begin));
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for worker in &mut self.workers {
            worker.advance(self.now, &mut self.checker);
        }
        self.run_crashing_tasks();
        self.end_gangs();
        self.hold_incomplete_gangs();
        self.end_maintenance();
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.nodes[index].runs(self.now) {
                self.step_node(index);
            }
        }
        if let Some(mut watch) = self.stall_watch.take() {
            watch.observe(self);
            self.stall_watch = Some(watch);
        }
    }

    /// Brings VMs back from maintenance, with new workers.
    fn end_maintenance(&mut self) {
        for vm in self.fleet.end_maintenance(self.now) {
            let number = self.add_worker(8);
            let worker = self.workers[number].info.id.clone();
            self.fleet.vms.insert(vm, Some(worker));
        }
    }

    /// Assigns each worker to the VM with its number.
    pub fn assign_vms(&mut self) {
        for (number, worker) in self.workers.iter().enumerate() {
            self.fleet.vms.insert(super::fleet::vm(number), Some(worker.info.id.clone()));
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        let mut actions = Vec::new();
        let readable = self.nodes[index].reaches_store && !self.store_down;
        let node = &self.nodes[index];
        let leads = node.scheduler.is_some();
        let interval = if leads { DIRECTORY_EVERY } else { DIRECTORY_FOLLOWER_EVERY };
        if readable
            && ((self.steps + 70 * index as u64).is_multiple_of(interval)
                || node.directory.is_empty())
        {
            self.read_directory(index);
        }
        if self.steps.is_multiple_of(READ_EVERY) {
            if readable {
                self.read_evacuations(index);
                let from = self.nodes[index].next;
                self.nodes[index].leadership.on_read_sent(now);
                let hidden = self.hidden.map(|id| Key::Submission(id).to_bytes());
                let records: Vec<(Offset, Record)> = self
                    .store
                    .from(from)
                    .filter(|(_, record)| hidden.as_ref() != Some(&record.key))
                    .map(|(offset, record)| (offset, record.clone()))
                    .collect();
                for (offset, record) in records {
                    actions.extend(self.nodes[index].read(now, offset, &record.key, &record.value));
                }
                self.nodes[index].leadership.on_read(now);
            } else if !self.nodes[index].calls_hang {
                self.nodes[index].leadership.on_read_failed(now);
            }
        }
        let node = &mut self.nodes[index];
        let mut out: Vec<LeadershipEffect> = Vec::new();
        node.leadership.tick(now, readable || node.calls_hang, &mut out);
        node.apply(now, out, &mut actions);
        let mut effects = Vec::new();
        let (leads, wall_ms) = (node.leads(now), node.wall_ms(now));
        if let Some(scheduler) = &mut node.scheduler {
            for (number, wave) in &self.waves {
                scheduler.on_wave(now, *number, Some(wave.clone()), &node.ledger);
            }
            if leads {
                scheduler.tick(now, wall_ms, &mut effects);
            } else {
                scheduler.send_heartbeat(now, &mut effects);
            }
        }
        node.enqueue(effects, &mut actions);
        self.perform(index, actions);
    }

    fn read_directory(&mut self, index: usize) {
        let now = self.now;
        let listed = |w: &&Worker| (w.up && w.listed) || w.stale_entry;
        let entry = |w: &Worker| w.foreign_entry.clone().unwrap_or_else(|| w.info.clone());
        let mut present: Vec<_> = self.workers.iter().filter(listed).map(entry).collect();
        let lost: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|worker| worker.unreadable_entry)
            .map(|worker| worker.info.id.clone())
            .collect();
        let node = &mut self.nodes[index];
        present.retain(|info| !lost.contains(&info.id));
        let mut unreadable = node.directory.clone();
        unreadable.retain(|known| lost.contains(&known.id));
        unreadable.iter_mut().for_each(WorkerInfo::mark_unreadable);
        let gone: Vec<WorkerId> = node
            .directory
            .iter()
            .filter(|known| !present.iter().chain(&unreadable).any(|info| info.id == known.id))
            .map(|known| known.id.clone())
            .collect();
        node.directory = present.iter().chain(&unreadable).cloned().collect();
        if let Some(scheduler) = &mut node.scheduler {
            for info in present {
                scheduler.on_directory(now, DirectoryChange::Present(info));
            }
            for id in lost {
                scheduler.on_directory(now, DirectoryChange::Unreadable(id));
            }
            for id in gone {
                scheduler.on_directory(now, DirectoryChange::Absent(id));
            }
        }
    }
}
