//! A node: its state, its main loop, and the execution of leadership effects.

use {
    crate::{
        admission::Admission,
        append::Appender,
        bad_entries::{BadEntry, BadEntryLog, Decoded, LogAction},
        clock::Clock,
        commands::CommandSlots,
        core::{Core, Effects, ReadProgress},
        early_cancellations::EarlyCancellations,
        failing_topics::{FailingTopics, FailureReport},
        follow::Listed,
        peers::{LeaderClient, PendingRecord},
        platform::{
            Advisor, Append, Fence, Fleet, Formats, Platform, ReadFailure, Store, Topic, Workers,
        },
        reads::RecordWatch,
        relays::{self, Relays},
        standbys::{self, Forwarding},
        store_health::StoreHealth,
    },
    compact_str::CompactString,
    egretlb_telemetry::{IntervalResult, PreemptionLimit, Reach, RunEvent, WorkflowMetrics},
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{
        AppendResult, IntervalCause, Leadership, LeadershipEffect, Limits, Scheduler, Succession,
        Wave, WorkflowId,
    },
    std::{
        cell::{Cell, Ref, RefCell, RefMut},
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

/// Pause after a scheduler pass, so that several events share the next one.
const TICK_GAP: Duration = Duration::from_millis(3);

/// Maximum interval between two ticks of a leader.
const LEADER_TICK: Duration = Duration::from_millis(20);

/// Maximum interval between two ticks of a follower, which check whether to take over.
const FOLLOWER_TICK: Duration = Duration::from_millis(60);

/// Startup parameters of a node.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Name of the VM.
    pub name: CompactString,
    /// Data centre of the VM.
    pub data_centre: CompactString,
    /// Random number that identifies this start of the process.
    pub incarnation: u64,
    /// CPU share of the VM, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Smallest number of VMs of which only some follow the records.
    pub min_fleet_vms: usize,
    /// Time limits of leadership and scheduler.
    pub limits: Limits,
}

/// Delay before a follower claims leadership, in thousandths of [`Limits::takeover_spread`]: less than 1,000 for VMs
/// fit to lead. It grows as the CPU share shrinks; a random part separates VMs of equal share.
fn claim_rank(options: &NodeOptions) -> u32 {
    let mut hasher = DefaultHasher::new();
    options.incarnation.hash(&mut hasher);
    let jitter = u32::try_from(hasher.finish() % u64::from(JITTER_RANGE)).unwrap_or(0);
    let cpu_penalty = NO_CPU_PENALTY_MILLICORES.saturating_sub(options.cpu_millicores)
        * (999 - JITTER_RANGE)
        / NO_CPU_PENALTY_MILLICORES;
    let unfit_penalty =
        if options.cpu_millicores < MIN_LEADER_MILLICORES { UNFIT_RANK_PENALTY } else { 0 };
    cpu_penalty + jitter + unfit_penalty
}

/// Minimum CPU share for a leader, in thousandths of a core. With less, starts are sent seconds after they are
/// decided, possibly after the cancellation of their workflows was acknowledged.
const MIN_LEADER_MILLICORES: u32 = 200;

/// Rank added for VMs below [`MIN_LEADER_MILLICORES`], in thousandths of [`Limits::takeover_spread`]. Long enough
/// that VMs fit to lead claim first, even if a slow store delays their reads.
const UNFIT_RANK_PENALTY: u32 = 4_000;

/// CPU share from which VMs are equally fit to lead, in thousandths of a core.
const NO_CPU_PENALTY_MILLICORES: u32 = 500;

/// Size of the random part of the rank.
const JITTER_RANGE: u32 = 300;

/// Interval at which a process that asks standbys checks whether it has to follow the records.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which a claim has either begun a term or failed.
const MAX_CLAIM_TIME: Duration = Duration::from_secs(3);

/// What remains available without a topic of the store, as a log value.
fn available_without(topic: Topic) -> &'static str {
    match topic {
        Topic::Work => "what runs; orders for 4 s; known states",
        Topic::Terms => "standbys that are known",
        Topic::Operator => "known workflows; new ones for 2 s; starts for 4 s",
        Topic::Directory => "workers that are known",
    }
}

