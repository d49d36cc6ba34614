//! Job submissions as files.

use {
    crate::{
        fault::Faults,
        reader::{CountRange, Reader},
    },
    compact_str::CompactString,
    egretlb_types::{ClassName, JobId, Resources},
    jsonc_parser::ast::Object,
};

/// A job to submit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobFile {
    /// The job's id, given by the submitter.
    pub job: JobId,
    /// Its class.
    pub class: ClassName,
    /// Number of tasks.
    pub tasks: u32,
    /// The command that each task runs.
    pub command: CompactString,
    /// Resources of each task; `None` for those that the class declares.
    pub resources: Option<Resources>,
}

const FIELDS: &[&str] = &["job", "class", "tasks", "command", "resources"];

/// Number of tasks a file may request; the daemon enforces a lower limit.
const TASK_COUNT_RANGE: CountRange = CountRange {
    min: 1,
    max: 1_000_000,
    expected: "a whole number of tasks, like 40",
    reason: "a job has at least one task; a larger one is several jobs",
};

/// Parses a job submission.
///
/// # Errors
///
/// All faults of the text, each with its position.
pub fn parse_job(text: &str) -> Result<JobFile, Faults> {
    let mut reader = Reader::new(text);
    let job = reader.parse_root().and_then(|root| job(&mut reader, &root));
    match (job, Faults::new(reader.into_faults())) {
        (Some(job), None) => Ok(job),
        (_, Some(faults)) => Err(faults),
        (None, None) => unreachable!("a field that can't be read leaves a fault"),
    }
}

fn job<'t>(reader: &mut Reader<'t>, root: &Object<'t>) -> Option<JobFile> {
    reader.check_fields(root, FIELDS);
    let job = reader.text(root, "job", r#"the job's name, like "reconcile-2026-01-31""#);
    let class = reader.text(root, "class", r#"a batch class, like "title-reconciliation""#);
    let tasks = reader.count(root, "tasks", TASK_COUNT_RANGE);
    let command = reader.text::<CompactString>(root, "command", "what each task runs, in quotes");
    let resources = match root.get("resources") {
        Some(_) => reader.resources(root, "resources").map(Some),
        None => Some(None),
    };
    Some(JobFile {
        job: job?,
        class: class?,
        tasks: tasks?,
        command: command?,
        resources: resources?,
    })
}
