//! Attributes worker crashes to tasks.
//!
//! When a worker crashes, all its runs end without a reported cause. Runs that had just started are
//! suspected; runs that had worked for a while are probably not the cause. If exactly one run had
//! just started, it is the most likely cause. A task that has crashed too many workers is given up:
//! it isn't started again, and its workflow fails.

use {
    crate::{RunId, WorkerId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Number of recorded crashes, however likely the task is their cause, after which it is given up.
/// The platform allows at most two starts after the third.
const MAX_CRASHES: usize = 5;

/// Number of confirmed worker crashes right after the task's start after which it is given up.
const MAX_CONFIRMED_CRASHES: usize = 3;

/// Number of worker crashes right after the task's start, confirmed or not, after which it is given
/// up.
const MAX_SUSPECTED_CRASHES: usize = 4;

/// How likely a run is the cause of its worker's loss, from least to most likely.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The run had been working for a while.
    Late,
    /// The run had just started or may never have started, and the worker may only be unreachable, was
    /// draining, or was lost with its rack.
    Unsure,
    /// The worker crashed, but other runs had also just started there, many other workers crashed at the
    /// same time, or it isn't known whether its rack is up.
    Shared,
    /// The worker crashed, its rack is up, and no other run had just started there.
    Alone,
}

/// The loss of a worker on which a run of a task was active.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The run. Each run counts once, even if two leaders record its crash.
    pub run: RunId,
    /// The lost worker.
    pub worker: WorkerId,
    /// How likely the run is the cause.
    pub evidence: CrashEvidence,
}

/// A run about to be started in isolation, or one that had just started on a worker that became
/// unresponsive. It is recorded so that a new leader doesn't restart the task without this history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedRun {
    /// The run.
    pub run: RunId,
    /// The worker it runs on.
    pub worker: WorkerId,
}

impl fmt::Display for CrashEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CrashEvidence::Late => "late",
            CrashEvidence::Unsure => "unsure",
            CrashEvidence::Shared => "shared",
            CrashEvidence::Alone => "alone",
        })
    }
}

/// Returns whether the task's next start should be isolated.
pub(crate) fn is_suspect(crashes: &[Crash]) -> bool {
    crashes.iter().any(|crash| crash.evidence >= CrashEvidence::Unsure)
}

/// Returns the lost worker without whose shared crash the task wouldn't be given up, if there is exactly one: another
/// task may have crashed that worker.
pub(crate) fn decisive_shared_crash(crashes: &[Crash]) -> Option<&WorkerId> {
    let (shared, others): (Vec<&Crash>, Vec<&Crash>) =
        crashes.iter().partition(|crash| crash.evidence == CrashEvidence::Shared);
    let others: Vec<Crash> = others.into_iter().cloned().collect();
    match shared[..] {
        [only] if is_given_up(crashes) && !is_given_up(&others) => Some(&only.worker),
        _ => None,
    }
}

/// Returns whether the task has crashed too many workers to be started again.
pub(crate) fn is_given_up(crashes: &[Crash]) -> bool {
    let count =
        |min_evidence| crashes.iter().filter(|crash| crash.evidence >= min_evidence).count();
    let last_alone = crashes.last().is_some_and(|crash| crash.evidence == CrashEvidence::Alone);
    (last_alone && count(CrashEvidence::Shared) >= 2)
        || count(CrashEvidence::Shared) >= MAX_CONFIRMED_CRASHES
        || count(CrashEvidence::Unsure) >= MAX_SUSPECTED_CRASHES
        || crashes.len() >= MAX_CRASHES
}
