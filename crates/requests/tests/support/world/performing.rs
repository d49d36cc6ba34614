//! Simulated runtimes: perform effects and exchange messages.

use super::*;

fn encoded(message: &impl serde::Serialize) -> u64 {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len() as u64)
}

impl World {
    pub(super) fn entry_effect(&mut self, i: usize, effect: EntryEffect) {
        if !self.entries[i].alive {
            return;
        }
        match effect {
            EntryEffect::Send { request, attempt, vm, timeout, send_by, .. } => {
                self.send(i, request, attempt, &vm, timeout, send_by);
            }
            EntryEffect::CancelAttempt { attempt } => {
                self.entries[i].open.remove(&attempt);
            }
            EntryEffect::Answer { request, verdict } => {
                self.requests[request.0 as usize].answers.push((self.now, verdict));
                self.step(Step::Answered, request);
                self.caller_retry(request);
            }
            EntryEffect::RequestPermit { node, request } => {
                let id = request.holder.request;
                self.step(Step::PermitAsked, id);
                self.send_scheduler(i, node, |s, from| {
                    SimEvent::ToKeys(s, from, KeyTableEvent::Request { request })
                });
            }
            EntryEffect::ReportOutcome { node, report } => {
                let request = report.holder.request;
                self.step(Step::Reported, request);
                let event = KeyTableEvent::Report { report };
                self.send_scheduler(i, node, |s, from| SimEvent::ToKeys(s, from, event));
            }
            EntryEffect::RequestShares { node, request } => {
                self.share_bytes += encoded(&request);
                let event = ShareTableEvent::Request { request };
                self.send_scheduler(i, node, |s, from| SimEvent::ToShares(s, from, event));
            }
            EntryEffect::Drained => self.entries[i].drained = true,
            EntryEffect::Forget { .. } | EntryEffect::ReportLoad { .. } => {}
        }
    }

    fn send_scheduler(
        &mut self,
        i: usize,
        node: NodeId,
        ev: impl FnOnce(usize, usize) -> SimEvent,
    ) {
        let found = self.schedulers.iter().position(|scheduler| scheduler.node == node);
        let Some(s) = found else { return };
        let delay = self.control_delay();
        self.messages += 1;
        if !self.blocked_to_owner.contains(&(i, s)) {
            self.at(self.now + delay, ev(s, i));
        }
    }

    fn send_entry(&mut self, s: usize, node: NodeId, event: EntryEvent) {
        let Some(i) = self.entries.iter().position(|entry| entry.node == node) else { return };
        let delay = self.control_delay();
        if !self.blocked_from_owner.contains(&(i, s)) {
            let incarnation = self.entries[i].incarnation;
            self.at(self.now + delay, SimEvent::ToEntry(i, incarnation, Box::new(event)));
        }
    }

    fn send(
        &mut self,
        i: usize,
        request: RequestId,
        attempt: AttemptId,
        vm: &VmId,
        timeout: Duration,
        send_by: Time,
    ) {
        let server = self.by_vm[vm];
        self.plan.record_server(request, server);
        self.step(Step::Sent, request);
        let incarnation = self.entries[i].incarnation;
        if !self.entries[i].alive {
            return;
        }
        let record = &mut self.requests[request.0 as usize];
        record.sends += 1;
        self.sent.insert((i, incarnation, attempt), request);
        let run = Run { request, attempt, entry: i, incarnation, work: record.work };
        self.entries[i].open.insert(attempt, run);
        // A process paused before the first byte checks the time again.
        let starts = self.now.max(self.entries[i].paused_until);
        let send_by = self.entries[i].world_time(send_by);
        if starts > send_by && self.setup.protections.expire_shares {
            self.end_attempt(i, attempt, AttemptResult::NotSent);
            return;
        }
        let delay = self.network_delay();
        self.at(starts + delay, SimEvent::ServerReceives(server, run));
        self.at(starts + timeout, SimEvent::AttemptTimeout(i, incarnation, attempt));
    }

