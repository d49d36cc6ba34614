//! Ends of attempts and of jobs.

use {
    super::{
        JobAlarm, JobEffect, JobEntry, JobTable, Pending,
        job::{Job, Waiting},
        record::{TaskResult, TaskState},
    },
    crate::msg::{AttemptEnd, Ended, RackMsg},
    egretlb_types::{Authority, JobId, Resources, ShardId, Time, worker::TaskEnd},
    std::time::Duration,
};

/// Delay before the first retry of a failed task; doubled with each failure.
const BASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the delay.
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// Interval between removals of old jobs.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

impl JobTable {
    pub(super) fn on_ended(
        &mut self,
        now: Time,
        ended: Ended,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        let shard = super::job_shard_of_task(&ended.of.task);
        if self.authorized_epoch(now, shard, auth).is_none() {
            return;
        }
        let index = ended.of.task.index;
        let fenced = self.protections.fence_outcomes;
        let Some(job) = self.job_mut(&ended.of.task) else {
            out.push(ack(&ended));
            return;
        };
        let current = job.active.get(&index).map(|active| active.attempt.fence);
        if current.is_none() || (current != Some(ended.of.fence) && fenced) {
            // A repeated report. The acknowledgement waits until the first one is journalled.
            if !job.unjournaled_ends.contains(&index) {
                out.push(ack(&ended));
            }
            return;
        }
        job.active.remove(&index);
        job.unjournaled_ends.insert(index);
        self.journal_end(now, shard, ended, current.unwrap_or_default(), out);
    }

    fn journal_end(
        &mut self,
        now: Time,
        shard: ShardId,
        ended: Ended,
        fence: egretlb_types::Fence,
        out: &mut Vec<JobEffect>,
    ) {
        let task = ended.of.task.clone();
        let failed = ended.how == AttemptEnd::Failed;
        let blamed_vm = (failed && !ended.vm_quarantined).then(|| ended.vm.clone());
        let entry =
            JobEntry::Ended { task: task.clone(), fence, how: ended.how.clone(), blamed_vm };
        let ticket = self.journal(shard, entry, out);
        self.requeue_or_alarm(now, &ended, out);
        if self.protections.journal_before_ack {
            self.pending.insert(ticket, Pending::End { shard, ended: Box::new(ended) });
        } else {
            out.push(ack(&ended));
            if let Some(job) = self.job_mut(&task) {
                job.unjournaled_ends.remove(&task.index);
            }
        }
    }

    /// Queues the task again unless it is over, and raises alarms.
    fn requeue_or_alarm(&mut self, now: Time, ended: &Ended, out: &mut Vec<JobEffect>) {
        let task = &ended.of.task;
        let Some(job) = self.job_mut(task) else { return };
        let class = job.record.spec.class.clone();
        let Some(record) = job.record.tasks.get(task.index as usize) else { return };
        match record.state {
            TaskState::Queued => {
                let failed = ended.how == AttemptEnd::Failed;
                let doublings = u32::from(record.fails).min(MAX_RETRY_DOUBLINGS);
                let wait =
                    if failed { BASE_RETRY_DELAY * 2_u32.pow(doublings) } else { Duration::ZERO };
                let waiting = Waiting { since: now, not_before: now + wait, round: None };
                job.waiting.insert(task.index, waiting);
            }
            TaskState::Over(TaskResult::Parked) => {
                let vms = record.failed_on.to_vec();
                out.push(JobEffect::Alarm(JobAlarm::TaskParked { task: task.clone(), vms }));
            }
            _ => {}
        }
        match ended.how {
            AttemptEnd::Lost => {
                let alarm = JobAlarm::AttemptLost { task: task.clone(), vm: ended.vm.clone() };
                out.push(JobEffect::Alarm(alarm));
            }
            AttemptEnd::Done => {
                self.run_times.record_end(&class, &Resources::default(), ended.ran, TaskEnd::Done);
            }
            _ => {}
        }
    }

    pub(super) fn end_journaled(
        &mut self,
        now: Time,
        shard: ShardId,
        ended: Ended,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        // Without authority the acknowledgement could make the rack's owner drop an end that the
        // successor's journal doesn't have.
        if self.authorized_epoch(now, shard, auth).is_some() {
            out.push(ack(&ended));
        }
        let index = ended.of.task.index;
        if let Some(job) = self.job_mut(&ended.of.task) {
            job.unjournaled_ends.remove(&index);
        }
    }

    /// Closes jobs that are over, and ends tasks that can never fit.
    pub(super) fn close_jobs(&mut self, now: Time, shard: ShardId, out: &mut Vec<JobEffect>) {
        let Some(state) = self.shards.get(&shard) else { return };
        let open: Vec<JobId> = state.open.iter().cloned().collect();
        for id in open {
            self.close_job(now, shard, &id, out);
        }
    }

    /// Removes jobs whose status has been kept for the retention time.
    pub(super) fn forget_old_jobs(
        &mut self,
        now: Time,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = now + FORGET_INTERVAL;
        let keep = self.limits.ended_retention;
        let is_expired = |job: &Job| job.over_since.is_some_and(|since| now.since(since) >= keep);
        let mut old: Vec<(ShardId, JobId)> = Vec::new();
        for (shard, state) in &self.shards {
            if self.authorized_epoch(now, *shard, auth).is_some() {
                let jobs = state.jobs.iter().filter(|(_, job)| is_expired(job));
                old.extend(jobs.map(|(id, _)| (*shard, id.clone())));
            }
        }
        for (shard, id) in old {
            self.journal(shard, JobEntry::Forgot { job: id.clone() }, out);
            if let Some(state) = self.shards.get_mut(&shard) {
                state.jobs.remove(&id);
            }
        }
    }

    fn close_job(&mut self, now: Time, shard: ShardId, id: &JobId, out: &mut Vec<JobEffect>) {
        let never_fits_after = self.limits.never_fits_after;
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let Some(job) = state.jobs.get_mut(id) else { return };
        let idle = job.active.is_empty() && job.unjournaled_ends.is_empty();
        if idle && job.record.is_over() {
            job.over_since = Some(now);
            state.open.remove(id);
            return;
        }
        let never_fits =
            job.never_fits_since.is_some_and(|since| now.since(since) >= never_fits_after);
        if !never_fits || job.record.service {
            return;
        }
        job.never_fits_since = None;
        self.journal(shard, JobEntry::NeverFits { job: id.clone() }, out);
        out.push(JobEffect::Alarm(JobAlarm::JobNeverFits { job: id.clone() }));
        if let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id)) {
            job.refill(now);
        }
    }

    pub(super) fn mark_durable(&mut self, shard: ShardId, id: &JobId) {
        if let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id)) {
            job.durable = true;
        }
    }
}

fn ack(ended: &Ended) -> JobEffect {
    let msg = RackMsg::AckEnded { vm: ended.vm.clone(), of: ended.of.clone() };
    JobEffect::SendToRack { shard: ended.rack, msg }
}
