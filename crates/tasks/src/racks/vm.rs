//! State of one VM: attempts, reservations, leases and health.

use {
    crate::msg::{AttemptEnd, ReservationId},
    egretlb_types::{
        Attempt, ClassName, Resources, ShardId, TaskId, Time, VmRecord, VmState,
        worker::{StartTask, TaskFence},
    },
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// State of an attempt on a VM, as known to the rack's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The start isn't answered yet.
    Starting,
    /// Running.
    Running,
    /// The replica gets no new requests and is stopped at the given time.
    Draining {
        /// When.
        until: Time,
    },
    /// Being stopped, also to resolve an unknown state.
    Stopping,
}

/// An attempt on a VM.
#[derive(Clone, Debug)]
pub(super) struct VmAttempt {
    pub(super) class: ClassName,
    pub(super) service: bool,
    pub(super) over_quota: bool,
    pub(super) resources: Resources,
    pub(super) phase: Phase,
    /// The start call, kept for retries until it is answered.
    pub(super) start: Option<Box<StartTask>>,
    /// A start may have reached the worker without an answer.
    pub(super) unconfirmed: bool,
    /// Whether it was ever known to run.
    pub(super) has_run: bool,
    /// Whether a stop writes a checkpoint.
    pub(super) checkpoint: bool,
    /// Whether a start, stop or throttle call is in progress.
    pub(super) call_in_flight: bool,
    /// When the next start or stop call is due.
    pub(super) next_call_at: Time,
    /// When it started, or was requested to start.
    pub(super) since: Time,
    pub(super) used: Resources,
    pub(super) slowdown_permille: u32,
    /// Since when it is throttled, if it is.
    pub(super) throttled_since: Option<Time>,
}

/// Capacity reserved for an attempt that is being journalled.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) service: bool,
    pub(super) class: ClassName,
    pub(super) resources: Resources,
    pub(super) until: Time,
}

/// An ended attempt. Kept until the job's owner has journalled the end and no report can list it
/// any more, so that a late report doesn't revive it.
#[derive(Clone, Debug)]
pub(super) struct ClosedAttempt {
    pub(super) how: AttemptEnd,
    pub(super) vm_quarantined: bool,
    pub(super) ran: Duration,
    pub(super) at: Time,
    pub(super) acked: bool,
    pub(super) send_at: Time,
    /// How often the end was reported.
    pub(super) send_count: u32,
}

/// Failure history of a VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    pub(super) consecutive_failures: u32,
    pub(super) failed: SmallVec<[TaskId; 4]>,
    pub(super) quarantined: bool,
    pub(super) probe_at: Time,
}

/// A VM of an owned rack.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub(super) record: VmRecord,
    pub(super) shard: ShardId,
    pub(super) slot: u32,
    pub(super) listed: bool,
    pub(super) reports_draining: bool,
    /// When the last accepted report was requested.
    pub(super) report_sent: Option<Time>,
    /// Reports requested earlier aren't fresh, since calls of the previous owner may still arrive.
    pub(super) fresh_from: Time,
    pub(super) observed: Resources,
    /// Resources of attempts and reservations.
    pub(super) committed: Resources,
    /// The part of `committed` that `observed` doesn't include yet.
    pub(super) unobserved: Resources,
    pub(super) attempts: BTreeMap<TaskFence, VmAttempt>,
    pub(super) reservations: BTreeMap<ReservationId, Reservation>,
    pub(super) closed: BTreeMap<TaskFence, ClosedAttempt>,
    /// The latest end of any lease granted on this VM.
    pub(super) lease_bound: Time,
    /// A call got no answer: nothing is granted or renewed until the next report.
    pub(super) unresponsive: bool,
    pub(super) lost: bool,
    pub(super) polling: bool,
    pub(super) poll_at: Time,
    pub(super) renewing: bool,
    pub(super) renew_at: Time,
    pub(super) health: Health,
    /// Capacity being freed for tasks that reclaimed it.
    pub(super) promised: Resources,
    /// Whether the backend servers were reported since it is draining.
    pub(super) drain_reported: bool,
}

