//! Fault injection.

use super::*;

impl World {
    /// Injects the faults that are due at a step, and returns what happens to the message.
    pub(super) fn on_step(
        &mut self,
        step: Step,
        node: Option<usize>,
        shard: Option<ShardId>,
        vm: Option<&VmId>,
        job: Option<&JobId>,
    ) -> Fate {
        let losing = self.lose_next.get_mut(&(step as u8)).filter(|left| **left > 0);
        let mut fate = match losing {
            Some(left) => {
                *left -= 1;
                Fate::Lose
            }
            None => Fate::Deliver,
        };
        for i in 0..self.faults.len() {
            let (injected_fault, fired) = &mut self.faults[i];
            if *fired || injected_fault.step != step {
                continue;
            }
            if injected_fault.after > 0 {
                injected_fault.after -= 1;
                continue;
            }
            *fired = true;
            self.faults_injected += 1;
            let fault = injected_fault.fault;
            let injected_fate = self.inject(fault, step, node, shard, vm, job);
            fate = if injected_fate == Fate::Deliver { fate } else { injected_fate };
        }
        fate
    }

    pub(super) fn inject(
        &mut self,
        fault: Fault,
        step: Step,
        node: Option<usize>,
        shard: Option<ShardId>,
        vm: Option<&VmId>,
        job: Option<&JobId>,
    ) -> Fate {
        let vm = vm.cloned().unwrap_or_else(|| self.options.vms[0].vm.clone());
        let rack = self.options.vms.iter().find(|r| r.vm == vm).map(|r| shard_of_rack(&r.rack));
        let rack_owner = rack.map_or(0, |rack| self.owner(rack));
        let job_owner = job.map(|job| self.owner(shard_of_job(job))).or(match step {
            Step::Placed | Step::StartedMessage | Step::EndedMessage => {
                shard.map(|shard| self.owner(shard))
            }
            _ => node,
        });
        let job_owner = job_owner.unwrap_or(0);
        let pause = self.now + Duration::from_secs(12);
        match fault {
            Fault::KillJobOwner => self.kill(job_owner),
            Fault::KillRackOwner => self.kill(rack_owner),
            Fault::PauseJobOwner => self.nodes[job_owner].paused_until = pause,
            Fault::PauseRackOwner => self.nodes[rack_owner].paused_until = pause,
            Fault::CutJobOwnerFromLog => self.nodes[job_owner].cut_until = pause,
            Fault::CutRackOwnerFromLog => self.nodes[rack_owner].cut_until = pause,
            Fault::Lose => return Fate::Lose,
            Fault::LoseFiveTimes => {
                self.lose_next.insert(step as u8, 4);
                return Fate::Lose;
            }
            Fault::DelayLong => return Fate::Late,
            Fault::DelayHalfAMinute => return Fate::VeryLate,
            Fault::Duplicate => return Fate::Twice,
            Fault::VmDies => self.kill_worker(&vm),
            Fault::VmCut => self.cut(&vm),
            Fault::VmCutAndRackOwnerKilled => {
                self.cut(&vm);
                self.kill(rack_owner);
            }
            Fault::ReportsLate => self.reports_late_until = pause,
            Fault::LogDown => self.log_down_until = self.now + Duration::from_secs(8),
            Fault::LogAnswersLate => self.log_late_until = self.now + Duration::from_secs(6),
            Fault::CancelWave => {
                for job in self.jobs.clone() {
                    self.cancel(job.job);
                }
            }
            Fault::BadWorker => {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.fails_all = true;
                }
            }
            Fault::VmListStale => self.list_stale_until = pause,
        }
        Fate::Deliver
    }

    pub(super) fn cut(&mut self, vm: &VmId) {
        self.checker.vm_failed(vm);
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.cut_until = self.now + Duration::from_secs(25);
        }
    }
}
