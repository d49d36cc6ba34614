//! Faults that can be injected into a worker.

use serde::{Deserialize, Serialize};

/// The faults in force. Setting them replaces all; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// The VM is lost with all its tasks; connections are closed without an answer. When cleared,
    /// the worker starts empty.
    pub dead: bool,
    /// The VM is paused: connections wait until this is cleared.
    pub frozen: bool,
    /// Number of calls that take effect and then lose their answer.
    pub lose_answers: u32,
    /// Number of answers that are truncated.
    pub truncate_answers: u32,
    /// Delay of every answer after the effect, in milliseconds.
    pub delay_ms: u64,
    /// Every task that starts fails at once.
    pub fail_tasks: bool,
    /// Every request is answered with status 500 after it ran.
    pub fail_requests: bool,
    /// Starts and requests are refused.
    pub refuse: bool,
    /// The worker drains: it reports that it is leaving and refuses new work.
    pub leaving: bool,
    /// Slowdown of all tasks by interference, in thousandths; below 1000 counts as 1000.
    pub slowdown_permille: u32,
}
