//! The control reducer of one process.

mod alarms;
mod appends;
mod due_actions;
mod in_force;
mod maintenance;
mod owned_shards;
mod proposals;
mod reads;
mod succession;
mod suspicion;

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
            appends::Appends,
            in_force::ConfigHolder,
            maintenance::StreamMaintenance,
            owned_shards::OwnedShards,
            proposals::Proposals,
            reads::{LEASE, Reads},
            succession::Succession,
            suspicion::FailureDetector,
        },
        state::{Change, ControlState, Validator},
    },
    compact_str::CompactString,
    egretlb_log::{AppendOutcome, ReadOutcome},
    egretlb_types::{Authority, Epoch, NodeId, Offset, ShardId, Ticket, Time},
    std::{fmt, sync::Arc, time::Duration},
};

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lifecycle {
    Running,
    Draining,
    Left,
}

/// The control reducer of one process: reads and writes the control stream and tracks shard
/// ownership.
pub struct Control {
    options: ControlOptions,
    validator: Arc<Validator>,
    fold: ControlFold,
    reads: Reads,
    appends: Appends,
    gossip: Gossip,
    detector: FailureDetector,
    succession: Succession,
    owned_shards: OwnedShards,
    proposals: Proposals,
    config: ConfigHolder,
    maintenance: StreamMaintenance,
    alarms: Alarms,
    lifecycle: Lifecycle,
    member_since: Option<Time>,
    must_rejoin: bool,
}

impl Control {
    /// The control reducer of a process that has just started.
    pub fn new(options: ControlOptions, validator: Arc<Validator>) -> Self {
        let me = options.info.node;
        let fold = ControlFold::new();
        Control {
            fold: if options.protections.base_check { fold } else { fold.without_base_check() },
            reads: Reads::new(options.seed),
            appends: Appends::new(options.seed.wrapping_add(1)),
            gossip: Gossip::new(options.info.clone(), options.seed.wrapping_add(2)),
            detector: FailureDetector::default(),
            succession: Succession::new(me, options.protections),
            owned_shards: OwnedShards::new(me),
            proposals: Proposals::default(),
            config: ConfigHolder::new(options.protections),
            maintenance: StreamMaintenance::new(options.retention),
            alarms: Alarms::default(),
            lifecycle: Lifecycle::Running,
            member_since: None,
            must_rejoin: false,
            options,
            validator,
        }
    }

