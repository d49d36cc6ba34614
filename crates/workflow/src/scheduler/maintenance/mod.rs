//! Waves of upkeep: VMs are emptied and taken down in turn, in time, and never more at once than allowed.
//!
//! Load: an operator asks for the upkeep of many VMs by a time, at most so many at once. What still runs on
//! a VM when it goes down is lost, and of some steps only so many tasks may be away at a time. So a VM gets
//! no new work first, what can go on elsewhere is moved, and what ends soon is waited for. An order is
//! recorded before it is given: a call without an answer may be carried out seconds later, and until it is
//! repeated with success the VM counts as down.

mod stages;

pub(super) use self::stages::Maintenance;

use {
    self::stages::{Stage, WaveRun},
    super::{Attempt, Effect, Phase, Scheduler, waits::StopReason},
    crate::{
        Ledger, MaintenanceResult, RunId, TaskId, VmId, VmList, VmState, Wave, WaveState, WorkerId,
    },
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// How often the VMs are listed while a wave is under way. A listing takes some pages of the 60 a second
/// that all processes together may read.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// A VM that isn't empty after this long goes down with what can be started again elsewhere; most tasks
/// that end soon are done by then.
const EMPTY_WITHIN: Duration = Duration::from_secs(6);

/// The pause before an order is repeated.
const ORDER_AGAIN: Duration = Duration::from_millis(400);

impl Scheduler {
    /// The operator asks for a wave of upkeep, or takes it back.
    pub fn on_wave(&mut self, now: Time, number: u64, wave: Option<Wave>, ledger: &Ledger) {
        let Some(wave) = wave else {
            self.maintenance.runs.remove(&number);
            return;
        };
        if self.maintenance.runs.contains_key(&number) {
            return;
        }
        log::info!(wave = number, vms = wave.vms.len(), cap = wave.max_down; "wave_begins");
        let mut run =
            WaveRun { due: now + wave.within, wave, stages: BTreeMap::new(), reported: None };
        if let Some(progress) = ledger.wave(number) {
            for (vm, worker) in &progress.requested {
                let stage = Stage::Ordered { worker: worker.clone(), sent: None, again: now };
                run.stages.insert(vm.clone(), stage);
            }
            for vm in &progress.finished {
                run.stages.insert(vm.clone(), Stage::Finished);
            }
        }
        self.maintenance.runs.insert(number, run);
    }

    /// The VMs as listed by a call that was sent at `sent`; none if it failed.
    pub fn on_vms(&mut self, sent: Time, listed: Option<VmList>) {
        self.maintenance.listing = None;
        if let Some(listed) = listed {
            // A VM whose row can't be read is still what it was; taken as gone, its wave would be said to be
            // complete without it.
            if listed.complete {
                self.maintenance.vms.clear();
            }
            self.maintenance.whole = listed.complete;
            let entries = listed.vms.into_iter().map(|entry| (entry.vm.clone(), entry));
            self.maintenance.vms.extend(entries);
            self.maintenance.listed = Some(sent);
        }
    }

    /// What became of an order to begin a VM's upkeep.
    pub fn on_maintenance(
        &mut self,
        now: Time,
        number: u64,
        vm: &VmId,
        result: MaintenanceResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(run) = self.maintenance.runs.get_mut(&number) else { return };
        let Some(stage @ Stage::Ordered { .. }) = run.stages.get_mut(vm) else { return };
        let Stage::Ordered { worker, .. } = stage else { return };
        let worker = worker.clone();
        log::info!(wave = number, vm:%, result:?; "upkeep_ordered");
        match result {
            MaintenanceResult::Begun => {
                *stage = Stage::Down { worker: worker.clone(), since: now };
                // All that ran there has ended with it.
                if let Some(id) = worker {
                    self.on_left(now, &id);
                }
            }
            MaintenanceResult::NotOfWave => {
                *stage = Stage::Finished;
                self.maintenance.dirty.insert(number);
            }
            MaintenanceResult::Outranked => out.push(Effect::Outranked),
            MaintenanceResult::Busy | MaintenanceResult::Throttled | MaintenanceResult::Unknown => {
                *stage = Stage::Ordered { worker, sent: None, again: now + ORDER_AGAIN };
            }
        }
    }

    /// What the operator was told of a wave is stored, or not.
    pub fn on_wave_reported(&mut self, number: u64, state: WaveState, stored: bool) {
        if let Some(run) = self.maintenance.runs.get_mut(&number)
            && run.reported == Some((state, false))
        {
            run.reported = stored.then_some((state, true));
        }
    }

    /// Whether a worker gets no new work since its VM is about to go down.
    pub(in crate::scheduler) fn is_in_maintenance(&self, id: &WorkerId) -> bool {
        !self.maintenance.runs.is_empty() && self.maintenance.is_in_maintenance(id)
    }

    /// Does what is due for the waves.
    pub(in crate::scheduler) fn advance_waves(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.maintenance.runs.is_empty() {
            return;
        }
        let mut order: Vec<(Time, u64)> =
            self.maintenance.runs.iter().map(|(number, run)| (run.due, *number)).collect();
        order.sort_unstable();
        let open = self.maintenance.runs.values().any(|run| !run.is_finished());
        self.list(now, open, out);
        for (_, number) in order {
            self.find_finished(number);
            self.begin_emptying(now, number);
            self.empty(now, number, out);
            self.order(now, number, out);
            self.tell(number, out);
        }
    }

    fn list(&mut self, now: Time, open: bool, out: &mut Vec<Effect>) {
        let fresh = self.maintenance.listed.is_some_and(|at| now.since(at) < LIST_EVERY);
        if open && !fresh && self.maintenance.listing.is_none() {
            self.maintenance.listing = Some(now);
            out.push(Effect::ListVms);
        }
    }

    /// VMs that are back with another worker, or that aren't there any more.
    fn find_finished(&mut self, number: u64) {
        let Maintenance { runs, vms, whole, listed, dirty, .. } = &mut self.maintenance;
        let whole = *whole;
        let (Some(listed), Some(run)) = (*listed, runs.get_mut(&number)) else { return };
        for vm in &run.wave.vms {
            let entry = vms.get(vm);
            let stage = run.stages.get(vm);
            let done = match (stage, entry) {
                (Some(Stage::Finished), _) => false,
                // An order that isn't confirmed may still take one down that isn't listed just now.
                (None | Some(Stage::Draining { .. }), None) => whole && !vms.is_empty(),
                (Some(Stage::Down { since, .. }), None) => whole && listed > *since,
                (Some(Stage::Down { worker, since }), Some(entry)) => {
                    let back = entry.state == VmState::Up && entry.worker.is_some();
                    listed > *since && back && entry.worker != *worker
                }
                _ => false,
            };
            if done {
                log::info!(wave = number, vm:%; "upkeep_finished");
                run.stages.insert(vm.clone(), Stage::Finished);
                dirty.insert(number);
            }
        }
    }

    /// Picks the VMs that go next, as many as may be down.
    fn begin_emptying(&mut self, now: Time, number: u64) {
        let Maintenance { runs, vms, .. } = &mut self.maintenance;
        let Some(run) = runs.get_mut(&number) else { return };
        let room = (run.wave.max_down as usize).saturating_sub(run.down() + run.draining());
        let mut next: Vec<(usize, VmId, WorkerId)> = Vec::new();
        for vm in run.wave.vms.iter().filter(|vm| !run.stages.contains_key(*vm)) {
            let Some(entry) = vms.get(vm).filter(|entry| entry.state == VmState::Up) else {
                continue;
            };
            let Some(worker) = &entry.worker else { continue };
            let copies = self.workers.get(worker).map_or(0, |worker| worker.attempts.len());
            next.push((copies, vm.clone(), worker.clone()));
        }
        next.sort();
        for (_, vm, worker) in next.into_iter().take(room) {
            log::info!(wave = number, vm:%, worker:%; "vm_emptied");
            run.stages.insert(vm, Stage::Draining { worker, since: now });
        }
    }

    fn empty(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.maintenance.runs.get(&number) else { return };
        let emptying: Vec<(VmId, WorkerId, Time)> = run
            .stages
            .iter()
            .filter_map(|(vm, stage)| match stage {
                Stage::Draining { worker, since } => Some((vm.clone(), worker.clone(), *since)),
                _ => None,
            })
            .collect();
        let (due, left) = (run.due, run.wave.vms.len().max(1) as u32);
        for (vm, worker, since) in emptying {
            self.move_away(now, &worker, out);
            // What is left of the time is shared by all VMs of the wave.
            let share = due.since(since) / left;
            let waited = now.since(since) >= EMPTY_WITHIN.min(share);
            if self.may_go_down(now, &worker, waited)
                && let Some(run) = self.maintenance.runs.get_mut(&number)
            {
                run.stages.insert(vm, Stage::Recording { worker: Some(worker) });
                self.maintenance.dirty.insert(number);
            }
        }
    }

    /// Stops what can go on elsewhere; of guarded steps only as many as may be away.
    fn move_away(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let moves = |copy: &Attempt| copy.movable && matches!(copy.phase, Phase::Running { .. });
        let moving: Vec<(TaskId, RunId)> =
            worker.attempts.iter().filter(|(_, copy)| moves(copy)).map(|(key, _)| *key).collect();
        for (task, run) in moving {
            if self.may_be_away(task) {
                self.stop_runs(now, id, StopReason::Maintenance, out, |of, number| {
                    of == task && number == run
                });
            }
        }
    }

    /// Whether one more task of a step may be away. A task that hasn't been at work at its worker is away.
    fn may_be_away(&self, task: TaskId) -> bool {
        let Some(allowed) = self.step(task).and_then(|step| step.max_unavailable) else {
            return true;
        };
        let count = self.step(task).map_or(0, |step| step.count);
        let at_work = |index: u32| {
            let (first, last) = (RunId(0), RunId(u64::MAX));
            let task = TaskId { index, ..task };
            self.workers.values().any(|worker| {
                worker
                    .attempts
                    .range((task, first)..=(task, last))
                    .any(|(_, copy)| copy.is_at_work())
            })
        };
        let away = (0..count).filter(|index| !at_work(*index)).count();
        away < allowed as usize
    }

    /// Whether a VM may go down with what is left on it: nothing, or after a while what starts again
    /// elsewhere without harm.
    fn may_go_down(&self, now: Time, id: &WorkerId, waited: bool) -> bool {
        let Some(worker) = self.workers.get(id) else { return waited };
        // What runs at a worker that hasn't answered this leader isn't known, until it must have lapsed.
        if !worker.reconciled && now < worker.lease_bound {
            return false;
        }
        let guarded = |copy: &Attempt| copy.long_running && !copy.preemptible;
        let guards = worker.attempts.values().any(guarded);
        let responsive = worker.is_responsive(now, &self.limits);
        (worker.attempts.is_empty() && (responsive || waited)) || (waited && !guards && responsive)
    }

    /// Gives the orders that are recorded.
    fn order(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let epoch = self.epoch;
        let Some(run) = self.maintenance.runs.get_mut(&number) else { return };
        for (vm, stage) in &mut run.stages {
            let Stage::Ordered { sent, again, .. } = stage else { continue };
            if sent.is_none() && now >= *again {
                *sent = Some(now);
                out.push(Effect::BeginMaintenance { vm: vm.clone(), wave: number, epoch });
            }
        }
    }

    fn tell(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Some(run) = self.maintenance.runs.get_mut(&number) else { return };
        let finished = run.is_finished() && !self.maintenance.dirty.contains(&number);
        let state = if finished { WaveState::Completed } else { WaveState::Running };
        if run.reported.is_none_or(|(told, _)| told != state) {
            run.reported = Some((state, false));
            out.push(Effect::ReportWave { wave: number, state });
        }
    }
}

impl Attempt {
    fn is_at_work(&self) -> bool {
        matches!(self.phase, Phase::Running { .. }) && self.percent >= 100
    }
}
