//! The world's messages: appends, orders and their answers, and the faults that befall them.

use {
    super::{
        node::Action,
        worker::{StartCommand, Worker},
        world::{STEP, World},
    },
    egretlb_types::{Epoch, Seq, Time},
    egretlb_workflow::{
        AdviceResult, AdviceTerms, AppendResult, Effect, MaintenanceResult, PaceResult, PollResult,
        Record, RunId, Scheduler, StartResult, StepId, StopResult, TaskId, VmId, VmList, WaveState,
        WorkerId,
    },
    rand::Rng,
    std::time::Duration,
};

pub enum Msg {
    Append {
        node: usize,
        incarnation: u64,
        sent: Time,
        records: Vec<Record>,
        fence: (Epoch, Seq),
        claim: bool,
    },
    Appended {
        node: usize,
        incarnation: u64,
        sent: Time,
        records: Vec<Record>,
        fence: (Epoch, Seq),
        claim: bool,
        result: AppendResult,
    },
    Command {
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        effect: Effect,
    },
    Answer {
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        answer: Answer,
    },
}

pub enum Answer {
    Poll(WorkerId, PollResult),
    Start(WorkerId, TaskId, RunId, StartResult),
    Stop(WorkerId, TaskId, RunId, StopResult),
    Pace(WorkerId, TaskId, RunId, PaceResult),
    Advice(StepId, AdviceResult),
    Vms(Option<VmList>),
    Upkeep(u64, VmId, MaintenanceResult),
    WaveReported(u64, WaveState),
}

impl Answer {
    /// What a node knows when a worker's answer doesn't reach it.
    fn lost(self) -> Answer {
        match self {
            Answer::Poll(id, _) => Answer::Poll(id, PollResult::Failed),
            Answer::Start(id, task, run, _) => Answer::Start(id, task, run, StartResult::Unknown),
            Answer::Stop(id, task, run, _) => Answer::Stop(id, task, run, StopResult::Unknown),
            Answer::Pace(id, task, run, _) => Answer::Pace(id, task, run, PaceResult::Unknown),
            answer => answer,
        }
    }
}

/// What an order meets at the address that it is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Delivery {
    /// The worker.
    Worker,
    /// No answer; it isn't carried out.
    Silence,
    /// Nothing listens there, or something on the way turns connections away.
    Refusal,
    /// A later incarnation of the worker.
    Successor,
}

/// A hanging append is given up after this.
const HANGS: Duration = Duration::from_millis(2_400);

/// What advice costs in this world.
pub const ADVICE_TERMS: AdviceTerms =
    AdviceTerms { decision_ms: 60, per_worker_ms: 10, validity_ms: 3_000 };

impl World {
    pub fn perform(&mut self, node: usize, actions: Vec<Action>) {
        let incarnation = self.nodes[node].incarnation;
        let sent = self.now;
        for enqueue in actions {
            match enqueue {
                Action::Claim { epoch, seq, records } => {
                    let fence = (epoch, seq);
                    self.send(Msg::Append { node, incarnation, sent, records, fence, claim: true });
                }
                Action::Effect(epoch, Effect::Record { mut records }) => {
                    let leadership = &mut self.nodes[node].leadership;
                    if leadership.term() != Some(epoch) {
                        continue;
                    }
                    let Some((_, seq, sign)) = leadership.heartbeat(sent, false) else { continue };
                    records.push(sign);
                    let fence = (epoch, seq);
                    self.send(Msg::Append {
                        node,
                        incarnation,
                        sent,
                        records,
                        fence,
                        claim: false,
                    });
                }
                Action::Effect(_, Effect::Outranked) => {
                    let mut out = Vec::new();
                    let node = &mut self.nodes[node];
                    node.leadership.on_outranked(sent, &mut out);
                    node.apply(sent, out, &mut Vec::new());
                }
                Action::Effect(epoch, effect) => {
                    let polls = matches!(effect, Effect::Poll { .. });
                    let wait = if polls { Duration::ZERO } else { self.command_wait };
                    let deliver_at = self.now + wait + STEP * self.rng.random_range(1..=3);
                    let msg = Msg::Command { node, incarnation, epoch, sent: deliver_at, effect };
                    self.messages.push((deliver_at, msg));
                }
            }
        }
    }