impl Vm {
    pub(super) fn new(record: VmRecord, shard: ShardId, slot: u32, now: Time) -> Self {
        Vm {
            record,
            shard,
            slot,
            listed: true,
            reports_draining: false,
            report_sent: None,
            fresh_from: now,
            observed: Resources::default(),
            committed: Resources::default(),
            unobserved: Resources::default(),
            attempts: BTreeMap::new(),
            reservations: BTreeMap::new(),
            closed: BTreeMap::new(),
            lease_bound: now,
            unresponsive: false,
            lost: false,
            polling: false,
            poll_at: now,
            renewing: false,
            renew_at: now,
            health: Health::default(),
            promised: Resources::default(),
            drain_reported: false,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.reports_draining || !self.listed || self.record.state == VmState::Leaving
    }

    /// Whether there is a report requested under this owner's authority.
    pub(super) fn is_fresh(&self) -> bool {
        self.report_sent.is_some_and(|sent| sent >= self.fresh_from)
    }

    /// Whether new tasks may be placed here, apart from quarantine.
    pub(super) fn may_grant(&self, need_report: bool) -> bool {
        let known = self.is_fresh() || !need_report;
        known && !self.unresponsive && !self.lost && !self.is_draining()
    }

    /// Free capacity, limited by both reservations and measurements.
    ///
    /// Measurements lag, so later grants are added to them. A task may use its full size at any
    /// moment, so reservations count in full.
    pub(super) fn free_capacity(&self) -> Resources {
        let in_use = self.committed.max(&self.observed.plus(&self.unobserved));
        self.record.capacity.minus(&in_use)
    }

    /// Whether one more replica of the class fits. A VM runs at most one replica of a class: a
    /// second one would share its backend server and be lost with it.
    pub(super) fn accepts_service(&self, class: &ClassName) -> bool {
        let replicas = self.services();
        let taken = replicas.clone().count();
        taken < usize::from(self.record.slots) && replicas.clone().all(|other| other != class)
    }

    fn services(&self) -> impl Iterator<Item = &ClassName> + Clone {
        let running =
            self.attempts.values().filter(|attempt| attempt.service).map(|attempt| &attempt.class);
        let reserved = self.reservations.values().filter(|r| r.service).map(|r| &r.class);
        running.chain(reserved)
    }

    /// Recomputes the resource sums after any change. A VM has a few dozen attempts at most, and
    /// recomputed sums can't drift.
    pub(super) fn recount(&mut self) {
        let mut committed = Resources::default();
        let mut unobserved = Resources::default();
        for attempt in self.attempts.values() {
            committed = committed.plus(&attempt.resources);
            if attempt.used == Resources::default() {
                unobserved = unobserved.plus(&attempt.resources);
            }
        }
        for reserved in self.reservations.values() {
            committed = committed.plus(&reserved.resources);
            unobserved = unobserved.plus(&reserved.resources);
        }
        if !self.attempts.values().any(|attempt| attempt.phase == Phase::Stopping) {
            self.promised = Resources::default();
        }
        self.committed = committed;
        self.unobserved = unobserved;
    }

    /// Records the end of an attempt. Returns false if it was known already.
    pub(super) fn close(
        &mut self,
        now: Time,
        of: &TaskFence,
        how: AttemptEnd,
        ran: Duration,
    ) -> bool {
        self.attempts.remove(of);
        if self.closed.contains_key(of) {
            self.recount();
            return false;
        }
        let vm_quarantined = self.record_outcome(of, &how);
        let closed = ClosedAttempt {
            how,
            vm_quarantined,
            ran,
            at: now,
            acked: false,
            send_at: now,
            send_count: 0,
        };
        self.closed.insert(of.clone(), closed);
        self.recount();
        true
    }

    /// Counts consecutive failures of distinct tasks. Returns whether a failure doesn't count
    /// against the task.
    fn record_outcome(&mut self, of: &TaskFence, how: &AttemptEnd) -> bool {
        match how {
            AttemptEnd::Failed => {
                if !self.health.failed.contains(&of.task) {
                    self.health.failed.push(of.task.clone());
                    self.health.consecutive_failures += 1;
                }
                self.health.quarantined
            }
            AttemptEnd::Done => {
                self.health.consecutive_failures = 0;
                self.health.failed.clear();
                false
            }
            _ => false,
        }
    }

    /// Extends the time by which every lease must have lapsed.
    pub(super) fn extend_bound(&mut self, until: Time) {
        self.lease_bound = self.lease_bound.max(until);
    }
}
