//! Converts between the operators' API and the reducers' types.

use {
    egretlb_api::{CancelAnswer, JobAnswer, JobState, JobStatus, SubmitAnswer, TaskCounts},
    egretlb_control::ConfigVersion,
    egretlb_tasks::{self as tasks, JobRefusal, JobReply, JobSpec},
    egretlb_types::{Offset, RetryAfter},
    std::time::Duration,
};

/// When an operator should retry a call about a shard without an owner; covers a takeover.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(5);

/// The version in the API: the offset of the proposal.
pub(crate) fn version_of(version: ConfigVersion) -> Option<Offset> {
    version.0.checked_sub(1).map(Offset)
}

/// The version that an operator named as base.
pub(super) fn base_of(version: Option<Offset>) -> ConfigVersion {
    version.map_or(ConfigVersion::NONE, ConfigVersion::of_offset)
}

pub(super) fn default_retry_after() -> RetryAfter {
    RetryAfter::from_wait(RETRY_DELAY)
}

pub(super) fn spec_of(submit: egretlb_api::SubmitJob) -> JobSpec {
    JobSpec {
        job: submit.job,
        class: submit.class,
        tasks: submit.tasks,
        command: submit.command,
        resources: submit.resources,
    }
}

/// When to retry, if the refusal is temporary.
fn refusal_retry_after(refusal: &JobRefusal) -> Option<RetryAfter> {
    match refusal {
        JobRefusal::Full { after }
        | JobRefusal::NotOwner { after }
        | JobRefusal::NoConfig { after } => Some(*after),
        _ => None,
    }
}

pub(super) fn submit_answer(reply: JobReply) -> SubmitAnswer {
    match reply {
        JobReply::Accepted { .. } => SubmitAnswer::Accepted,
        JobReply::Refused(JobRefusal::UnknownClass | JobRefusal::NotBatch) => {
            SubmitAnswer::UnknownClass
        }
        JobReply::Refused(JobRefusal::OtherSpec) => SubmitAnswer::Conflict,
        JobReply::Refused(JobRefusal::NeverFits) => SubmitAnswer::NeverFits,
        JobReply::Refused(refusal) => match refusal_retry_after(&refusal) {
            Some(retry_after) => SubmitAnswer::Unavailable { retry_after },
            None => SubmitAnswer::Invalid { message: refusal.to_string().into() },
        },
        JobReply::AskAgain { after } => SubmitAnswer::Unavailable { retry_after: after },
        JobReply::Cancelled { .. } | JobReply::Status(_) => {
            SubmitAnswer::Unavailable { retry_after: default_retry_after() }
        }
    }
}

pub(super) fn cancel_answer(reply: JobReply) -> CancelAnswer {
    match reply {
        JobReply::Cancelled { .. } => CancelAnswer::Cancelled,
        JobReply::Status(status) if status.over => CancelAnswer::Ended,
        JobReply::Refused(JobRefusal::NoSuchJob) => CancelAnswer::NotFound,
        JobReply::Refused(refusal) => CancelAnswer::Unavailable {
            retry_after: refusal_retry_after(&refusal).unwrap_or(default_retry_after()),
        },
        JobReply::AskAgain { after } => CancelAnswer::Unavailable { retry_after: after },
        JobReply::Accepted { .. } | JobReply::Status(_) => {
            CancelAnswer::Unavailable { retry_after: default_retry_after() }
        }
    }
}

pub(super) fn job_answer(reply: JobReply) -> JobAnswer {
    match reply {
        JobReply::Status(status) => JobAnswer::Found { job: job_status(status) },
        JobReply::Refused(JobRefusal::NoSuchJob) => JobAnswer::NotFound,
        JobReply::Refused(refusal) => JobAnswer::Unavailable {
            retry_after: refusal_retry_after(&refusal).unwrap_or(default_retry_after()),
        },
        JobReply::AskAgain { after } => JobAnswer::Unavailable { retry_after: after },
        JobReply::Accepted { .. } | JobReply::Cancelled { .. } => {
            JobAnswer::Unavailable { retry_after: default_retry_after() }
        }
    }
}

fn job_status(status: tasks::JobStatus) -> JobStatus {
    let counts = &status.counts;
    let failed = counts.parked + counts.never_fits > 0;
    let state = match (status.over, status.cancelled, failed) {
        (false, ..) => JobState::Active,
        (true, true, _) => JobState::Cancelled,
        (true, false, true) => JobState::Failed,
        (true, false, false) => JobState::Done,
    };
    let tasks = TaskCounts {
        queued: counts.queued,
        starting: counts.starting + counts.unconfirmed,
        running: counts.running + counts.stopping,
        done: counts.done,
        failed: 0,
        parked: counts.parked + counts.never_fits,
        cancelled: counts.cancelled,
    };
    JobStatus { job: status.spec.job, class: status.spec.class, state, tasks }
}
