//! Evidence that a task crashes the workers that start it.
//!
//! A worker that crashes takes all its runs along, and says nothing of the cause. A run that had just begun is suspected, one that
//! had been at work is hardly to blame, and a run that was the only one to have just begun is the cause unless chance
//! struck at that moment.

use {
    crate::{RunId, WorkerId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// After so many crashes of any kind a task is given up; the platform's bound is two starts after the third.
const MAX_CRASHES: usize = 5;

/// After so many workers have certainly crashed right after its start a task is given up, whatever else crashed then.
const MAX_CERTAIN_CRASHES: usize = 3;

/// After so many crashes right after its start a task is given up, however unsure each is.
const MAX_SUSPECTED_CRASHES: usize = 4;

/// What a lost worker says of a run that was lost with it, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The run had been at work for a while.
    Late,
    /// The worker may merely be cut off, or the run may never have begun.
    Unsure,
    /// The worker crashed, and other runs had just begun there or other workers crashed at that moment, too.
    Shared,
    /// The worker crashed alone, and nothing else had just begun there.
    Alone,
}

/// A worker that was lost under a run of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The run. A crash is counted once, also if two leaders hear of it.
    pub run: RunId,
    /// What it says of the run.
    pub evidence: CrashEvidence,
}

/// A run that is about to be started alone, or had just begun at a worker that fell silent. It is recorded: a successor that
/// never heard of the run would otherwise start its task as if nothing had been.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedRun {
    /// The run.
    pub run: RunId,
    /// Where it is to run.
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

/// Whether a task's next start is better made alone.
pub(crate) fn is_suspect(crashes: &[Crash]) -> bool {
    crashes.iter().any(|crash| crash.evidence >= CrashEvidence::Unsure)
}

/// Whether a task is given up.
pub(crate) fn is_given_up(crashes: &[Crash]) -> bool {
    let count = |least| crashes.iter().filter(|crash| crash.evidence >= least).count();
    let last_alone = crashes.last().is_some_and(|crash| crash.evidence == CrashEvidence::Alone);
    (last_alone && count(CrashEvidence::Shared) >= 2)
        || count(CrashEvidence::Shared) >= MAX_CERTAIN_CRASHES
        || count(CrashEvidence::Unsure) >= MAX_SUSPECTED_CRASHES
        || crashes.len() >= MAX_CRASHES
}