    /// Handles an event at `now` and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Time, event: ControlEvent, out: &mut Vec<ControlEffect>) {
        match event {
            ControlEvent::Tick => {}
            ControlEvent::ReadDone { sent, outcome } => self.read_done(now, sent, outcome, out),
            ControlEvent::AppendDone { ticket, outcome } => {
                self.append_done(now, ticket, outcome);
            }
            ControlEvent::HeartbeatReceived(heartbeat) => {
                self.heartbeat_received(now, &heartbeat, out)
            }
            ControlEvent::VmGone { addr } => self.vm_gone(now, &addr),
            ControlEvent::RecoveryDone { shard, epoch } => self.recovered(shard, epoch, out),
            ControlEvent::JournalLowWaterMark { from } => self.maintenance.set_low_water_mark(from),
            ControlEvent::Propose { id, base, by, document } => {
                self.propose(now, id, base, by, document, out);
            }
            ControlEvent::PeerConfig { version, document } => {
                self.adopt(version, &document, out);
            }
            ControlEvent::Shutdown => self.shut_down(out),
        }
        self.run_due_actions(now, out);
    }

    /// This process.
    pub fn info(&self) -> &NodeInfo {
        &self.options.info
    }

    /// The control state at [`Control::next`]; `None` while this process looks for a snapshot.
    pub fn state(&self) -> Option<&ControlState> {
        self.fold.state()
    }

    /// The offset to read next; the state holds every record before it.
    pub fn next(&self) -> Offset {
        self.fold.next()
    }

    /// The process that acts for the shard, as of the last read.
    pub fn owner_of(&self, shard: ShardId) -> Option<&NodeInfo> {
        self.state()?.owner_of(shard)
    }

    /// The configuration in force here.
    pub fn in_force(&self) -> &InForce {
        self.config.in_force()
    }

    /// Whether a read that reached the end of the control stream was sent within the lease.
    pub fn has_fresh_read(&self, now: Time) -> bool {
        self.reads.has_fresh_read(now)
    }

    /// Until when this process may act for the shard unless another read extends it; `None` if it
    /// may not act now. The runtime checks its clock against this right before an unsafe call,
    /// since the process may have been paused in between.
    pub fn authority_until(&self, now: Time, shard: ShardId) -> Option<Time> {
        self.epoch_if_held(now, shard)?;
        self.reads.last_complete_read().map(|sent| sent + LEASE)
    }

    /// The raised alarms.
    pub fn alarms(&self) -> impl Iterator<Item = Alarm> {
        self.alarms.raised()
    }

    /// The epoch under which this process is taking the shard over. State recovered for any other
    /// epoch is outdated and must be dropped.
    pub fn takeover_epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.succession.epoch(shard)
    }

    /// Number of shards that this process owns, and number that it is taking over.
    pub fn shard_counts(&self) -> (usize, usize) {
        (self.owned_shards.len(), self.succession.takeovers())
    }

    /// Time since the last contact with the process, since it became a member or since the last reset;
    /// `None` if it isn't another member.
    pub fn idle_time(&self, now: Time, node: NodeId) -> Option<Duration> {
        self.gossip.idle_time(now, node)
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
        let advanced = self.fold.next() != before;
        if advanced {
            self.apply_folded(now, &folded, out);
        }
        if folded.reached_end && self.fold.state().is_some() {
            self.reached_end(now, sent, out);
        } else if advanced {
            self.reads.make_due();
        }
    }

    fn reached_end(&mut self, now: Time, sent: Time, out: &mut Vec<ControlEffect>) {
        self.alarms.set(Alarm::StateLost, false, out);
        let lease_start = if self.options.protections.lease_from_send { sent } else { now };
        if self.reads.reached_end(now, lease_start) {
            // No heartbeat counts as contact while this process or the log is unavailable. Without the
            // reset, every process would claim every shard once the log recovers.
            self.gossip.reset_idle_times(now);
            self.detector.reset();
        }
    }

    /// Applies the changes of a read to the other components.
    fn apply_folded(&mut self, now: Time, folded: &Folded, out: &mut Vec<ControlEffect>) {
        let was_fresh = self.reads.has_fresh_read(now);
        if let Some(state) = self.fold.state() {
            self.gossip.update_members(now, state);
            self.succession.update(now, state, out);
            self.owned_shards.update(state, out);
        }
        if self.fold.since_snapshot() == 0 {
            self.maintenance.snapshot_read(now);
        }
        // Records read while catching up are old. They don't show that their author is alive, nor
        // that a claimant is stuck now.
        if !was_fresh {
            self.succession.take_stuck();
        }
        if was_fresh {
            for author in &folded.authors {
                self.detector.record_log_activity(now, *author);
            }
            self.record_liveness_checks(now, folded);
            for node in self.succession.take_stuck() {
                self.detector.record_stuck(now, node);
            }
        }
        let current = self.fold.state().map(|state| state.config().current());
        if let Some(current) = current.filter(|c| c.version != self.config.in_force().version) {
            let current = current.clone();
            self.adopt(current.version, &current.text, out);
        }
    }

    fn record_liveness_checks(&mut self, now: Time, folded: &Folded) {
        let me = self.me();
        for change in &folded.changes {
            let Change::LivenessCheck { nodes, .. } = change else { continue };
            for node in nodes {
                self.detector.record_liveness_check(now, *node);
            }
            // A process answers a liveness check by writing its join record again.
            self.must_rejoin |= nodes.contains(&me);
        }
    }

    fn append_done(&mut self, now: Time, ticket: Ticket, outcome: AppendOutcome) {
        if self.appends.answered(now, ticket, outcome) {
            self.reads.make_due();
        }
    }

    fn heartbeat_received(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<ControlEffect>,
    ) {
        self.config.record_peer_version(heartbeat);
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
            self.detector.vm_gone(now, addr, state);
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
        // An invalid document never reaches the log.
        if let Err(faults) = (self.validator)(&document) {
            out.push(ControlEffect::ProposalDecided {
                id,
                outcome: ProposalOutcome::Invalid { faults },
            });
            return;
        }
        let record = ControlRecord::Propose { id, base, by, document };
        self.proposals.add(now, id, base, record, out);
        self.reads.make_due();
    }

    fn adopt(&mut self, version: ConfigVersion, text: &str, out: &mut Vec<ControlEffect>) {
        if version != ConfigVersion::NONE {
            self.config.adopt(version, text, &*self.validator, &mut self.alarms, out);
        }
    }

    /// Handles a durable snapshot of a shard. If another claim has replaced this process's claim,
    /// the snapshot is useless and must not stay in the journal.
    fn recovered(&mut self, shard: ShardId, epoch: Epoch, out: &mut Vec<ControlEffect>) {
        self.succession.recovered(shard, epoch);
        if self.succession.epoch(shard).is_none() && self.owned_shards.epoch(shard).is_none() {
            out.push(ControlEffect::ShardLost { shard, epoch });
        }
    }

    fn shut_down(&mut self, out: &mut Vec<ControlEffect>) {
        if self.lifecycle == Lifecycle::Running {
            self.lifecycle = Lifecycle::Draining;
            self.reads.make_due();
        }
        if let Some(state) = self.fold.state() {
            self.owned_shards.release_all(state, out);
        }
    }
}

impl Authority for Control {
    /// Authority starts when the last read that reached the end was sent: the log then showed this
    /// process as settled owner, and no successor acts before the lease has expired.
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch> {
        if !self.reads.has_fresh_read(now) {
            return None;
        }
        self.owned_shards.epoch(shard)
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("node", &self.options.info.node)
            .field("next", &self.fold.next())
            .field("lifecycle", &self.lifecycle)
            .finish_non_exhaustive()
    }
}
