//! Faults that can be injected into the log service.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Records of a stream to expire early.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expire {
    /// The stream.
    pub stream: CompactString,
    /// All records before this offset expire.
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
    /// Delay of every answer after the effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of appends that take effect and then lose their answer.
    pub lose_answers: u32,
    /// Nodes, named by the header `Egretlb-Node`, that are cut off from the log.
    pub refuse_nodes: Vec<CompactString>,
    /// Records that expire at once.
    pub expire: Vec<Expire>,
}

impl LogFaults {
    /// Returns whether a call is severed before it has any effect.
    pub fn severs(&self, node: Option<&str>, append: bool) -> bool {
        let refused = node
            .is_some_and(|node| self.refuse_nodes.iter().any(|refused_node| refused_node == node));
        self.down || refused || (append && self.appends_down)
    }

    /// Returns whether the answer of an effective append is lost, and counts it down.
    pub fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