/// A node: follows the store's topics, serves clients, and runs the scheduler while this process leads.
pub struct Node {
    pub(crate) core: Rc<RefCell<Core>>,
    pub(crate) store: Rc<dyn Store>,
    /// The workers, called through [`Node::relays`].
    pub(crate) workers: Rc<dyn Workers>,
    pub(crate) relays: Rc<Relays>,
    pub(crate) advisor: Rc<dyn Advisor>,
    pub(crate) fleet: Rc<dyn Fleet>,
    pub(crate) name: CompactString,
    pub(crate) data_centre: CompactString,
    cpu_millicores: u32,
    pub(crate) min_fleet_vms: usize,
    formats: Rc<dyn Formats>,
    pub(crate) appender: Rc<Appender>,
    /// Sends clients' records to the leader.
    pub(crate) leader: LeaderClient,
    pub(crate) metrics: WorkflowMetrics,
    pub(crate) admission: Admission,
    pub(crate) early_cancellations: EarlyCancellations,
    /// Clients' records to include in the leader's next append.
    pub(crate) pending_records: RefCell<Vec<PendingRecord>>,
    /// Start of the leader's append in progress.
    pub(crate) append_started: Cell<Option<Time>>,
    /// Duration of the leader's last append that succeeded at the first try.
    pub(crate) last_append_duration: Cell<Duration>,
    failing_topics: RefCell<FailingTopics>,
    bad_entries: RefCell<BadEntryLog>,
    pub(crate) clock: Clock,
    pub(crate) command_slots: CommandSlots,
    /// When this process's last claim was stored, as far as is known.
    claimed_at: Cell<Option<Time>>,
    /// A claim has been stored.
    claim_stored: Notify,
    /// Ends the pause of the tick loop.
    end_pause: Notify,
    /// Waits for records to be read.
    pub(crate) watch: Rc<RecordWatch>,
    /// The standbys that this process asks.
    pub(crate) forwarding: Forwarding,
}

