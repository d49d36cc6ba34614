//! Maintenance waves: drains VMs and takes them down before the deadline, with a maximum number of
//! VMs down at a time.
//!
//! A VM that is about to go down gets no new tasks, movable tasks are moved, and batch tasks may
//! finish; what still runs when it goes down is lost. Steps limit how many of their tasks may be
//! unavailable at once. A request to take a VM down is recorded before it is sent: a call without
//! an answer may take effect seconds later, so the VM counts as down until a repeated request
//! succeeds.

mod stages;

pub(super) use self::stages::Maintenance;

use {
    self::stages::{ActiveWave, Stage},
    super::{Attempt, Effect, Phase, Scheduler, lost_workers::LeaveCause, waits::StopReason},
    crate::{
        Ledger, MaintenanceResult, RunId, TaskId, VmId, VmList, VmState, Wave, WaveState, WorkerId,
    },
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Interval between listings of the VMs while a wave is under way. A listing reads several pages of
/// the 60 a second that all processes share.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Drain timeout: after this a VM goes down with those tasks still running that can be started
/// again elsewhere.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause before a request is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Handles an operator's request for a wave, or its withdrawal (`None`).
    pub fn on_wave(&mut self, now: Time, number: u64, wave: Option<Wave>, ledger: &Ledger) {
        let Some(wave) = wave else {
            self.maintenance.waves.remove(&number);
            return;
        };
        if self.maintenance.waves.contains_key(&number) {
            return;
        }
        log::info!(wave = number, vms = wave.vms.len(), cap = wave.max_down; "wave_begins");
        let mut active = ActiveWave {
            deadline: now + wave.within,
            wave,
            stages: BTreeMap::new(),
            reported: None,
        };
        if let Some(progress) = ledger.wave(number) {
            for (vm, worker) in &progress.requested {
                let stage = Stage::Requested { worker: worker.clone(), sent: None, retry_at: now };
                active.stages.insert(vm.clone(), stage);
            }
            for vm in &progress.finished {
                active.stages.insert(vm.clone(), Stage::Finished);
            }
        }
        self.maintenance.waves.insert(number, active);
    }

    /// Handles a listing of the VMs that was requested at `sent`; `None` if it failed.
    pub fn on_vms(&mut self, sent: Time, listed: Option<VmList>) {
        self.maintenance.listing_requested_at = None;
        if let Some(mut listed) = listed {
            for entry in &mut listed.vms {
                // The list names workers without their start times.
                let newest = entry.worker.as_ref().and_then(|id| self.newest_incarnation(id));
                entry.worker = newest.cloned().or(entry.worker.take());
            }
            // A VM whose row can't be read stays as it was; if it were removed, its wave would
            // count as complete without it.
            if listed.complete {
                self.maintenance.vms.clear();
            }
            self.maintenance.listing_complete = listed.complete;
            let entries = listed.vms.into_iter().map(|entry| (entry.vm.clone(), entry));
            self.maintenance.vms.extend(entries);
            self.maintenance.listed_at = Some(sent);
        }
    }

    /// Handles the result of a request to begin a VM's maintenance.
    pub fn on_maintenance(
        &mut self,
        now: Time,
        number: u64,
        vm: &VmId,
        result: MaintenanceResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(active) = self.maintenance.waves.get_mut(&number) else { return };
        let Some(stage @ Stage::Requested { .. }) = active.stages.get_mut(vm) else { return };
        let Stage::Requested { worker, .. } = stage else { return };
        let worker = worker.clone();
        log::info!(wave = number, vm:%, result:?; "upkeep_ordered");
        match result {
            MaintenanceResult::Begun => {
                *stage = Stage::Down { worker: worker.clone(), since: now };
                // All its runs have ended.
                if let Some(id) = worker {
                    self.on_left(now, &id, LeaveCause::Maintenance);
                }
            }
            MaintenanceResult::NotOfWave => {
                *stage = Stage::Finished;
                self.maintenance.dirty.insert(number);
            }
            MaintenanceResult::Outranked => out.push(Effect::Outranked),
            MaintenanceResult::Busy | MaintenanceResult::Throttled | MaintenanceResult::Unknown => {
                *stage = Stage::Requested { worker, sent: None, retry_at: now + REQUEST_RETRY };
            }
        }
    }

    /// Handles whether a reported wave state was stored.
    pub fn on_wave_reported(&mut self, number: u64, state: WaveState, stored: bool) {
        if let Some(active) = self.maintenance.waves.get_mut(&number)
            && active.reported == Some((state, false))
        {
            active.reported = stored.then_some((state, true));
        }
    }

    /// Whether a worker gets no new tasks because its VM is about to go down or is down.
    pub(in crate::scheduler) fn is_in_maintenance(&self, id: &WorkerId) -> bool {
        !self.maintenance.waves.is_empty() && self.maintenance.is_in_maintenance(id)
    }

    /// Advances all waves.
    pub(in crate::scheduler) fn advance_waves(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.maintenance.waves.is_empty() {
            return;
        }
        let mut by_deadline: Vec<(Time, u64)> = self
            .maintenance
            .waves
            .iter()
            .map(|(number, active)| (active.deadline, *number))
            .collect();
        by_deadline.sort_unstable();
        let unfinished = self.maintenance.waves.values().any(|active| !active.is_finished());
        self.request_listing(now, unfinished, out);
        for (_, number) in by_deadline {
            self.mark_finished(number);
            self.start_draining(now, number);
            self.drain(now, number, out);
            self.send_requests(now, number, out);
            self.report_progress(number, out);
        }
    }

    fn request_listing(&mut self, now: Time, unfinished: bool, out: &mut Vec<Effect>) {
        let listed_recently =
            self.maintenance.listed_at.is_some_and(|at| now.since(at) < LIST_INTERVAL);
        if unfinished && !listed_recently && self.maintenance.listing_requested_at.is_none() {
            self.maintenance.listing_requested_at = Some(now);
            out.push(Effect::ListVms);
        }
    }

    /// Marks VMs as finished that are back with another worker or no longer exist.
    fn mark_finished(&mut self, number: u64) {
        let Maintenance { waves, vms, listing_complete, listed_at, dirty, .. } =
            &mut self.maintenance;
        let listing_complete = *listing_complete;
        let (Some(listed_at), Some(active)) = (*listed_at, waves.get_mut(&number)) else { return };
        for vm in &active.wave.vms {
            let entry = vms.get(vm);
            let stage = active.stages.get(vm);
            let done = match (stage, entry) {
                (Some(Stage::Finished), _) => false,
                // An unconfirmed request may still take down a VM that isn't listed now.
                (None | Some(Stage::Draining { .. }), None) => listing_complete && !vms.is_empty(),
                (Some(Stage::Down { since, .. }), None) => listing_complete && listed_at > *since,
                (Some(Stage::Down { worker, since }), Some(entry)) => {
                    let back = entry.state == VmState::Up && entry.worker.is_some();
                    let other = is_other_worker(entry.worker.as_ref(), worker.as_ref());
                    listed_at > *since && back && other
                }
                _ => false,
            };
            if done {
                log::info!(wave = number, vm:%; "upkeep_finished");
                active.stages.insert(vm.clone(), Stage::Finished);
                dirty.insert(number);
            }
        }
    }

    /// Starts draining the next VMs, as many as may be down.
    fn start_draining(&mut self, now: Time, number: u64) {
        let Maintenance { waves, vms, .. } = &mut self.maintenance;
        let Some(active) = waves.get_mut(&number) else { return };
        let slots =
            (active.wave.max_down as usize).saturating_sub(active.down() + active.draining());
        let mut next: Vec<(usize, VmId, WorkerId)> = Vec::new();
        for vm in active.wave.vms.iter().filter(|vm| !active.stages.contains_key(*vm)) {
            let Some(entry) = vms.get(vm).filter(|entry| entry.state == VmState::Up) else {
                continue;
            };
            let Some(worker) = &entry.worker else { continue };
            let attempts = self.workers.get(worker).map_or(0, |worker| worker.attempts.len());
            next.push((attempts, vm.clone(), worker.clone()));
        }
        next.sort();
        for (_, vm, worker) in next.into_iter().take(slots) {
            log::info!(wave = number, vm:%, worker:%; "vm_emptied");
            active.stages.insert(vm, Stage::Draining { worker, since: now });
        }
    }

    fn drain(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let Some(active) = self.maintenance.waves.get(&number) else { return };
        let draining: Vec<(VmId, WorkerId, Time)> = active
            .stages
            .iter()
            .filter_map(|(vm, stage)| match stage {
                Stage::Draining { worker, since } => Some((vm.clone(), worker.clone(), *since)),
                _ => None,
            })
            .collect();
        let (deadline, vm_count) = (active.deadline, active.wave.vms.len().max(1) as u32);
        for (vm, worker, since) in draining {
            self.stop_movable(now, &worker, out);
            // The time until the deadline is divided among all VMs of the wave.
            let time_share = deadline.since(since) / vm_count;
            let timed_out = now.since(since) >= DRAIN_TIMEOUT.min(time_share);
            if self.may_go_down(now, &worker, timed_out)
                && let Some(active) = self.maintenance.waves.get_mut(&number)
            {
                active.stages.insert(vm, Stage::Recording { worker: Some(worker) });
                self.maintenance.dirty.insert(number);
            }
        }
    }

    /// Stops movable tasks, within the limits of their steps on unavailable tasks.
    fn stop_movable(&mut self, now: Time, id: &WorkerId, out: &mut Vec<Effect>) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_movable =
            |attempt: &Attempt| attempt.movable && matches!(attempt.phase, Phase::Running { .. });
        let movable: Vec<(TaskId, RunId)> = worker
            .attempts
            .iter()
            .filter(|(_, attempt)| is_movable(attempt))
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in movable {
            if let Some(grant) = self.grant_stop(task, run, StopReason::Maintenance) {
                self.stop_run(now, id, grant, out);
            }
        }
    }

    /// Whether a VM may go down with its remaining tasks: none, or after a timeout only tasks that
    /// can be started again elsewhere.
    fn may_go_down(&self, now: Time, id: &WorkerId, timed_out: bool) -> bool {
        let Some(worker) = self.workers.get(id) else { return timed_out };
        // Runs that a worker hasn't listed, with their ends, are unknown until they must have lapsed.
        if !worker.all_runs_known() && now < worker.lease_bound() {
            return false;
        }
        let is_protected = |attempt: &Attempt| attempt.long_running && !attempt.preemptible;
        let has_protected = worker.attempts.values().any(is_protected);
        let responsive = worker.is_responsive(now, &self.limits);
        (worker.attempts.is_empty() && (responsive || timed_out))
            || (timed_out && !has_protected && responsive)
    }

    /// Sends the recorded requests that are due.
    fn send_requests(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let epoch = self.epoch;
        let Some(active) = self.maintenance.waves.get_mut(&number) else { return };
        for (vm, stage) in &mut active.stages {
            let Stage::Requested { sent, retry_at, .. } = stage else { continue };
            if sent.is_none() && now >= *retry_at {
                *sent = Some(now);
                out.push(Effect::BeginMaintenance { vm: vm.clone(), wave: number, epoch });
            }
        }
    }

    fn report_progress(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Some(active) = self.maintenance.waves.get_mut(&number) else { return };
        let finished = active.is_finished() && !self.maintenance.dirty.contains(&number);
        let state = if finished { WaveState::Completed } else { WaveState::Running };
        if active.reported.is_none_or(|(reported, _)| reported != state) {
            active.reported = Some((state, false));
            out.push(Effect::ReportWave { wave: number, state });
        }
    }
}

/// Whether a VM's listed worker is another one, or a later incarnation, than `before`.
fn is_other_worker(listed: Option<&WorkerId>, before: Option<&WorkerId>) -> bool {
    match (listed, before) {
        (Some(listed), Some(before)) => listed.name != before.name || listed.is_restart_of(before),
        _ => listed != before,
    }
}
