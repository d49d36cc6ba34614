//! The leader's state of a worker.

use {
    super::{
        attempt::Attempt, common_losses::MissedPolls, partial_ends::PartialEnds,
        run_times::WorkerEvidence, unreadable_rows::UnreadableRowTracker,
    },
    crate::{Limits, RunId, TaskId, WorkerInfo, WorkerState, colocation::Neighbours},
    egretlb_types::{Resources, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Whether a predecessor's roster lists the runs of a worker that it names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Inherited {
    /// The roster lists what may run there.
    RunsListed,
    /// Anything may run there.
    RunsUnknown,
}

/// Share of their declared CPU that latency-critical tasks use; the rest is left to best-effort
/// tasks.
const LATENCY_CRITICAL_USE_PERCENT: u32 = 50;

/// A worker and the runs that may be under way there by commands of the leaders.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// It has an entry in the directory.
    pub(crate) in_directory: bool,
    /// `info` is from an entry of its own; otherwise little more than its address is known.
    pub(super) entry_read: bool,
    /// Its data centre is evacuated: nothing is started there.
    pub(crate) evacuated: bool,
    /// The recorded roster names it, so a successor polls it.
    pub(crate) in_roster: bool,
    /// The page of the roster that has its entry.
    pub(super) roster_page: Option<u32>,
    /// It may run what was started at an earlier incarnation under its name, so it belongs in the roster before it has
    /// answered.
    pub(super) replaces_listed: bool,
    /// Set if a predecessor's roster names it.
    pub(crate) inherited: Option<Inherited>,
    /// The roster lists it as unresponsive, with the runs that may be under way there. It gets no
    /// starts or renewals until a roster that lists it otherwise is recorded.
    pub(crate) listed_unresponsive: bool,
    /// The roster lists it as draining, with its runs. Nothing is started there until a roster that
    /// lists it otherwise is recorded.
    pub(crate) listed_draining: bool,
    /// Number of runs that the roster lists there.
    pub(crate) listed_runs: usize,
    /// Its address refused the last connection: no process listens there, or a network in between
    /// refuses connections to it.
    pub(crate) connection_refused: bool,
    /// It has answered under this epoch: its running tasks are known, and no command of a predecessor takes effect there
    /// any more. Some ends may not be listed yet.
    pub(crate) reconciled: bool,
    pub(crate) last_contact: Option<Time>,
    /// Polls that have failed since then.
    pub(super) missed_polls: MissedPolls,
    /// When all runs there must have lapsed, apart from those that the poll under way renews.
    settled_lease_bound: Time,
    /// When the runs that the poll under way renews must have lapsed.
    poll_lease_bound: Option<Time>,
    /// The worker's clock in milliseconds, and when it was read.
    clock: Option<(u64, Time)>,
    pub(crate) poll_sent: Option<Time>,
    /// How long the poll under way, or the last one, may wait at the worker.
    pub(super) poll_wait: Duration,
    /// The poll under way, or the last one, acknowledges ends up to this number.
    pub(super) poll_cursor: u64,
    /// When it last listed its runs; `None` if the last poll failed.
    pub(super) listed_at: Option<Time>,
    pub(crate) next_poll_at: Time,
    /// Set while its last reply may show only a part of its ends.
    pub(super) partial_ends: Option<PartialEnds>,
    /// Rows of its lists that can't be read.
    pub(super) unreadable_rows: UnreadableRowTracker,
    /// Ends up to this number are processed.
    pub(crate) ends_processed: u64,
    /// Ends up to this number are recorded, so the worker may forget them.
    pub(crate) ends_recorded: u64,
    /// Ends up to this number are acknowledged by a poll that was answered.
    pub(super) ends_acknowledged: u64,
    pub(crate) attempts: BTreeMap<(TaskId, RunId), Attempt>,
    /// Resources reserved for its runs; the CPU of best-effort runs isn't included.
    pub(crate) committed: Resources,
    /// CPU requested by its best-effort runs, in millicores.
    pub(crate) best_effort_demand: u32,
    /// Number of latency-critical runs.
    pub(crate) latency_critical: u32,
    /// Number of best-effort runs.
    pub(crate) best_effort: u32,
    /// Number of runs in an isolated start.
    pub(crate) isolated_starts: u32,
    /// Reserved for an isolated start until then: gets no other starts.
    pub(crate) reserved_until: Time,
    /// Kept free for a large long-running task until then: gets no other starts.
    pub(crate) held_until: Time,
    /// The tasks that share it, for estimates of their interference.
    pub(crate) neighbours: Neighbours,
    /// Speed of its tasks, as a multiple of their estimates, and when that was last measured.
    pub(crate) speed: Option<(f32, Time)>,
    /// Evidence that it is slow or faulty, see [`super::run_times`].
    pub(super) evidence: WorkerEvidence,
    /// Number of runs that failed here since the last that succeeded.
    pub(crate) failures: u32,
    /// It gets no starts before this time.
    pub(crate) backoff_until: Time,
    /// Quarantined after consecutive failures: before this time it gets only tasks that fit no
    /// other worker.
    pub(crate) quarantined_until: Time,
    /// When its last unanswered start timed out; `None` if it has answered a command since.
    pub(crate) unconfirmed_start_at: Option<Time>,
    /// A latency-critical task exceeds its target: no best-effort task is added.
    pub(crate) over_target: bool,
    /// When best-effort tasks were last evicted for a latency-critical task.
    pub(crate) evicted_at: Time,
}

