//! Admission of clients' workflows by the leader's estimate of the load.

use {
    crate::{
        clients::{self, Lookup},
        core::Core,
        node::Node,
    },
    egretlb_types::Time,
    egretlb_workflow::{
        AdmissionControl, Arrival, CurrentEstimate, Refusal, Submission, WorkflowId,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// How long a refusal waits until the records are read past the submission's arrival. Followers read several times a second
/// while an estimate is valid.
const MAX_CATCH_UP: Duration = Duration::from_millis(600);

/// Maximum number of log lines of refusals per [`LINES_WINDOW`]. Callers of a whole burst may be refused within seconds.
const MAX_LINES: u32 = 100;

/// The window over which lines are counted.
const LINES_WINDOW: Duration = Duration::from_secs(1);

/// Interval of the metrics of the estimate. Ticks of a leader are hundreds a second.
const METRICS_INTERVAL: Duration = Duration::from_millis(250);

/// The state of admission at a process that takes submissions.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    control: RefCell<AdmissionControl>,
    lines: RefCell<LineBudget>,
    metrics_updated_at: Cell<Option<Time>>,
}

/// The log lines of refusals in the current window.
#[derive(Debug, Default)]
struct LineBudget {
    window: Option<(Time, u32)>,
    suppressed: u64,
}

impl LineBudget {
    /// Whether another line may be written; if so, the number of lines left out since the last.
    fn take(&mut self, now: Time) -> Option<u64> {
        let current = self.window.filter(|(since, _)| now.since(*since) < LINES_WINDOW);
        let (since, lines) = current.unwrap_or((now, 0));
        if lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.window = Some((since, lines + 1));
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The decision on a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admitted {
    /// It may be stored.
    Yes,
    /// It is stored already.
    Known,
    /// It is refused; `Retry-After` in seconds.
    No { retry_after_secs: u32 },
}

impl Core {
    /// The newest estimate of the load.
    pub(crate) fn current_estimate(&self) -> Option<CurrentEstimate<'_>> {
        let leader = self.ledger.leader().filter(|leader| !leader.released)?;
        let (estimate, read_at) = (self.ledger.load()?, self.load_read_at?);
        Some(CurrentEstimate { estimate, read_at, epoch: leader.epoch })
    }

    fn is_known(&self, id: WorkflowId) -> bool {
        self.ledger.get(id).is_some() || self.accepted.contains(&id)
    }
}

impl Node {
    /// Decides on a submission that arrived at `arrived`. The record of an earlier submission of the same id may be stored and not
    /// read yet, so a refusal waits until the records are read past the arrival.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        id: WorkflowId,
        submission: &Submission,
        arrived: Time,
    ) -> Admitted {
        if !self.core().limits.policies.admission {
            return Admitted::Yes;
        }
        let arrival = Arrival { id, submission };
        if self.evaluate(arrival).is_none() {
            return Admitted::Yes;
        }
        match clients::look_up(self, id, arrived, MAX_CATCH_UP).await {
            Lookup::State(_) => Admitted::Known,
            Lookup::Unknown => Admitted::Yes,
            Lookup::Absent => match self.decide(arrival) {
                Some(refusal) => {
                    self.report_refusal(arrival, refusal);
                    Admitted::No { retry_after_secs: refusal.retry_after_secs }
                }
                None => Admitted::Yes,
            },
        }
    }

    fn evaluate(&self, arrival: Arrival<'_>) -> Option<Refusal> {
        let (now, wall_ms) = (self.clock().now(), self.clock().wall_ms());
        let core = self.core();
        if core.is_known(arrival.id) {
            return None;
        }
        let control = self.admission.control.borrow();
        control.evaluate(now, wall_ms, core.current_estimate(), arrival)
    }

    fn decide(&self, arrival: Arrival<'_>) -> Option<Refusal> {
        let (now, wall_ms) = (self.clock().now(), self.clock().wall_ms());
        let core = self.core();
        let mut control = self.admission.control.borrow_mut();
        control.decide(now, wall_ms, core.current_estimate(), arrival)
    }

    /// Notes that a workflow's record is about to be stored: until its outcome is known, it is neither refused here nor said to
    /// be absent.
    pub(crate) fn note_attempt(&self, id: WorkflowId) {
        self.admission.control.borrow_mut().note_attempt(self.clock().now(), id);
    }

    /// Notes that a workflow's record surely wasn't stored by an attempt.
    pub(crate) fn note_not_stored(&self, id: WorkflowId) {
        self.admission.control.borrow_mut().note_not_stored(id);
    }

    /// Whether an earlier attempt of this process may have stored a workflow's record.
    pub(crate) fn is_in_doubt(&self, id: WorkflowId) -> bool {
        self.admission.control.borrow().is_in_doubt(self.clock().now(), id)
    }

    fn report_refusal(&self, Arrival { id, submission }: Arrival<'_>, refusal: Refusal) {
        let route = &submission.route;
        self.metrics.submission_refused(route);
        let Some(untold) = self.admission.lines.borrow_mut().take(self.clock().now()) else {
            return;
        };
        if untold > 0 {
            log::info!(kind = "refusals", lines = untold; "lines_left_out");
        }
        let ms = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let (delay_ms, age_ms, limit_ms) = (ms(refusal.delay), ms(refusal.age), ms(refusal.limit));
        let retry_after_s = refusal.retry_after_secs;
        log::info!(
            workflow:% = id, route:%, delay_ms, age_ms, limit_ms, retry_after_s;
            "submission_refused"
        );
    }

    /// Sets the metrics of the newest estimate.
    pub(crate) fn update_load_metrics(&self, core: &Core) {
        if !core.limits.policies.admission {
            return;
        }
        let (now, wall_ms) = (self.clock().now(), self.clock().wall_ms());
        let updated_at = &self.admission.metrics_updated_at;
        if updated_at.get().is_some_and(|at| now.since(at) < METRICS_INTERVAL) {
            return;
        }
        updated_at.set(Some(now));
        let current = core.current_estimate();
        let age = current.map_or(Duration::ZERO, |current| current.age(now, wall_ms));
        let valid = current.filter(|current| current.is_valid(now, wall_ms));
        let services = valid.iter().flat_map(|current| &current.estimate.services);
        let routes = services.flat_map(|load| &load.routes);
        let delays = routes
            .map(|load| (load.route.as_str(), Duration::from_millis(u64::from(load.delay_ms))));
        self.metrics.set_estimated_load(age, delays);
    }
}
