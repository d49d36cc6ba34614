//! The reducer of one process's control.

mod act;
mod alarms;
mod gate;
mod holdings;
mod in_force;
mod proposals;
mod reads;
mod succession;
mod suspicion;
mod upkeep;

pub use crate::reducer::in_force::InForce;

use {
    crate::{
        event::{Alarm, ControlEffect, ControlEvent, ProposalOutcome},
        fold::{ControlFold, Folded},
        gossip::{Gossip, Heartbeat},
        options::ControlOptions,
        record::{ConfigVersion, ControlRecord, NodeInfo, ProposalId},
        reducer::{
            alarms::Alarms,
            gate::Appends,
            holdings::Holdings,
            in_force::ConfigHolder,
            proposals::Proposals,
            reads::{LEASE, Reads},
            succession::Succession,
            suspicion::Suspicion,
            upkeep::StreamUpkeep,
        },
        state::{Change, ControlState, Validator},
    },
    compact_str::CompactString,
    egretlb_log::{AppendOutcome, ReadOutcome},
    egretlb_types::{Authority, Epoch, NodeId, Offset, ShardId, Ticket, Time},
    std::{fmt, sync::Arc, time::Duration},
};

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Running {
    Up,
    Leaving,
    Left,
}

/// The control of one process: reads and writes the control stream, and knows who owns what.
pub struct Control {
    options: ControlOptions,
    validator: Arc<Validator>,
    fold: ControlFold,
    reads: Reads,
    appends: Appends,
    gossip: Gossip,
    suspicion: Suspicion,
    succession: Succession,
    holdings: Holdings,
    proposals: Proposals,
    config: ConfigHolder,
    upkeep: StreamUpkeep,
    alarms: Alarms,
    running: Running,
    member_since: Option<Time>,
    asked_to_show: bool,
}

impl Control {
    /// The control of a process that has just started and knows nothing.
    pub fn new(options: ControlOptions, validator: Arc<Validator>) -> Self {
        let me = options.info.node;
        let fold = ControlFold::new();
        Control {
            fold: if options.protections.base_check { fold } else { fold.without_base_check() },
            reads: Reads::new(options.seed),
            appends: Appends::new(options.seed.wrapping_add(1)),
            gossip: Gossip::new(options.info.clone(), options.seed.wrapping_add(2)),
            suspicion: Suspicion::default(),
            succession: Succession::new(me, options.protections),
            holdings: Holdings::new(me),
            proposals: Proposals::default(),
            config: ConfigHolder::new(options.protections),
            upkeep: StreamUpkeep::new(options.retention),
            alarms: Alarms::default(),
            running: Running::Up,
            member_since: None,
            asked_to_show: false,
            options,
            validator,
        }
    }