impl Worker {
    pub(crate) fn new(now: Time, info: WorkerInfo) -> Worker {
        let neighbours = Neighbours::new(info.capacity.cpu);
        Worker {
            info,
            in_directory: true,
            entry_read: true,
            evacuated: false,
            in_roster: false,
            roster_page: None,
            replaces_listed: false,
            inherited: None,
            listed_unresponsive: false,
            listed_draining: false,
            listed_runs: 0,
            connection_refused: false,
            reconciled: false,
            last_contact: None,
            missed_polls: MissedPolls::default(),
            settled_lease_bound: now,
            poll_lease_bound: None,
            clock: None,
            poll_sent: None,
            poll_wait: Duration::ZERO,
            poll_cursor: 0,
            listed_at: None,
            next_poll_at: now,
            partial_ends: None,
            unreadable_rows: UnreadableRowTracker::default(),
            ends_processed: 0,
            ends_recorded: 0,
            ends_acknowledged: 0,
            attempts: BTreeMap::new(),
            committed: Resources::default(),
            best_effort_demand: 0,
            latency_critical: 0,
            best_effort: 0,
            isolated_starts: 0,
            reserved_until: Time::ZERO,
            held_until: Time::ZERO,
            neighbours,
            speed: None,
            evidence: WorkerEvidence::default(),
            failures: 0,
            backoff_until: Time::ZERO,
            quarantined_until: Time::ZERO,
            unconfirmed_start_at: None,
            over_target: false,
            evicted_at: Time::ZERO,
        }
    }

    pub(crate) fn insert(&mut self, task: TaskId, run: RunId, attempt: Attempt) {
        self.committed = self.committed.plus(&attempt.reserved);
        self.best_effort_demand += attempt.best_effort_cpu.0;
        self.latency_critical += u32::from(attempt.latency_critical);
        self.best_effort += u32::from(attempt.best_effort);
        self.isolated_starts += u32::from(attempt.isolated);
        if attempt.latency_critical {
            self.neighbours.add_latency_critical(attempt.image);
        }
        if attempt.best_effort {
            self.neighbours.add_best_effort(attempt.image, attempt.paced_cpu());
        }
        self.attempts.insert((task, run), attempt);
    }