    fn send(&mut self, msg: Msg) {
        let steps = self.rng.random_range(1..=3);
        self.messages.push((self.now + STEP * steps, msg));
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, msg) in due {
            match msg {
                Msg::Append { node, incarnation, sent, records, fence, claim } => {
                    self.append(node, incarnation, (sent, records, fence), claim);
                }
                Msg::Command { node, incarnation, epoch, sent, effect } => {
                    self.handle_command(node, incarnation, epoch, sent, effect);
                }
                msg => self.answer(msg),
            }
        }
    }

    fn append(
        &mut self,
        node: usize,
        incarnation: u64,
        append: (Time, Vec<Record>, (Epoch, Seq)),
        claim: bool,
    ) {
        let (sent, records, fence) = append;
        let reached = self.nodes[node].reaches_store && !self.store_down;
        if !reached && self.nodes[node].calls_hang {
            if self.now.since(sent) >= HANGS && self.now.since(sent) < HANGS + STEP {
                let (records, result) = (records.clone(), AppendResult::Unknown);
                self.send(Msg::Appended { node, incarnation, sent, records, fence, claim, result });
            }
            let again = Msg::Append { node, incarnation, sent, records, fence, claim };
            self.messages.push((self.now + STEP, again));
            return;
        }
        let mut result = AppendResult::Rejected;
        if reached && sent + STEP * 3 >= self.now && self.is_late() {
            let wait = Duration::from_millis(self.rng.random_range(100..3_000));
            let held_up =
                Msg::Append { node, incarnation, sent, records: records.clone(), fence, claim };
            self.messages.push((self.now + wait, held_up));
            let result = AppendResult::Unknown;
            let lost = Msg::Appended { node, incarnation, sent, records, fence, claim, result };
            self.messages.push((sent + HANGS, lost));
            return;
        }
        if reached {
            result = self.store.append(&records, Some(fence));
            if self.rng.random_range(0..1_000) < self.lost_appends {
                result = AppendResult::Unknown;
            }
        }
        self.send(Msg::Appended { node, incarnation, sent, records, fence, claim, result });
    }

    fn is_late(&mut self) -> bool {
        self.late_appends > 0 && self.rng.random_range(0..1_000) < self.late_appends
    }

    fn handle_command(
        &mut self,
        node: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Time,
        effect: Effect,
    ) {
        let now = self.now;
        match effect {
            Effect::Advise { .. } => return self.advise(node, incarnation, epoch, effect),
            Effect::ListVms | Effect::BeginMaintenance { .. } | Effect::ReportWave { .. } => {
                return self.call_vms(node, incarnation, epoch, sent, effect);
            }
            _ => {}
        }
        let (Effect::Poll { worker: id, .. }
        | Effect::Start { worker: id, .. }
        | Effect::Stop { worker: id, .. }
        | Effect::Pace { worker: id, .. }) = &effect
        else {
            return;
        };
        let id = id.clone();
        let polls = matches!(effect, Effect::Poll { .. });
        if let Some(deliver_at) =
            self.next_free(&id).filter(|deliver_at| !polls && *deliver_at > now)
        {
            let msg = Msg::Command { node, incarnation, epoch, sent: deliver_at, effect };
            self.messages.push((deliver_at, msg));
            return;
        }
        if let Effect::Start { task, run, .. } = &effect
            && now == sent
            && !self.wants(node, incarnation, &id, *task, *run)
        {
            let answer = Answer::Start(id, *task, *run, StartResult::Withheld);
            self.messages.push((now, Msg::Answer { node, incarnation, epoch, sent, answer }));
            return;
        }
        let Some(index) = self.workers.iter().position(|worker| worker.info.id == id) else {
            return;
        };
        let late = self.rng.random_range(0..1_000) < self.late_commands;
        if late && now.since(sent) < Duration::from_millis(100) {
            let wait = Duration::from_millis(self.rng.random_range(2_000..12_000));
            let lost = Msg::Command { node, incarnation, epoch, sent, effect: effect.clone() };
            self.messages.push((now + wait, lost));
        }
        let ignores_commands = self.workers[index].ignores_commands && !polls;
        let delivery =
            if late || ignores_commands { Delivery::Silence } else { self.delivery(node, index) };
        let answer_lost = self.nodes[node].answers_lost_from.contains(&index)
            || self.crashing_tasks.drops_answer(&effect);
        // A call without an answer is given up after half a second.
        let wait = if answer_lost || delivery == Delivery::Silence {
            Duration::from_millis(500)
        } else {
            STEP
        };
        if !polls {
            self.busy_until.entry(id.clone()).or_default().push(now + wait);
        }
        let Some(mut answer) = self.carry_out(index, id, effect, delivery) else { return };
        if answer_lost {
            answer = answer.lost();
        }
        self.messages.push((now + wait, Msg::Answer { node, incarnation, epoch, sent, answer }));
    }

    /// When the next order may be sent to a worker; none if orders don't wait for each other.
    fn next_free(&mut self, id: &WorkerId) -> Option<Time> {
        let (now, max) = (self.now, self.max_concurrent_commands?);
        let busy = self.busy_until.entry(id.clone()).or_default();
        busy.retain(|until| *until > now);
        busy.sort_unstable();
        busy.len().checked_sub(max).map(|first| busy[first])
    }

    /// What orders of a node to a worker meet.
    fn delivery(&self, node: usize, index: usize) -> Delivery {
        let node = &self.nodes[node];
        let worker = &self.workers[index];
        let addr = worker.info.addr;
        let listens = |other: &Worker| other.up && other.info.addr == addr;
        let there = self.workers.iter().position(listens);
        match there {
            _ if node.unreachable.contains(&index) => Delivery::Silence,
            _ if node.refused_by.contains(&index) => Delivery::Refusal,
            Some(there) if there == index => Delivery::Worker,
            Some(_) => Delivery::Successor,
            None if worker.vm_up => Delivery::Refusal,
            None => Delivery::Silence,
        }
    }

    /// What a worker answers to an order, or what else becomes of it.
    fn carry_out(
        &mut self,
        index: usize,
        id: WorkerId,
        effect: Effect,
        delivery: Delivery,
    ) -> Option<Answer> {
        let now = self.now;
        let (worker, checker) = (&mut self.workers[index], &mut self.checker);
        Some(match effect {
            Effect::Poll { epoch, recorded, until_ms, .. } => {
                let result = match delivery {
                    Delivery::Worker => worker.poll(now, epoch, recorded, until_ms, checker),
                    Delivery::Silence => PollResult::Failed,
                    Delivery::Refusal => PollResult::Refused,
                    Delivery::Successor => PollResult::OtherIncarnation,
                };
                Answer::Poll(id, result)
            }
            Effect::Start { epoch, task, run, submission, until_ms, ticket, .. } => {
                let step = task.step_id();
                let ticketed =
                    submission.advice.is_none() || self.advisor.accepts(now, step, &id, &ticket);
                let command = StartCommand { epoch, task, run, submission, until_ms };
                let result = match delivery {
                    Delivery::Worker if !ticketed => StartResult::BadTicket,
                    Delivery::Worker => worker.start(now, &command, checker),
                    Delivery::Silence => StartResult::Unknown,
                    Delivery::Refusal => StartResult::NotSent,
                    Delivery::Successor => StartResult::OtherIncarnation,
                };
                Answer::Start(id, task, run, result)
            }
            Effect::Stop { epoch, task, run, .. } => {
                let result = match delivery {
                    Delivery::Worker => worker.stop(now, epoch, task, run, checker),
                    Delivery::Silence | Delivery::Refusal => StopResult::Unknown,
                    Delivery::Successor => StopResult::OtherIncarnation,
                };
                Answer::Stop(id, task, run, result)
            }
            Effect::Pace { epoch, task, run, percent, .. } => {
                let result = match delivery {
                    Delivery::Worker => worker.pace(now, epoch, (task, run), percent),
                    Delivery::Silence | Delivery::Refusal => PaceResult::Unknown,
                    Delivery::Successor => PaceResult::OtherIncarnation,
                };
                Answer::Pace(id, task, run, result)
            }
            Effect::Record { .. }
            | Effect::Outranked
            | Effect::Advise { .. }
            | Effect::ListVms
            | Effect::BeginMaintenance { .. }
            | Effect::ReportWave { .. } => return None,
        })
    }

    /// What a node asks itself when the turn of a start comes.
    fn wants(
        &self,
        node: usize,
        incarnation: u64,
        id: &WorkerId,
        task: TaskId,
        run: RunId,
    ) -> bool {
        let node = &self.nodes[node];
        // A node that was killed meanwhile had sent it already.
        let runs = node.incarnation == incarnation && node.leads(self.now);
        let wants = |scheduler: &Scheduler| scheduler.wants_start(self.now, id, task, run);
        !runs || node.scheduler.as_ref().is_none_or(wants)
    }

    fn answer(&mut self, msg: Msg) {
        let (Msg::Appended { node, incarnation, .. } | Msg::Answer { node, incarnation, .. }) =
            &msg
        else {
            return;
        };
        let (node, now) = (*node, self.now);
        let receiver = &self.nodes[node];
        if !receiver.up || receiver.incarnation != *incarnation {
            return;
        }
        if !receiver.runs(now) {
            self.messages.push((receiver.frozen_until, msg));
            return;
        }
        let mut actions = Vec::new();
        match msg {
            Msg::Appended { claim: true, result, .. } => {
                self.nodes[node].leadership.on_claim(now, result);
            }
            Msg::Appended { sent, records, fence, result, .. } => {
                self.on_appended(node, (sent, records, fence), result, &mut actions);
            }
            Msg::Answer { epoch, sent, answer, .. } => {
                self.on_answer(node, epoch, sent, answer, &mut actions);
            }
            Msg::Append { .. } | Msg::Command { .. } => {}
        }
        self.perform(node, actions);
    }

    fn on_appended(
        &mut self,
        index: usize,
        append: (Time, Vec<Record>, (Epoch, Seq)),
        result: AppendResult,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let (sent, records, fence) = append;
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        if node.leadership.term() != Some(fence.0) {
            return;
        }
        node.leadership.on_append(now, sent, result, &mut out);
        node.apply(now, out, actions);
        match result {
            AppendResult::Done => {
                if let Some(scheduler) = &mut node.scheduler {
                    scheduler.on_recorded(now);
                }
            }
            AppendResult::Rejected | AppendResult::Unknown => {
                let incarnation = node.incarnation;
                let again =
                    Msg::Append { node: index, incarnation, sent, records, fence, claim: false };
                self.messages.push((now + Duration::from_millis(60), again));
            }
            AppendResult::Conflict | AppendResult::Fenced => {}
        }
    }

    fn on_answer(
        &mut self,
        index: usize,
        epoch: Epoch,
        sent: Time,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.leadership.term() != Some(epoch) {
            return;
        }
        let Some(scheduler) = &mut node.scheduler else { return };
        let mut effects = Vec::new();
        match answer {
            Answer::Poll(id, result) => scheduler.on_poll(now, &id, sent, &result, &mut effects),
            Answer::Start(id, task, run, result) => {
                scheduler.on_start(now, &id, task, run, result, &mut effects);
            }
            Answer::Stop(id, task, run, result) => {
                scheduler.on_stop(now, &id, task, run, result, &mut effects);
            }
            Answer::Advice(step, result) => scheduler.on_advice(now, step, result),
            Answer::Vms(listed) => scheduler.on_vms(sent, listed),
            Answer::Upkeep(wave, vm, result) => {
                scheduler.on_maintenance(now, wave, &vm, result, &mut effects);
            }
            Answer::WaveReported(wave, state) => scheduler.on_wave_reported(wave, state, true),
            Answer::Pace(id, task, run, result) => {
                scheduler.on_pace(now, &id, task, run, result, &mut effects);
            }
        }
        node.enqueue(effects, actions);
    }
}
