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
const CONTEXT: [&str; 21] = [
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
    "leases_lapsed",
    "log_lines_dropped",
    "lines_left_out",
    "waits_untold",
    "orders_suspended",
    "orders_resumed",
    "started",
    "stopping",
];

/// Something that happened, in the order of time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineEvent {
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

impl TimelineEvent {
    /// The value of a pair.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }
}

/// What is asked for.
#[derive(Clone, Debug)]
struct Subject {
    workflow: CompactString,
    /// One of its tasks, if only that one matters.
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

    fn is_named(&self, line: &LogLine) -> bool {
        let of_workflow = |id: &str| id.split('.').next() == Some(self.workflow.as_str());
        match (&self.task, line.get("task"), line.get("step")) {
            (None, Some(id), _) | (None, None, Some(id)) => of_workflow(id),
            (Some(own), Some(task), _) => own == task,
            (Some(own), None, Some(step)) => is_among(own, step, line),
            _ => line.get("workflow") == Some(self.workflow.as_str()),
        }
    }
}

/// Whether a line on tasks of a step may be about this one. It names some by index; if it means more than
/// it names, any may be meant.
fn is_among(task: &str, step: &str, line: &LogLine) -> bool {
    let index = task.strip_prefix(step).and_then(|rest| rest.strip_prefix('.'));
    let Some(index) = index else { return false };
    let Some(indices) = line.get("indices") else { return true };
    let named = indices.split(',').count();
    let tasks = line.get("tasks").and_then(|tasks| tasks.parse::<usize>().ok());
    indices.split(',').any(|known| known == index) || tasks.is_none_or(|tasks| tasks > named)
}

/// What became of a workflow.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The workflow, or the task of it that was asked for.
    pub workflow: CompactString,
    /// What happened to it and around it.
    pub happenings: Vec<TimelineEvent>,
    /// What follows from that.
    pub findings: Vec<Finding>,
}

/// Collects lines, in any order.
#[derive(Clone, Debug)]
pub struct ExplanationBuilder {
    subject: Subject,
    own: Vec<LogLine>,
    context: Vec<LogLine>,
    passed_over: usize,
}

impl ExplanationBuilder {
    /// Asks for the workflow of this id, or for one of its tasks, as `WORKFLOW.OCCURRENCE.STEP.INDEX`.
    pub fn new(id: impl AsRef<str>) -> ExplanationBuilder {
        ExplanationBuilder {
            subject: Subject::new(id.as_ref()),
            own: Vec::new(),
            context: Vec::new(),
            passed_over: 0,
        }
    }

    /// Takes a line in. Lines of other programs are passed over.
    pub fn add_line(&mut self, text: &str) {
        let Some(line) = LogLine::parse(text) else { return };
        if self.subject.is_named(&line) {
            self.own.push(line);
        } else if CONTEXT.contains(&line.event.as_str()) {
            if self.context.len() < MOST_CONTEXT {
                self.context.push(line);
            } else {
                self.passed_over += 1;
            }
        }
    }

    /// Puts everything in order and draws the conclusions.
    pub fn finish(self) -> Explanation {
        let ExplanationBuilder { subject, own, context, passed_over } = self;
        let workflow = subject.task.unwrap_or(subject.workflow);
        let first = own.iter().map(|line| line.at.clone()).min().unwrap_or_default();
        let last = own.iter().map(|line| line.at.clone()).max().unwrap_or_default();
        // What hasn't ended is still held up by what happens after its last line.
        let open = is_open(&own);
        // A worker's trouble matters if the workflow had something there.
        let workers: BTreeSet<CompactString> =
            own.iter().filter_map(|line| line.get("worker")).map(CompactString::new).collect();
        let near = |line: &LogLine| {
            let about = line.get("worker").is_none_or(|worker| workers.contains(worker));
            about && line.at >= first && (open || line.at <= last)
        };
        let happening = |own: bool| {
            move |line: LogLine| {
                let LogLine { at, node, event, pairs } = line;
                TimelineEvent { at, node, event, pairs, own }
            }
        };
        let mut happenings: Vec<TimelineEvent> = own.into_iter().map(happening(true)).collect();
        happenings.extend(context.into_iter().filter(near).map(happening(false)));
        happenings.sort_by(|left, right| left.at.cmp(&right.at));
        let findings = Finding::all(&happenings, passed_over);
        Explanation { workflow, happenings, findings }
    }
}

/// Whether the lines tell that it was accepted or ran, and not that it has ended.
fn is_open(own: &[LogLine]) -> bool {
    let taken =
        own.iter().any(|line| line.event != "submitted" || line.get("stored") == Some("Yes"));
    let ended = own.iter().any(|line| line.event == "workflow_ended");
    taken && !ended
}
