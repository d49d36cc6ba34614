//! Processing of a worker's poll reply, which lists its running and ended runs.

use {
    super::{
        Attempt, Effect, End, EndKind, Phase, PollReply, Requirements, RunningTask, Scheduler,
        isolated_start::CrashWindow, lost_workers::CRASHES_CLEARED_AFTER, polls::POLL_RETRY,
        unreadable_rows::AbsentRun, waits::StopReason,
    },
    crate::{RunId, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::collections::BTreeSet,
};

impl Scheduler {
    /// Applies a worker's reply to the poll sent at `sent`.
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
        worker.note_lists(now, sent, &self.pauses);
        self.clear_crashes_of_worker(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let previous_unreadable = worker.unreadable_rows.clone();
        let has_unreadable = worker.unreadable_rows.update(now, reply);
        let first_reply = !worker.reconciled;
        // A reply with unreadable rows doesn't show everything that a previous leader started there. Leases aren't renewed
        // before reconciliation, so all of that has lapsed by the bound.
        worker.reconciled |= !has_unreadable || now >= worker.lease_bound();
        if !worker.reconciled {
            worker.next_poll_at = now + POLL_RETRY;
        }
        self.note_listed_ends(now, id, reply);
        self.finish_reconciliation(id);
        if first_reply {
            self.remove_recorded_attempts(id, &reply.running);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let unlisted = first_reply && !worker.in_roster;
        let last_end = worker.ends_processed;
        let numbers = reply.ended.iter().map(|end| end.number);
        worker.ends_processed =
            numbers.chain(worker.unreadable_rows.skipped_ends(reply)).fold(last_end, u64::max);
        let is_new =
            |end: &&End| end.number > last_end || previous_unreadable.is_unreadable_end(end.number);
        for end in reply.ended.iter().filter(is_new) {
            self.on_run_ended(now, id, end, reply.clock_ms, out);
        }
        if unlisted {
            self.mark_entry_dirty(id);
        }
        self.compare_runs(now, id, sent, reply, out);
        self.check_latency_targets(now, id, out);
        self.pace_best_effort(now, id, out);
        if self.limits.policies.straggler_evidence {
            self.handle_stragglers_by_evidence(now, id, sent, reply, out);
        } else {
            self.handle_stragglers(now, id, reply, out);
        }
    }

    fn on_run_ended(
        &mut self,
        now: Time,
        id: &WorkerId,
        end: &End,
        clock_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        log::debug!(task:% = end.task, run:% = end.run, worker:% = id, end:? = end.kind; "task_ended");
        self.log_end(now, id, end.task, end.run, end.kind);
        let mut placed_at = None;
        if let Some(worker) = self.workers.get_mut(id) {
            let attempt = worker.remove(end.task, end.run);
            placed_at = attempt.as_ref().map(|attempt| attempt.placed_at);
            let by_evidence = self.limits.policies.straggler_evidence;
            match end.kind {
                EndKind::Done if by_evidence => {
                    self.note_end_as_evidence(now, id, end.task, false);
                    if let Some(attempt) = attempt {
                        self.learn_from_completed(now, id, end.task, &attempt, clock_ms);
                    }
                }
                EndKind::Failed | EndKind::Unknown if by_evidence => {
                    self.note_end_as_evidence(now, id, end.task, true);
                }
                EndKind::Done => worker.failures = 0,
                EndKind::Failed | EndKind::Unknown => self.on_failure(now, id),
                EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
            }
        }
        match end.kind {
            EndKind::Done => {
                self.stats.done += 1;
                self.note_work_done(now, end.task);
            }
            EndKind::Failed => self.stats.failed += 1,
            _ => self.stats.stopped += 1,
        }
        self.clear_crash_of_run(end.task, end.run);
        self.begin_found_occurrence(now, end.task);
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
            EndKind::Done if self.step(end.task).is_some_and(|step| step.long_running) => {
                self.on_exit(now, id, end, placed_at);
            }
            EndKind::Done => self.on_done(now, end.task, out),
            EndKind::Failed => self.on_failed(now, id, end),
            // Only a known failure counts as a failed attempt.
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

    /// Counts a failure on a worker; quarantines it after several in a row. Such a worker reports healthy and always
    /// has free capacity, so many more tasks would be placed there and fail.
    fn on_failure(&mut self, now: Time, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.failures += 1;
        if worker.failures >= self.limits.worker_fault_threshold {
            worker.quarantined_until = now + self.limits.quarantine;
            self.stats.quarantined += 1;
            log::warn!(worker:% = id, failures = worker.failures; "worker_quarantined");
            self.quarantined.push(id.clone());
        }
    }

    fn on_done(&mut self, now: Time, task: TaskId, out: &mut Vec<Effect>) {
        let Some(step) = self.step(task) else { return };
        let gang = step.gang;
        self.dirty.insert(task.workflow);
        let Some(workflow) = self.workflows.get_mut(&task.workflow) else { return };
        let Some(occurrence) = workflow.occurrences.get_mut(&task.occurrence) else { return };
        let Some(state) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        // If one member of a gang succeeds, all are done.
        let members =
            if gang { 0..state.tasks.len() } else { task.index as usize..task.index as usize + 1 };
        let mut redundant = Vec::new();
        for index in members {
            let Some(member) = state.tasks.get_mut(index) else { continue };
            state.done += u32::from(!member.done);
            member.done = true;
            let id = TaskId { index: u32::try_from(index).unwrap_or(u32::MAX), ..task };
            if !gang {
                redundant.extend(member.attempts.drain(..).map(|(worker, run)| (worker, id, run)));
            }
        }
        let step_done = state.is_done();
        let all_steps_done =
            occurrence.steps.iter().all(super::active_workflow::StepState::is_done);
        for (worker, id, run) in redundant {
            self.stop_runs(
                now,
                &worker,
                StopReason::OtherAttemptDone,
                out,
                |other_task, other_run| other_task == id && other_run == run,
            );
        }
        if all_steps_done {
            self.complete(task);
        } else if step_done {
            self.open_steps(now, task.workflow, task.occurrence);
        }
    }

    fn complete(&mut self, task: TaskId) {
        let Some(workflow) = self.workflows.get_mut(&task.workflow) else { return };
        workflow.complete(task.occurrence);
        if workflow.outcome.is_some() {
            log::info!(workflow:% = task.workflow, outcome = "Completed"; "workflow_ended");
        }
    }

    fn on_failed(&mut self, now: Time, id: &WorkerId, end: &End) {
        let long_running = self.step(end.task).is_none_or(|step| step.long_running);
        self.avoid(now, end.task, id);
        self.clear_crashes_of_task(end.task);
        let Some(state) = self.task_mut(end.task) else { return };
        if !long_running && !state.failed.contains(&end.run) {
            state.failed.push(end.run);
        }
        let attempts = state.failed.len();
        log::info!(task:% = end.task, run:% = end.run, worker:% = id, attempts; "task_failed");
        self.dirty.insert(end.task.workflow);
        self.enqueue(now, end.task);
    }

    /// Compares the expected runs of a worker with those that it lists.
    ///
    /// Replies on two connections may overtake each other. So a confirmed run that isn't listed counts as ended only if
    /// the worker's clock in the reply is later than in the last confirmation of the run or its stop.
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
        // The ends of runs that aren't listed may follow.
        if reply.is_full() {
            return;
        }
        let lease = self.limits.lease_bound();
        let Some(worker) = self.workers.get(id) else { return };
        let mut ended = Vec::new();
        let mut unconfirmed = Vec::new();
        let mut expired_starts = Vec::new();
        for (key, attempt) in worker.attempts.iter().filter(|(key, _)| !listed.contains(*key)) {
            // The start deadline has passed, so the run can't start any more, even if a stop is never answered.
            let expired = attempt.start_deadline_ms.is_some_and(|until| reply.clock_ms > until);
            let unanswered =
                matches!(attempt.phase, Phase::Unconfirmed { .. } | Phase::Stopping { .. });
            if expired && unanswered && worker.unreadable_rows.all_readable() {
                expired_starts.push(*key);
                continue;
            }
            match worker.unreadable_rows.classify_absent(
                now,
                attempt.phase,
                sent,
                reply.clock_ms,
                lease,
            ) {
                AbsentRun::Ended => ended.push(*key),
                AbsentRun::Unconfirmed => unconfirmed.push(*key),
                AbsentRun::Undecided => {}
            }
        }
        for (task, run) in ended {
            log::info!(task:%, run:%, worker:% = id; "run_not_listed");
            self.drop_attempt(now, id, task, run);
        }
        for (task, run) in expired_starts {
            log::info!(task:%, run:%, worker:% = id; "start_too_late");
            // Otherwise the same worker, which has the most free capacity, would be chosen again.
            self.avoid(now, task, id);
            self.drop_attempt(now, id, task, run);
        }
        // Such a run may still start, or be in an unreadable row; a stop settles both.
        for (task, run) in unconfirmed {
            self.stop_runs(now, id, StopReason::StartUnconfirmed, out, |other_task, other_run| {
                other_task == task && other_run == run
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
        let Some(attempt) = worker.attempts.get_mut(&(task, run)) else {
            self.adopt_run(now, id, clock_ms, running, out);
            return;
        };
        let transferred = attempt.is_transferred();
        attempt.listed = true;
        let speed = attempt.sample_speed(now, percent);
        if attempt.percent != percent {
            attempt.progressed_at = now;
        }
        attempt.percent = percent;
        attempt.measurement = running.figure;
        let clears_crashes = now.since(attempt.running_since) >= CRASHES_CLEARED_AFTER;
        match attempt.phase {
            Phase::Starting | Phase::Unconfirmed { .. } => attempt.set_running(now, clock_ms),
            Phase::Running { .. } => {}
            Phase::Stopping { sent, .. } => {
                if now.since(sent) > self.limits.command_timeout * 2 {
                    self.stop_runs(now, id, StopReason::Duplicate, out, |other_task, other_run| {
                        other_task == task && other_run == run
                    });
                }
                return;
            }
        }
        if let Some(speed) = speed
            && !self.limits.policies.straggler_evidence
        {
            worker.add_speed_sample(now, speed);
        }
        let crash_window = worker.pass_crash_window(now, task, run);
        if transferred {
            // It was counted as lost with the earlier incarnation of its worker.
            self.clear_crash_of_run(task, run);
        }
        if crash_window == CrashWindow::SurvivedIsolated {
            self.weaken_shared_crashes(task);
        }
        let Some(state) = self.task_mut(task) else { return };
        let announcement_over = crash_window != CrashWindow::Open
            && state.announced.take_if(|announced| announced.run == run).is_some();
        if !running.saved.is_empty() {
            state.saved.clone_from(&running.saved);
        }
        if clears_crashes && !state.crashes.is_empty() {
            self.clear_crashes_of_task(task);
        }
        if announcement_over {
            self.dirty.insert(task.workflow);
        }
    }

    /// Handles a run whose row is only partly readable: it is running, with unknown progress.
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
            Some(attempt) => {
                attempt.listed = true;
                if matches!(attempt.phase, Phase::Starting | Phase::Unconfirmed { .. }) {
                    attempt.set_running(now, clock_ms);
                }
            }
            None => {
                let saved = CompactString::default();
                let running = RunningTask { task, run, saved, percent: 0, figure: 0 };
                self.adopt_run(now, id, clock_ms, &running, out);
            }
        }
    }

    /// Takes over a run started by a previous leader, or stops it if its task doesn't wait for a run any more.
    fn adopt_run(
        &mut self,
        now: Time,
        id: &WorkerId,
        clock_ms: u64,
        running: &RunningTask,
        out: &mut Vec<Effect>,
    ) {
        let RunningTask { task, run, percent, .. } = *running;
        self.begin_found_occurrence(now, task);
        self.drop_superseded_attempts(task, run);
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
        let requirements = Requirements::new(&step, &mut self.colocation);
        let mut attempt = Attempt::new(now, &requirements, Phase::Running { clock_ms });
        (attempt.confirmed, attempt.listed) = (true, true);
        attempt.percent = percent;
        // The previous leader may have throttled it.
        attempt.pace_sent = None;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(task, run, attempt);
        }
        // An unwanted run also blocks its task until its end is listed: another attempt may turn out not to run,
        // and the task must not restart while this one is being stopped.
        if let Some(state) = self.task_mut(task) {
            state.attempts.push((id.clone(), run));
            state.found_running |= wanted;
            if wanted && !running.saved.is_empty() {
                state.saved.clone_from(&running.saved);
            }
        }
        self.unqueue(task);
        if !wanted {
            self.stop_runs(now, id, StopReason::Duplicate, out, |other_task, other_run| {
                other_task == task && other_run == run
            });
        }
    }

    /// On the first reply of a worker, removes attempts known from the records if the worker lists them as running.
    /// They are then adopted or stopped like any other run, since their workflow may have been cancelled meanwhile.
    fn remove_recorded_attempts(&mut self, id: &WorkerId, found: &[RunningTask]) {
        for RunningTask { task, run, .. } in found {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove(*task, *run);
            }
            if let Some(state) = self.task_mut(*task) {
                state
                    .attempts
                    .retain(|(other_worker, other_run)| other_worker != id || other_run != run);
            }
        }
    }

    /// Removes attempts known only from the records if a higher run of the task was found: the previous leader
    /// started it because the others had ended, even if those ends aren't listed yet.
    fn drop_superseded_attempts(&mut self, task: TaskId, found: RunId) {
        let Some(state) = self.task_mut(task) else { return };
        let older: Vec<(WorkerId, RunId)> =
            state.attempts.iter().filter(|(_, run)| *run < found).cloned().collect();
        for (id, run) in older {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if worker.attempts.get(&(task, run)).is_some_and(Attempt::is_known_to_run) {
                continue;
            }
            worker.remove(task, run);
            if let Some(state) = self.task_mut(task) {
                state
                    .attempts
                    .retain(|(other_worker, other_run)| *other_worker != id || *other_run != run);
            }
        }
    }

    /// Removes a task that was found running from its queue and marks its workflow as started.
    fn unqueue(&mut self, task: TaskId) {
        let Some(workflow) = self.workflows.get_mut(&task.workflow) else { return };
        workflow.started = true;
        let Some(occurrence) = workflow.occurrences.get_mut(&task.occurrence) else { return };
        let Some(step) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        step.queue.retain(|index| *index != task.index);
    }

    /// Removes an attempt that certainly doesn't run, and queues its task.
    pub(super) fn drop_attempt(&mut self, now: Time, id: &WorkerId, task: TaskId, run: RunId) {
        self.log_dropped(now, id, task, run);
        self.contacts.note(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.remove(task, run);
        }
        let Some(state) = self.task_mut(task) else { return };
        let count = state.attempts.len();
        state.attempts.retain(|(other_worker, other_run)| other_worker != id || *other_run != run);
        if state.attempts.len() != count {
            self.enqueue(now, task);
        }
    }
}
