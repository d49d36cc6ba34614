//! The reducer of a scheduler.

mod dump;
mod event;
mod journal;
mod recovery;
mod tables;

pub use self::{
    event::{SchedulerEffect, SchedulerEvent, SchedulerOptions, WorkerCallGuard},
    recovery::JournalReadId,
};

use {
    self::{journal::Journal, recovery::Recovery, tables::SchedulerTables},
    crate::{
        node::{
            NodeCore, NodeEffect, NodeEvent, Notice, OperatorReply, OperatorRequest, Outbox,
            PeerHandling,
        },
        peer::PeerMessage,
    },
    egretlb_control::{Control, ControlEffect, ControlEvent},
    egretlb_tasks::VmSummary,
    egretlb_types::{NodeId, Time},
};

/// The reducer of a scheduler process.
pub struct Scheduler {
    core: NodeCore,
    tables: SchedulerTables,
    journal: Journal,
    recovery: Recovery,
}

/// The effects of a step.
#[derive(Default)]
pub(crate) struct Out {
    pub(crate) outbox: Outbox,
    pub(crate) scheduler_effects: Vec<SchedulerEffect>,
}

impl Out {
    pub(crate) fn notice(&mut self, notice: Notice) {
        self.outbox.effects.push(NodeEffect::Notice(notice));
    }
}

impl Scheduler {
    /// A scheduler that has just started and owns nothing.
    pub fn new(options: SchedulerOptions) -> Self {
        let node = options.info.node;
        Scheduler {
            journal: Journal::new(node, options.seed),
            tables: SchedulerTables::new(node, options.seed),
            recovery: Recovery::default(),
            core: NodeCore::new(options.info, options.seed, options.seeds),
        }
    }

    /// Handles an event at `now` and appends the resulting effects.
    pub fn step(&mut self, now: Time, event: SchedulerEvent, effects: &mut Vec<SchedulerEffect>) {
        let mut out = Out::default();
        match event {
            SchedulerEvent::Node(event) => self.node_event(now, event, &mut out),
            SchedulerEvent::JournalAppended { seq, outcome } => {
                let durable = self.journal.answered(now, seq, outcome);
                for origin in durable {
                    self.journaled(now, origin, &mut out);
                }
            }
            SchedulerEvent::JournalRead { read_id, outcome } => {
                self.recovery.read(now, read_id, outcome, &mut out);
            }
            SchedulerEvent::WorkerAnswered { ticket, result } => {
                self.tables.worker_answered(now, ticket, result, self.core.control(), &mut out);
            }
        }
        self.process_internal(now, &mut out);
        effects.extend(out.outbox.effects.into_iter().map(SchedulerEffect::Node));
        effects.append(&mut out.scheduler_effects);
    }

    /// The id of this node.
    pub fn node(&self) -> NodeId {
        self.core.control().info().node
    }

    /// The control reducer.
    pub fn control(&self) -> &Control {
        self.core.control()
    }

    /// When the most recent answered read of the control stream was sent.
    pub fn last_read_sent(&self) -> Option<Time> {
        self.core.last_read_sent()
    }

    /// A summary of each VM of this node's racks.
    pub fn vms(&self) -> Vec<VmSummary> {
        self.tables.racks().summary()
    }

    /// Size in bytes of the journal entries that the log hasn't acknowledged.
    pub fn journal_held_bytes(&self) -> usize {
        self.journal.held_bytes()
    }

    /// Number of consecutive failed appends to the journal.
    pub fn journal_failures(&self) -> u32 {
        self.journal.failures()
    }

    fn node_event(&mut self, now: Time, event: NodeEvent, out: &mut Out) {
        match event {
            NodeEvent::Tick => self.tick(now, out),
            NodeEvent::ControlRead { sent, outcome } => {
                self.step_control(now, ControlEvent::ReadDone { sent, outcome }, out);
                self.tables.update_schedulers(now, self.core.control(), out);
            }
            NodeEvent::ControlAppended { ticket, outcome } => {
                self.step_control(now, ControlEvent::AppendDone { ticket, outcome }, out);
            }
            NodeEvent::Peer { from, message } => self.peer(now, from, message, out),
            NodeEvent::Undelivered { message, delivery } => {
                self.core.undelivered(&message, delivery, &mut out.outbox);
            }
            NodeEvent::Vms(vms) => self.tables.vms(now, vms, self.core.control(), out),
            NodeEvent::Operator { call, request: OperatorRequest::State } => {
                let reply = OperatorReply::State(self.dump(now));
                out.outbox.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request: OperatorRequest::Ready } => {
                let reply = OperatorReply::Ready { missing: self.missing(now) };
                out.outbox.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request } => {
                let effects = self.core.operator(now, call, request, &mut out.outbox);
                self.perform(now, effects, out);
            }
            NodeEvent::Shutdown => self.step_control(now, ControlEvent::Shutdown, out),
        }
    }

