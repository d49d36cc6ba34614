//! Execution of the scheduler's effects: commands to workers, and calls to other services.

use {
    crate::{
        node::Node,
        platform::{PaceCall, PollCall, StartCall, StopCall},
    },
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{
        AppendResult, Effect, MaintenanceResult, PaceResult, PollResult, RunId, Scheduler,
        StartResult, StepId, StopResult, TaskId, VmId, WaveState, WorkerId,
    },
    std::{
        cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        task::spawn_local,
        time::sleep,
    },
};

/// Maximum number of concurrent commands per worker, each on its own connection, so that an unanswered one doesn't
/// block the others.
const MAX_CONCURRENT_COMMANDS: usize = 2;

/// Pause after a failed report of a wave's state.
const WAVE_REPORT_RETRY: Duration = Duration::from_millis(200);

/// Limits the concurrent commands per worker.
#[derive(Debug, Default)]
pub(crate) struct CommandSlots {
    /// Semaphore of each worker address that was ever called.
    by_addr: RefCell<HashMap<SocketAddr, Arc<Semaphore>>>,
}

impl CommandSlots {
    /// Waits for a free slot for the worker at `addr`; dropping the permit releases it.
    async fn acquire(&self, addr: SocketAddr) -> Option<OwnedSemaphorePermit> {
        let new = || Arc::new(Semaphore::new(MAX_CONCURRENT_COMMANDS));
        let semaphore = Arc::clone(self.by_addr.borrow_mut().entry(addr).or_insert_with(new));
        // The semaphore is never closed.
        semaphore.acquire_owned().await.ok()
    }
}

