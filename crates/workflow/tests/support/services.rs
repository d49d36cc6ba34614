//! Calls to the platform's services beside store and workers: tickets, VMs and their upkeep.

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
    /// Calls about VMs, which may get no answer and be carried out seconds later, as orders may.
    pub fn call_vms(
        &mut self,
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        effect: Effect,
    ) {
        let now = self.now;
        let late = self.rng.random_range(0..1_000) < self.late_commands;
        let answer = match &effect {
            Effect::ListVms => {
                Answer::Vms((!late).then(|| VmList { vms: self.fleet.list(), complete: true }))
            }
            Effect::ReportWave { wave, state } => {
                self.fleet.reported.push(*state);
                Answer::WaveReported(*wave, *state)
            }
            Effect::BeginMaintenance { vm, wave, epoch } => {
                let mut result = MaintenanceResult::Unknown;
                if late && now.since(sent) < Duration::from_millis(100) {
                    let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
                    let effect = effect.clone();
                    let lost = Msg::Command { node, incarnation, epoch: *epoch, sent, effect };
                    self.messages.push((now + wait, lost));
                } else {
                    let (known, ended) = self.fleet.begin(now, *epoch, vm);
                    result = known;
                    let ends = |worker: &&mut Worker| Some(&worker.info.id) == ended.as_ref();
                    if let Some(worker) = self.workers.iter_mut().find(ends) {
                        worker.crash(&mut self.checker);
                    }
                }
                Answer::Upkeep(*wave, vm.clone(), result)
            }
            _ => return,
        };
        let msg = Msg::Answer { node, incarnation, epoch, sent, answer };
        self.messages.push((now + STEP, msg));
    }

    /// The advisor takes its time for an answer.
    pub fn advise(&mut self, node: usize, incarnation: u64, epoch: Epoch, effect: Effect) {
        let Effect::Advise { step, workers } = effect else { return };
        let now = self.now;
        let entry = self.nodes[node].ledger.get(step.workflow);
        let submission = entry.and_then(|entry| entry.submission.clone());
        let terms = submission.and_then(|submission| submission.advice).unwrap_or(ADVICE_TERMS);
        let (result, takes) = self.advisor.answer(now, step, &workers, terms);
        let answer = Answer::Advice(step, result);
        let msg = Msg::Answer { node, incarnation, epoch, sent: now, answer };
        self.messages.push((now + takes, msg));
    }
}