    pub(crate) fn remove(&mut self, task: TaskId, run: RunId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&(task, run))?;
        self.committed = self.committed.minus(&attempt.reserved);
        self.best_effort_demand -= attempt.best_effort_cpu.0;
        self.latency_critical -= u32::from(attempt.latency_critical);
        self.best_effort -= u32::from(attempt.best_effort);
        self.isolated_starts -= u32::from(attempt.isolated);
        if attempt.latency_critical {
            self.neighbours.remove_latency_critical(attempt.image);
        }
        if attempt.best_effort {
            self.neighbours.remove_best_effort(attempt.image, attempt.paced_cpu());
        }
        Some(attempt)
    }

    /// Sets the pace of a best-effort task, in percent.
    pub(crate) fn set_pace(&mut self, task: TaskId, run: RunId, percent: u32) {
        let Some(attempt) = self.attempts.get_mut(&(task, run)) else { return };
        self.neighbours.remove_best_effort(attempt.image, attempt.paced_cpu());
        attempt.pace = percent;
        self.neighbours.add_best_effort(attempt.image, attempt.paced_cpu());
    }

    /// Whether a directory entry under its name may be another writer's: its state isn't known. Then
    /// neither its start time nor its address holds.
    pub(super) fn may_be_foreign(&self, entry: &WorkerInfo) -> bool {
        entry.state == WorkerState::Other && (self.entry_read || entry.id != self.info.id)
    }

    /// Applies its directory entry.
    pub(crate) fn set_info(&mut self, info: WorkerInfo) {
        self.neighbours.set_capacity(info.capacity.cpu);
        let known_addr = self.info.addr;
        self.info = info;
        self.in_directory = true;
        if self.info.state == WorkerState::Other {
            self.info.addr = known_addr;
        } else {
            self.entry_read = true;
        }
    }

    /// CPU available to best-effort tasks, in millicores: what the other tasks are expected to
    /// leave unused.
    pub(crate) fn best_effort_capacity(&self) -> i64 {
        let used = u64::from(self.committed.cpu.0) * u64::from(LATENCY_CRITICAL_USE_PERCENT) / 100;
        i64::from(self.info.capacity.cpu.0) - i64::try_from(used).unwrap_or(0)
    }

    /// The part of [`Self::best_effort_capacity`] that best-effort tasks don't request yet, in
    /// millicores.
    pub(crate) fn free_best_effort_cpu(&self) -> i64 {
        self.best_effort_capacity() - i64::from(self.best_effort_demand)
    }

    /// Capacity that isn't reserved.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity.minus(&self.committed)
    }

    pub(crate) fn note_contact(&mut self, now: Time, clock_ms: u64) {
        self.last_contact = Some(now);
        self.connection_refused = false;
        self.missed_polls = MissedPolls::default();
        if self.clock.is_none_or(|(last, _)| clock_ms >= last) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Whether it has answered recently.
    pub(crate) fn is_responsive(&self, now: Time, limits: &Limits) -> bool {
        // A poll may wait at the worker for up to `poll_wait` before it is answered.
        let timeout = limits.poll_wait + limits.unresponsive_after;
        self.last_contact.is_some_and(|at| now.since(at) < timeout)
    }

    /// Whether it has answered this leader before but doesn't any more.
    pub(crate) fn is_unresponsive(&self, now: Time, limits: &Limits) -> bool {
        self.reconciled && !self.is_responsive(now, limits)
    }

    /// Whether the roster should list it as unresponsive: it is, or it was taken over from a
    /// predecessor and hasn't answered since.
    pub(crate) fn should_list_unresponsive(&self, now: Time, limits: &Limits) -> bool {
        self.is_unresponsive(now, limits) || (!self.reconciled && self.inherited.is_some())
    }

    /// Whether it is draining, by its own directory entry, and its runs are known. An entry may
    /// have been missing or read late, so a worker that was listed as draining may turn out not to
    /// be draining; then the next roster corrects it.
    pub(crate) fn is_draining(&self) -> bool {
        let runs_known = !self.hides_inherited_ends() && (self.listed_draining || self.reconciled);
        self.info.state == WorkerState::Draining && runs_known
    }

    /// Whether it seems to have left: it was draining, its entry is gone, and its address refuses
    /// connections. A draining worker that is cut off looks the same while its tasks run on, so they
    /// count as ended only once their leases have lapsed.
    pub(crate) fn seems_to_have_left(&self) -> bool {
        self.info.state == WorkerState::Draining && !self.in_directory && self.connection_refused
    }

    /// Whether all its runs have certainly lapsed, and it doesn't reply any more or not with all its ends.
    pub(crate) fn has_lapsed(&self, now: Time, limits: &Limits) -> bool {
        let unheard = || {
            self.seems_to_have_left()
                || !self.is_responsive(now, limits)
                || self.withholds_ends(now)
        };
        now >= self.lease_bound() && unheard()
    }

    /// Whether it accepts new tasks.
    pub(crate) fn accepts_work(&self, now: Time, limits: &Limits) -> bool {
        now >= self.quarantined_until
            && !self.is_reserved(now)
            && now >= self.held_until
            && self.accepts_as_last_resort(now, limits)
    }

    /// Whether it accepts new tasks that fit no other worker.
    pub(crate) fn accepts_as_last_resort(&self, now: Time, limits: &Limits) -> bool {
        self.is_eligible(now, limits) && now >= self.backoff_until && !self.is_backing_off(now)
    }

    /// Until when backoff or quarantine excludes it.
    pub(crate) fn excluded_until(&self) -> Time {
        self.backoff_until.max(self.quarantined_until)
    }

    /// Whether it accepts new tasks, apart from backoff and quarantine.
    pub(crate) fn is_eligible(&self, now: Time, limits: &Limits) -> bool {
        !self.evacuated && self.is_available(now, limits)
    }

    /// Like [`Self::is_eligible`], regardless of the evacuation of its data centre.
    pub(crate) fn is_available(&self, now: Time, limits: &Limits) -> bool {
        self.in_directory
            && self.in_roster
            && !self.listed_unresponsive
            && !self.listed_draining
            && self.reconciled
            && self.info.state == WorkerState::Ready
            && self.is_responsive(now, limits)
            && !self.withholds_ends(now)
    }

    /// When all runs there must have lapsed.
    pub(crate) fn lease_bound(&self) -> Time {
        self.poll_lease_bound.unwrap_or(Time::ZERO).max(self.settled_lease_bound)
    }

    /// Notes that runs there may go on until `bound`.
    pub(crate) fn extend_lease_bound(&mut self, bound: Time) {
        self.settled_lease_bound = self.settled_lease_bound.max(bound);
    }

    /// Notes the result of the poll under way. A refused one wasn't sent, so it has renewed nothing.
    pub(crate) fn settle_poll_lease(&mut self, refused: bool) {
        if let Some(bound) = self.poll_lease_bound.take().filter(|_| !refused) {
            self.extend_lease_bound(bound);
        }
    }

    /// Returns the end of a lease of `span` for a start, on the worker's clock, or `None` if its
    /// clock is unknown. The caller must send the lease: the runs there may go on for `bound`.
    pub(crate) fn lease_for_start(
        &mut self,
        now: Time,
        span: Duration,
        bound: Duration,
    ) -> Option<u64> {
        let until_ms = self.lease_until(now, span)?;
        self.extend_lease_bound(now + bound);
        Some(until_ms)
    }

    /// Like [`Self::lease_for_start`], for the next poll.
    pub(crate) fn lease_for_poll(
        &mut self,
        now: Time,
        span: Duration,
        bound: Duration,
    ) -> Option<u64> {
        let until_ms = self.lease_until(now, span)?;
        self.poll_lease_bound = Some(now + bound);
        Some(until_ms)
    }

    fn lease_until(&self, now: Time, span: Duration) -> Option<u64> {
        let (clock_ms, read) = self.clock?;
        let elapsed = u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX);
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Some(clock_ms.saturating_add(elapsed).saturating_add(span_ms))
    }
}
