//! Operators' calls about jobs, passed on to the jobs' owners.

use {
    super::{
        convert::{call_again, cancel_answer, job_answer, submit_answer},
        event::{CallTicket, OperatorReply},
    },
    crate::peer::JobRequest,
    egretlb_api::{CancelAnswer, JobAnswer, SubmitAnswer},
    egretlb_tasks::{CallId, JobReply},
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// How long an operator waits for the job's owner. An append takes some tens of milliseconds; a
/// takeover takes longer than anyone waits, so the operator is told to call again.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);

/// The most calls that wait at once. A submission holds its command, at most 1 KiB.
const PENDING_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Submit,
    Cancel,
    Status,
}

impl Kind {
    fn of(request: &JobRequest) -> Self {
        match request {
            JobRequest::Submit(_) => Kind::Submit,
            JobRequest::Cancel(_) => Kind::Cancel,
            JobRequest::Status(_) => Kind::Status,
        }
    }

    fn reply(self, reply: JobReply) -> OperatorReply {
        match self {
            Kind::Submit => OperatorReply::Submit(submit_answer(reply)),
            Kind::Cancel => OperatorReply::Cancel(cancel_answer(reply)),
            Kind::Status => OperatorReply::Job(job_answer(reply)),
        }
    }

    fn unavailable(self) -> OperatorReply {
        let retry_after = call_again();
        match self {
            Kind::Submit => OperatorReply::Submit(SubmitAnswer::Unavailable { retry_after }),
            Kind::Cancel => OperatorReply::Cancel(CancelAnswer::Unavailable { retry_after }),
            Kind::Status => OperatorReply::Job(JobAnswer::Unavailable { retry_after }),
        }
    }
}

#[derive(Debug)]
struct Pending {
    call: CallTicket,
    kind: Kind,
    until: Time,
}

/// An operator's call and the answer to it.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) call: CallTicket,
    pub(super) reply: OperatorReply,
}

/// The calls that wait for a job's owner.
#[derive(Debug, Default)]
pub(super) struct JobCalls {
    next: u64,
    pending: BTreeMap<CallId, Pending>,
}

impl JobCalls {
    /// Begins a call and names it; an answer at once if too many wait.
    pub(super) fn begin(
        &mut self,
        now: Time,
        call: CallTicket,
        request: &JobRequest,
    ) -> Result<CallId, Answered> {
        let kind = Kind::of(request);
        if self.pending.len() >= PENDING_MAX {
            return Err(Answered { call, reply: kind.unavailable() });
        }
        self.next += 1;
        let id = CallId(self.next);
        self.pending.insert(id, Pending { call, kind, until: now + ANSWER_WITHIN });
        Ok(id)
    }

    /// The owner's answer; `None` if the operator has been answered already.
    pub(super) fn answered(&mut self, id: CallId, reply: JobReply) -> Option<Answered> {
        let pending = self.pending.remove(&id)?;
        Some(Answered { call: pending.call, reply: pending.kind.reply(reply) })
    }

    /// The owner is out of reach or there is none.
    pub(super) fn unreachable(&mut self, id: CallId) -> Option<Answered> {
        let pending = self.pending.remove(&id)?;
        Some(Answered { call: pending.call, reply: pending.kind.unavailable() })
    }

    /// The calls that have waited long enough.
    pub(super) fn overdue(&mut self, now: Time) -> Vec<Answered> {
        let late = self.pending.extract_if(.., |_, pending| now >= pending.until);
        late.map(|(_, p)| Answered { call: p.call, reply: p.kind.unavailable() }).collect()
    }
}
