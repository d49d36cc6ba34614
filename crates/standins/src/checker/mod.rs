//! Checks recorded histories against what must always hold.
//!
//! A history is put together from what the workers say truly ran ([`Happening`]), what callers were
//! told ([`Told`]) and which configuration each process had in force ([`InForce`]). Nothing in it
//! comes from egretlb's own view of tasks and requests, so a wrong belief of egretlb can't hide.
//!
//! All times must come from one clock. A trade-off: the checker sees only what happened, so a test
//! must cause the failure that a protection is for; the checker can't tell that one was missing.

mod config;
mod requests;
mod tasks;

use {
    crate::worker::{Happening, Served, What},
    compact_str::CompactString,
    egretlb_types::{NodeId, Offset, Ran, Resources, TaskId, Time, VmId, worker::TaskFence},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// What a caller was told of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// An answer that claims to be whole.
    Whole(Served),
    /// An error or a refusal, with what it says about the run.
    Error(Ran),
    /// Nothing: the connection broke or the caller gave up.
    Nothing,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Told {
    /// The request's id. Repeats under one idempotency key carry one id.
    pub id: CompactString,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The hash of the body that the caller sent, as [`crate::worker::body_hash`] has it.
    pub hash: u64,
    /// What came back.
    pub answer: Answer,
}

/// A configuration that a process had in force at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InForce {
    /// When it was looked at.
    pub at: Time,
    /// The process.
    pub node: NodeId,
    /// The version: the offset of its proposal.
    pub version: Offset,
    /// A hash of the document.
    pub content: u64,
}

/// All that was recorded in one test.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What truly happened at the workers, in any order.
    pub happenings: Vec<Happening>,
    /// What each VM can hold.
    pub capacities: BTreeMap<VmId, Resources>,
    /// What callers were told.
    pub told: Vec<Told>,
    /// Which configurations were in force, in any order.
    pub in_force: Vec<InForce>,
    /// How long after a VM says that it is leaving it may still get new work.
    pub leaving_limit: Option<Duration>,
}

/// Something that must never be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A task ran in two places at once.
    TwoPlaces {
        /// The start that still ran.
        first: TaskFence,
        /// Where it ran.
        first_vm: VmId,
        /// The start that came meanwhile.
        second: TaskFence,
        /// Where that ran.
        second_vm: VmId,
        /// When it came.
        at: Time,
    },
    /// A VM held, or was asked to hold, more than its capacity.
    OverCapacity {
        /// The VM.
        vm: VmId,
        /// When.
        at: Time,
    },
    /// A task did its work a second time.
    DoneTwice {
        /// The task.
        task: TaskId,
    },
    /// A task was started again after it had done its work.
    StartedAfterDone {
        /// The task.
        task: TaskId,
    },
    /// An evicted task was started from somewhere else than its newest checkpoint.
    WrongResume {
        /// The start.
        of: TaskFence,
        /// What it should have resumed from.
        expected: Option<CompactString>,
    },
    /// An evicted task never ran again.
    NeverResumed {
        /// The task.
        task: TaskId,
    },
    /// A request that isn't idempotent ran more than once.
    RanTwice {
        /// The request.
        id: CompactString,
    },
    /// A caller was told that its request didn't run, and it did.
    RanAfterAll {
        /// The request.
        id: CompactString,
    },
    /// A caller was told that its request ran, and it didn't.
    DidNotRun {
        /// The request.
        id: CompactString,
    },
    /// A caller got the answer to another request.
    WrongAnswer {
        /// The caller's request.
        id: CompactString,
    },
    /// A VM got new work long after it said that it was leaving.
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
    /// Two processes had different documents in force as one version.
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
            Violation::OverCapacity { vm, at } => write!(f, "at {at} {vm} was given too much"),
            Violation::DoneTwice { task } => write!(f, "{task} was done twice"),
            Violation::StartedAfterDone { task } => write!(f, "{task} was started when done"),
            Violation::WrongResume { of, expected } => {
                write!(f, "{} ({}) should have resumed from {expected:?}", of.task, of.fence)
            }
            Violation::NeverResumed { task } => write!(f, "{task} was evicted and never resumed"),
            Violation::RanTwice { id } => write!(f, "request {id} ran twice"),
            Violation::RanAfterAll { id } => write!(f, "request {id} ran, its caller was told no"),
            Violation::DidNotRun { id } => write!(f, "request {id} never ran, its caller told yes"),
            Violation::WrongAnswer { id } => write!(f, "request {id} got another's answer"),
            Violation::WorkWhileLeaving { vm, at } => write!(f, "at {at} leaving {vm} got work"),
            Violation::ConfigWentBack { node, at } => write!(f, "at {at} {node} went back"),
            Violation::ConfigDiffers { version } => write!(f, "version {version} has two contents"),
        }
    }
}

impl History {
    /// All violations, except that evicted work may still be waiting to resume.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let happenings = self.in_order();
        tasks::check(&happenings, &self.capacities, &mut found);
        requests::check(&happenings, &self.told, &mut found);
        config::check(&self.in_force, &mut found);
        self.check_leaving(&happenings, &mut found);
        found
    }

    /// All violations, at a time when all work that isn't cancelled must be done.
    pub fn check_settled(&self, cancelled: impl Fn(&TaskId) -> bool) -> Vec<Violation> {
        let mut found = self.check();
        tasks::check_resumed(&self.in_order(), cancelled, &mut found);
        found
    }

    fn in_order(&self) -> Vec<&Happening> {
        let mut happenings: Vec<_> = self.happenings.iter().collect();
        // What ends at a moment gives room to what starts in it.
        let starts = |h: &Happening| matches!(h.what, What::Started { .. });
        happenings.sort_by_key(|h| (h.at, starts(h)));
        happenings
    }

    fn check_leaving(&self, happenings: &[&Happening], found: &mut Vec<Violation>) {
        let Some(limit) = self.leaving_limit else { return };
        let mut since: BTreeMap<&VmId, Time> = BTreeMap::new();
        for h in happenings {
            match &h.what {
                What::Leaving => {
                    since.entry(&h.vm).or_insert(h.at);
                }
                What::Started { .. } | What::RequestBegan { .. } => {
                    let late = since.get(&h.vm).is_some_and(|left| h.at.since(*left) > limit);
                    if late {
                        found.push(Violation::WorkWhileLeaving { vm: h.vm.clone(), at: h.at });
                    }
                }
                _ => {}
            }
        }
    }
}
