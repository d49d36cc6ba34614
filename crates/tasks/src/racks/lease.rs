//! Lease renewal and expiry.
//!
//! A worker counts a lease from the receipt of a call, the owner from the latest time at which the
//! call may be received. So a VM that is cut off stops its tasks before their next attempts start
//! elsewhere.

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

/// Maximum number of doublings of the delay before an end is reported again. Limits the traffic in
/// a log outage, when no end can be acknowledged.
const MAX_RESEND_DOUBLINGS: u32 = 3;

impl RackTable {
    /// The latest end of a lease that a call sent now may grant.
    pub(super) fn lease_bound_of_call(&self, now: Time) -> Time {
        now + self.limits.max_call_delay + self.limits.lease + self.limits.clock_margin
    }

    /// The latest end of a lease granted by an earlier owner of the shard.
    ///
    /// An owner that loses the log keeps renewing leases for a limited time. If it didn't release
    /// the shard, its successor waits for that time before it declares an unreachable VM's attempts
    /// lost.
    pub(super) fn inherited_bound(&self, shard: ShardId) -> Time {
        let Some(state) = self.shards.get(&shard) else { return Time::from_micros(u64::MAX) };
        let bound = self.lease_bound_of_call(state.owned_at);
        if state.released { bound } else { bound + self.limits.renewal_without_authority }
    }

    /// When renewals end: a limited time after authority was last held.
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
        // Not sent to a VM that doesn't answer: a renewal may still arrive, and would postpone the
        // time at which its attempts are known to be lost.
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

    /// Requests a report if one is due.
    pub(super) fn poll(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let min_poll_interval = self.limits.min_poll_interval;
        let Some(vm) = self.vms.get_mut(id) else { return };
        // Requests a report as soon as one can be fresh.
        let fresh_due =
            !vm.is_fresh() && now >= vm.fresh_from && vm.report_sent < Some(vm.fresh_from);
        if vm.polling || (now < vm.poll_at && !fresh_due) {
            return;
        }
        vm.polling = true;
        vm.poll_at = now + min_poll_interval;
        self.call(now, id, CallKind::Report, WorkerCall::Report, Guard::None, out);
    }

    /// Declares a VM's attempts lost once every lease granted there must have lapsed.
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

    /// Reports ends to the jobs' owners until they are acknowledged.
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

/// The attempts whose leases are renewed. Includes those being stopped, since a lapse would lose
/// their checkpoint.
fn renewable(vm: &Vm) -> impl Iterator<Item = &TaskFence> {
    let runs = |phase: Phase| !matches!(phase, Phase::Starting);
    vm.attempts
        .iter()
        .filter(move |(_, attempt)| attempt.has_run && runs(attempt.phase))
        .map(|(of, _)| of)
}