    /// Reports the end of an attempt, unless it was reported before.
    pub fn end_attempt(&mut self, i: usize, attempt: AttemptId, result: AttemptResult) {
        let incarnation = self.entries[i].incarnation;
        if self.entries[i].open.remove(&attempt).is_some() {
            let event = EntryEvent::AttemptEnded { attempt, result };
            self.at(self.now, SimEvent::ToEntry(i, incarnation, Box::new(event)));
        }
    }

    /// Schedules the arrival of an exchange's result at the entry.
    fn return_result(&mut self, run: &Run, result: AttemptResult, delay: Duration) {
        self.at(self.now + delay, SimEvent::ResultArrives(*run, result));
    }

    pub(super) fn result_arrives(&mut self, run: &Run, result: AttemptResult) {
        if result == AttemptResult::Truncated {
            self.truncated.insert((run.entry, run.incarnation, run.attempt));
        }
        if self.is_running(run.entry, run.incarnation) {
            self.end_attempt(run.entry, run.attempt, result);
        }
    }

    pub(super) fn server_receives(&mut self, server: usize, run: Run) {
        let delay = self.network_delay();
        if !self.servers[server].alive {
            self.return_result(&run, AttemptResult::NotSent, delay);
            return;
        }
        if self.servers[server].draining {
            self.return_result(&run, AttemptResult::Declined { draining: true }, delay);
            return;
        }
        if let Some(run) = self.servers[server].receive(run) {
            self.start(server, run);
        }
    }

    fn start(&mut self, server: usize, run: Run) {
        self.requests[run.request.0 as usize].runs += 1;
        self.servers[server].started += 1;
        self.step(Step::Running, run.request);
        if self.servers[server].alive {
            let generation = self.servers[server].generation;
            let time = self.servers[server].time_for(run.work);
            self.at(self.now + time, SimEvent::RunFinished(server, generation, run));
        }
    }

    pub(super) fn server_ran(&mut self, server: usize, generation: u32, run: Run) {
        if self.servers[server].generation != generation {
            return;
        }
        if let Some(next) = self.servers[server].finish(&run) {
            self.start(server, next);
        }
        self.step(Step::Finished, run.request);
        let operation = self.requests[run.request.0 as usize].operation as u64;
        let body = Some(operation.to_le_bytes().to_vec());
        let complete = AttemptResult::Complete { status: 200, recorded_body: body };
        let delay = self.network_delay();
        let complete = if self.servers[server].truncates_answers {
            AttemptResult::Truncated
        } else {
            complete
        };
        match self.plan.take_answer(run.request) {
            Some(None) => {}
            Some(Some((result, late))) => {
                self.return_result(&run, result.unwrap_or(complete), delay + late)
            }
            None => self.return_result(&run, complete, delay),
        }
    }

    pub fn kill_server(&mut self, server: usize) {
        let lost = self.servers[server].kill();
        for run in lost {
            let delay = self.network_delay();
            self.return_result(&run, AttemptResult::Failed, delay);
        }
    }

    pub(super) fn share_event(&mut self, s: usize, from: usize, event: ShareTableEvent) {
        if !self.schedulers[s].alive {
            return;
        }
        let paused_until = self.schedulers[s].paused_until;
        if self.now < paused_until {
            self.at(paused_until, SimEvent::ToShares(s, from, event));
            return;
        }
        let mut out = Vec::new();
        let Scheduler { shares, held, .. } = &mut self.schedulers[s];
        shares.step(self.now, event, held, &mut out);
        for effect in out {
            match effect {
                ShareTableEffect::Grant { entry, grant } => {
                    self.share_bytes += encoded(&grant);
                    self.send_entry(s, entry, EntryEvent::SharesGranted { grant });
                }
                ShareTableEffect::Recall { entry, shard, .. } => {
                    self.send_entry(s, entry, EntryEvent::SharesRecalled { shard });
                }
            }
        }
    }

