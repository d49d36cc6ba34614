//! Collects the log lines that are relevant to a workflow.

use {
    crate::{LogLine, findings::Finding},
    compact_str::CompactString,
    serde::Serialize,
    std::collections::BTreeSet,
};

/// Maximum number of context lines kept; about 20 MB.
const MAX_CONTEXT_LINES: usize = 100_000;

/// Events that name no workflow and may affect all of them.
const CONTEXT_EVENTS: [&str; 22] = [
    "elected",
    "deposed",
    "survey_complete",
    "inherited_work_held",
    "inherited_work_released",
    "outranked",
    "append_given_up",
    "append_slow",
    "records_read_late",
    "worker_quarantined",
    "worker_drains",
    "worker_left",
    "worker_replaced",
    "worker_restarted",
    "leases_lapsed",
    "log_lines_dropped",
    "lines_left_out",
    "waits_untold",
    "orders_suspended",
    "orders_resumed",
    "started",
    "stopping",
];

/// An event in the timeline of a workflow.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// Timestamp in RFC 3339.
    pub at: CompactString,
    /// The VM that wrote the line.
    pub node: CompactString,
    /// Name of the event.
    pub event: CompactString,
    /// The other pairs of the line.
    pub pairs: Vec<(CompactString, CompactString)>,
    /// Whether the line names the workflow or task; if not, it is context.
    pub own: bool,
}

impl TimelineEvent {
    /// The value of the first pair with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// The workflow or task to explain.
#[derive(Clone, Debug)]
struct Subject {
    workflow: CompactString,
    /// The task, if only one task is to be explained.
    task: Option<CompactString>,
}

impl Subject {
    fn new(id: &str) -> Subject {
        match id.split_once('.') {
            Some((workflow, _)) => Subject {
                workflow: CompactString::new(workflow),
                task: Some(CompactString::new(id)),
            },
            None => Subject { workflow: CompactString::new(id), task: None },
        }
    }

    /// Whether a line names the workflow or task.
    fn is_named_in(&self, line: &LogLine) -> bool {
        let is_in_workflow = |id: &str| id.split('.').next() == Some(self.workflow.as_str());
        match (&self.task, line.get("task"), line.get("step")) {
            (None, Some(id), _) | (None, None, Some(id)) => is_in_workflow(id),
            (Some(subject), Some(task), _) => subject == task,
            (Some(subject), None, Some(step)) => may_include(subject, step, line),
            _ => line.get("workflow") == Some(self.workflow.as_str()),
        }
    }
}

/// Whether a line about tasks of a step may include this task. The line lists some indices; if it counts more tasks
/// than it lists, any task of the step may be included.
fn may_include(task: &str, step: &str, line: &LogLine) -> bool {
    let index = task.strip_prefix(step).and_then(|rest| rest.strip_prefix('.'));
    let Some(index) = index else { return false };
    let Some(indices) = line.get("indices") else { return true };
    let listed = indices.split(',').count();
    let tasks = line.get("tasks").and_then(|tasks| tasks.parse::<usize>().ok());
    indices.split(',').any(|other| other == index) || tasks.is_none_or(|tasks| tasks > listed)
}

/// What happened to a workflow or task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The id of the workflow or task.
    pub workflow: CompactString,
    /// Events of the workflow and its context, by time.
    pub happenings: Vec<TimelineEvent>,
    /// Conclusions from the events.
    pub findings: Vec<Finding>,
}

/// Collects log lines in any order and builds an explanation.
#[derive(Clone, Debug)]
pub struct ExplanationBuilder {
    subject: Subject,
    own: Vec<LogLine>,
    context: Vec<LogLine>,
    dropped: usize,
}

impl ExplanationBuilder {
    /// Explains the workflow with this id, or one of its tasks: `WORKFLOW.OCCURRENCE.STEP.INDEX`.
    pub fn new(id: impl AsRef<str>) -> ExplanationBuilder {
        ExplanationBuilder {
            subject: Subject::new(id.as_ref()),
            own: Vec::new(),
            context: Vec::new(),
            dropped: 0,
        }
    }

    /// Adds a line. Lines of other programs are ignored.
    pub fn add_line(&mut self, text: &str) {
        let Some(line) = LogLine::parse(text) else { return };
        if self.subject.is_named_in(&line) {
            self.own.push(line);
        } else if CONTEXT_EVENTS.contains(&line.event.as_str()) {
            if self.context.len() < MAX_CONTEXT_LINES {
                self.context.push(line);
            } else {
                self.dropped += 1;
            }
        }
    }

    /// Sorts the events by time and derives the findings.
    pub fn finish(self) -> Explanation {
        let ExplanationBuilder { subject, own, context, dropped } = self;
        let workflow = subject.task.unwrap_or(subject.workflow);
        let first = own.iter().map(|line| line.at.clone()).min().unwrap_or_default();
        let last = own.iter().map(|line| line.at.clone()).max().unwrap_or_default();
        // Context after the last line is relevant to a workflow that hasn't ended.
        let open = is_open(&own);
        // Context about a worker is relevant if a line of the workflow names the worker.
        let workers: BTreeSet<CompactString> =
            own.iter().filter_map(|line| line.get("worker")).map(CompactString::new).collect();
        let is_relevant = |line: &LogLine| {
            let worker_matches = line.get("worker").is_none_or(|worker| workers.contains(worker));
            worker_matches && line.at >= first && (open || line.at <= last)
        };
        let to_event = |own: bool| {
            move |line: LogLine| {
                let LogLine { at, node, event, pairs } = line;
                TimelineEvent { at, node, event, pairs, own }
            }
        };
        let mut happenings: Vec<TimelineEvent> = own.into_iter().map(to_event(true)).collect();
        happenings.extend(context.into_iter().filter(is_relevant).map(to_event(false)));
        happenings.sort_by(|left, right| left.at.cmp(&right.at));
        let findings = Finding::all(&happenings, dropped);
        Explanation { workflow, happenings, findings }
    }
}

/// Whether the workflow was accepted or ran, and hasn't ended.
fn is_open(own: &[LogLine]) -> bool {
    let is_refusal = |line: &LogLine| match line.event.as_str() {
        "submitted" => line.get("stored") != Some("Yes"),
        event => event == "submission_refused",
    };
    let accepted = own.iter().any(|line| !is_refusal(line));
    let ended = own.iter().any(|line| line.event == "workflow_ended");
    accepted && !ended
}
