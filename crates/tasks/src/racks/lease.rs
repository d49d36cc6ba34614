//! Leases: renewing them, and knowing when they must have lapsed.
//!
//! A worker counts a lease from the receipt of a call, the owner from the latest time at which the
//! call may be received. What goes wrong otherwise: a VM that is cut off from its rack's owner
//! goes on running a task until its lease lapses, while a second attempt of it starts elsewhere.

use {
    super::{
        CallKind, Guard, RackAlarm, RackEffect, RackTable, WorkerCall, to_job,
        vm::{Phase, Vm},
    },
    crate::msg::{AttemptEnd, Ended, JobMsg},
    egretlb_types::{
        ShardId, Time, VmId,
        worker::{RenewLeases, TaskFence},
    },
};

/// The most doublings of the wait before an end is told again. In a log outage no job's owner can
/// acknowledge ends; all that end in an hour, told every two seconds, would be hundreds of messages
/// a second.
const MAX_RESEND_DOUBLINGS: u32 = 3;

impl RackTable {
    /// The latest end of a lease that a call made now may grant.
    pub(super) fn lease_bound_of_call(&self, now: Time) -> Time {
        now + self.limits.max_call_delay + self.limits.lease + self.limits.clock_margin
    }

    /// The latest end of a lease granted by an earlier owner of the shard.
    ///
    /// An owner that lost touch with the log goes on renewing for a while, so that an outage of
    /// the log doesn't end all that runs. So after an owner that didn't release its shard, an
    /// unreachable VM's attempts are in doubt for that while: that is the price. It is paid only
    /// where a VM gets lost soon after its rack's owner.
    pub(super) fn inherited_bound(&self, shard: ShardId) -> Time {
        let Some(state) = self.shards.get(&shard) else { return Time::from_micros(u64::MAX) };
        let bound = self.lease_bound_of_call(state.owned_at);
        if state.released { bound } else { bound + self.limits.renewal_without_authority }
    }

    /// Until when leases may be renewed: while authority is held, and for a while after.
    fn renew_until(&self, shard: ShardId) -> Option<Time> {
        self.shards
            .get(&shard)
            .map(|state| state.authority_seen_at + self.limits.renewal_without_authority)
    }

    /// Renews all leases of a VM in one call.
    pub(super) fn renew(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let bound = self.lease_bound_of_call(now);
        let Some(vm) = self.vms.get(id) else { return };
        let Some(until) = self.renew_until(vm.shard) else { return };
        // A VM that doesn't answer isn't renewed: each renewal may arrive, and would prolong the
        // time until its attempts are known to be lost.
        let can_renew = !vm.unresponsive && !vm.lost && !vm.renewing && now < until;
        if !can_renew || now < vm.renew_at {
            return;
        }
        let tasks: Vec<TaskFence> = renewable(vm).cloned().collect();
        if tasks.is_empty() {
            return;
        }
        let lease_ms = u32::try_from(self.limits.lease.as_millis()).unwrap_or(u32::MAX);
        let call = WorkerCall::Renew(RenewLeases { tasks, lease_ms });
        let renew_interval = self.limits.renew_interval;
        if let Some(vm) = self.vms.get_mut(id) {
            vm.renewing = true;
            vm.renew_at = now + renew_interval;
            vm.extend_bound(bound);
        }
        self.call(now, id, CallKind::Renew, call, Guard::Before(until), out);
    }

    /// Asks a VM for a report when one is due.
    pub(super) fn poll(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let min_poll_interval = self.limits.min_poll_interval;
        let Some(vm) = self.vms.get_mut(id) else { return };
        // The first report that can be fresh is asked for as soon as it can be.
        let fresh_due =
            !vm.is_fresh() && now >= vm.fresh_from && vm.report_sent < Some(vm.fresh_from);
        if vm.polling || (now < vm.poll_at && !fresh_due) {
            return;
        }
        vm.polling = true;
        vm.poll_at = now + min_poll_interval;
        self.call(now, id, CallKind::Report, WorkerCall::Report, Guard::None, out);
    }

    /// Gives a VM's attempts up once no lease granted there can last.
    pub(super) fn check_lost(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let wait = self.protections.wait_for_lease;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let lapsed = now >= vm.lease_bound || !wait;
        if !vm.unresponsive || vm.lost || !lapsed {
            return;
        }
        vm.lost = true;
        let held: Vec<TaskFence> = vm.attempts.keys().cloned().collect();
        for of in &held {
            let ran = vm.attempts[of].since;
            vm.close(now, of, AttemptEnd::Lost, now.since(ran));
        }
        self.backends_changed.insert(vm.shard);
        let alarm = RackAlarm::VmLost { vm: id.clone(), attempts: held.len() as u32 };
        out.push(RackEffect::Alarm(alarm));
        self.reindex(id);
    }

    /// Tells the jobs' owners of ends, until they are acknowledged.
    pub(super) fn report_ends(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let resend = self.limits.resend;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let rack = vm.shard;
        for (of, closed) in &mut vm.closed {
            if closed.acked || now < closed.send_at {
                continue;
            }
            closed.send_at = now + resend * 2_u32.pow(closed.send_count.min(MAX_RESEND_DOUBLINGS));
            closed.send_count += 1;
            let ended = Ended {
                vm: id.clone(),
                rack,
                of: of.clone(),
                how: closed.how.clone(),
                vm_quarantined: closed.vm_quarantined,
                ran: closed.ran,
            };
            out.push(to_job(&of.task, JobMsg::Ended(ended)));
        }
    }

    pub(super) fn expire_reservations(&mut self, now: Time, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let before = vm.reservations.len();
        let placed = &mut self.placed;
        vm.reservations.retain(|reservation, reserved| {
            let keep = now < reserved.until;
            if !keep && placed.get(&reserved.task).is_some_and(|(_, id)| id == reservation) {
                placed.remove(&reserved.task);
            }
            keep
        });
        if vm.reservations.len() != before {
            self.reindex(id);
        }
    }
}

/// What runs for all that is known. An attempt that is being stopped is renewed too: its stop may
/// take longer than its lease, and a lapse would cost its checkpoint.
fn renewable(vm: &Vm) -> impl Iterator<Item = &TaskFence> {
    let runs = |phase: Phase| !matches!(phase, Phase::Starting);
    vm.attempts
        .iter()
        .filter(move |(_, attempt)| attempt.ran && runs(attempt.phase))
        .map(|(of, _)| of)
}
