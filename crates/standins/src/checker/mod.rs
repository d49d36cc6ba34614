//! Checks recorded histories for violated invariants.
//!
//! A history consists of the workers' events ([`WorkerEvent`]), the callers' answers
//! ([`CallerRecord`]) and the configuration in force at each process ([`InForce`]). It is
//! independent of egretlb's own state.
//!
//! All times must come from one clock. A test must cause the failure that a protection guards
//! against; the checker can't detect a missing protection otherwise.

mod config;
mod requests;
mod tasks;

use {
    crate::worker::{Served, WorkerEvent, WorkerEventKind},
    compact_str::CompactString,
    egretlb_types::{NodeId, Offset, Ran, Resources, TaskId, Time, VmId, worker::TaskFence},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// The answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// A complete answer of the service.
    Whole(Served),
    /// An error or refusal, with the reported outcome.
    Error(Ran),
    /// No answer: the connection broke or the caller gave up.
    Nothing,
}

/// A request and its answer, recorded by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRecord {
    /// The request's id; repeats with the same idempotency key have the same id.
    pub id: CompactString,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// [`crate::worker::body_hash`] of the request body.
    pub hash: u64,
    /// The answer.
    pub answer: Answer,
}

/// A configuration that a process had in force at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InForce {
    /// Time of the observation.
    pub at: Time,
    /// The process.
    pub node: NodeId,
    /// The version: the offset of its proposal.
    pub version: Offset,
    /// A hash of the document.
    pub content: u64,
}

/// All records of one test.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The workers' events, in any order.
    pub worker_events: Vec<WorkerEvent>,
    /// Capacity of each VM.
    pub capacities: BTreeMap<VmId, Resources>,
    /// The callers' requests and answers.
    pub caller_records: Vec<CallerRecord>,
    /// Observed configurations, in any order.
    pub in_force: Vec<InForce>,
    /// Maximum time after the start of draining in which a VM may get new work.
    pub leaving_limit: Option<Duration>,
}

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A task ran twice at the same time.
    TwoPlaces {
        /// The earlier start.
        first: TaskFence,
        /// The VM of the earlier start.
        first_vm: VmId,
        /// The later start.
        second: TaskFence,
        /// The VM of the later start.
        second_vm: VmId,
        /// Time of the later start.
        at: Time,
    },
    /// A VM ran, or was requested to run, more than its capacity.
    OverCapacity {
        /// The VM.
        vm: VmId,
        /// When.
        at: Time,
    },
    /// A task completed twice.
    DoneTwice {
        /// The task.
        task: TaskId,
    },
    /// A task was started after its completion.
    StartedAfterDone {
        /// The task.
        task: TaskId,
    },
    /// An evicted task wasn't resumed from its newest checkpoint.
    WrongResume {
        /// The start.
        of: TaskFence,
        /// The newest checkpoint.
        expected: Option<CompactString>,
    },
    /// An evicted task was never resumed.
    NeverResumed {
        /// The task.
        task: TaskId,
    },
    /// A request that isn't idempotent ran more than once.
    RanTwice {
        /// The request.
        id: CompactString,
    },
    /// A request ran although it was reported as not run.
    RanAfterAll {
        /// The request.
        id: CompactString,
    },
    /// A request didn't run although it was reported as run.
    DidNotRun {
        /// The request.
        id: CompactString,
    },
    /// A caller got the answer to another request.
    WrongAnswer {
        /// The caller's request.
        id: CompactString,
    },
    /// A VM got new work after the limit for draining.
    WorkWhileLeaving {
        /// The VM.
        vm: VmId,
        /// When.
        at: Time,
    },
    /// A process went back to an older configuration.
    ConfigWentBack {
        /// The process.
        node: NodeId,
        /// When.
        at: Time,
    },
    /// One version had different documents in force.
    ConfigDiffers {
        /// The version.
        version: Offset,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TwoPlaces { first, first_vm, second, second_vm, at } => write!(
                f,
                "at {at} {} started at {second_vm} ({}) while it ran at {first_vm} ({})",
                second.task, second.fence, first.fence
            ),
            Violation::OverCapacity { vm, at } => write!(f, "at {at} {vm} exceeded its capacity"),
            Violation::DoneTwice { task } => write!(f, "{task} completed twice"),
            Violation::StartedAfterDone { task } => {
                write!(f, "{task} was started after its completion")
            }
            Violation::WrongResume { of, expected } => {
                write!(f, "{} ({}) should have resumed from {expected:?}", of.task, of.fence)
            }
            Violation::NeverResumed { task } => write!(f, "{task} was evicted and never resumed"),
            Violation::RanTwice { id } => write!(f, "request {id} ran twice"),
            Violation::RanAfterAll { id } => {
                write!(f, "request {id} ran but was reported as not run")
            }
            Violation::DidNotRun { id } => {
                write!(f, "request {id} didn't run but was reported as run")
            }
            Violation::WrongAnswer { id } => {
                write!(f, "request {id} got the answer to another request")
            }
            Violation::WorkWhileLeaving { vm, at } => write!(f, "at {at} draining {vm} got work"),
            Violation::ConfigWentBack { node, at } => {
                write!(f, "at {at} {node} went back to an older configuration")
            }
            Violation::ConfigDiffers { version } => {
                write!(f, "version {version} has two different documents")
            }
        }
    }
}

impl History {
    /// Returns all violations; evicted tasks may still be waiting to resume.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let worker_events = self.sorted_events();
        tasks::check(&worker_events, &self.capacities, &mut violations);
        requests::check(&worker_events, &self.caller_records, &mut violations);
        config::check(&self.in_force, &mut violations);
        self.check_draining(&worker_events, &mut violations);
        violations
    }

    /// Returns all violations at a time when all tasks must have ended or been cancelled.
    pub fn check_settled(&self, cancelled: impl Fn(&TaskId) -> bool) -> Vec<Violation> {
        let mut violations = self.check();
        tasks::check_resumed(&self.sorted_events(), cancelled, &mut violations);
        violations
    }

    fn sorted_events(&self) -> Vec<&WorkerEvent> {
        let mut worker_events: Vec<_> = self.worker_events.iter().collect();
        // At equal times, ended tasks free capacity before others start.
        let starts = |event: &WorkerEvent| matches!(event.kind, WorkerEventKind::Started { .. });
        worker_events.sort_by_key(|event| (event.at, starts(event)));
        worker_events
    }

    fn check_draining(&self, worker_events: &[&WorkerEvent], violations: &mut Vec<Violation>) {
        let Some(limit) = self.leaving_limit else { return };
        let mut since: BTreeMap<&VmId, Time> = BTreeMap::new();
        for event in worker_events {
            match &event.kind {
                WorkerEventKind::Leaving => {
                    since.entry(&event.vm).or_insert(event.at);
                }
                WorkerEventKind::Started { .. } | WorkerEventKind::RequestBegan { .. } => {
                    let past_limit = since
                        .get(&event.vm)
                        .is_some_and(|leaving_at| event.at.since(*leaving_at) > limit);
                    if past_limit {
                        violations.push(Violation::WorkWhileLeaving {
                            vm: event.vm.clone(),
                            at: event.at,
                        });
                    }
                }
                _ => {}
            }
        }
    }
}
