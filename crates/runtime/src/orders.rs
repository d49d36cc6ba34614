//! Orders to workers, as the scheduler decides them.

use {
    crate::{
        border::{HoldCall, StartCall, StopCall},
        node::Node,
    },
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{Effect, HoldResult, Scheduler, StartResult, StopResult},
    std::rc::Rc,
    tokio::task::spawn_local,
};

impl Node {
    /// Performs what the scheduler decided.
    pub(crate) fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Hold { worker, addr, epoch, recorded, until_ms, wait_ms } => {
                let call = HoldCall { worker, addr, epoch, recorded, until_ms, wait_ms };
                spawn_local(Rc::clone(self).hold(call));
            }
            Effect::Start { .. } => {
                spawn_local(Rc::clone(self).start(effect));
            }
            Effect::Stop { worker, addr, epoch, task, run } => {
                let call = StopCall { worker, addr, epoch, task, run };
                spawn_local(Rc::clone(self).stop(call));
            }
            Effect::Record { records } => {
                spawn_local(Rc::clone(self).record(records));
            }
            Effect::Outranked => {
                log::warn!("outranked");
                self.step(|core, now, out| core.leadership.on_outranked(now, &mut out.leadership));
            }
        }
    }

    /// Whether orders of this epoch may still be sent. A process may have been paused since they were
    /// decided.
    fn may_order(&self, epoch: Epoch) -> bool {
        self.core.borrow().leadership.authority(self.clock.now()) == Some(epoch)
    }

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

    async fn hold(self: Rc<Self>, call: HoldCall) {
        let (worker, epoch, sent) = (call.worker.clone(), call.epoch, self.clock.now());
        let result =
            if self.may_order(epoch) { self.workers.hold(call).await } else { HoldResult::Failed };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_hold(now, &worker, sent, &result, out);
        });
    }

    async fn start(self: Rc<Self>, effect: Effect) {
        let Effect::Start { worker, addr, epoch, task, run, submission, until_ms, saved } = effect
        else {
            return;
        };
        let result = if self.may_order(epoch) {
            let payload = submission.workflow.payload.as_str();
            let worker = &worker;
            let saved = saved.as_str();
            self.workers
                .start(StartCall { worker, addr, epoch, task, run, payload, until_ms, saved })
                .await
        } else {
            StartResult::NotSent
        };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_start(now, &worker, task, run, result, out);
        });
    }

    async fn stop(self: Rc<Self>, call: StopCall) {
        let StopCall { worker, epoch, task, run, .. } = call.clone();
        let result =
            if self.may_order(epoch) { self.workers.stop(call).await } else { StopResult::Unknown };
        self.with_scheduler(epoch, |scheduler, now, out| {
            scheduler.on_stop(now, &worker, task, run, result, out);
        });
    }
}
