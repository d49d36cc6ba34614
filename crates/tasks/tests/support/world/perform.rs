//! Performs effects: messages, worker calls and answers.

use {
    super::super::faults::{step_of_call, step_of_entry, step_of_job, step_of_node, step_of_rack},
    super::*,
};

impl World {
    /// Postpones the effects of a paused node. Returns whether the node is paused or dead.
    pub(super) fn postpone_if_paused(
        &mut self,
        n: usize,
        jobs: &[JobEffect],
        racks: &[RackEffect],
    ) -> bool {
        let node = &self.nodes[n];
        if node.alive && self.now < node.paused_until {
            let after = node.paused_until.since(self.now);
            self.push(after, Item::Perform(n, jobs.to_vec(), racks.to_vec()));
        }
        !self.nodes[n].alive || self.now < self.nodes[n].paused_until
    }

    pub(super) fn perform_jobs(&mut self, n: usize, effects: Vec<JobEffect>) {
        for (i, effect) in effects.iter().enumerate() {
            if self.postpone_if_paused(n, &effects[i..], &[]) {
                return;
            }
            self.perform_job(n, effect.clone());
        }
    }

    pub(super) fn perform_job(&mut self, n: usize, effect: JobEffect) {
        match effect {
            JobEffect::Journal { shard, entry, ticket } => {
                let epoch = self.nodes[n].view.get(&shard).copied().unwrap_or_default();
                if let Some(step) = step_of_entry(&entry) {
                    let task = entry.job().clone();
                    self.on_step(step, Some(n), Some(shard), None, Some(&task));
                }
                self.nodes[n].journal.push_back((shard, epoch, entry, ticket));
            }
            JobEffect::Reply { call, reply } => {
                if let JobReply::Accepted { job } = &reply {
                    self.checker.accepted.insert(job.clone());
                }
                self.replies.push((self.now, call, reply));
            }
            JobEffect::SendToNode { node, msg } => {
                let to = node.0 as usize;
                let step = step_of_node(&msg);
                let from = self.nodes[n].id;
                let event = RackEvent::NodeMessage { from, msg };
                self.send(step, n, None, None, Item::Rack(to, event));
            }
            JobEffect::SendToRack { shard, msg } => {
                let vm = vm_of(&msg);
                let item = Item::ToRack(shard, msg.clone());
                self.send(Some(step_of_rack(&msg)), n, Some(shard), Some(vm), item);
            }
            JobEffect::Alarm(alarm) => self.job_alarms.push((self.now, alarm)),
        }
    }

    pub(super) fn perform_racks(&mut self, n: usize, effects: Vec<RackEffect>) {
        for (i, effect) in effects.iter().enumerate() {
            if self.postpone_if_paused(n, &[], &effects[i..]) {
                return;
            }
            self.perform_rack(n, effect.clone());
        }
    }

    pub(super) fn perform_rack(&mut self, n: usize, effect: RackEffect) {
        match effect {
            RackEffect::CallWorker { vm, ticket, call, guard, .. } => {
                self.call_worker(n, vm, ticket, call, guard);
            }
            RackEffect::SendToJob { shard, msg } => {
                let (step, task) = step_of_job(&msg);
                let vm = task.and_then(|task| self.vm_running(&task));
                self.send(Some(step), n, Some(shard), vm, Item::ToJob(n, shard, msg));
            }
            RackEffect::Backends { .. } => {}
            RackEffect::Alarm(alarm) => self.rack_alarms.push((self.now, alarm)),
        }
    }

    pub(super) fn vm_running(&self, task: &TaskId) -> Option<VmId> {
        let runs = |worker: &&FakeWorker| worker.running.contains_key(task);
        self.workers.values().find(runs).map(|worker| worker.record.vm.clone())
    }

