//! What a worker's lists say: what runs there, and how runs ended.

use {
    super::{
        Attempt, Effect, End, EndKind, Phase, PollReply, Requirements, RunningTask, Scheduler,
        lost_workers::CRASHES_CLEARED_AFTER, polls::POLL_RETRY, unreadable_rows::AbsentRun,
        waits::StopReason,
    },
    crate::{RunId, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::collections::BTreeSet,
};

impl Scheduler {
    /// Takes a worker's lists in. `sent` is when the poll was sent.
    pub(super) fn apply_poll_reply(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        reply: &PollReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.note_contact(now, reply.clock_ms);
        self.clear_crashes_of_worker(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let before = worker.unreadable_rows.clone();
        let unclear = worker.unreadable_rows.update(now, reply);
        let first = !worker.reconciled;
        // What its predecessor started there isn't known from such an answer. Nothing is renewed before the
        // survey, so by the bound all of that has lapsed.
        worker.reconciled |= !unclear || now >= worker.lease_bound;
        if !worker.reconciled {
            worker.next_poll_at = now + POLL_RETRY;
        } else if first && self.unreconciled.remove(id).is_some() && self.unreconciled.is_empty() {
            log::info!(epoch:% = self.epoch; "survey_complete");
        }
        if first {
            self.remove_supposed(id, &reply.running);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        self.roster_dirty |= first && !worker.in_roster;
        let taken = worker.ends_processed;
        let numbers = reply.ended.iter().map(|end| end.number);
        worker.ends_processed =
            numbers.chain(worker.unreadable_rows.skipped_ends(reply)).fold(taken, u64::max);
        let news = |end: &&End| end.number > taken || before.is_unreadable_end(end.number);
        for end in reply.ended.iter().filter(news) {
            self.on_run_ended(now, id, end, out);
        }
        self.compare_runs(now, id, sent, reply, out);
        self.check_latency_targets(now, id, out);
        self.pace_best_effort(now, id, out);
        self.handle_stragglers(now, id, reply, out);
    }

    fn on_run_ended(&mut self, now: Time, id: &WorkerId, end: &End, out: &mut Vec<Effect>) {
        log::debug!(task:% = end.task, run:% = end.run, worker:% = id, end:? = end.kind; "task_ended");
        self.log_end(now, id, end.task, end.run, end.kind);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.remove(end.task, end.run);
            match end.kind {
                EndKind::Done => worker.failures = 0,
                EndKind::Failed | EndKind::Unknown => self.on_failure(now, id),
                EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
            }
        }
        match end.kind {
            EndKind::Done => self.stats.done += 1,
            EndKind::Failed => self.stats.failed += 1,
            _ => self.stats.stopped += 1,
        }
        self.clear_crash_of_run(end.task, end.run);
        let Some(state) = self.task_mut(end.task) else { return };
        state.attempts.retain(|(_, run)| *run != end.run);
        state.last_run = state.last_run.max(end.run);
        if !end.saved.is_empty() {
            state.saved.clone_from(&end.saved);
        }
        if state.done {
            return;
        }
        match end.kind {
            EndKind::Done => self.on_done(now, end.task, out),
            EndKind::Failed => self.on_failed(now, id, end),
            // Only a failure that is known as one uses up an attempt.
            EndKind::Stopped
            | EndKind::Lapsed
            | EndKind::Broken
            | EndKind::Alone
            | EndKind::Unknown => {
                if !end.saved.is_empty() {
                    self.dirty.insert(end.task.workflow);
                }
                self.enqueue(now, end.task);
            }
        }
    }

    /// A worker that fails one run after another gets nothing new for a while: its health looks good,
    /// and as it is always free, it would draw and fail a large part of all tasks.
    fn on_failure(&mut self, now: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.failures += 1;
        if worker.failures >= self.limits.worker_fault_threshold {
            worker.quarantined_until = now + self.limits.quarantine;
            log::warn!(worker:% = id, failures = worker.failures; "worker_quarantined");
            self.quarantined.push(id.clone());
        }
    }

    fn on_done(&mut self, now: Time, task: TaskId, out: &mut Vec<Effect>) {
        let Some(step) = self.step(task) else { return };
        let gang = step.gang;
        self.dirty.insert(task.workflow);
        let Some(flow) = self.workflows.get_mut(&task.workflow) else { return };
        let Some(occurrence) = flow.occurrences.get_mut(&task.occurrence) else { return };
        let Some(state) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        // One member's end stands for its whole gang.
        let members =
            if gang { 0..state.tasks.len() } else { task.index as usize..task.index as usize + 1 };
        let mut spare = Vec::new();
        for index in members {
            let Some(member) = state.tasks.get_mut(index) else { continue };
            state.done += u32::from(!member.done);
            member.done = true;
            let id = TaskId { index: u32::try_from(index).unwrap_or(u32::MAX), ..task };
            if !gang {
                spare.extend(member.attempts.drain(..).map(|(worker, run)| (worker, id, run)));
            }
        }
        let complete = state.is_done();
        let all = occurrence.steps.iter().all(super::active_workflow::StepState::is_done);
        for (worker, id, run) in spare {
            self.stop_runs(now, &worker, StopReason::OtherAttemptDone, out, |of, number| {
                of == id && number == run
            });
        }
        if all {
            self.complete(task);
        } else if complete {
            self.open_steps(now, task.workflow, task.occurrence);
        }
    }

    fn complete(&mut self, task: TaskId) {
        let Some(flow) = self.workflows.get_mut(&task.workflow) else { return };
        flow.complete(task.occurrence);
        if flow.outcome.is_some() {
            log::info!(workflow:% = task.workflow, outcome = "Completed"; "workflow_ended");
        }
    }

    fn on_failed(&mut self, now: Time, id: &WorkerId, end: &End) {
        let lasting = self.step(end.task).is_none_or(|step| step.long_running);
        self.avoid(now, end.task, id);
        self.clear_crashes_of_task(end.task);
        let Some(state) = self.task_mut(end.task) else { return };
        if !lasting && !state.failed.contains(&end.run) {
            state.failed.push(end.run);
        }
        let attempts = state.failed.len();
        log::info!(task:% = end.task, run:% = end.run, worker:% = id, attempts; "task_failed");
        self.dirty.insert(end.task.workflow);
        self.enqueue(now, end.task);
    }

    /// Compares what should run at a worker with what it lists.
    ///
    /// Answers on two connections may overtake each other, so a list is compared with the worker's own
    /// clock: it speaks only of orders that were confirmed at an earlier reading.
    fn compare_runs(
        &mut self,
        now: Time,
        id: &WorkerId,
        sent: Time,
        reply: &PollReply,
        out: &mut Vec<Effect>,
    ) {
        let mut listed = BTreeSet::new();
        for running in &reply.running {
            listed.insert((running.task, running.run));
            self.on_running(now, id, reply.clock_ms, running, out);
        }
        for (task, run) in &reply.unreadable.partial_runs {
            listed.insert((*task, *run));
            self.on_listed(now, id, reply.clock_ms, (*task, *run), out);
        }
        if reply.is_full() {
            return;
        }
        let lease = self.limits.lease_bound();
        let Some(worker) = self.workers.get(id) else { return };
        let mut gone = Vec::new();
        let mut doubtful = Vec::new();
        let mut never_began = Vec::new();
        for (key, copy) in worker.attempts.iter().filter(|(key, _)| !listed.contains(*key)) {
            // It can't begin any more, whether or not a stop is ever answered.
            let late = copy.start_deadline_ms.is_some_and(|until| reply.clock_ms > until);
            let unanswered =
                matches!(copy.phase, Phase::Unconfirmed { .. } | Phase::Stopping { .. });
            if late && unanswered && worker.unreadable_rows.all_readable() {
                never_began.push(*key);
                continue;
            }
            match worker.unreadable_rows.classify_absent(
                now,
                copy.phase,
                sent,
                reply.clock_ms,
                lease,
            ) {
                AbsentRun::Ended => gone.push(*key),
                AbsentRun::Unconfirmed => doubtful.push(*key),
                AbsentRun::Undecided => {}
            }
        }
        for (task, run) in gone {
            log::info!(task:%, run:%, worker:% = id; "run_not_listed");
            self.drop_attempt(now, id, task, run);
        }
        for (task, run) in never_began {
            log::info!(task:%, run:%, worker:% = id; "start_too_late");
            // The roomiest worker would be tried with it again and again.
            self.avoid(now, task, id);
            self.drop_attempt(now, id, task, run);
        }
        // The start may still be carried out; a stop keeps it from that.
        for (task, run) in doubtful {
            self.stop_runs(now, id, StopReason::StartUnconfirmed, out, |of, number| {
                of == task && number == run
            });
        }
    }

    fn on_running(
        &mut self,
        now: Time,
        id: &WorkerId,
        clock_ms: u64,
        running: &RunningTask,
        out: &mut Vec<Effect>,
    ) {
        let RunningTask { task, run, percent, .. } = *running;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(copy) = worker.attempts.get_mut(&(task, run)) else {
            self.adopt_run(now, id, clock_ms, running, out);
            return;
        };
        let speed = copy.sample_speed(now, percent);
        if copy.percent != percent {
            copy.progressed_at = now;
        }
        copy.percent = percent;
        copy.measurement = running.figure;
        let cleared = now.since(copy.running_since) >= CRASHES_CLEARED_AFTER;
        match copy.phase {
            Phase::Starting | Phase::Unconfirmed { .. } => copy.set_running(now, clock_ms),
            Phase::Running { .. } => {}
            Phase::Stopping { sent, .. } => {
                if now.since(sent) > self.limits.command_timeout * 2 {
                    self.stop_runs(now, id, StopReason::Duplicate, out, |of, number| {
                        of == task && number == run
                    });
                }
                return;
            }
        }
        if let Some(speed) = speed {
            worker.add_speed_sample(now, speed);
        }
        let proved = worker.pass_probation(now, task, run);
        let Some(state) = self.task_mut(task) else { return };
        let settled = proved && state.announced.take_if(|known| known.run == run).is_some();
        if !running.saved.is_empty() {
            state.saved.clone_from(&running.saved);
        }
        if cleared && !state.crashes.is_empty() {
            self.clear_crashes_of_task(task);
        }
        if settled {
            self.dirty.insert(task.workflow);
        }
    }

    /// A run is listed in a row of which nothing else can be read: it is under way, and how far it is isn't
    /// known.
    fn on_listed(
        &mut self,
        now: Time,
        id: &WorkerId,
        clock_ms: u64,
        (task, run): (TaskId, RunId),
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match worker.attempts.get_mut(&(task, run)) {
            Some(copy) if matches!(copy.phase, Phase::Starting | Phase::Unconfirmed { .. }) => {
                copy.set_running(now, clock_ms);
            }
            Some(_) => {}
            None => {
                let saved = CompactString::default();
                let running = RunningTask { task, run, saved, percent: 0, figure: 0 };
                self.adopt_run(now, id, clock_ms, &running, out);
            }
        }
    }

    /// A run that this leader didn't start: a predecessor did. It is kept if its task still waits.
    fn adopt_run(
        &mut self,
        now: Time,
        id: &WorkerId,
        clock_ms: u64,
        running: &RunningTask,
        out: &mut Vec<Effect>,
    ) {
        let RunningTask { task, run, percent, .. } = *running;
        self.drop_supposed(task, run);
        self.clear_crash_of_run(task, run);
        let step = self.step(task).cloned();
        log::debug!(task:%, run:%, worker:% = id; "task_found");
        let wanted = match self.task_mut(task) {
            Some(state) => {
                state.last_run = state.last_run.max(run);
                !state.done
                    && (state.attempts.is_empty()
                        || step.as_ref().is_some_and(|s| s.speculative || s.gang))
            }
            None => false,
        };
        let step = step.unwrap_or_default();
        let need = Requirements::new(&step, &mut self.colocation);
        let mut copy = Attempt::new(now, &need, Phase::Running { clock_ms });
        copy.confirmed = true;
        copy.percent = percent;
        // A predecessor may have held it back.
        copy.pace_sent = None;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(task, run, copy);
        }
        // Also what isn't wanted holds its task until its end is listed: another copy may turn out not to
        // run at all, and the task must not start anew while this one is being stopped.
        if let Some(state) = self.task_mut(task) {
            state.attempts.push((id.clone(), run));
            state.found_running |= wanted;
            if wanted && !running.saved.is_empty() {
                state.saved.clone_from(&running.saved);
            }
        }
        self.unqueue(task);
        if !wanted {
            self.stop_runs(now, id, StopReason::Duplicate, out, |of, number| {
                of == task && number == run
            });
        }
    }

    /// Forgets what the records list at a worker that answers for the first time, where it does run: it is
    /// taken over or stopped like all else that is found. Its workflow may have been cancelled since it was
    /// listed, and its run would be renewed for as long as the worker stays.
    fn remove_supposed(&mut self, id: &WorkerId, found: &[RunningTask]) {
        for RunningTask { task, run, .. } in found {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(*task, *run);
            }
            if let Some(state) = self.task_mut(*task) {
                state.attempts.retain(|(at, number)| at != id || number != run);
            }
        }
    }

    /// Forgets runs that the records only suppose, where a higher one of the same task was found: the
    /// predecessor started that one because the others had certainly ended.
    fn drop_supposed(&mut self, task: TaskId, found: RunId) {
        let Some(state) = self.task_mut(task) else { return };
        let older: Vec<(WorkerId, RunId)> =
            state.attempts.iter().filter(|(_, run)| *run < found).cloned().collect();
        for (id, run) in older {
            let Some(worker) = self.workers.get_mut(&id).filter(|worker| !worker.reconciled) else {
                continue;
            };
            worker.remove(task, run);
            if let Some(state) = self.task_mut(task) {
                state.attempts.retain(|(at, number)| *at != id || *number != run);
            }
        }
    }

    fn unqueue(&mut self, task: TaskId) {
        let Some(flow) = self.workflows.get_mut(&task.workflow) else { return };
        flow.started = true;
        let Some(occurrence) = flow.occurrences.get_mut(&task.occurrence) else { return };
        let Some(step) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        step.queue.retain(|index| *index != task.index);
    }

    /// Forgets a run that is certainly not under way, and queues its task.
    pub(super) fn drop_attempt(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.log_dropped(now, id, task, run);
        self.contacts.note(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.remove(task, run);
        }
        let Some(state) = self.task_mut(task) else { return };
        let before = state.attempts.len();
        state.attempts.retain(|(at, number)| at != id || *number != run);
        if state.attempts.len() != before {
            self.enqueue(now, task);
        }
    }
}