    pub(super) fn key_event(&mut self, s: usize, from: usize, event: KeyTableEvent) {
        if !self.schedulers[s].alive {
            return;
        }
        let paused_until = self.schedulers[s].paused_until;
        if self.now < paused_until {
            self.at(paused_until, SimEvent::ToKeys(s, from, event));
            return;
        }
        let mut out = Vec::new();
        let Scheduler { keys, held, .. } = &mut self.schedulers[s];
        keys.step(self.now, event, held, &mut out);
        for effect in out {
            self.key_effect(s, effect);
        }
    }

    fn key_effect(&mut self, s: usize, effect: KeyTableEffect) {
        match effect {
            KeyTableEffect::Journal { shard, entry, ticket } => {
                let epoch = self.schedulers[s].held.shards.get(&shard).copied();
                let epoch = epoch.unwrap_or_default();
                let append = Append { scheduler: s, shard, epoch, entry, ticket };
                self.at(self.now + LOG_DELAY, SimEvent::LogApply(append));
            }
            KeyTableEffect::Answer { holder, permit, .. } => {
                if permit == Permit::Granted {
                    self.step(Step::PermitGiven, holder.request);
                }
                let event = EntryEvent::PermitAnswer { request: holder.request, permit };
                self.send_entry(s, holder.entry, event);
            }
            KeyTableEffect::ConfirmReport { holder } => {
                let event = EntryEvent::ReportConfirmed { request: holder.request };
                self.send_entry(s, holder.entry, event);
            }
        }
    }

    pub(super) fn log_apply(&mut self, append: Append) {
        let s = append.scheduler;
        if !self.schedulers[s].alive {
            return;
        }
        if self.now < self.schedulers[s].paused_until {
            self.at(self.schedulers[s].paused_until, SimEvent::LogApply(append));
            return;
        }
        if !self.log.is_up(self.now) {
            self.key_event(s, usize::MAX, KeyTableEvent::LogState { up: false });
            self.at(self.now + LOG_RETRY_INTERVAL, SimEvent::LogApply(append));
            return;
        }
        self.key_event(s, usize::MAX, KeyTableEvent::LogState { up: true });
        self.log.append(&append);
        let (step, holder) = match &append.entry {
            KeyJournalEntry::Intent { holder, .. } => (Step::IntentInLog, *holder),
            KeyJournalEntry::Outcome { holder, .. } => (Step::OutcomeInLog, *holder),
        };
        self.step(step, holder.request);
        if self.log.answers_to_lose > 0 {
            self.log.answers_to_lose -= 1;
            self.at(self.now + LOG_RETRY_INTERVAL, SimEvent::LogApply(append));
        } else {
            self.at(self.now + LOG_DELAY, SimEvent::LogAck(append));
        }
    }

    pub(super) fn scheduler_tick(&mut self, s: usize) {
        if !self.schedulers[s].alive {
            return;
        }
        self.at(self.now + TICK, SimEvent::SchedulerTick(s));
        if self.now < self.schedulers[s].paused_until {
            return;
        }
        // The control stream is in the log: authority needs a read, and a deposed owner learns of
        // it by reading.
        let owners = &self.owners;
        let deposed: Vec<ShardId> = self.schedulers[s]
            .held
            .shards
            .iter()
            .filter(|(shard, epoch)| owners.get(shard) != Some(&(s, **epoch)))
            .map(|(shard, _)| *shard)
            .collect();
        if self.log.is_up(self.now) {
            for shard in deposed {
                self.schedulers[s].held.shards.remove(&shard);
                self.share_event(s, usize::MAX, ShareTableEvent::Lost { shard });
                self.key_event(s, usize::MAX, KeyTableEvent::Lost { shard });
            }
            self.schedulers[s].held.until = self.now + AUTHORITY;
        }
        self.share_event(s, usize::MAX, ShareTableEvent::Tick);
        self.key_event(s, usize::MAX, KeyTableEvent::Tick);
    }

