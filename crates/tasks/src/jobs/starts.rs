//! Starting attempts, and asking about them until their fate is known.

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
    /// Journals an attempt for which room was found. It is asked for once that is acknowledged:
    /// an attempt that runs and that a successor can't read of would be started a second time.
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
        // Without authority the attempt isn't asked for now. Once authority is back it is, by
        // `resend`: its entry then precedes whatever a successor could have read.
        if self.authorized_epoch(now, shard, auth).is_none() {
            return;
        }
        let resend = self.limits.resend;
        let Some(job) = self.job_mut(&of.task) else { return };
        if let Some(msg) = start_or_stop_message(job, of.task.index, now + resend) {
            out.push(msg);
        }
    }

    /// Asks again for what has had no answer: starts, stops, and now and then running attempts.
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

    /// An attempt runs. One that shouldn't is stopped: it was given up for good reasons, and its
    /// task may run elsewhere soon.
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
            // Asking without the reservation from now on can't start it again.
            active.reservation = None;
            active.send_at =
                if active.stop { resend_at.min(active.send_at) } else { running_check_at };
            return;
        }
        let msg = RackMsg::Stop(Stop { vm, of, checkpoint: false });
        out.push(JobEffect::SendToRack { shard: rack, msg });
    }

    /// Whether the task's room is lent: its team was over its quota when it found room.
    fn is_over_quota(&self, now: Time, task: &TaskId) -> bool {
        let shard = super::job_shard_of_task(task);
        let job = self.shards.get(&shard).and_then(|state| state.jobs.get(&task.job));
        job.is_some_and(|job| self.rank_of(now, job) == super::queue::Rank::OverQuota)
    }
}

/// The message that asks for an attempt's start or stop, or for its fate.
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
