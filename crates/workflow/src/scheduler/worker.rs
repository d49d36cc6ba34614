//! What the leader knows of a worker.

use {
    super::{attempt::Attempt, unreadable_rows::UnreadableRowTracker},
    crate::{Limits, RunId, TaskId, WorkerInfo, WorkerState, colocation::Neighbours},
    egretlb_types::{Resources, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// What is known of a worker that a predecessor's roster names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Inherited {
    /// The roster lists what may run there.
    Listed,
    /// Anything may run there.
    Unlisted,
}

/// Serving tasks use about half of the processor time that they declare; the rest is left to fillers.
const SERVING_USE_PERCENT: u32 = 50;

/// A worker and what may run there by our orders.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Its entry is in the directory.
    pub(crate) in_directory: bool,
    /// The roster in the store names it, so a successor knows to ask it.
    pub(crate) in_roster: bool,
    /// Set if a predecessor's roster names it.
    pub(crate) inherited: Option<Inherited>,
    /// The roster lists what may run there and nothing else; until a roster without that list is
    /// recorded, it gets no order that starts or renews anything.
    pub(crate) listed_unresponsive: bool,
    /// The roster lists what may run there since it is about to leave: nothing is started there until a
    /// roster without that list is recorded.
    pub(crate) listed_draining: bool,
    /// How many runs the roster lists there.
    pub(crate) listed_runs: usize,
    /// Its address refused a connection: no process listens there.
    pub(crate) connection_refused: bool,
    /// It has answered under this epoch: what runs there is known, and no predecessor's order takes
    /// effect there any more.
    pub(crate) reconciled: bool,
    pub(crate) last_contact: Option<Time>,
    /// By then all that runs there by orders of this leader has lapsed.
    pub(crate) lease_bound: Time,
    /// The worker's clock in milliseconds, and when it was read.
    clock: Option<(u64, Time)>,
    pub(crate) poll_sent: Option<Time>,
    pub(crate) next_poll_at: Time,
    /// Rows of its lists that can't be read.
    pub(super) unreadable_rows: UnreadableRowTracker,
    /// Ends up to here were taken in.
    pub(crate) ends_processed: u64,
    /// Ends up to here are recorded, so the worker may forget them.
    pub(crate) ends_recorded: u64,
    pub(crate) attempts: BTreeMap<(TaskId, RunId), Attempt>,
    pub(crate) committed: Resources,
    pub(crate) best_effort_demand: u32,
    pub(crate) latency_critical: u32,
    pub(crate) best_effort: u32,
    /// Runs on trial.
    pub(crate) isolated_starts: u32,
    /// Kept free of new starts until then, for a trial.
    pub(crate) reserved_until: Time,
    /// The tasks that share it, as far as they disturb each other.
    pub(crate) neighbours: Neighbours,
    /// How fast tasks get on here, as a multiple of their estimates, and when that was last measured.
    pub(crate) speed: Option<(f32, Time)>,
    /// Runs that failed here since the last one that was done.
    pub(crate) failures: u32,
    /// It gets nothing new before.
    pub(crate) backoff_until: Time,
    /// It failed one run after another: before this it gets only what can't go elsewhere.
    pub(crate) quarantined_until: Time,
    /// When it last left a start unanswered; none once it has answered an order since.
    pub(crate) unconfirmed_start: Option<Time>,
    /// A serving task is over its target: no filler is added.
    pub(crate) over_target: bool,
    /// When fillers were last stopped for the sake of a serving task.
    pub(crate) evicted_at: Time,
}

impl Worker {
    pub(crate) fn new(now: Time, info: WorkerInfo) -> Worker {
        let neighbours = Neighbours::new(info.capacity.cpu);
        Worker {
            info,
            in_directory: true,
            in_roster: false,
            inherited: None,
            listed_unresponsive: false,
            listed_draining: false,
            listed_runs: 0,
            connection_refused: false,
            reconciled: false,
            last_contact: None,
            lease_bound: now,
            clock: None,
            poll_sent: None,
            next_poll_at: now,
            unreadable_rows: UnreadableRowTracker::default(),
            ends_processed: 0,
            ends_recorded: 0,
            attempts: BTreeMap::new(),
            committed: Resources::default(),
            best_effort_demand: 0,
            latency_critical: 0,
            best_effort: 0,
            isolated_starts: 0,
            reserved_until: Time::ZERO,
            neighbours,
            speed: None,
            failures: 0,
            backoff_until: Time::ZERO,
            quarantined_until: Time::ZERO,
            unconfirmed_start: None,
            over_target: false,
            evicted_at: Time::ZERO,
        }
    }

    pub(crate) fn insert(&mut self, task: TaskId, run: RunId, copy: Attempt) {
        self.committed = self.committed.plus(&copy.reserved);
        self.best_effort_demand += copy.best_effort_cpu.0;
        self.latency_critical += u32::from(copy.latency_critical);
        self.best_effort += u32::from(copy.best_effort);
        self.isolated_starts += u32::from(copy.isolated);
        if copy.latency_critical {
            self.neighbours.add_latency_critical(copy.image);
        }
        if copy.best_effort {
            self.neighbours.add_best_effort(copy.image, copy.paced_cpu());
        }
        self.attempts.insert((task, run), copy);
    }

