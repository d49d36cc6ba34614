//! A node: its state, and the performing of what it decides.

use {
    crate::{
        append::{Appender, STUCK_AFTER, Stored},
        border,
        border::{Append, Fence, Formats, HoldCall, StartCall, StopCall, Store, Topic, Workers},
        clock::Clock,
        core::{Core, Effects, Reading},
        peers::{Leader, Waiting},
    },
    compact_str::CompactString,
    egretlb_telemetry::{RunEvent, WorkflowMetrics},
    egretlb_types::{Epoch, Offset, Seq, Time},
    egretlb_workflow::{
        AppendResult, Effect, Leadership, LeadershipEffect, Limits, Record, Scheduler, WorkerId,
        WorkflowId,
    },
    std::{
        cell::{Cell, Ref, RefCell},
        collections::HashSet,
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// An append that takes longer is logged: the store usually answers within 10 ms.
const SLOW_APPEND: Duration = Duration::from_millis(200);

/// The pause before an append of the leader is repeated.
const RECORD_RETRY: Duration = Duration::from_millis(60);

/// Several events are followed by one pass over what waits; a task waits this much longer for it.
const TICK_GAP: Duration = Duration::from_millis(1);

/// How often a leader looks at its timers.
const LEADER_TICK: Duration = Duration::from_millis(20);

/// How often a follower looks whether it has to take over.
const FOLLOWER_TICK: Duration = Duration::from_millis(60);

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The name of its VM.
    pub name: CompactString,
    /// Drawn at random at each start.
    pub incarnation: u64,
    /// The VM's share of the processor, in thousandths of a core.
    pub power: u32,
    /// Spans of time.
    pub limits: Limits,
}

/// The place among the followers, from 0 for the one that claims first to 999. Leading takes a third of
/// a core at 500 workers; a weak VM would lead late and badly, so it claims after the strong ones. What
/// is left of the range tells VMs of one strength apart.
fn place(options: &NodeOptions) -> u32 {
    let mut hasher = DefaultHasher::new();
    options.incarnation.hash(&mut hasher);
    let chance = u32::try_from(hasher.finish() % u64::from(CHANCE_RANGE)).unwrap_or(0);
    let weakness = FULL_POWER.saturating_sub(options.power) * (999 - CHANCE_RANGE) / FULL_POWER;
    weakness + chance
}

/// VMs with this share of a core and more are equally fit to lead, in thousandths.
const FULL_POWER: u32 = 500;

/// The part of the range that chance decides.
const CHANCE_RANGE: u32 = 300;

/// A node.
pub struct Node {
    core: RefCell<Core>,
    store: Rc<dyn Store>,
    workers: Rc<dyn Workers>,
    formats: Rc<dyn Formats>,
    pub(crate) appender: Rc<Appender>,
    pub(crate) leader: Leader,
    pub(crate) metrics: WorkflowMetrics,
    /// Clients' records for the leader's next append.
    waiting: RefCell<Vec<Waiting>>,
    /// Since when the leader's append under way has had no success.
    recording: Cell<Option<Time>>,
    clock: Clock,
    wake: Notify,
    /// Told of each answered read of the system's own records.
    pub(crate) reads: Notify,
}

impl Node {
    /// A node that follows nothing yet.
    pub fn new(
        options: NodeOptions,
        store: Rc<dyn Store>,
        workers: Rc<dyn Workers>,
        formats: Rc<dyn Formats>,
    ) -> Rc<Node> {
        let clock = Clock;
        let place = place(&options);
        let leadership =
            Leadership::new(clock.now(), options.name, options.incarnation, place, options.limits);
        Rc::new(Node {
            core: RefCell::new(Core::new(leadership, options.limits)),
            store,
            workers,
            formats,
            appender: Rc::default(),
            leader: Leader::default(),
            metrics: WorkflowMetrics::new(),
            waiting: RefCell::default(),
            recording: Cell::new(None),
            clock,
            wake: Notify::new(),
            reads: Notify::new(),
        })
    }

    pub(crate) fn store(&self) -> &dyn Store {
        &*self.store
    }

    pub(crate) fn formats(&self) -> &dyn Formats {
        &*self.formats
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    pub(crate) fn core(&self) -> Ref<'_, Core> {
        self.core.borrow()
    }

    /// A workflow was accepted here; its record will be read soon.
    pub(crate) fn accepted(&self, id: WorkflowId) {
        let mut core = self.core.borrow_mut();
        if core.ledger.get(id).is_none() {
            core.accepted.insert(id);
        }
    }

    /// Whether this process may give orders now.
    pub(crate) fn may_lead(&self) -> bool {
        let core = self.core.borrow();
        core.scheduler.is_some() && core.leadership.authority(self.clock.now()).is_some()
    }

    /// Where another process that leads takes records.
    pub(crate) fn leader_addr(&self) -> Option<SocketAddr> {
        let core = self.core.borrow();
        let leader = core.ledger.leader().filter(|leader| !leader.released)?;
        if core.leadership.is_own(leader) { None } else { leader.addr }
    }

    /// Where followers may hand records in, once this process leads.
    pub(crate) fn listen_at(&self, addr: SocketAddr) {
        self.core.borrow_mut().leadership.listen_at(addr);
    }

    /// Adds a client's record to the leader's next append; false if appends don't get through.
    pub(crate) fn add_waiting(self: &Rc<Self>, waiting: Waiting) -> bool {
        let stuck = |since| self.clock.now().since(since) >= STUCK_AFTER;
        if self.recording.get().is_some_and(stuck) {
            return false;
        }
        self.waiting.borrow_mut().push(waiting);
        self.step(|core, _, _| {
            if let Some(scheduler) = &mut core.scheduler {
                scheduler.clients_wait();
            }
        });
        true
    }

    pub(crate) fn leads(&self) -> bool {
        self.core.borrow().scheduler.is_some()
    }

    /// Starts what runs beside the clients: following the topics, appending, ticking.
    pub(crate) fn spawn(self: &Rc<Self>) {
        for topic in [Topic::Operator, Topic::Work, Topic::Directory] {
            spawn_local(crate::follow::follow(Rc::clone(self), topic));
        }
        spawn_local(Rc::clone(&self.appender).run(Rc::clone(self)));
        spawn_local(Rc::clone(self).tick_on());
    }

    async fn tick_on(self: Rc<Self>) {
        loop {
            let pause = if self.leads() { LEADER_TICK } else { FOLLOWER_TICK };
            // Both a wake and the pause's end lead to the same pass.
            let _ = timeout(pause, self.wake.notified()).await;
            let wall_ms = self.clock.wall_ms();
            self.step_quietly(|core, now, out| core.tick(now, wall_ms, out));
            self.measure();
            sleep(TICK_GAP).await;
        }
    }

    fn measure(&self) {
        let core = &mut *self.core.borrow_mut();
        let metrics = &self.metrics;
        metrics.set_config(core.routes.as_ref().map_or(0, |routes| routes.version));
        let Some(scheduler) = &mut core.scheduler else {
            metrics.set_load(false, 0, 0);
            return;
        };
        metrics.set_load(true, scheduler.active(), scheduler.waiting());
        let measures = scheduler.take_measures();
        metrics.runs(RunEvent::Started, measures.waits.len() as u64);
        metrics.runs(RunEvent::Done, measures.done);
        metrics.runs(RunEvent::Failed, measures.failed);
        metrics.runs(RunEvent::Stopped, measures.stopped);
        metrics.runs(RunEvent::Preempted, measures.preempted);
        metrics.runs(RunEvent::Relieved, measures.relieved);
        measures.waits.into_iter().for_each(|wait| metrics.started_after(wait));
    }

    /// Takes an event in, and has a pass over what waits follow soon.
    pub(crate) fn step(self: &Rc<Self>, event: impl FnOnce(&mut Core, Time, &mut Effects)) {
        self.step_quietly(event);
        if self.leads() {
            self.wake.notify_one();
        }
    }

    fn step_quietly(self: &Rc<Self>, event: impl FnOnce(&mut Core, Time, &mut Effects)) {
        let mut out = Effects::default();
        event(&mut self.core.borrow_mut(), self.clock.now(), &mut out);
        for effect in out.leadership {
            self.perform_leadership(effect);
        }
        for effect in out.scheduler {
            self.perform(effect);
        }
    }

    pub(crate) fn directory_loaded(self: &Rc<Self>, found: &HashSet<WorkerId>) {
        self.step(|core, now, _| core.on_directory_loaded(now, found));
    }

    pub(crate) fn read_done(self: &Rc<Self>, topic: Topic, reading: Reading) {
        if topic == Topic::Work {
            self.core.borrow_mut().work = reading;
            self.reads.notify_waiters();
        }
    }

    pub(crate) fn read_failed(self: &Rc<Self>, topic: Topic) {
        log::debug!(topic:% = topic; "read_failed");
        if topic == Topic::Work {
            let now = self.clock.now();
            let mut core = self.core.borrow_mut();
            core.work.at_end = false;
            core.leadership.on_read_failed(now);
        }
    }

    fn perform_leadership(self: &Rc<Self>, effect: LeadershipEffect) {
        match effect {
            LeadershipEffect::Claim { epoch, seq, records } => {
                let fence = Some(Fence { epoch, seq });
                spawn_local(Rc::clone(self).claim(Append { records, fence }));
            }
            LeadershipEffect::Elected { epoch } => self.begin_term(epoch),
            LeadershipEffect::Deposed => {
                let leader = self.core.borrow().leader();
                log::info!(leader:% = leader; "deposed");
                self.core.borrow_mut().scheduler = None;
            }
        }
    }

    fn begin_term(self: &Rc<Self>, epoch: Epoch) {
        let (now, wall_ms) = (self.clock.now(), self.clock.wall_ms());
        let core = &mut *self.core.borrow_mut();
        let directory = core.directory.values().cloned();
        let scheduler = Scheduler::new(now, wall_ms, epoch, core.limits, &core.ledger, directory);
        log::info!(
            epoch:% = epoch, workers = core.directory.len(), workflows = scheduler.active(),
            unaccounted = scheduler.unaccounted();
            "elected"
        );
        core.scheduler = Some(scheduler);
        self.metrics.elected();
        self.wake.notify_one();
    }

    async fn claim(self: Rc<Self>, append: Append) {
        let result = self.store.append(&append).await;
        log::info!(result:? = result; "claimed");
        self.step(|core, now, _| core.leadership.on_claim(now, result));
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Hold { worker, addr, epoch, recorded, until_ms, wait_ms } => {
                let call = HoldCall { worker, addr, epoch, recorded, until_ms, wait_ms };
                spawn_local(Rc::clone(self).hold(call));
            }
            Effect::Start { .. } => {
                spawn_local(Rc::clone(self).start(effect));
            }
            Effect::Stop { worker, addr, epoch, task, run } => {
                let call = StopCall { worker, addr, epoch, task, run };
                spawn_local(Rc::clone(self).stop(call));
            }
            Effect::Record { records } => {
                spawn_local(Rc::clone(self).record(records));
            }
            Effect::Outranked => {
                log::warn!("outranked");
                self.step(|core, now, out| core.leadership.on_outranked(now, &mut out.leadership));
            }
        }
    }

    /// Whether orders of this epoch may still be sent. A process may have been paused since they were
    /// decided.
    fn may_order(&self, epoch: Epoch) -> bool {
        self.core.borrow().leadership.authority(self.clock.now()) == Some(epoch)
    }

    fn with_scheduler(
        self: &Rc<Self>,
        epoch: Epoch,
        event: impl FnOnce(&mut Scheduler, Time, &mut Vec<Effect>),
    ) {
        self.step(|core, now, out| {
            if core.leadership.term() != Some(epoch) {
                return;
            }
            if let Some(scheduler) = &mut core.scheduler {
                event(scheduler, now, &mut out.scheduler);
            }
        });
    }

    async fn hold(self: Rc<Self>, call: HoldCall) {
        let (worker, epoch, sent) = (call.worker.clone(), call.epoch, self.clock.now());
        let result = if self.may_order(epoch) {
            self.workers.hold(call).await
        } else {
            egretlb_workflow::HoldResult::Failed
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_hold(now, &worker, sent, &result, out);
        });
    }

    async fn start(self: Rc<Self>, effect: Effect) {
        let Effect::Start { worker, addr, epoch, task, run, submission, until_ms, saved } = effect
        else {
            return;
        };
        let result = if self.may_order(epoch) {
            let payload = submission.workflow.payload.as_str();
            let worker = &worker;
            let saved = saved.as_str();
            self.workers
                .start(StartCall { worker, addr, epoch, task, run, payload, until_ms, saved })
                .await
        } else {
            egretlb_workflow::StartResult::NotSent
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_start(now, &worker, task, run, result, out);
        });
    }

    async fn stop(self: Rc<Self>, call: StopCall) {
        let StopCall { worker, epoch, task, run, .. } = call.clone();
        let result = if self.may_order(epoch) {
            self.workers.stop(call).await
        } else {
            egretlb_workflow::StopResult::Unknown
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_stop(now, &worker, task, run, result, out);
        });
    }

    /// Appends under the leader's epoch, again and again until it is settled: the numbers of a term
    /// have no gaps, so nothing else can be appended before.
    async fn record(self: Rc<Self>, mut records: Vec<Record>) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        records.extend(waiting.iter().map(|waiting| waiting.record.clone()));
        self.recording.set(Some(self.clock.now()));
        let stored = self.record_all(records).await;
        self.recording.set(None);
        if stored == Stored::Yes {
            self.take_in(&waiting);
        }
        for waiting in waiting {
            // A client that has left doesn't wait for the result.
            let _ = waiting.tx.send(stored);
        }
    }

    /// Takes clients' records in as soon as they are stored; they are met again when they are read, some
    /// 10 to 20 ms later, and change nothing then.
    fn take_in(self: &Rc<Self>, waiting: &[Waiting]) {
        for waiting in waiting {
            let Record { key, value } = waiting.record.clone();
            // Neither a submission nor a cancellation depends on its place among the records.
            let stored = border::Stored { offset: Offset(0), key: key.into(), value: value.into() };
            self.step(|core, now, out| core.on_work(now, &stored, out));
        }
    }

    async fn record_all(self: &Rc<Self>, mut records: Vec<Record>) -> Stored {
        let signed = self.core.borrow_mut().leadership.sign(false);
        let Some((epoch, seq, sign)) = signed else { return Stored::No };
        records.push(sign);
        let append = Append { records, fence: Some(Fence { epoch, seq }) };
        // A repetition may be answered with the first one's result, so it proves nothing later.
        let sent = self.clock.now();
        loop {
            let result = tokio::select! {
                result = self.store.append(&append) => result,
                () = self.has_read(epoch, seq) => AppendResult::Done,
            };
            let took = self.clock.now().since(sent);
            if took >= SLOW_APPEND {
                log::info!(took_ms = took.as_millis() as u64, result:? = result; "append_slow");
            }
            self.step(|core, now, out| {
                if core.leadership.term() != Some(epoch) {
                    return;
                }
                core.leadership.on_append(now, sent, result, &mut out.leadership);
                if result == AppendResult::Done
                    && let Some(scheduler) = &mut core.scheduler
                {
                    scheduler.on_recorded(now);
                }
            });
            if result == AppendResult::Done {
                self.metrics.appended(took);
                return Stored::Yes;
            }
            if self.core.borrow().leadership.term() != Some(epoch) {
                return Stored::Unknown;
            }
            sleep(RECORD_RETRY).await;
        }
    }

    /// Waits until an append of this term is among what was read.
    async fn has_read(&self, epoch: Epoch, seq: Seq) {
        loop {
            let read = self.reads.notified();
            {
                let core = self.core.borrow();
                let newest = core.ledger.leader();
                if newest.is_some_and(|newest| core.leadership.has_read(newest, epoch, seq)) {
                    return;
                }
            }
            read.await;
        }
    }

    /// Waits until clients' records are among what was read.
    pub(crate) async fn have_read(&self, records: &[Record]) {
        loop {
            let read = self.reads.notified();
            if records.iter().all(|record| self.core.borrow().ledger.holds(record)) {
                return;
            }
            read.await;
        }
    }

    /// Waits until another process leads than the one that takes records at `addr`.
    pub(crate) async fn leader_changes(&self, addr: SocketAddr) {
        loop {
            let read = self.reads.notified();
            if self.leader_addr() != Some(addr) {
                return;
            }
            read.await;
        }
    }

    /// Prepares the end of the process: it takes no term any more, and gives up the one it has.
    pub(crate) async fn retire(self: &Rc<Self>) {
        self.core.borrow_mut().stopping = true;
        // Appends of a term are numbered without gaps, so the one under way is waited for.
        for _ in 0..RELEASE_TRIES {
            if self.recording.get().is_none() {
                break;
            }
            sleep(RECORD_RETRY).await;
        }
        let release = {
            let mut core = self.core.borrow_mut();
            core.leadership.retire();
            core.leadership.sign(true)
        };
        let Some((epoch, seq, sign)) = release else { return };
        // From here on nothing is ordered, so a successor may begin as soon as it reads the record.
        self.step(|core, now, out| core.leadership.resign(now, &mut out.leadership));
        let fence = Some(Fence { epoch, seq });
        let append = Append { records: vec![sign], fence };
        for _ in 0..RELEASE_TRIES {
            match self.store.append(&append).await {
                AppendResult::Done | AppendResult::Fenced => return,
                _ => sleep(RECORD_RETRY).await,
            }
        }
    }
}

/// How often the end of a term is tried to record, 1.2 s in all on a store that answers at once; a
/// successor takes over without it, only later.
const RELEASE_TRIES: u32 = 20;
