//! `job submit`, `status` and `cancel`.

use {
    super::{Cx, read_file},
    crate::{
        args::{JobSource, Servers},
        calls::{Call, change, query},
        error::CliError,
    },
    compact_str::{CompactString, format_compact},
    egretlb_api::{CancelAnswer, JOBS, JobAnswer, SubmitAnswer, SubmitJob, job_path},
    egretlb_config::parse_job,
    egretlb_types::JobId,
    std::path::{Path, PathBuf},
};

pub(super) fn submit(
    cx: &mut Cx<'_, '_>,
    source: &JobSource,
    servers: &Servers,
) -> Result<(), CliError> {
    let submit = match source {
        JobSource::File(path) => read_job(path)?,
        JobSource::Flags(submit) => submit.clone(),
    };
    let call = Call::post(JOBS, &submit)?;
    let timeout_and_wait = (cx.args.timeout, cx.args.wait);
    let answer: SubmitAnswer = change(servers, timeout_and_wait, &call)?;
    if cx.args.json {
        cx.print_json(&answer)?;
    }
    let SubmitJob { job, class, tasks, .. } = &submit;
    match answer {
        SubmitAnswer::Accepted if cx.args.json => Ok(()),
        SubmitAnswer::Accepted => cx.print(format!("job {job} accepted; tasks: {tasks}\n")),
        SubmitAnswer::Conflict => Err(CliError::Refused(format_compact!(
            "there is a job {job} with other contents; give this one another name"
        ))),
        SubmitAnswer::UnknownClass => Err(CliError::Refused(format_compact!(
            "{class} is no batch class of the configuration in force; see `egretlb config show`"
        ))),
        SubmitAnswer::NeverFits => Err(CliError::Refused(CompactString::const_new(
            "no VM could ever hold one of its tasks; ask for less, or split the task",
        ))),
        SubmitAnswer::Invalid { message } => Err(CliError::Refused(message)),
        SubmitAnswer::Unavailable { .. } => {
            unreachable!("`change` retries until the answer is final")
        }
    }
}

fn read_job(path: &Path) -> Result<SubmitJob, CliError> {
    let job = parse_job(&read_file(path)?)
        .map_err(|faults| CliError::Faults { path: PathBuf::from(path), faults })?;
    Ok(SubmitJob {
        job: job.job,
        class: job.class,
        tasks: job.tasks,
        command: job.command,
        resources: job.resources,
    })
}

pub(super) fn status(cx: &mut Cx<'_, '_>, job: &JobId, servers: &Servers) -> Result<(), CliError> {
    let answer: JobAnswer = query(servers, cx.args.timeout, &Call::get(job_path(job)))?;
    if cx.args.json {
        cx.print_json(&answer)?;
    }
    match answer {
        JobAnswer::Found { .. } if cx.args.json => Ok(()),
        JobAnswer::Found { job } => {
            cx.print(format!("job {} of {}: {}\n", job.job, job.class, job.state))?;
            cx.print(format!("tasks: {}\n", job.tasks))
        }
        JobAnswer::NotFound => Err(CliError::NoSuchJob(job.clone())),
        JobAnswer::Unavailable { retry_after } => {
            let last_error = format!("the job's owner can't be reached; retry in {retry_after} s");
            Err(CliError::Unavailable { last_error, change: false })
        }
    }
}

pub(super) fn cancel(cx: &mut Cx<'_, '_>, job: &JobId, servers: &Servers) -> Result<(), CliError> {
    let call = Call::delete(job_path(job));
    let timeout_and_wait = (cx.args.timeout, cx.args.wait);
    let answer: CancelAnswer = change(servers, timeout_and_wait, &call)?;
    if cx.args.json {
        cx.print_json(&answer)?;
    }
    match answer {
        CancelAnswer::NotFound => Err(CliError::NoSuchJob(job.clone())),
        CancelAnswer::Unavailable { .. } => {
            unreachable!("`change` retries until the answer is final")
        }
        _ if cx.args.json => Ok(()),
        CancelAnswer::Cancelled => {
            cx.print(format!("job {job} cancelled; what runs is being stopped\n"))
        }
        CancelAnswer::Ended => cx.print(format!("job {job} had ended; nothing to cancel\n")),
    }
}