    /// Makes the scheduler the owner of a shard, after its predecessor's authority has ended.
    pub(super) fn take_ownership(&mut self, s: usize, shard: ShardId, epoch: Epoch) {
        if !self.schedulers[s].alive || self.owners.get(&shard) != Some(&(s, epoch)) {
            return;
        }
        if !self.log.is_up(self.now) {
            self.at(self.now + LOG_RETRY_INTERVAL, SimEvent::TakeOwnership(s, shard, epoch));
            return;
        }
        let (snapshot, entries) = self.log.read(shard);
        let keys = &mut self.schedulers[s].keys;
        keys.restore(shard, snapshot.unwrap_or_default());
        for entry in &entries {
            keys.replay(shard, entry);
        }
        let snapshot = keys.snapshot(self.now, shard);
        self.log.snapshot(shard, epoch, snapshot);
        let Held { shards, until } = &mut self.schedulers[s].held;
        shards.insert(shard, epoch);
        *until = self.now + AUTHORITY;
        let had_owner = epoch > Epoch(1);
        self.share_event(s, usize::MAX, ShareTableEvent::Owned { shard, epoch, had_owner });
        self.key_event(s, usize::MAX, KeyTableEvent::Owned { shard, epoch });
        self.send_server_list(shard);
    }

    /// Sends the owner of a rack shard its server list.
    pub fn send_server_list(&mut self, shard: ShardId) {
        let classes = self.config.classes.iter().map(|class| class.name.clone());
        let classes: Vec<ClassName> = classes.collect();
        let specs: Vec<ServerSpec> = self
            .vms
            .iter()
            .filter(|record| shard_of_rack(&record.rack) == shard)
            .map(|record| ServerSpec {
                info: ServerInfo {
                    vm: record.vm.clone(),
                    addr: record.addr.clone(),
                    data_centre: record.data_centre.clone(),
                    state: record.state,
                    classes: classes.iter().cloned().collect(),
                },
                slots: record.slots,
                connections: record.connections,
            })
            .collect();
        let (owner, _) = self.owners[&shard];
        if !specs.is_empty() {
            self.share_event(owner, usize::MAX, ShareTableEvent::Servers { shard, servers: specs });
        }
    }

    /// Transfers all shards of a scheduler to another one: claimed at once, read by entries within
    /// a second, and effective after the predecessor's authority has ended.
    pub fn transfer_shards(&mut self, s: usize, successor: usize) {
        let moved = self.owners.iter_mut().filter(|(_, owner)| owner.0 == s);
        let mut claimed = Vec::new();
        for (shard, owner) in moved {
            *owner = (successor, owner.1.next());
            claimed.push((*shard, owner.1));
        }
        let effective_at = self.now + AUTHORITY + AUTHORITY / 50;
        for (shard, epoch) in claimed {
            self.at(effective_at, SimEvent::TakeOwnership(successor, shard, epoch));
        }
        let owners = self.owner_list();
        for i in 0..self.entries.len() {
            let read_at =
                self.now + MAX_CONTROL_READ_DELAY.mul_f64(self.rng.random_range(0.1..1.0));
            let incarnation = self.entries[i].incarnation;
            let event = EntryEvent::Owners { owners: owners.clone() };
            self.at(read_at, SimEvent::ToEntry(i, incarnation, Box::new(event)));
        }
    }

    pub fn kill_entry(&mut self, i: usize) {
        let entry = &mut self.entries[i];
        entry.alive = false;
        entry.open.clear();
        let incarnation = entry.incarnation;
        let disconnected: Vec<RequestId> = (0..self.requests.len())
            .filter(|r| {
                let record = &self.requests[*r];
                record.entry == i
                    && record.incarnation == incarnation
                    && record.arrived <= self.now
                    && record.answers.is_empty()
            })
            .map(|r| RequestId(r as u64))
            .collect();
        for id in disconnected {
            self.requests[id.0 as usize].connection_lost = true;
            self.caller_retry(id);
        }
        self.at(self.now + Duration::from_secs(1), SimEvent::Restart(i));
    }

    /// Replaces the entry by a new incarnation without state.
    pub(super) fn restart_entry(&mut self, i: usize) {
        let incarnation = self.entries[i].incarnation + 1;
        self.entries[i] = self.new_entry(i, incarnation);
        self.send_initial_state(i);
    }
}
