//! The world: time passes in steps of 5 ms, and messages take one to three of them.

use {
    super::{
        checker::Checker,
        node::{Node, Wish},
        store::Store,
        worker::{StartOrder, Worker},
    },
    egretlb_types::{Epoch, Offset, Seq, Time},
    egretlb_workflow::{
        AppendResult, DirectoryChange, Effect, HoldResult, Key, LeadershipEffect, Limits, Outcome,
        Record, RunId, StartResult, State, StopResult, Submission, TaskId, WorkerId, WorkflowId,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(5);

/// How often nodes read the store.
const READ_EVERY: u64 = 4;

/// How often nodes read the directory.
const DIRECTORY_EVERY: u64 = 50;

enum Msg {
    Append {
        node: usize,
        incarnation: u64,
        sent: Time,
        records: Vec<Record>,
        fence: (Epoch, Seq),
        claim: bool,
    },
    Appended {
        node: usize,
        incarnation: u64,
        sent: Time,
        records: Vec<Record>,
        fence: (Epoch, Seq),
        claim: bool,
        result: AppendResult,
    },
    Order {
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        effect: Effect,
    },
    Answer {
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        answer: Answer,
    },
}

enum Answer {
    Hold(WorkerId, HoldResult),
    Start(WorkerId, TaskId, RunId, StartResult),
    Stop(WorkerId, TaskId, RunId, StopResult),
}

pub struct World {
    pub now: Time,
    pub rng: SmallRng,
    pub store: Store,
    pub store_down: bool,
    /// Appends that take effect without an answer, in thousandths.
    pub lost_appends: u32,
    /// Orders that get no answer and are carried out 2 to 12 s later, in thousandths.
    pub late_orders: u32,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub checker: Checker,
    pub submitted: Vec<WorkflowId>,
    limits: Limits,
    incarnations: u64,
    workers_made: usize,
    messages: Vec<(Time, Msg)>,
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
            late_orders: 0,
            nodes: Vec::new(),
            workers: Vec::new(),
            checker: Checker::default(),
            submitted: Vec::new(),
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
        self.workers.len() - 1
    }

    /// A client's workflow, recorded at once.
    pub fn submit(&mut self, id: u64, submission: &Submission) -> WorkflowId {
        let id = WorkflowId(id);
        self.store.append(&[Record::new(Key::Submission(id), submission)], None);
        self.submitted.push(id);
        id
    }

    pub fn cancel(&mut self, id: WorkflowId) {
        self.store.append(&[Record::new(Key::Cancel(id), &true)], None);
        self.checker.cancelled.insert(id);
    }

    /// The node that may give orders, if there is one.
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
    }

    pub fn freeze(&mut self, node: usize, span: Duration) {
        self.nodes[node].frozen_until = self.now + span;
    }

    /// What clients are told of a workflow, by the records.
    pub fn state(&self, id: WorkflowId) -> Option<State> {
        let mut ledger = egretlb_workflow::Ledger::default();
        for (offset, record) in self.store.from(Offset(0)) {
            ledger.apply(offset, &record.key, &record.value).expect("a record of this crate");
        }
        ledger.get(id).map(egretlb_workflow::Entry::state)
    }

    pub fn completed(&self, id: WorkflowId) -> bool {
        self.state(id) == Some(State::Ended(Outcome::Completed))
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, at most for `limit`; returns how long it took.
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
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.nodes[index].runs(self.now) {
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now;
        let mut wishes = Vec::new();
        if self.steps.is_multiple_of(DIRECTORY_EVERY) || self.nodes[index].directory.is_empty() {
            self.read_directory(index);
        }
        let readable = self.nodes[index].reaches_store && !self.store_down;
        if self.steps.is_multiple_of(READ_EVERY) {
            if readable {
                let from = self.nodes[index].next;
                let records: Vec<(Offset, Record)> = self
                    .store
                    .from(from)
                    .map(|(offset, record)| (offset, record.clone()))
                    .collect();
                for (offset, record) in records {
                    wishes.extend(self.nodes[index].read(now, offset, &record.key, &record.value));
                }
            } else {
                self.nodes[index].leadership.on_read_failed(now);
            }
        }
        let node = &mut self.nodes[index];
        let mut out: Vec<LeadershipEffect> = Vec::new();
        node.leadership.tick(now, readable, &mut out);
        node.apply(now, out, &mut wishes);
        let mut effects = Vec::new();
        if node.leads(now)
            && let Some(scheduler) = &mut node.scheduler
        {
            scheduler.tick(now, now.as_micros() / 1_000, &mut effects);
        }
        node.wish(effects, &mut wishes);
        self.perform(index, wishes);
    }

    fn read_directory(&mut self, index: usize) {
        let now = self.now;
        let present: Vec<_> =
            self.workers.iter().filter(|worker| worker.up).map(|w| w.info.clone()).collect();
        let node = &mut self.nodes[index];
        let gone: Vec<WorkerId> = node
            .directory
            .iter()
            .filter(|known| !present.iter().any(|info| info.id == known.id))
            .map(|known| known.id.clone())
            .collect();
        node.directory.clone_from(&present);
        if let Some(scheduler) = &mut node.scheduler {
            for info in present {
                scheduler.on_directory(now, DirectoryChange::Present(info));
            }
            for id in gone {
                scheduler.on_directory(now, DirectoryChange::Absent(id));
            }
        }
    }

    fn perform(&mut self, node: usize, wishes: Vec<Wish>) {
        let incarnation = self.nodes[node].incarnation;
        let sent = self.now;
        for wish in wishes {
            match wish {
                Wish::Claim { epoch, seq, records } => {
                    let fence = (epoch, seq);
                    self.send(Msg::Append { node, incarnation, sent, records, fence, claim: true });
                }
                Wish::Effect(epoch, Effect::Record { mut records }) => {
                    let leadership = &mut self.nodes[node].leadership;
                    if leadership.term() != Some(epoch) {
                        continue;
                    }
                    let Some((_, seq, sign)) = leadership.sign(false) else { continue };
                    records.push(sign);
                    let fence = (epoch, seq);
                    self.send(Msg::Append {
                        node,
                        incarnation,
                        sent,
                        records,
                        fence,
                        claim: false,
                    });
                }
                Wish::Effect(_, Effect::Outranked) => {
                    let mut out = Vec::new();
                    let node = &mut self.nodes[node];
                    node.leadership.on_outranked(sent, &mut out);
                    node.apply(sent, out, &mut Vec::new());
                }
                Wish::Effect(epoch, effect) => {
                    self.send(Msg::Order { node, incarnation, epoch, sent, effect });
                }
            }
        }
    }

    fn send(&mut self, msg: Msg) {
        let steps = self.rng.random_range(1..=3);
        self.messages.push((self.now + STEP * steps, msg));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, msg) in due {
            match msg {
                Msg::Append { node, incarnation, sent, records, fence, claim } => {
                    self.append(node, incarnation, (sent, records, fence), claim);
                }
                Msg::Order { node, incarnation, epoch, sent, effect } => {
                    self.order(node, incarnation, epoch, sent, effect);
                }
                msg => self.answer(msg),
            }
        }
    }

    fn append(
        &mut self,
        node: usize,
        incarnation: u64,
        append: (Time, Vec<Record>, (Epoch, Seq)),
        claim: bool,
    ) {
        let (sent, records, fence) = append;
        let reached = self.nodes[node].reaches_store && !self.store_down;
        let mut result = AppendResult::Rejected;
        if reached {
            result = self.store.append(&records, Some(fence));
            if self.rng.random_range(0..1_000) < self.lost_appends {
                result = AppendResult::Unknown;
            }
        }
        self.send(Msg::Appended { node, incarnation, sent, records, fence, claim, result });
    }

    fn order(&mut self, node: usize, incarnation: u64, epoch: Epoch, sent: Time, effect: Effect) {
        let now = self.now;
        let (Effect::Hold { worker: id, .. }
        | Effect::Start { worker: id, .. }
        | Effect::Stop { worker: id, .. }) = &effect
        else {
            return;
        };
        let id = id.clone();
        let Some(index) = self.workers.iter().position(|worker| worker.info.id == id) else {
            return;
        };
        let cut = self.nodes[node].cut_from.contains(&index);
        let late = self.rng.random_range(0..1_000) < self.late_orders;
        if late && now.since(sent) < Duration::from_millis(100) {
            let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
            let lost = Msg::Order { node, incarnation, epoch, sent, effect: effect.clone() };
            self.messages.push((now + wait, lost));
        }
        let (worker, checker) = (&mut self.workers[index], &mut self.checker);
        let unanswered = cut || late || !worker.up;
        let answer = match effect {
            Effect::Hold { epoch, recorded, until_ms, .. } => {
                let result = if unanswered {
                    HoldResult::Failed
                } else {
                    worker.hold(now, epoch, recorded, until_ms, checker)
                };
                Answer::Hold(id, result)
            }
            Effect::Start { epoch, task, run, submission, until_ms, .. } => {
                let result = if unanswered {
                    StartResult::Unknown
                } else {
                    let order = StartOrder { epoch, task, run, submission, until_ms };
                    worker.start(now, &order, checker)
                };
                Answer::Start(id, task, run, result)
            }
            Effect::Stop { epoch, task, run, .. } => {
                let result = if unanswered {
                    StopResult::Unknown
                } else {
                    worker.stop(now, epoch, task, run, checker)
                };
                Answer::Stop(id, task, run, result)
            }
            Effect::Record { .. } | Effect::Outranked => return,
        };
        // A call without an answer is given up after half a second.
        let wait = if unanswered { Duration::from_millis(500) } else { STEP };
        self.messages.push((now + wait, Msg::Answer { node, incarnation, epoch, sent, answer }));
    }

    fn answer(&mut self, msg: Msg) {
        let (Msg::Appended { node, incarnation, .. } | Msg::Answer { node, incarnation, .. }) =
            &msg
        else {
            return;
        };
        let (node, now) = (*node, self.now);
        let receiver = &self.nodes[node];
        if !receiver.up || receiver.incarnation != *incarnation {
            return;
        }
        if !receiver.runs(now) {
            self.messages.push((receiver.frozen_until, msg));
            return;
        }
        let mut wishes = Vec::new();
        match msg {
            Msg::Appended { claim: true, result, .. } => {
                self.nodes[node].leadership.on_claim(now, result);
            }
            Msg::Appended { sent, records, fence, result, .. } => {
                self.on_appended(node, (sent, records, fence), result, &mut wishes);
            }
            Msg::Answer { epoch, sent, answer, .. } => {
                self.on_answer(node, epoch, sent, answer, &mut wishes);
            }
            Msg::Append { .. } | Msg::Order { .. } => {}
        }
        self.perform(node, wishes);
    }

    fn on_appended(
        &mut self,
        index: usize,
        append: (Time, Vec<Record>, (Epoch, Seq)),
        result: AppendResult,
        wishes: &mut Vec<Wish>,
    ) {
        let now = self.now;
        let (sent, records, fence) = append;
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        if node.leadership.term() != Some(fence.0) {
            return;
        }
        node.leadership.on_append(now, sent, result, &mut out);
        node.apply(now, out, wishes);
        match result {
            AppendResult::Done => {
                if let Some(scheduler) = &mut node.scheduler {
                    scheduler.on_recorded(now);
                }
            }
            AppendResult::Rejected | AppendResult::Unknown => {
                let incarnation = node.incarnation;
                let again =
                    Msg::Append { node: index, incarnation, sent, records, fence, claim: false };
                self.messages.push((now + Duration::from_millis(60), again));
            }
            AppendResult::Conflict | AppendResult::Fenced => {}
        }
    }

    fn on_answer(
        &mut self,
        index: usize,
        epoch: Epoch,
        sent: Time,
        answer: Answer,
        wishes: &mut Vec<Wish>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.leadership.term() != Some(epoch) {
            return;
        }
        let Some(scheduler) = &mut node.scheduler else { return };
        let mut effects = Vec::new();
        match answer {
            Answer::Hold(id, result) => scheduler.on_hold(now, &id, sent, &result, &mut effects),
            Answer::Start(id, task, run, result) => {
                scheduler.on_start(now, &id, task, run, result, &mut effects);
            }
            Answer::Stop(id, task, run, result) => {
                scheduler.on_stop(now, &id, task, run, result, &mut effects);
            }
        }
        node.wish(effects, wishes);
    }
}
