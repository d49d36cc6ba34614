//! What can be made to go wrong at a worker.

use serde::{Deserialize, Serialize};

/// The faults in force. Setting them replaces all; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// The VM is gone with all that ran on it; connections are closed without an answer. Taken
    /// back, the worker starts empty.
    pub dead: bool,
    /// The VM is paused: connections wait until this is taken back.
    pub frozen: bool,
    /// So many calls take effect and then lose their answer.
    pub lose_answers: u32,
    /// So many answers break off in the middle.
    pub truncate_answers: u32,
    /// Every answer waits this long after the effect, in milliseconds.
    pub delay_ms: u64,
    /// Every task that starts fails at once.
    pub fail_tasks: bool,
    /// Every request is answered with status 500 after it ran.
    pub fail_requests: bool,
    /// Starts and requests are refused.
    pub refuse: bool,
    /// The worker says that it is leaving and takes nothing new.
    pub leaving: bool,
    /// How much slower than alone everything runs, in thousandths; below 1000 counts as 1000.
    pub slowdown_permille: u32,
}
