//! Submissions, cancellations and status queries.

use {
    super::{
        JobTable, Pending,
        api::{CallId, JobEffect, JobRefusal, JobReply},
        job::Job,
        record::{JobEntry, JobRecord, JobSpec, is_service_job},
    },
    egretlb_types::{Authority, ClassKind, JobId, RetryAfter, ShardId, Time, shard_of_job},
    std::time::Duration,
};

/// Retry time at a node that doesn't own the shard; a succession takes a few seconds.
const NOT_OWNER_RETRY: Duration = Duration::from_secs(3);

/// Retry time at a full shard.
const FULL_SHARD_RETRY: Duration = Duration::from_secs(60);

pub(super) fn ask_again(call: CallId) -> JobEffect {
    let after = RetryAfter::from_wait(NOT_OWNER_RETRY);
    JobEffect::Reply { call, reply: JobReply::AskAgain { after } }
}

fn refuse(call: CallId, refusal: JobRefusal) -> JobEffect {
    JobEffect::Reply { call, reply: JobReply::Refused(refusal) }
}

impl JobTable {
    pub(super) fn submit(
        &mut self,
        now: Time,
        call: CallId,
        spec: JobSpec,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        let shard = shard_of_job(&spec.job);
        match self.check(now, shard, &spec, auth) {
            Err(refusal) => out.push(refuse(call, refusal)),
            Ok(None) => self.answer_known_job(now, call, shard, &spec.job, out),
            Ok(Some(record)) => self.accept(now, call, shard, record, out),
        }
    }

    /// Validates a submission. Returns the record of a new job, or `None` for a known one.
    fn check(
        &self,
        now: Time,
        shard: ShardId,
        spec: &JobSpec,
        auth: &dyn Authority,
    ) -> Result<Option<JobRecord>, JobRefusal> {
        if is_service_job(&spec.job) {
            return Err(JobRefusal::ReservedName);
        }
        let after = RetryAfter::from_wait(NOT_OWNER_RETRY);
        let state =
            self.shards.get(&shard).filter(|_| self.authorized_epoch(now, shard, auth).is_some());
        let Some(state) = state else { return Err(JobRefusal::NotOwner { after }) };
        if let Some(job) = state.jobs.get(&spec.job) {
            let same = job.record.spec == *spec;
            return if same { Ok(None) } else { Err(JobRefusal::OtherSpec) };
        }
        let max = self.limits.max_job_tasks;
        if !(1..=max).contains(&spec.tasks) {
            return Err(JobRefusal::BadCount { max });
        }
        if state.jobs.len() >= self.limits.max_shard_jobs {
            return Err(JobRefusal::Full { after: RetryAfter::from_wait(FULL_SHARD_RETRY) });
        }
        let record = self.record_of(spec, after)?;
        if self.fits_no_known_vm(now, &record.resources) {
            return Err(JobRefusal::NeverFits);
        }
        Ok(Some(record))
    }

    fn record_of(&self, spec: &JobSpec, after: RetryAfter) -> Result<JobRecord, JobRefusal> {
        if self.document.is_none() {
            return Err(JobRefusal::NoConfig { after });
        }
        let class = self.class(&spec.class).ok_or(JobRefusal::UnknownClass)?;
        let ClassKind::Batch { task, run_time, .. } = &class.kind else {
            return Err(JobRefusal::NotBatch);
        };
        Ok(JobRecord {
            spec: spec.clone(),
            resources: spec.resources.unwrap_or(*task),
            learned_size: spec.resources.is_none(),
            team: Some(class.team.clone()),
            run_time: *run_time,
            service: false,
            cancelled: false,
            tasks: Vec::new(),
        })
    }