impl Node {
    /// Creates a node that doesn't read or serve yet.
    pub fn new(options: NodeOptions, platform: Platform) -> Rc<Node> {
        let Platform { store, workers, advisor, fleet, formats } = platform;
        let (name, data_centre, cpu_millicores) =
            (options.name.clone(), options.data_centre.clone(), options.cpu_millicores);
        let clock = Clock;
        let claim_rank = claim_rank(&options);
        let patience = options.limits.takeover_spread * claim_rank / 1_000;
        let forwarding = Forwarding::new(options.incarnation, patience);
        let leadership = Leadership::new(
            clock.now(),
            options.name,
            options.incarnation,
            claim_rank,
            options.limits,
        );
        let core = Rc::new(RefCell::new(Core::new(leadership, options.limits)));
        let watch = Rc::new(RecordWatch::new(Rc::clone(&core)));
        let relays = Rc::new(Relays::new(workers, Rc::clone(&core), clock));
        let appender = Appender::new(Rc::clone(&store), Rc::clone(&watch));
        Rc::new(Node {
            core,
            store,
            workers: Rc::clone(&relays) as Rc<dyn Workers>,
            relays,
            advisor,
            fleet,
            name,
            data_centre,
            cpu_millicores,
            min_fleet_vms: options.min_fleet_vms,
            formats,
            appender: Rc::new(appender),
            leader: LeaderClient::default(),
            metrics: WorkflowMetrics::new(),
            admission: Admission::default(),
            early_cancellations: EarlyCancellations::default(),
            pending_records: RefCell::default(),
            append_started: Cell::new(None),
            last_append_duration: Cell::default(),
            failing_topics: RefCell::default(),
            bad_entries: RefCell::default(),
            clock,
            command_slots: CommandSlots::default(),
            claimed_at: Cell::new(None),
            claim_stored: Notify::new(),
            end_pause: Notify::new(),
            watch,
            forwarding,
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

    /// Whether the VM's CPU share is below the minimum for a leader.
    pub(crate) fn has_low_cpu(&self) -> bool {
        self.cpu_millicores < MIN_LEADER_MILLICORES
    }

    pub(crate) fn core(&self) -> Ref<'_, Core> {
        self.core.borrow()
    }

    pub(crate) fn core_mut(&self) -> RefMut<'_, Core> {
        self.core.borrow_mut()
    }

    /// Marks a workflow as accepted until its record has been read.
    pub(crate) fn mark_accepted(&self, id: WorkflowId) {
        let mut core = self.core.borrow_mut();
        if core.ledger.get(id).is_none() {
            core.accepted.insert(id);
        }
    }

    /// Whether this process leads and may send commands now.
    pub(crate) fn has_authority(&self) -> bool {
        let core = self.core.borrow();
        core.scheduler.is_some() && core.leadership.authority(self.clock.now()).is_some()
    }

    /// Sets the address at which this process takes followers' records when it leads.
    pub(crate) fn set_listen_addr(&self, addr: SocketAddr) {
        self.core.borrow_mut().leadership.set_addr(addr);
    }

    /// Adds a client's record to the leader's next append; false if appends are stuck.
    pub(crate) fn add_pending_record(self: &Rc<Self>, pending: PendingRecord) -> bool {
        let health = StoreHealth { append_started: self.append_started.get(), read_answered: None };
        if !health.accepts_records(self.clock.now()) {
            return false;
        }
        self.pending_records.borrow_mut().push(pending);
        self.step(|core, _, _| {
            if let Some(scheduler) = &mut core.scheduler {
                scheduler.request_append();
            }
        });
        true
    }

    /// Whether this process runs the scheduler; unlike [`Node::has_authority`], also while its authority has expired.
    pub(crate) fn leads(&self) -> bool {
        self.core.borrow().scheduler.is_some()
    }

    /// Whether this process leads, or its claim was stored so recently that it may soon. Many processes may claim at once;
    /// if all of them read the directory, nobody would get it in time.
    pub(crate) fn needs_directory(&self) -> bool {
        let recent = |at| self.clock.now().since(at) < MAX_CLAIM_TIME;
        self.leads() || self.claimed_at.get().is_some_and(recent)
    }

    /// Waits until a claim of this process is stored, if it doesn't lead already.
    pub(crate) async fn wait_for_term(&self) {
        while !self.needs_directory() {
            self.claim_stored.notified().await;
        }
    }

    /// Waits until this process follows a topic.
    pub(crate) async fn wait_to_follow(&self, topic: Topic) {
        match topic {
            Topic::Directory => self.wait_for_term().await,
            Topic::Work => {
                while !self.follows_records() {
                    sleep(FOLLOW_CHECK_INTERVAL).await;
                }
            }
            Topic::Operator | Topic::Terms => {}
        }
    }

    /// Whether this process follows a topic now.
    pub(crate) fn follows(&self, topic: Topic) -> bool {
        match topic {
            Topic::Directory => self.needs_directory(),
            Topic::Work => self.follows_records(),
            Topic::Operator | Topic::Terms => true,
        }
    }

    /// Drops what was read of a topic that this process doesn't follow any more.
    pub(crate) fn drop_topic(&self, topic: Topic) {
        match topic {
            Topic::Directory => self.drop_directory(),
            Topic::Work => {
                log::info!("records_not_followed");
                self.core.borrow_mut().drop_records();
            }
            Topic::Operator | Topic::Terms => {}
        }
    }

    fn drop_directory(&self) {
        // A term may have begun just now.
        if !self.needs_directory() {
            self.core.borrow_mut().drop_directory();
        }
    }

    /// Spawns the background tasks: reading topics, appending, offering to be a relay, ticking.
    pub(crate) fn spawn(self: &Rc<Self>) {
        for topic in [Topic::Operator, Topic::Terms, Topic::Work, Topic::Directory] {
            spawn_local(crate::follow::follow(Rc::clone(self), topic));
        }
        spawn_local(Rc::clone(&self.appender).run());
        spawn_local(relays::offer(Rc::clone(self)));
        spawn_local(standbys::check_standbys(Rc::clone(self)));
        spawn_local(Rc::clone(self).tick_loop());
    }

    async fn tick_loop(self: Rc<Self>) {
        loop {
            let pause = if self.leads() { LEADER_TICK } else { FOLLOWER_TICK };
            // A wake and the end of the pause have the same effect.
            let _ = timeout(pause, self.end_pause.notified()).await;
            let wall_ms = self.clock.wall_ms();
            self.step_without_wake(|core, now, out| core.tick(now, wall_ms, out));
            self.update_metrics();
            sleep(TICK_GAP).await;
        }
    }

    fn update_metrics(&self) {
        let metrics = &self.metrics;
        metrics.set_relays(self.relays.count());
        let core = &mut *self.core.borrow_mut();
        metrics.set_config(core.configuration.version().unwrap_or(0));
        if let Some(age) = core.configuration.age(self.clock.now()) {
            metrics.set_config_age(age);
        }
        metrics.set_evacuated(core.evacuated.len());
        metrics.set_early_cancellations(core.ledger.early_cancellations().len());
        self.update_load_metrics(core);
        let Some(scheduler) = &mut core.scheduler else {
            metrics.set_load(false, 0, 0);
            return;
        };
        metrics.set_load(true, scheduler.active_workflow_count(), scheduler.waiting_step_count());
        let measures = scheduler.take_stats();
        metrics.runs(RunEvent::Started, measures.start_waits.len() as u64);
        metrics.runs(RunEvent::Done, measures.done);
        metrics.runs(RunEvent::Failed, measures.failed);
        metrics.runs(RunEvent::Stopped, measures.stopped);
        metrics.runs(RunEvent::Lost, measures.lost);
        metrics.runs(RunEvent::GivenUp, measures.given_up);
        metrics.runs(RunEvent::Preempted, measures.preempted);
        metrics.runs(RunEvent::PreemptedByLower, measures.preempted_by_lower);
        let refused = measures.refused_preemptions;
        metrics.refused_preemptions(PreemptionLimit::StoppedRecently, refused.stopped_recently);
        metrics.refused_preemptions(PreemptionLimit::MostlyAway, refused.mostly_away);
        metrics.refused_preemptions(PreemptionLimit::LimitReached, refused.limit_reached);
        let starts = measures.starts_by_feasibility;
        metrics.starts(Reach::InTime, starts.in_time);
        metrics.starts(Reach::Late, starts.late);
        metrics.starts(Reach::Hopeless, starts.hopeless);
        metrics.runs(RunEvent::Relieved, measures.evicted);
        metrics.runs(RunEvent::Paced, measures.paced);
        metrics.runs(RunEvent::Regrouped, measures.regrouped);
        metrics.runs(RunEvent::MovedStalled, measures.moved_stalled);
        metrics.runs(RunEvent::MovedSlow, measures.moved_slow);
        metrics.runs(RunEvent::Copied, measures.copied);
        metrics.runs(RunEvent::LongKept, measures.long_kept);
        metrics.runs(RunEvent::Quarantined, measures.quarantined);
        metrics.runs(RunEvent::FailedByChance, measures.failures_by_chance);
        metrics.workers_scanned(measures.workers_scanned);
        let intervals = &measures.intervals;
        metrics.intervals(IntervalResult::Whole, "None", intervals.whole);
        for (index, cause) in IntervalCause::ALL.into_iter().enumerate() {
            let (degraded, failed) = (intervals.degraded[index], intervals.failed[index]);
            metrics.intervals(IntervalResult::Degraded, cause.name(), degraded);
            metrics.intervals(IntervalResult::Failed, cause.name(), failed);
        }
        metrics.load_estimates(measures.load_estimates);
        measures.start_waits.into_iter().for_each(|wait| metrics.started_after(wait));
    }

    /// Applies an event, performs its effects, and wakes the tick loop if this process leads.
    pub(crate) fn step(self: &Rc<Self>, event: impl FnOnce(&mut Core, Time, &mut Effects)) {
        self.step_without_wake(event);
        if self.leads() {
            self.end_pause.notify_one();
        }
    }

    fn step_without_wake(self: &Rc<Self>, event: impl FnOnce(&mut Core, Time, &mut Effects)) {
        let mut out = Effects::default();
        event(&mut self.core.borrow_mut(), self.clock.now(), &mut out);
        for effect in out.leadership {
            self.perform_leadership(effect);
        }
        for effect in out.scheduler {
            self.perform(effect);
        }
        self.log_bad_entries(&out.bad_entries);
    }

    /// Logs the unreadable entries and returns the value.
    pub(crate) fn take_decoded<T>(&self, decoded: Decoded<T>) -> T {
        self.log_bad_entries(&decoded.bad);
        decoded.value
    }

    /// Logs and counts unreadable entries; repeated ones at a limited rate.
    pub(crate) fn log_bad_entries(&self, bad: &[BadEntry]) {
        let now = self.clock.now();
        for entry in bad {
            let action = self.bad_entries.borrow_mut().record(now, entry);
            if action != LogAction::Ignore {
                self.metrics.unreadable(entry.kind);
            }
            if let LogAction::Log { untold } = action {
                let BadEntry { kind, key, version, detail } = entry;
                log::warn!(kind:?, key:%, version, error:% = detail, untold; "entry_unreadable");
            }
        }
    }

    /// Handles the load of a topic.
    pub(crate) fn on_loaded(self: &Rc<Self>, topic: Topic, listed: &Listed) {
        match topic {
            Topic::Directory if listed.complete => {
                self.step(|core, now, _| core.on_directory_loaded(now, &listed.workers));
            }
            Topic::Operator => self.step(|core, _, _| core.on_operator_loaded(listed)),
            Topic::Terms => self.core.borrow_mut().terms_loaded = true,
            Topic::Work => {
                let is_stored = |id| listed.early_cancellations.contains(&id);
                self.core.borrow_mut().ledger.retain_early_cancellations(is_stored);
            }
            Topic::Directory => {}
        }
    }

    /// Records when a read of the work topic was sent.
    pub(crate) fn on_read_sent(&self, now: Time) {
        self.core.borrow_mut().leadership.on_read_sent(now);
    }

    /// Handles an answered read. One that didn't reach the end keeps the earlier `complete_until`.
    pub(crate) fn on_read_done(self: &Rc<Self>, topic: Topic, progress: ReadProgress) {
        let now = self.clock.now();
        {
            let core = &mut *self.core.borrow_mut();
            match topic {
                Topic::Work => {
                    let complete_until =
                        progress.complete_until.or(core.work_progress.complete_until);
                    core.work_progress = ReadProgress { complete_until, ..progress };
                    core.leadership.on_read(now);
                }
                Topic::Operator => {
                    if let Some(until) = progress.complete_until {
                        core.configuration.set_complete_until(until);
                    }
                }
                Topic::Terms | Topic::Directory => {}
            }
        }
        if let Some(regained) = self.failing_topics.borrow_mut().on_answered(now, topic) {
            let after_ms = regained.after.as_millis() as u64;
            let failures = regained.failures;
            log::info!(topic:% = topic, after_ms, failures:% = failures; "store_regained");
        }
        if matches!(topic, Topic::Work | Topic::Terms) {
            self.watch.notify_read();
        }
    }

    /// Whether reads of a topic fail.
    pub(crate) fn is_failing(&self, topic: Topic) -> bool {
        self.failing_topics.borrow().contains(topic)
    }

    pub(crate) fn on_read_failed(self: &Rc<Self>, topic: Topic, cause: ReadFailure) {
        let now = self.clock.now();
        self.metrics.read_failed(topic.name(), cause);
        match self.failing_topics.borrow_mut().on_failed(now, topic, cause) {
            Some(FailureReport::Lost) => {
                let works = available_without(topic);
                log::warn!(topic:% = topic, cause:? = cause, works; "store_lost");
            }
            Some(FailureReport::StillLost { after, failures }) => {
                let after_ms = after.as_millis() as u64;
                log::warn!(topic:% = topic, after_ms, failures:% = failures; "store_still_lost");
            }
            None => {}
        }
        log::debug!(topic:% = topic, cause:? = cause; "read_failed");
        if topic == Topic::Terms {
            // Without an announcement, each process follows the records.
            self.core.borrow_mut().terms_loaded = true;
        }
        if topic == Topic::Work {
            let mut core = self.core.borrow_mut();
            core.work_progress.at_end = false;
            core.leadership.on_read_failed(now);
        }
    }

    fn perform_leadership(self: &Rc<Self>, effect: LeadershipEffect) {
        match effect {
            LeadershipEffect::Claim { epoch, seq, records } => {
                let fence = Some(Fence { epoch, seq });
                spawn_local(Rc::clone(self).claim(Append { records, fence, ..Append::default() }));
            }
            LeadershipEffect::Elected { epoch, succession } => self.begin_term(epoch, succession),
            LeadershipEffect::Deposed => {
                let leader = self.core.borrow().leader();
                log::info!(leader:% = leader; "deposed");
                self.core.borrow_mut().scheduler = None;
                self.relays.end_term();
            }
        }
    }

    fn begin_term(self: &Rc<Self>, epoch: Epoch, succession: Succession) {
        let (now, wall_ms) = (self.clock.now(), self.clock.wall_ms());
        let core = &mut *self.core.borrow_mut();
        let directory = core.directory_snapshot();
        let term = (epoch, succession);
        let mut scheduler =
            Scheduler::new(now, wall_ms, term, core.limits, &core.ledger, directory);
        log::info!(
            epoch:% = epoch, workers = core.directory.len(), workflows = scheduler.active_workflow_count(),
            unaccounted = scheduler.unreconciled_count();
            "elected"
        );
        for (number, (requested_at, wave)) in &core.waves {
            // `within` counts from when the operator's request was read.
            let within = wave.within.saturating_sub(now.since(*requested_at));
            let wave = Wave { within, ..wave.clone() };
            scheduler.on_wave(now, *number, Some(wave), &core.ledger);
        }
        scheduler.set_evacuated(&core.evacuated);
        core.scheduler = Some(scheduler);
        self.relays.begin_term(epoch, self.min_fleet_vms);
        spawn_local(standbys::announce(Rc::clone(self), epoch));
        self.metrics.elected();
        self.end_pause.notify_one();
    }

    async fn claim(self: Rc<Self>, append: Append) {
        let result = self.store.append(&append).await;
        log::info!(result:? = result; "claimed");
        if matches!(result, AppendResult::Done | AppendResult::Unknown) {
            self.claimed_at.set(Some(self.clock.now()));
            self.claim_stored.notify_one();
        }
        self.step(|core, now, _| core.leadership.on_claim(now, result));
    }
}
