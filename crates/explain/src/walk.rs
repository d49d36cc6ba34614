//! Collecting the lines that tell what became of a workflow.

use {
    crate::{LogLine, findings::Finding},
    compact_str::CompactString,
    serde::Serialize,
    std::collections::BTreeSet,
};

/// Lines without the workflow's id that are kept at most: some hours of a fleet's changes of leaders and
/// workers, at 200 bytes each below 20 MB.
const MOST_CONTEXT: usize = 100_000;

/// Events that hold up or change everything, and name no workflow.
const CONTEXT: [&str; 15] = [
    "elected",
    "deposed",
    "survey_complete",
    "outranked",
    "append_given_up",
    "append_slow",
    "records_read_late",
    "worker_quarantined",
    "worker_drains",
    "worker_left",
    "worker_replaced",
    "leases_lapsed",
    "log_lines_dropped",
    "started",
    "stopping",
];

/// Something that happened, in the order of time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Happening {
    /// When.
    pub at: CompactString,
    /// The VM that wrote the line.
    pub node: CompactString,
    /// What.
    pub event: CompactString,
    /// The line's other pairs.
    pub pairs: Vec<(CompactString, CompactString)>,
    /// Whether the line names the workflow; others are its surroundings.
    pub own: bool,
}

impl Happening {
    /// The value of a pair.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }
}

/// What became of a workflow.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The workflow.
    pub workflow: CompactString,
    /// What happened to it and around it.
    pub happenings: Vec<Happening>,
    /// What follows from that.
    pub findings: Vec<Finding>,
}

/// Collects lines, in any order.
#[derive(Clone, Debug)]
pub struct Walk {
    workflow: CompactString,
    own: Vec<LogLine>,
    context: Vec<LogLine>,
    passed_over: usize,
}

impl Walk {
    /// Asks for the workflow of this id.
    pub fn new(workflow: impl AsRef<str>) -> Walk {
        Walk {
            workflow: CompactString::new(workflow),
            own: Vec::new(),
            context: Vec::new(),
            passed_over: 0,
        }
    }

    /// Takes a line in. Lines of other programs are passed over.
    pub fn take(&mut self, text: &str) {
        let Some(line) = LogLine::parse(text) else { return };
        if self.names(&line) {
            self.own.push(line);
        } else if CONTEXT.contains(&line.event.as_str()) {
            if self.context.len() < MOST_CONTEXT {
                self.context.push(line);
            } else {
                self.passed_over += 1;
            }
        }
    }

    fn names(&self, line: &LogLine) -> bool {
        let task = || line.get("task").and_then(|task| task.split('.').next());
        line.get("workflow").or_else(task) == Some(self.workflow.as_str())
    }

    /// Puts everything in order and draws the conclusions.
    pub fn finish(self) -> Explanation {
        let Walk { workflow, own, context, passed_over } = self;
        let first = own.iter().map(|line| line.at.clone()).min().unwrap_or_default();
        let last = own.iter().map(|line| line.at.clone()).max().unwrap_or_default();
        // A worker's trouble matters if the workflow had something there.
        let workers: BTreeSet<CompactString> =
            own.iter().filter_map(|line| line.get("worker")).map(CompactString::new).collect();
        let near = |line: &LogLine| {
            let about = line.get("worker").is_none_or(|worker| workers.contains(worker));
            about && line.at >= first && line.at <= last
        };
        let happening = |own: bool| {
            move |line: LogLine| {
                let LogLine { at, node, event, pairs } = line;
                Happening { at, node, event, pairs, own }
            }
        };
        let mut happenings: Vec<Happening> = own.into_iter().map(happening(true)).collect();
        happenings.extend(context.into_iter().filter(near).map(happening(false)));
        happenings.sort_by(|left, right| left.at.cmp(&right.at));
        let findings = Finding::all(&happenings, passed_over);
        Explanation { workflow, happenings, findings }
    }
}