    /// Takes an event at `now` and says what is to be done.
    pub fn step(&mut self, now: Time, event: ControlEvent, out: &mut Vec<ControlEffect>) {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::ReadDone { sent, outcome } => self.read_done(now, sent, outcome, out),
            ControlEvent::AppendDone { ticket, outcome } => {
                self.append_done(now, ticket, outcome);
            }
            ControlEvent::HeartbeatReceived(heartbeat) => self.heartbeat(now, &heartbeat, out),
            ControlEvent::VmGone { addr } => self.vm_gone(now, &addr),
            ControlEvent::RecoveryDone { shard, epoch } => self.recovered(shard, epoch, out),
            ControlEvent::JournalLowWaterMark { from } => self.upkeep.journal_live(from),
            ControlEvent::Propose { id, base, by, document } => {
                self.propose(now, id, base, by, document, out);
            }
            ControlEvent::PeerConfig { version, document } => {
                self.adopt(version, &document, out);
            }
            ControlEvent::Shutdown => self.shut_down(out),
        }
        self.act(now, out);
    }

    /// The process itself.
    pub fn info(&self) -> &NodeInfo {
        &self.options.info
    }

    /// What the control stream says, as far as this process has read; `None` while it is looking
    /// for a snapshot.
    pub fn state(&self) -> Option<&ControlState> {
        self.fold.state()
    }

    /// The offset that this process reads next: its state holds everything before it.
    pub fn next(&self) -> Offset {
        self.fold.next()
    }

    /// The process that acts for the shard, as far as this process has read.
    pub fn owner_of(&self, shard: ShardId) -> Option<&NodeInfo> {
        self.state()?.owner_of(shard)
    }

    /// The configuration in force here.
    pub fn in_force(&self) -> &InForce {
        self.config.in_force()
    }

    /// Whether a read of the control stream has reached its end lately.
    pub fn has_fresh_read(&self, now: Time) -> bool {
        self.reads.has_fresh_read(now)
    }

    /// Until when this process may act for the shard, unless it reads the log again before; `None`
    /// if it may not now. The runtime checks its clock against it right before an unsafe call: a
    /// process that was paused in between must notice.
    pub fn authority_until(&self, now: Time, shard: ShardId) -> Option<Time> {
        self.epoch_if_held(now, shard)?;
        self.reads.fresh().map(|sent| sent + LEASE)
    }

    /// The alarms that are on.
    pub fn alarms(&self) -> impl Iterator<Item = Alarm> {
        self.alarms.raised()
    }

    /// The epoch under which this process is taking the shard over. What is read back for any
    /// other epoch came too late, and must not replace what was read back since.
    pub fn takeover_epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.succession.epoch(shard)
    }

    /// How many shards this process owns, and how many it is taking over.
    pub fn shard_counts(&self) -> (usize, usize) {
        (self.holdings.len(), self.succession.takeovers())
    }

    /// How long the process was last heard of, by gossip; `None` if it doesn't take part.
    pub fn time_since_contact(&self, now: Time, node: NodeId) -> Option<Duration> {
        self.gossip.time_since_contact(now, node)
    }

    fn me(&self) -> NodeId {
        self.options.info.node
    }

    fn read_done(
        &mut self,
        now: Time,
        sent: Time,
        outcome: ReadOutcome,
        out: &mut Vec<ControlEffect>,
    ) {
        self.reads.answered(sent);
        let before = self.fold.next();
        let folded = self.fold.fold(outcome, &*self.validator);
        if folded.unreadable > 0 {
            self.alarms.set(Alarm::UnreadableRecords, true, out);
        }
        if folded.restarted {
            self.succession.clear();
        }
        if folded.state_lost {
            self.alarms.set(Alarm::StateLost, true, out);
        }
        let moved = self.fold.next() != before;
        if moved {
            self.follow(now, &folded, out);
        }
        if folded.reached_end && self.fold.state().is_some() {
            self.reached_end(now, sent, out);
        } else if moved {
            self.reads.hurry();
        }
    }

    fn reached_end(&mut self, now: Time, sent: Time, out: &mut Vec<ControlEffect>) {
        self.alarms.set(Alarm::StateLost, false, out);
        let counted = if self.options.protections.lease_from_send { sent } else { now };
        if self.reads.reached_end(now, counted) {
            // Nobody could be heard of as in touch while this process, or the log, was away.
            // Without this pause all would claim everything when the log comes back.
            self.gossip.excuse(now);
            self.suspicion.excuse();
        }
    }

    /// Follows what was folded.
    fn follow(&mut self, now: Time, folded: &Folded, out: &mut Vec<ControlEffect>) {
        let was_in_touch = self.reads.has_fresh_read(now);
        if let Some(state) = self.fold.state() {
            self.gossip.follow(now, state);
            self.succession.follow(now, state, out);
            self.holdings.follow(state, out);
        }
        if self.fold.since_snapshot() == 0 {
            self.upkeep.saw_snapshot(now);
        }
        if !was_in_touch {
            self.succession.take_stuck();
        }
        // What was read while catching up happened some time ago, and shows nobody alive now.
        if was_in_touch {
            for author in &folded.authors {
                self.suspicion.seen_in_log(now, *author);
            }
            self.follow_doubts(now, folded);
            for node in self.succession.take_stuck() {
                self.suspicion.stuck(now, node);
            }
        }
        let current = self.fold.state().map(|state| state.config().current());
        if let Some(current) = current.filter(|c| c.version != self.config.in_force().version) {
            let current = current.clone();
            self.adopt(current.version, &current.text, out);
        }
    }

    fn follow_doubts(&mut self, now: Time, folded: &Folded) {
        let me = self.me();
        for change in &folded.changes {
            let Change::LivenessCheck { of, .. } = change else { continue };
            for node in of {
                self.suspicion.doubted(now, *node);
            }
            self.asked_to_show |= of.contains(&me);
        }
    }

    fn append_done(&mut self, now: Time, ticket: Ticket, outcome: AppendOutcome) {
        if self.appends.done(now, ticket, outcome) {
            self.reads.hurry();
        }
    }

    fn heartbeat(&mut self, now: Time, heartbeat: &Heartbeat, out: &mut Vec<ControlEffect>) {
        self.config.heard(heartbeat);
        if !self.gossip.receive(now, heartbeat) {
            return;
        }
        let sender = self.fold.state().and_then(|state| state.member(heartbeat.from));
        if let Some(to) = sender.cloned() {
            let heartbeat = Heartbeat { answer: true, ..self.own_heartbeat(now) };
            out.push(ControlEffect::Heartbeat { to, heartbeat });
        }
    }

    fn own_heartbeat(&self, now: Time) -> Heartbeat {
        let has_fresh_read = self.reads.has_fresh_read(now);
        let version = self.config.in_force().version;
        let schedulers = self.fold.state().into_iter().flat_map(ControlState::schedulers);
        self.gossip.heartbeat(now, has_fresh_read, version, schedulers)
    }

    fn vm_gone(&mut self, now: Time, addr: &str) {
        if let Some(state) = self.fold.state() {
            self.suspicion.vm_gone(now, addr, state);
        }
    }

    fn propose(
        &mut self,
        now: Time,
        id: ProposalId,
        base: ConfigVersion,
        by: CompactString,
        document: String,
        out: &mut Vec<ControlEffect>,
    ) {
        // A document with faults never reaches the log.
        if let Err(faults) = (self.validator)(&document) {
            out.push(ControlEffect::ProposalDecided {
                id,
                outcome: ProposalOutcome::Invalid { faults },
            });
            return;
        }
        let record = ControlRecord::Propose { id, base, by, document };
        self.proposals.add(now, id, base, record, out);
        self.reads.hurry();
    }

    fn adopt(&mut self, version: ConfigVersion, text: &str, out: &mut Vec<ControlEffect>) {
        if version != ConfigVersion::NONE {
            self.config.adopt(version, text, &*self.validator, &mut self.alarms, out);
        }
    }

    /// A snapshot that is durable after its claim was overtaken is of no use, and must not be kept
    /// alive in the journal.
    fn recovered(&mut self, shard: ShardId, epoch: Epoch, out: &mut Vec<ControlEffect>) {
        self.succession.recovered(shard, epoch);
        if self.succession.epoch(shard).is_none() && self.holdings.epoch(shard).is_none() {
            out.push(ControlEffect::ShardLost { shard, epoch });
        }
    }

    fn shut_down(&mut self, out: &mut Vec<ControlEffect>) {
        if self.running == Running::Up {
            self.running = Running::Leaving;
            self.reads.hurry();
        }
        if let Some(state) = self.fold.state() {
            self.holdings.release_all(state, out);
        }
    }
}

impl Authority for Control {
    /// Counted from the sending of the last read that reached the end: what was in the log then
    /// shows this process as settled owner, and no successor acts before this has lapsed.
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch> {
        if !self.reads.has_fresh_read(now) {
            return None;
        }
        self.holdings.epoch(shard)
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("node", &self.options.info.node)
            .field("next", &self.fold.next())
            .field("running", &self.running)
            .finish_non_exhaustive()
    }
}