    /// Why the process isn't ready to serve; `None` if it is.
    fn missing(&self, now: Time) -> Option<&'static str> {
        let control = self.core.control();
        if !control.has_fresh_read(now) {
            return Some("the control stream hasn't been read lately; check the log service");
        }
        None
    }

    fn tick(&mut self, now: Time, out: &mut Out) {
        let effects = self.core.tick(now, &mut out.outbox);
        self.perform(now, effects, out);
        self.tables.log_state(now, self.journal.is_up(), self.core.control(), out);
        self.tables.tick(now, self.core.control(), out);
        self.recovery.tick(now, out);
        if let Some(from) = self.journal.live_from() {
            self.step_control(now, ControlEvent::JournalLowWaterMark { from }, out);
        }
        for shard in self.journal.snapshots_due(now) {
            let snapshot = self.tables.snapshot(now, shard);
            self.journal.refresh(shard, &snapshot, out);
        }
    }

    fn step_control(&mut self, now: Time, event: ControlEvent, out: &mut Out) {
        let effects = self.core.step_control(now, event, &mut out.outbox);
        self.perform(now, effects, out);
    }

    fn perform(&mut self, now: Time, effects: Vec<ControlEffect>, out: &mut Out) {
        for effect in effects {
            match effect {
                ControlEffect::Recover { shard, epoch, from } => {
                    let unreleased = self
                        .core
                        .control()
                        .state()
                        .is_some_and(|state| state.shard(shard).must_wait());
                    self.recovery.begin(shard, epoch, from, unreleased, out);
                }
                ControlEffect::ShardOwned { shard, epoch } => {
                    self.journal.add_shard(shard, epoch);
                    let history = self.recovery.take_history(shard);
                    self.tables.take_ownership(
                        now,
                        shard,
                        epoch,
                        history,
                        self.core.control(),
                        out,
                    );
                    out.notice(Notice::ShardOwned { shard, epoch });
                }
                ControlEffect::ShardLost { shard, .. } => {
                    self.journal.remove_shard(shard);
                    self.tables.lose_ownership(now, shard, self.core.control(), out);
                    out.notice(Notice::ShardLost { shard });
                }
                ControlEffect::ConfigInForce { version, document, .. } => {
                    self.tables.configure(now, &document, self.core.control(), out);
                    out.notice(Notice::ConfigInForce(version));
                }
                ControlEffect::ShutdownDone => out.outbox.effects.push(NodeEffect::Exit),
                // The core has performed the effects that are the same for both roles.
                _ => {}
            }
        }
    }

    fn peer(&mut self, now: Time, from: NodeId, message: PeerMessage, out: &mut Out) {
        match self.core.peer(now, from, message, &mut out.outbox) {
            PeerHandling::Handled(effects) => self.perform(now, effects, out),
            PeerHandling::RoleSpecific(message) => {
                self.tables.peer(now, from, message, self.core.control(), out);
            }
        }
    }

    fn journaled(&mut self, now: Time, origin: journal::Origin, out: &mut Out) {
        match origin {
            journal::Origin::Takeover { shard, epoch } => {
                self.step_control(now, ControlEvent::RecoveryDone { shard, epoch }, out);
            }
            journal::Origin::Refresh => {}
            journal::Origin::Table(ticket) => {
                self.tables.journaled(now, ticket, self.core.control(), out);
            }
        }
    }

    /// Processes the work that this step left: messages to itself, recovered shards and journal
    /// entries. Each may cause more of the others.
    fn process_internal(&mut self, now: Time, out: &mut Out) {
        let me = self.node();
        loop {
            if let Some(message) = out.outbox.take_to_self() {
                self.peer(now, me, message, out);
            } else if let Some(recovered) = self.recovery.take_finished() {
                self.install_recovered(now, recovered, out);
            } else {
                break;
            }
        }
        for entry in self.tables.take_entries() {
            self.journal.push(entry, out);
        }
        self.journal.poll(now, out);
    }

    /// Writes the recovered state as the first snapshot of the epoch. Until it is durable nothing
    /// is decided, so a later owner never reads late entries of an earlier one.
    fn install_recovered(&mut self, now: Time, recovered: recovery::Recovered, out: &mut Out) {
        let recovery::Recovered { shard, epoch, data, error } = recovered;
        if self.core.control().takeover_epoch(shard) != Some(epoch) {
            // Another claim replaced this process's claim during the recovery.
            return;
        }
        if let Some(error) = error {
            out.notice(Notice::ShardStateLost(error));
        }
        let unreadable = self.tables.restore(shard, data.as_ref());
        if unreadable {
            out.notice(Notice::UnreadableRecord { shard });
        }
        let snapshot = self.tables.snapshot(now, shard);
        self.journal.start_epoch(shard, epoch, &snapshot, out);
    }
}
