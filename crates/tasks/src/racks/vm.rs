//! What one VM holds: attempts, reservations, leases, health.

use {
    crate::msg::{AttemptEnd, ReservationId},
    egretlb_types::{
        Attempt, ClassName, Resources, ShardId, TaskId, Time, VmRecord, VmState,
        worker::{StartTask, TaskFence},
    },
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Where an attempt on a VM stands, as its rack's owner sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The start was asked for and not yet answered.
    Starting,
    /// It runs.
    Running,
    /// A replica takes no new requests and is stopped at the time.
    Draining {
        /// When.
        until: Time,
    },
    /// A stop was asked for, also where only the attempt's fate is asked for.
    Stopping,
}

/// One attempt on a VM.
#[derive(Clone, Debug)]
pub(super) struct VmAttempt {
    pub(super) class: ClassName,
    pub(super) service: bool,
    pub(super) over_quota: bool,
    pub(super) resources: Resources,
    pub(super) phase: Phase,
    /// Kept until the start is answered, to ask again.
    pub(super) start: Option<Box<StartTask>>,
    /// A start may have reached the worker without an answer.
    pub(super) unconfirmed: bool,
    /// Whether it was ever known to run.
    pub(super) ran: bool,
    /// Whether a stop writes a checkpoint.
    pub(super) checkpoint: bool,
    /// A start, stop or throttle is in progress.
    pub(super) call_in_flight: bool,
    /// When to call again.
    pub(super) next_call_at: Time,
    /// Since when it runs, or was asked to.
    pub(super) since: Time,
    pub(super) used: Resources,
    pub(super) slowdown_permille: u32,
    /// Since when it is throttled.
    pub(super) throttled_since: Option<Time>,
}

/// Room kept for an attempt that is being journalled.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) service: bool,
    pub(super) class: ClassName,
    pub(super) resources: Resources,
    pub(super) until: Time,
}

/// An attempt that is over here. Kept until its end is journalled by the job's owner and no report
/// can list it any more, so that a late report doesn't bring it back.
#[derive(Clone, Debug)]
pub(super) struct Closed {
    pub(super) how: AttemptEnd,
    pub(super) vm_quarantined: bool,
    pub(super) ran: Duration,
    pub(super) at: Time,
    pub(super) acked: bool,
    pub(super) send_at: Time,
    /// How often it was told so far.
    pub(super) send_count: u32,
}

/// How a VM has treated what it was given.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    pub(super) fails: u32,
    pub(super) failed: SmallVec<[TaskId; 4]>,
    pub(super) quarantined: bool,
    pub(super) probe_at: Time,
}

/// One VM of an owned rack.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub(super) record: VmRecord,
    pub(super) shard: ShardId,
    pub(super) slot: u32,
    pub(super) listed: bool,
    pub(super) reports_draining: bool,
    /// When the last report taken was asked for.
    pub(super) report_sent: Option<Time>,
    /// Before this no report is fresh: calls of the previous owner may still arrive.
    pub(super) fresh_from: Time,
    pub(super) observed: Resources,
    /// What attempts and reservations hold.
    pub(super) committed: Resources,
    /// What of it isn't in `observed` yet.
    pub(super) unobserved: Resources,
    pub(super) attempts: BTreeMap<TaskFence, VmAttempt>,
    pub(super) reservations: BTreeMap<ReservationId, Reservation>,
    pub(super) closed: BTreeMap<TaskFence, Closed>,
    /// No lease granted on this VM lasts longer.
    pub(super) lease_bound: Time,
    /// A call got no answer: nothing is granted or renewed until it answers.
    pub(super) unresponsive: bool,
    pub(super) lost: bool,
    pub(super) polling: bool,
    pub(super) poll_at: Time,
    pub(super) renewing: bool,
    pub(super) renew_at: Time,
    pub(super) health: Health,
    /// Room being freed that is meant for tasks which asked for it.
    pub(super) promised: Resources,
    /// Whether job owners were told that it is leaving.
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

    /// Whether a report younger than this owner's authority says what runs here.
    pub(super) fn is_fresh(&self) -> bool {
        self.report_sent.is_some_and(|sent| sent >= self.fresh_from)
    }

    /// Whether new work may be granted, quarantine aside.
    pub(super) fn may_grant(&self, need_report: bool) -> bool {
        let known = self.is_fresh() || !need_report;
        known && !self.unresponsive && !self.lost && !self.is_draining()
    }

    /// The room for new work: what neither commitments nor measurements take.
    ///
    /// Measurements lag, so what was granted since counts on top of them; and a task that uses
    /// less than it was given may use it all at the next moment, so commitments count in full.
    pub(super) fn free_capacity(&self) -> Resources {
        let in_use = self.committed.max(&self.observed.plus(&self.unobserved));
        self.record.capacity.minus(&in_use)
    }

    /// Whether one more replica of the class finds a slot. One replica of a class for each VM: a
    /// second one would share the same backend server, and be lost with it.
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

    /// Recounts what is held, after any change. A VM holds a few dozen attempts at most, and a
    /// recount can't drift as running sums would.
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

    /// Notes an end, unless it is known already. Returns whether it was new.
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
        let closed =
            Closed { how, vm_quarantined, ran, at: now, acked: false, send_at: now, send_count: 0 };
        self.closed.insert(of.clone(), closed);
        self.recount();
        true
    }

    /// Counts failures in a row of distinct tasks, and says whether a failure here tells nothing
    /// of the task.
    fn record_outcome(&mut self, of: &TaskFence, how: &AttemptEnd) -> bool {
        match how {
            AttemptEnd::Failed => {
                if !self.health.failed.contains(&of.task) {
                    self.health.failed.push(of.task.clone());
                    self.health.fails += 1;
                }
                self.health.quarantined
            }
            AttemptEnd::Done => {
                self.health.fails = 0;
                self.health.failed.clear();
                false
            }
            _ => false,
        }
    }

    /// When the attempts' leases must have lapsed, if no call succeeds until then.
    pub(super) fn extend_bound(&mut self, until: Time) {
        self.lease_bound = self.lease_bound.max(until);
    }
}