impl Node {
    /// Performs an effect of the scheduler.
    pub(crate) fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Poll { worker, addr, epoch, recorded, until_ms, wait_ms } => {
                let call = PollCall { worker, addr, epoch, recorded, until_ms, wait_ms };
                spawn_local(Rc::clone(self).poll(call));
            }
            Effect::Start { .. } => {
                spawn_local(Rc::clone(self).start(effect));
            }
            Effect::Stop { worker, addr, epoch, task, run } => {
                let call = StopCall { worker, addr, epoch, task, run };
                spawn_local(Rc::clone(self).stop(call));
            }
            Effect::Pace { worker, addr, epoch, task, run, percent } => {
                let call = PaceCall { worker, addr, epoch, task, run, percent };
                spawn_local(Rc::clone(self).pace(call));
            }
            Effect::Advise { step, workers } => {
                spawn_local(Rc::clone(self).advise(step, workers));
            }
            Effect::ListVms => {
                spawn_local(Rc::clone(self).list_vms());
            }
            Effect::BeginMaintenance { vm, wave, epoch } => {
                spawn_local(Rc::clone(self).begin_maintenance(vm, wave, epoch));
            }
            Effect::ReportWave { wave, state } => {
                spawn_local(Rc::clone(self).report_wave(wave, state));
            }
            Effect::Record { records } => {
                spawn_local(Rc::clone(self).append_as_leader(records));
            }
            Effect::Outranked => {
                log::warn!("outranked");
                self.step(|core, now, out| core.leadership.on_outranked(now, &mut out.leadership));
            }
        }
    }

    /// Whether commands of this epoch may still be sent. The process may have been paused since the decision.
    fn may_send(&self, epoch: Epoch) -> bool {
        self.core.borrow().leadership.authority(self.clock.now()) == Some(epoch)
    }

    /// Applies an event to the scheduler if its term is still that of `epoch`.
    fn with_scheduler(
        self: &Rc<Self>,
        epoch: Epoch,
        event: impl FnOnce(&mut Scheduler, Time, &mut Vec<Effect>),
    ) {
        self.step(|core, now, out| {
            if core.leadership.term() != Some(epoch) {
                return;
            }
            if let Some(scheduler) = &mut core.scheduler {
                event(scheduler, now, &mut out.scheduler);
            }
        });
    }

    async fn poll(self: Rc<Self>, call: PollCall) {
        let (worker, epoch, sent) = (call.worker.clone(), call.epoch, self.clock.now());
        let result = if self.may_send(epoch) {
            self.take_decoded(self.workers.poll(call).await)
        } else {
            PollResult::Failed
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_poll(now, &worker, sent, &result, out);
        });
    }

    /// Whether a decided start may still be sent.
    fn may_start(&self, epoch: Epoch, worker: &WorkerId, task: TaskId, run: RunId) -> bool {
        let core = self.core.borrow();
        let now = self.clock.now();
        let wanted = |scheduler: &Scheduler| scheduler.wants_start(now, worker, task, run);
        self.may_send(epoch) && core.scheduler.as_ref().is_some_and(wanted)
    }

    async fn start(self: Rc<Self>, effect: Effect) {
        let Effect::Start { worker, addr, epoch, task, run, submission, until_ms, saved, ticket } =
            effect
        else {
            return;
        };
        let slot = self.command_slots.acquire(addr).await;
        let result = if self.may_start(epoch, &worker, task, run) {
            let payload = submission.workflow.payload.as_str();
            let worker = &worker;
            let data_centre = self.core.borrow().data_centre_of(worker);
            let data_centre = data_centre.as_str();
            let (checkpoint, ticket) = (saved.as_str(), ticket.as_str());
            let call = StartCall {
                worker,
                addr,
                epoch,
                task,
                run,
                payload,
                until_ms,
                checkpoint,
                ticket,
                data_centre,
            };
            self.workers.start(call).await
        } else {
            StartResult::Withheld
        };
        drop(slot);
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_start(now, &worker, task, run, result, out);
        });
    }

    async fn stop(self: Rc<Self>, call: StopCall) {
        let StopCall { worker, addr, epoch, task, run } = call.clone();
        let _slot = self.command_slots.acquire(addr).await;
        let result =
            if self.may_send(epoch) { self.workers.stop(call).await } else { StopResult::Unknown };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_stop(now, &worker, task, run, result, out);
        });
    }

    async fn pace(self: Rc<Self>, call: PaceCall) {
        let PaceCall { worker, addr, epoch, task, run, .. } = call.clone();
        let _slot = self.command_slots.acquire(addr).await;
        let result =
            if self.may_send(epoch) { self.workers.pace(call).await } else { PaceResult::Unknown };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_pace(now, &worker, task, run, result, out);
        });
    }

    async fn advise(self: Rc<Self>, step: StepId, workers: Vec<WorkerId>) {
        let epoch_and_terms = {
            let core = self.core.borrow();
            let submission =
                core.ledger.get(step.workflow).and_then(|entry| entry.submission.clone());
            core.leadership.term().zip(submission.and_then(|submission| submission.advice))
        };
        let Some((epoch, terms)) = epoch_and_terms else { return };
        let result = self.take_decoded(self.advisor.advise(step, &workers, terms).await);
        self.with_scheduler(epoch, |scheduler, now, _| scheduler.on_advice(now, step, result));
    }

    async fn list_vms(self: Rc<Self>) {
        let Some(epoch) = self.core.borrow().leadership.term() else { return };
        let sent = self.clock.now();
        let listed = self.take_decoded(self.fleet.list().await);
        self.with_scheduler(epoch, |scheduler, _, _| scheduler.on_vms(sent, listed));
    }

    async fn begin_maintenance(self: Rc<Self>, vm: VmId, wave: u64, epoch: Epoch) {
        let result = if self.may_send(epoch) {
            self.fleet.begin_maintenance(&self.name, epoch, &vm, wave).await
        } else {
            MaintenanceResult::Unknown
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_maintenance(now, wave, &vm, result, out);
        });
    }

    async fn report_wave(self: Rc<Self>, wave: u64, state: WaveState) {
        let Some(epoch) = self.core.borrow().leadership.term() else { return };
        let result = if self.may_send(epoch) {
            self.store.report_wave(wave, state).await
        } else {
            AppendResult::Unknown
        };
        let stored = result == AppendResult::Done;
        if !stored {
            sleep(WAVE_REPORT_RETRY).await;
        }
        self.with_scheduler(epoch, |scheduler, _, _| {
            scheduler.on_wave_reported(wave, state, stored)
        });
    }
}