    pub(crate) fn remove(&mut self, task: TaskId, run: RunId) -> Option<Attempt> {
        let copy = self.attempts.remove(&(task, run))?;
        self.committed = self.committed.minus(&copy.reserved);
        self.best_effort_demand -= copy.best_effort_cpu.0;
        self.latency_critical -= u32::from(copy.latency_critical);
        self.best_effort -= u32::from(copy.best_effort);
        self.isolated_starts -= u32::from(copy.isolated);
        if copy.latency_critical {
            self.neighbours.remove_latency_critical(copy.image);
        }
        if copy.best_effort {
            self.neighbours.remove_best_effort(copy.image, copy.paced_cpu());
        }
        Some(copy)
    }

    /// Sets the pace of a filler.
    pub(crate) fn set_pace(&mut self, task: TaskId, run: RunId, percent: u32) {
        let Some(copy) = self.attempts.get_mut(&(task, run)) else { return };
        self.neighbours.remove_best_effort(copy.image, copy.paced_cpu());
        copy.pace = percent;
        self.neighbours.add_best_effort(copy.image, copy.paced_cpu());
    }

    /// Its own entry in the directory was read.
    pub(crate) fn set_info(&mut self, info: WorkerInfo) {
        self.neighbours.set_capacity(info.capacity.cpu);
        self.info = info;
        self.in_directory = true;
    }

    /// Processor time, in thousandths of a core, that tasks which aren't fillers leave unused.
    pub(crate) fn best_effort_capacity(&self) -> i64 {
        let used = u64::from(self.committed.cpu.0) * u64::from(SERVING_USE_PERCENT) / 100;
        i64::from(self.info.capacity.cpu.0) - i64::try_from(used).unwrap_or(0)
    }

    /// The same, as far as fillers don't ask for it already.
    pub(crate) fn free_best_effort_cpu(&self) -> i64 {
        self.best_effort_capacity() - i64::from(self.best_effort_demand)
    }

    /// What is left of its capacity.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity.minus(&self.committed)
    }

    pub(crate) fn note_contact(&mut self, now: Time, clock_ms: u64) {
        self.last_contact = Some(now);
        self.connection_refused = false;
        if self.clock.is_none_or(|(known, _)| clock_ms >= known) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Whether it has answered lately.
    pub(crate) fn is_responsive(&self, now: Time, limits: &Limits) -> bool {
        // A poll may rightly wait at the worker before it is answered.
        let patience = limits.poll_wait + limits.unresponsive_after;
        self.last_contact.is_some_and(|heard| now.since(heard) < patience)
    }

    /// Whether it was known and doesn't answer any more.
    pub(crate) fn is_unresponsive(&self, now: Time, limits: &Limits) -> bool {
        self.reconciled && !self.is_responsive(now, limits)
    }

    /// Whether the roster lists it as one that gets no orders: it is silent, or was taken over from a
    /// predecessor and hasn't answered since.
    pub(crate) fn should_list_unresponsive(&self, now: Time, limits: &Limits) -> bool {
        self.is_unresponsive(now, limits) || (!self.reconciled && self.inherited.is_some())
    }

    /// Whether it is about to leave, by its own word, and what may run there is known. Its entry may have
    /// been missing for a while, or have been read late: what was once taken for leaving may turn out to
    /// stay, and its room would be lost for good if that weren't taken back.
    pub(crate) fn is_draining(&self) -> bool {
        self.info.state == WorkerState::Draining && (self.listed_draining || self.reconciled)
    }

    /// Whether it has certainly left: it had announced that, its entry is gone, and nothing listens at
    /// its address. Each alone may be something else: entries lapse by silence or are revoked, and a
    /// draining worker works on for seconds.
    pub(crate) fn has_left(&self) -> bool {
        self.info.state == WorkerState::Draining && !self.in_directory && self.connection_refused
    }

    /// Whether it may get a new task.
    pub(crate) fn accepts_work(&self, now: Time, limits: &Limits) -> bool {
        now >= self.quarantined_until
            && !self.is_reserved(now)
            && self.accepts_as_last_resort(now, limits)
    }

    /// Whether it may get a new task that can't go elsewhere.
    pub(crate) fn accepts_as_last_resort(&self, now: Time, limits: &Limits) -> bool {
        self.is_eligible(now, limits) && now >= self.backoff_until && !self.is_backing_off(now)
    }

    /// Until when what it did with the last tasks keeps new ones away.
    pub(crate) fn excluded_until(&self) -> Time {
        self.backoff_until.max(self.quarantined_until)
    }

    /// Whether it may get new tasks, but for what it did with the last ones.
    pub(crate) fn is_eligible(&self, now: Time, limits: &Limits) -> bool {
        self.in_directory
            && self.in_roster
            && !self.listed_unresponsive
            && !self.listed_draining
            && self.reconciled
            && self.info.state == WorkerState::Ready
            && self.is_responsive(now, limits)
    }

    /// The end of a lease of `span` from now on the worker's clock, if that is known. The caller must
    /// send it, since from here on what runs there counts as renewed.
    pub(crate) fn lease_until(
        &mut self,
        now: Time,
        span: Duration,
        bound: Duration,
    ) -> Option<u64> {
        let (clock_ms, read) = self.clock?;
        let elapsed = u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX);
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.lease_bound = self.lease_bound.max(now + bound);
        Some(clock_ms.saturating_add(elapsed).saturating_add(span_ms))
    }
}
