//! The scheduler's reducer.

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
            PeerTaken,
        },
        peer::PeerMessage,
    },
    egretlb_control::{Control, ControlEffect, ControlEvent},
    egretlb_tasks::VmSummary,
    egretlb_types::{NodeId, Time},
};

/// All the decisions of one scheduler process.
pub struct Scheduler {
    core: NodeCore,
    tables: SchedulerTables,
    journal: Journal,
    recovery: Recovery,
}

/// A step's effects while they are collected.
#[derive(Default)]
pub(crate) struct Out {
    pub(crate) node: Outbox,
    pub(crate) own: Vec<SchedulerEffect>,
}

impl Out {
    pub(crate) fn notice(&mut self, notice: Notice) {
        self.node.effects.push(NodeEffect::Notice(notice));
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

    /// Takes an event and appends what is to be done.
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
        self.settle(now, &mut out);
        effects.extend(out.node.effects.into_iter().map(SchedulerEffect::Node));
        effects.append(&mut out.own);
    }

    /// The node.
    pub fn node(&self) -> NodeId {
        self.core.control().info().node
    }

    /// The node's control.
    pub fn control(&self) -> &Control {
        self.core.control()
    }

    /// When the last answered read of the control stream was sent.
    pub fn last_read_sent(&self) -> Option<Time> {
        self.core.last_read_sent()
    }

    /// What each VM of this node's racks holds.
    pub fn vms(&self) -> Vec<VmSummary> {
        self.tables.racks().summary()
    }

    /// Bytes of journal entries that the log hasn't acknowledged.
    pub fn journal_held_bytes(&self) -> usize {
        self.journal.held_bytes()
    }

    /// Appends to the journal that failed in a row.
    pub fn journal_failures(&self) -> u32 {
        self.journal.failures()
    }

    fn node_event(&mut self, now: Time, event: NodeEvent, out: &mut Out) {
        match event {
            NodeEvent::Tick => self.tick(now, out),
            NodeEvent::ControlRead { sent, outcome } => {
                self.step_control(now, ControlEvent::ReadDone { sent, outcome }, out);
                self.tables.nodes(now, self.core.control(), out);
            }
            NodeEvent::ControlAppended { ticket, outcome } => {
                self.step_control(now, ControlEvent::AppendDone { ticket, outcome }, out);
            }
            NodeEvent::Peer { from, message } => self.peer(now, from, message, out),
            NodeEvent::Undelivered { message, delivery } => {
                self.core.undelivered(&message, delivery, &mut out.node);
            }
            NodeEvent::Vms(vms) => self.tables.vms(now, vms, self.core.control(), out),
            NodeEvent::Operator { call, request: OperatorRequest::State } => {
                let reply = OperatorReply::State(self.dump(now));
                out.node.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request: OperatorRequest::Ready } => {
                let reply = OperatorReply::Ready { missing: self.missing(now) };
                out.node.effects.push(NodeEffect::Reply { call, reply });
            }
            NodeEvent::Operator { call, request } => {
                let effects = self.core.operator(now, call, request, &mut out.node);
                self.perform(now, effects, out);
            }
            NodeEvent::Shutdown => self.step_control(now, ControlEvent::Shutdown, out),
        }
    }

    /// What keeps the process from serving, if anything does.
    fn missing(&self, now: Time) -> Option<&'static str> {
        let control = self.core.control();
        if !control.has_fresh_read(now) {
            return Some("the control stream hasn't been read lately; check the log service");
        }
        None
    }

    fn tick(&mut self, now: Time, out: &mut Out) {
        let effects = self.core.tick(now, &mut out.node);
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
        let effects = self.core.step_control(now, event, &mut out.node);
        self.perform(now, effects, out);
    }

    fn perform(&mut self, now: Time, effects: Vec<ControlEffect>, out: &mut Out) {
        for effect in effects {
            match effect {
                ControlEffect::Recover { shard, epoch, from } => {
                    let waited = self
                        .core
                        .control()
                        .state()
                        .is_some_and(|state| state.shard(shard).must_wait());
                    self.recovery.begin(shard, epoch, from, waited, out);
                }
                ControlEffect::ShardOwned { shard, epoch } => {
                    self.journal.own(shard, epoch);
                    let past = self.recovery.take_history(shard);
                    self.tables.own(now, shard, epoch, past, self.core.control(), out);
                    out.notice(Notice::ShardOwned { shard, epoch });
                }
                ControlEffect::ShardLost { shard, .. } => {
                    self.journal.lose(shard);
                    self.tables.lose(now, shard, self.core.control(), out);
                    out.notice(Notice::ShardLost { shard });
                }
                ControlEffect::ConfigInForce { version, document, .. } => {
                    self.tables.configure(now, &document, self.core.control(), out);
                    out.notice(Notice::ConfigInForce(version));
                }
                ControlEffect::ShutdownDone => out.node.effects.push(NodeEffect::Exit),
                // The rest is the same for both roles and done already.
                _ => {}
            }
        }
    }

    fn peer(&mut self, now: Time, from: NodeId, message: PeerMessage, out: &mut Out) {
        match self.core.peer(now, from, message, &mut out.node) {
            PeerTaken::Done(effects) => self.perform(now, effects, out),
            PeerTaken::NotMine(message) => {
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

    /// Takes up what this step left inside the process: its messages to itself, recovered shards,
    /// entries for the journal. Each may lead to more of the others.
    fn settle(&mut self, now: Time, out: &mut Out) {
        let me = self.node();
        loop {
            if let Some(message) = out.node.take_own() {
                self.peer(now, me, message, out);
            } else if let Some(recovered) = self.recovery.take_done() {
                self.take_over(now, recovered, out);
            } else {
                break;
            }
        }
        for entry in self.tables.take_entries() {
            self.journal.push(entry, out);
        }
        self.journal.poll(now, out);
    }

    /// The first entry of an epoch is the snapshot of what was read back: until it is durable
    /// nothing is decided, so a third owner never reads a late entry of the first.
    fn take_over(&mut self, now: Time, recovered: recovery::Recovered, out: &mut Out) {
        let recovery::Recovered { shard, epoch, past, lost } = recovered;
        if self.core.control().takeover_epoch(shard) != Some(epoch) {
            // Overtaken while it was read: it must not replace what was read back since.
            return;
        }
        if let Some(lost) = lost {
            out.notice(Notice::ShardStateLost(lost));
        }
        let unreadable = self.tables.restore(shard, past.as_ref());
        if unreadable {
            out.notice(Notice::UnreadableRecord { shard });
        }
        let snapshot = self.tables.snapshot(now, shard);
        self.journal.begin(shard, epoch, &snapshot, out);
    }
}
