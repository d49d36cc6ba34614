//! Starting attempts, and querying them until their outcome is known.

use {
    super::{
        JobEffect, JobEntry, JobTable, Pending,
        job::{Active, Job},
        record::AttemptRecord,
    },
    crate::msg::{Grant, RackMsg, Start, Stop},
    egretlb_types::{Authority, Fence, ShardId, TaskId, Time, VmId, worker::TaskFence},
};

impl JobTable {
    /// Journals an attempt for a grant. It is started once the entry is acknowledged; otherwise a
    /// successor that doesn't know of it would start the task a second time.
    pub(super) fn start(
        &mut self,
        now: Time,
        shard: ShardId,
        grant: Grant,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        if !self.is_current_grant(shard, &grant) {
            return;
        }
        let Some(epoch) = self.authorized_epoch(now, shard, auth) else { return };
        let over_quota = self.is_over_quota(now, &grant.task);
        let attempt = AttemptRecord {
            fence: Fence { epoch, attempt: grant.attempt },
            vm: grant.vm,
            rack: grant.rack,
            data_centre: grant.data_centre,
            resources: grant.resources,
            over_quota,
        };
        let of = TaskFence { task: grant.task.clone(), fence: attempt.fence };
        if let Some(job) = self.job_mut(&grant.task) {
            job.waiting.remove(&grant.task.index);
            job.sweeps = 0;
            job.never_fits_since = None;
            let active = Active::new(now, attempt.clone(), Some(grant.reservation));
            job.active.insert(grant.task.index, active);
        }
        let entry = JobEntry::Starting { task: grant.task, attempt };
        let ticket = self.journal(shard, entry, out);
        if self.protections.journal_before_start {
            self.pending.insert(ticket, Pending::Start { shard, of });
        } else {
            self.start_journaled(now, shard, &of, auth, out);
        }
    }

    pub(super) fn start_journaled(
        &mut self,
        now: Time,
        shard: ShardId,
        of: &TaskFence,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        if let Some(active) = self.active_mut(of) {
            active.journaled = true;
            active.send_at = now;
        }
        // Without authority the attempt isn't started now. `resend` starts it once authority is
        // back; its entry then precedes what a successor reads.
        if self.authorized_epoch(now, shard, auth).is_none() {
            return;
        }
        let resend = self.limits.resend;
        let Some(job) = self.job_mut(&of.task) else { return };
        if let Some(msg) = start_or_stop_message(job, of.task.index, now + resend) {
            out.push(msg);
        }
    }

    /// Resends unanswered starts and stops, and periodically checks running attempts.
    pub(super) fn resend(&mut self, now: Time, shard: ShardId, out: &mut Vec<JobEffect>) {
        let resend_at = now + self.limits.resend;
        let running_check_at = now + self.limits.running_check_interval;
        let mut stops = self.limits.max_concurrent_stops;
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let open: Vec<_> = state.open.iter().cloned().collect();
        for id in &open {
            let Some(job) = state.jobs.get_mut(id) else { continue };
            let waits = |active: &&Active| active.stop && active.send_at > now;
            stops = stops.saturating_sub(job.active.values().filter(waits).count());
            let due = job.active.iter().filter(|(_, a)| a.journaled && now >= a.send_at);
            let due: Vec<(u32, bool, bool)> =
                due.map(|(index, a)| (*index, a.stop, a.running)).collect();
            for (index, stop, running) in due {
                if stop && stops == 0 {
                    continue;
                }
                stops -= usize::from(stop);
                let next = if running && !stop { running_check_at } else { resend_at };
                out.extend(start_or_stop_message(job, index, next));
            }
        }
    }

    /// Handles a running attempt. If it isn't the task's current one it is stopped, since the task
    /// may run elsewhere.
    pub(super) fn on_started(
        &mut self,
        now: Time,
        vm: VmId,
        rack: ShardId,
        of: TaskFence,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        let running_check_at = now + self.limits.running_check_interval;
        let resend_at = now + self.limits.resend;
        let shard = super::job_shard_of_task(&of.task);
        if self.authorized_epoch(now, shard, auth).is_none() {
            return;
        }
        if let Some(active) = self.active_mut(&of) {
            if !active.running {
                active.since = now;
            }
            active.running = true;
            active.unconfirmed = false;
            // Without the reservation, queries from now on can't start it again.
            active.reservation = None;
            active.send_at =
                if active.stop { resend_at.min(active.send_at) } else { running_check_at };
            return;
        }
        let msg = RackMsg::Stop(Stop { vm, of, checkpoint: false });
        out.push(JobEffect::SendToRack { shard: rack, msg });
    }

    /// Whether the task's team is over its quota.
    fn is_over_quota(&self, now: Time, task: &TaskId) -> bool {
        let shard = super::job_shard_of_task(task);
        let job = self.shards.get(&shard).and_then(|state| state.jobs.get(&task.job));
        job.is_some_and(|job| self.rank_of(now, job) == super::queue::Rank::OverQuota)
    }
}

/// The message that starts or stops an attempt, or queries its state.
fn start_or_stop_message(job: &mut Job, index: u32, next: Time) -> Option<JobEffect> {
    let record = &job.record;
    let active = job.active.get_mut(&index)?;
    active.send_at = next;
    let task = TaskId { job: record.spec.job.clone(), index };
    let of = TaskFence { task, fence: active.attempt.fence };
    let vm = active.attempt.vm.clone();
    let msg = if active.stop {
        RackMsg::Stop(Stop { vm, of, checkpoint: false })
    } else {
        RackMsg::Start(Start {
            vm,
            of,
            reservation: active.reservation,
            class: record.spec.class.clone(),
            service: record.service,
            over_quota: active.attempt.over_quota,
            resources: active.attempt.resources,
            checkpoint: record.tasks.get(index as usize)?.checkpoint.clone(),
            command: record.spec.command.clone(),
        })
    };
    Some(JobEffect::SendToRack { shard: active.attempt.rack, msg })
}