    pub(super) fn call_worker(
        &mut self,
        n: usize,
        vm: VmId,
        ticket: Ticket,
        call: WorkerCall,
        guard: Guard,
    ) {
        let node = &self.nodes[n];
        let passes = match guard {
            Guard::None => true,
            Guard::Before(until) => self.now < until,
            Guard::Authority(shard) => {
                let view = View(&node.view, node.held_until);
                let unprotected = !self.options.protections.authority;
                unprotected || view.epoch_if_held(self.now, shard).is_some()
            }
        };
        if !passes {
            return self.answer(n, Duration::ZERO, ticket, Err(CallError::NotSent));
        }
        let rack = self.options.vms.iter().find(|r| r.vm == vm).map(|r| shard_of_rack(&r.rack));
        let call_fate = self.on_step(step_of_call(&call), Some(n), rack, Some(&vm), None);
        // The answer is a step of its own.
        let answer_fate = match call {
            WorkerCall::Start(_) => self.on_step(Step::StartAnswer, Some(n), rack, Some(&vm), None),
            WorkerCall::Stop(_) => self.on_step(Step::StopAnswer, Some(n), rack, Some(&vm), None),
            _ => Fate::Deliver,
        };
        let delay = self.jitter(1, 5);
        let late_report = matches!(call, WorkerCall::Report) && self.now < self.reports_late_until;
        let (after, fate) = match (call_fate, answer_fate) {
            (Fate::Lose, _) => {
                return self.answer(n, CALL_TIMEOUT, ticket, Err(CallError::Unknown));
            }
            // The worker gets it long after the caller's timeout, but within the maximum call
            // delay.
            (Fate::Late | Fate::VeryLate, _) => (Duration::from_millis(950), CallFate::AnswerLost),
            (_, Fate::Lose) => (delay, CallFate::AnswerLost),
            (_, Fate::Late | Fate::VeryLate) => (delay, CallFate::AnswerLate),
            _ if late_report => (delay, CallFate::AnswerLate),
            _ => (delay, CallFate::Answered),
        };
        self.push(after, Item::Call { node: n, vm, ticket, call, fate });
        if after > CALL_TIMEOUT {
            self.answer(n, CALL_TIMEOUT, ticket, Err(CallError::Unknown));
        }
    }

    pub(super) fn answer(
        &mut self,
        n: usize,
        after: Duration,
        ticket: Ticket,
        result: Result<WorkerAnswer, CallError>,
    ) {
        self.push(after, Item::Rack(n, RackEvent::WorkerAnswered { ticket, result }));
    }

    pub(super) fn worker_call(
        &mut self,
        n: usize,
        vm: VmId,
        ticket: Ticket,
        call: WorkerCall,
        fate: CallFate,
    ) {
        let now = self.now;
        // A start must be checked against tasks that have ended elsewhere by now.
        if matches!(call, WorkerCall::Start(_)) {
            for worker in self.workers.values_mut() {
                worker.advance(now, &self.options.classes, &mut self.checker);
            }
        }
        let Some(worker) = self.workers.get_mut(&vm) else { return };
        if !worker.alive {
            return self.answer(n, Duration::from_millis(2), ticket, Err(CallError::NotSent));
        }
        if now < worker.cut_until {
            return self.answer(n, CALL_TIMEOUT, ticket, Err(CallError::Unknown));
        }
        let answer = worker.handle(now, &call, &self.options.classes, &mut self.checker);
        let delay = self.jitter(1, 5);
        match fate {
            CallFate::Answered => self.answer(n, delay, ticket, Ok(answer)),
            CallFate::AnswerLate => self.answer(n, Duration::from_millis(450), ticket, Ok(answer)),
            CallFate::AnswerLost => self.answer(n, CALL_TIMEOUT, ticket, Err(CallError::Unknown)),
        }
    }

    pub(super) fn send(
        &mut self,
        step: Option<Step>,
        n: usize,
        shard: Option<ShardId>,
        vm: Option<VmId>,
        item: Item,
    ) {
        let fate = match step {
            Some(step) => self.on_step(step, Some(n), shard, vm.as_ref(), None),
            None => Fate::Deliver,
        };
        let delay = self.jitter(1, 10);
        match fate {
            Fate::Deliver => self.push(delay, item),
            Fate::Lose => {}
            Fate::Late => self.push(Duration::from_secs(9), item),
            Fate::VeryLate => self.push(Duration::from_secs(33), item),
            Fate::Twice => {
                self.push(delay, item.clone());
                self.push(Duration::from_secs(7), item);
            }
        }
    }
}

fn vm_of(msg: &RackMsg) -> VmId {
    match msg {
        RackMsg::Start(start) => start.vm.clone(),
        RackMsg::Stop(stop) => stop.vm.clone(),
        RackMsg::AckEnded { vm, .. } => vm.clone(),
    }
}