    fn accept(
        &mut self,
        now: Time,
        call: CallId,
        shard: ShardId,
        record: JobRecord,
        out: &mut Vec<JobEffect>,
    ) {
        let id = record.spec.job.clone();
        let entry = JobEntry::Submitted { record: Box::new(record.clone()) };
        let mut with_tasks = record;
        with_tasks.grow(with_tasks.spec.tasks);
        let Some(state) = self.shards.get_mut(&shard) else { return };
        state.jobs.insert(id.clone(), Job::new(now, with_tasks));
        state.open.insert(id.clone());
        let ticket = self.journal(shard, entry, out);
        self.answer_when_journaled(now, call, shard, ticket, JobReply::Accepted { job: id }, out);
    }

    fn answer_when_journaled(
        &mut self,
        now: Time,
        call: CallId,
        shard: ShardId,
        ticket: egretlb_types::Ticket,
        reply: JobReply,
        out: &mut Vec<JobEffect>,
    ) {
        if !self.protections.journal_before_ack {
            out.push(JobEffect::Reply { call, reply });
            return;
        }
        self.pending.insert(ticket, Pending::Call { call, shard, reply, since: now });
    }

    /// Answers a repeated submission. While the first entry isn't acknowledged, a second one is
    /// appended and its acknowledgement implies the first.
    fn answer_known_job(
        &mut self,
        now: Time,
        call: CallId,
        shard: ShardId,
        id: &JobId,
        out: &mut Vec<JobEffect>,
    ) {
        let Some(job) = self.shards.get(&shard).and_then(|state| state.jobs.get(id)) else {
            return;
        };
        let reply = JobReply::Accepted { job: id.clone() };
        if job.durable {
            out.push(JobEffect::Reply { call, reply });
            return;
        }
        // Replaying the entry twice changes nothing.
        let mut record = job.record.clone();
        record.tasks.clear();
        let entry = JobEntry::Submitted { record: Box::new(record) };
        let ticket = self.journal(shard, entry, out);
        self.answer_when_journaled(now, call, shard, ticket, reply, out);
    }

    pub(super) fn cancel(
        &mut self,
        now: Time,
        call: CallId,
        id: JobId,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        let shard = shard_of_job(&id);
        if self.authorized_epoch(now, shard, auth).is_none() {
            let after = RetryAfter::from_wait(NOT_OWNER_RETRY);
            out.push(refuse(call, JobRefusal::NotOwner { after }));
            return;
        }
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let Some(job) = state.jobs.get_mut(&id).filter(|job| !job.record.service) else {
            out.push(refuse(call, JobRefusal::NoSuchJob));
            return;
        };
        // Only marks the attempts; `resend` limits the rate of stops.
        for active in job.active.values_mut() {
            active.stop = true;
        }
        state.open.insert(id.clone());
        let ticket = self.journal(shard, JobEntry::Cancelled { job: id.clone() }, out);
        if let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(&id)) {
            job.refill(now);
        }
        self.answer_when_journaled(now, call, shard, ticket, JobReply::Cancelled { job: id }, out);
    }

    pub(super) fn status(&mut self, now: Time, call: CallId, id: JobId, out: &mut Vec<JobEffect>) {
        let task = egretlb_types::TaskId { job: id, index: 0 };
        let shard = super::job_shard_of_task(&task);
        let owned = self.shards.get(&shard).filter(|state| state.epoch.is_some());
        let reply = match owned.map(|state| state.jobs.get(&task.job)) {
            None => {
                let after = RetryAfter::from_wait(NOT_OWNER_RETRY);
                JobReply::Refused(JobRefusal::NotOwner { after })
            }
            Some(None) => JobReply::Refused(JobRefusal::NoSuchJob),
            Some(Some(job)) => JobReply::Status(job.status(now)),
        };
        out.push(JobEffect::Reply { call, reply });
    }

    /// Answers calls whose journal entry isn't acknowledged in time, as during a log outage.
    pub(super) fn expire_calls(&mut self, now: Time, out: &mut Vec<JobEffect>) {
        let within = self.limits.ack_timeout;
        self.pending.retain(|_, pending| match pending {
            Pending::Call { call, since, .. } if now.since(*since) >= within => {
                out.push(ask_again(*call));
                false
            }
            _ => true,
        });
    }
}
