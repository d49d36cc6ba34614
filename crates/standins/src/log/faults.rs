//! What can be made to go wrong at the log service.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Records of a stream that are forgotten before their time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expire {
    /// The stream.
    pub stream: CompactString,
    /// All records before this offset are forgotten.
    pub before: u64,
}

/// The faults in force. Setting them replaces all; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Connections are closed without an answer and without effect.
    pub down: bool,
    /// Like `down`, for appends only.
    pub appends_down: bool,
    /// Every answer waits this long after the effect, in milliseconds.
    pub delay_ms: u64,
    /// So many appends take effect and then lose their answer.
    pub lose_answers: u32,
    /// The nodes cut off from the log, as their header `Egretlb-Node` names them.
    pub refuse_nodes: Vec<CompactString>,
    /// Records to forget at once.
    pub expire: Vec<Expire>,
}

impl LogFaults {
    /// Whether a call is lost before it has any effect.
    pub fn cuts(&self, node: Option<&str>, append: bool) -> bool {
        let refused = node.is_some_and(|node| self.refuse_nodes.iter().any(|cut| cut == node));
        self.down || refused || (append && self.appends_down)
    }

    /// Whether the answer of an append that took effect is lost; counts it.
    pub fn takes_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
