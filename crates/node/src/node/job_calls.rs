//! Operators' calls about jobs, forwarded to the jobs' owners.

use {
    super::{
        convert::{cancel_answer, default_retry_after, job_answer, submit_answer},
        event::{CallTicket, OperatorReply},
    },
    crate::peer::JobRequest,
    egretlb_api::{CancelAnswer, JobAnswer, SubmitAnswer},
    egretlb_tasks::{CallId, JobReply},
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// How long an operator's call waits for the job's owner. Doesn't cover a takeover; the operator
/// retries.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of pending calls.
const MAX_PENDING: usize = 4_096;

#[derive(Clone, Copy, Debug)]
enum CallKind {
    Submit,
    Cancel,
    Status,
}

impl CallKind {
    fn of(request: &JobRequest) -> Self {
        match request {
            JobRequest::Submit(_) => CallKind::Submit,
            JobRequest::Cancel(_) => CallKind::Cancel,
            JobRequest::Status(_) => CallKind::Status,
        }
    }

    fn reply(self, reply: JobReply) -> OperatorReply {
        match self {
            CallKind::Submit => OperatorReply::Submit(submit_answer(reply)),
            CallKind::Cancel => OperatorReply::Cancel(cancel_answer(reply)),
            CallKind::Status => OperatorReply::Job(job_answer(reply)),
        }
    }

    fn unavailable(self) -> OperatorReply {
        let retry_after = default_retry_after();
        match self {
            CallKind::Submit => OperatorReply::Submit(SubmitAnswer::Unavailable { retry_after }),
            CallKind::Cancel => OperatorReply::Cancel(CancelAnswer::Unavailable { retry_after }),
            CallKind::Status => OperatorReply::Job(JobAnswer::Unavailable { retry_after }),
        }
    }
}

#[derive(Debug)]
struct Pending {
    call: CallTicket,
    kind: CallKind,
    until: Time,
}

/// The reply to an operator's call.
#[derive(Debug)]
pub(super) struct CallReply {
    pub(super) call: CallTicket,
    pub(super) reply: OperatorReply,
}

/// Calls that wait for a job's owner.
#[derive(Debug, Default)]
pub(super) struct JobCalls {
    next: u64,
    pending: BTreeMap<CallId, Pending>,
}

impl JobCalls {
    /// Registers a call and returns its id, or a reply if too many calls are pending.
    pub(super) fn begin(
        &mut self,
        now: Time,
        call: CallTicket,
        request: &JobRequest,
    ) -> Result<CallId, CallReply> {
        let kind = CallKind::of(request);
        if self.pending.len() >= MAX_PENDING {
            return Err(CallReply { call, reply: kind.unavailable() });
        }
        self.next += 1;
        let id = CallId(self.next);
        self.pending.insert(id, Pending { call, kind, until: now + ANSWER_TIMEOUT });
        Ok(id)
    }

    /// Handles the owner's answer; `None` if the call has been answered already.
    pub(super) fn answered(&mut self, id: CallId, reply: JobReply) -> Option<CallReply> {
        let pending = self.pending.remove(&id)?;
        Some(CallReply { call: pending.call, reply: pending.kind.reply(reply) })
    }

    /// Answers a call whose owner doesn't exist or can't be reached.
    pub(super) fn unreachable(&mut self, id: CallId) -> Option<CallReply> {
        let pending = self.pending.remove(&id)?;
        Some(CallReply { call: pending.call, reply: pending.kind.unavailable() })
    }

    /// Answers the calls that timed out.
    pub(super) fn timed_out(&mut self, now: Time) -> Vec<CallReply> {
        let expired = self.pending.extract_if(.., |_, pending| now >= pending.until);
        expired.map(|(_, p)| CallReply { call: p.call, reply: p.kind.unavailable() }).collect()
    }
}
