//! Simulated platform services: policy decisions, VMs and their maintenance.

use {
    super::{
        messages::{ADVICE_TERMS, Answer, Msg},
        worker::Worker,
        world::{STEP, World},
    },
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{Effect, MaintenanceResult, VmList},
    rand::Rng,
    std::time::Duration,
};

impl World {
    /// Handles VM calls. Like commands, they may get no answer and be executed seconds later.
    pub fn call_vms(
        &mut self,
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        effect: Effect,
    ) {
        let now = self.now;
        let is_late = self.rng.random_range(0..1_000) < self.late_commands;
        let answer = match &effect {
            Effect::ListVms => {
                Answer::Vms((!is_late).then(|| VmList { vms: self.fleet.list(), complete: true }))
            }
            Effect::ReportWave { wave, state } => {
                self.fleet.reported.push(*state);
                Answer::WaveReported(*wave, *state)
            }
            Effect::BeginMaintenance { vm, wave, epoch } => {
                let mut result = MaintenanceResult::Unknown;
                if is_late && now.since(sent) < Duration::from_millis(100) {
                    let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
                    let effect = effect.clone();
                    let lost = Msg::Command { node, incarnation, epoch: *epoch, sent, effect };
                    self.messages.push((now + wait, lost));
                } else {
                    let (outcome, ended) = self.fleet.begin(now, *epoch, vm);
                    result = outcome;
                    let is_ended_worker =
                        |worker: &&mut Worker| Some(&worker.info.id) == ended.as_ref();
                    if let Some(worker) = self.workers.iter_mut().find(is_ended_worker) {
                        worker.crash(&mut self.checker);
                    }
                }
                Answer::Maintenance(*wave, vm.clone(), result)
            }
            _ => return,
        };
        let msg = Msg::Answer { node, incarnation, epoch, sent, answer };
        self.messages.push((now + STEP, msg));
    }

    /// Handles a policy request; the answer takes time.
    pub fn advise(&mut self, node: usize, incarnation: u64, epoch: Epoch, effect: Effect) {
        let Effect::Advise { step, workers } = effect else { return };
        let now = self.now;
        let entry = self.nodes[node].ledger.get(step.workflow);
        let submission = entry.and_then(|entry| entry.submission.clone());
        let terms = submission.and_then(|submission| submission.advice).unwrap_or(ADVICE_TERMS);
        let (result, duration) = self.advisor.answer(now, step, &workers, terms);
        let answer = Answer::Advice(step, result);
        let msg = Msg::Answer { node, incarnation, epoch, sent: now, answer };
        self.messages.push((now + duration, msg));
    }
}
