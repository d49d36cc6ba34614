//! The reducer of one process's control.

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
        event::{Alarm, ControlEffect, ControlEvent, Verdict},
        fold::{ControlFold, Folded},
        gossip::{Gossip, Heartbeat},
        options::ControlOptions,
        record::{ConfigVersion, ControlRecord, NodeInfo, ProposalId, ShardEpochs},
        reducer::{
            alarms::Alarms,
            gate::{Appends, Purpose},
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

/// A new scheduler claims nothing for this long after it joined: processes that are started
/// together see one another first, or the first would claim every shard.
const CLAIM_AFTER: Duration = Duration::from_secs(1);

/// A process that hears most others claims only if a heartbeat reached it within this time; some
/// two arrive each second.
const REACHED_WITHIN: Duration = Duration::from_secs(1);

/// Shards without an owner for this long raise an alarm.
const UNSERVED_ALARM_AFTER: Duration = Duration::from_secs(30);

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
            ControlEvent::JournalLive { from } => self.upkeep.journal_live(from),
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
    pub fn is_in_touch(&self, now: Time) -> bool {
        self.reads.is_in_touch(now)
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
    pub fn silence(&self, now: Time, node: NodeId) -> Option<Duration> {
        self.gossip.silence(now, node)
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
        if folded.lost {
            self.alarms.set(Alarm::StateLost, true, out);
        }
        let moved = self.fold.next() != before;
        if moved {
            self.follow(now, &folded, out);
        }
        if folded.end && self.fold.state().is_some() {
            self.reached_end(now, sent, out);
        } else if moved {
            self.reads.hurry();
        }
    }

    fn reached_end(&mut self, now: Time, sent: Time, out: &mut Vec<ControlEffect>) {
        self.alarms.set(Alarm::StateLost, false, out);
        let counted = if self.options.protections.count_from_sending { sent } else { now };
        if self.reads.reached_end(now, counted) {
            // Nobody could be heard of as in touch while this process, or the log, was away.
            // Without this pause all would claim everything when the log comes back.
            self.gossip.excuse(now);
            self.suspicion.excuse();
        }
    }

    /// Follows what was folded.
    fn follow(&mut self, now: Time, folded: &Folded, out: &mut Vec<ControlEffect>) {
        let was_in_touch = self.reads.is_in_touch(now);
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
            let Change::Doubted { of, .. } = change else { continue };
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
        let in_touch = self.reads.is_in_touch(now);
        let version = self.config.in_force().version;
        let schedulers = self.fold.state().into_iter().flat_map(ControlState::schedulers);
        self.gossip.heartbeat(now, in_touch, version, schedulers)
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
            out.push(ControlEffect::ProposalDecided { id, verdict: Verdict::Invalid { faults } });
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

    /// Does whatever is due, whichever event came.
    fn act(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        self.appends.give_up(now);
        if let Some(state) = self.fold.state() {
            self.suspicion.update(now, self.options.info.node, &self.gossip, state);
        }
        self.send_heartbeat(now, out);
        let in_touch = self.reads.is_in_touch(now);
        self.watch(now, in_touch, out);
        if in_touch {
            self.take_part(now, out);
        } else {
            self.fetch_config(now, out);
        }
        self.give_up_shards(now, in_touch, out);
        self.decide_proposals(now, in_touch, out);
        if self.running != Running::Left && self.reads.due(now) {
            out.push(ControlEffect::Read { from: self.fold.next() });
        }
    }

    fn send_heartbeat(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let Some(to) = self.gossip.due(now, state.members()).cloned() else { return };
        let heartbeat = self.own_heartbeat(now);
        out.push(ControlEffect::Heartbeat { to, heartbeat });
    }

    fn watch(&mut self, now: Time, in_touch: bool, out: &mut Vec<ControlEffect>) {
        let long = self.reads.out_of_touch_for(now) >= LEASE;
        self.alarms.set(Alarm::LogOutOfReach, !in_touch && long, out);
        let few = in_touch && self.suspicion.few_heard();
        self.alarms.set(Alarm::FewPeersHeard, few, out);
        let unserved = in_touch && self.succession.any_unserved_for(now, UNSERVED_ALARM_AFTER);
        self.alarms.set(Alarm::ShardsWithoutOwner, unserved, out);
    }

    fn fetch_config(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(from) = self.config.fetch(now) else { return };
        let info = from.and_then(|node| self.fold.state()?.member(node).cloned());
        out.push(ControlEffect::FetchConfig { from: info });
    }

    /// What a process does that reads the log: joins, and as a scheduler takes over shards.
    fn take_part(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        if self.running != Running::Up {
            return;
        }
        self.join(now, out);
        if !self.options.is_scheduler() || self.member_since.is_none() {
            return;
        }
        self.doubt(now, out);
        self.succeed(now, out);
        self.keep_up(now, out);
    }

    fn join(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let joined = state.member(self.me()).is_some();
        if !joined {
            self.member_since = None;
        } else if self.member_since.is_none() {
            self.member_since = Some(now);
        }
        if joined && !self.asked_to_show {
            return;
        }
        let record = ControlRecord::Join(self.options.info.clone());
        if self.append(now, Purpose::Join, &record, out) {
            self.asked_to_show = false;
        }
    }

    fn doubt(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let of = self.suspicion.to_doubt(now, self.me(), &self.gossip, state);
        if !of.is_empty() {
            let record = ControlRecord::Doubt { by: self.me(), of };
            self.append(now, Purpose::Doubt, &record, out);
        }
    }

    fn succeed(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let owner = self.me();
        let Some(state) = self.fold.state() else { return };
        self.succession.recover(now, state, out);
        let claims = self.succession.due_claims(now, state, &self.suspicion);
        let settled = self.succession.to_settle();
        if !settled.is_empty() {
            let record = ControlRecord::Settled { owner, shards: settled };
            self.append(now, Purpose::Settle, &record, out);
        }
        if !claims.is_empty() && self.may_claim(now) {
            let record = ControlRecord::Claim { owner, shards: claims };
            self.append(now, Purpose::Claim, &record, out);
        }
    }

    fn may_claim(&self, now: Time) -> bool {
        self.member_since.is_some_and(|since| now >= since + CLAIM_AFTER)
            && self.reads.in_touch_for(now) >= CLAIM_AFTER
            && (self.suspicion.few_heard() || self.gossip.is_reached(now, REACHED_WITHIN))
    }

    fn keep_up(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let me = self.me();
        let Some(state) = self.fold.state() else { return };
        if !self.suspicion.few_heard() {
            self.holdings.balance(now, state, self.suspicion.candidates(), out);
        }
        let gone = self.upkeep.due_prune(now, me, state, &self.gossip, &self.suspicion);
        let owns = |shard| self.holdings.epoch(shard).is_some();
        let mark = self.upkeep.due_mark(now, me, state, owns);
        if let Some(node) = gone {
            self.append(now, Purpose::Prune, &ControlRecord::Leave { node }, out);
        }
        if let Some(from) = mark {
            self.append(now, Purpose::Mark, &ControlRecord::Mark { owner: me, from }, out);
        }
        if self.upkeep.wants_snapshot(now, me, &self.fold, self.suspicion.live())
            && let Some(record) = self.fold.snapshot()
        {
            self.append(now, Purpose::Snapshot, &record, out);
        }
    }

    /// Appends the releases, and on shutdown the leave. Tried without a fresh read too: a process
    /// that ends while the log is slow should still save its successors the wait.
    fn give_up_shards(&mut self, now: Time, in_touch: bool, out: &mut Vec<ControlEffect>) {
        let shards = self.holdings.to_release();
        if !shards.is_empty() {
            self.append_release(now, in_touch, shards, out);
            return;
        }
        let Some(state) = self.fold.state() else { return };
        if self.running != Running::Leaving {
            return;
        }
        let claimed = state.shards().any(|(_, of)| of.owner() == Some(self.options.info.node));
        if claimed {
            // A claim that was under way when the shutdown began.
            self.holdings.release_all(state, out);
        } else if state.member(self.me()).is_some() {
            let record = ControlRecord::Leave { node: self.me() };
            self.append(now, Purpose::Leave, &record, out);
        } else if !self.appends.in_doubt(Purpose::Claim) || in_touch {
            self.running = Running::Left;
            out.push(ControlEffect::ShutdownDone);
        }
    }

    fn append_release(
        &mut self,
        now: Time,
        in_touch: bool,
        shards: ShardEpochs,
        out: &mut Vec<ControlEffect>,
    ) {
        let record = ControlRecord::Release { owner: self.me(), shards };
        let read_sent = if in_touch { self.reads.fresh() } else { Some(now) };
        if self.appends.is_open(now, Purpose::Release, read_sent) {
            self.appends.append(now, Purpose::Release, &record, out);
        }
    }

    fn decide_proposals(&mut self, now: Time, in_touch: bool, out: &mut Vec<ControlEffect>) {
        let config = self.fold.state().map(ControlState::config);
        self.proposals.decide(now, config, &mut self.appends, out);
        if in_touch {
            self.proposals.append(now, self.reads.fresh(), &mut self.appends, out);
        }
    }

    fn append(
        &mut self,
        now: Time,
        purpose: Purpose,
        record: &ControlRecord,
        out: &mut Vec<ControlEffect>,
    ) -> bool {
        let open = self.appends.is_open(now, purpose, self.reads.fresh());
        if open {
            self.appends.append(now, purpose, record, out);
        }
        open
    }
}

impl Authority for Control {
    /// Counted from the sending of the last read that reached the end: what was in the log then
    /// shows this process as settled owner, and no successor acts before this has lapsed.
    fn epoch_if_held(&self, now: Time, shard: ShardId) -> Option<Epoch> {
        if !self.reads.is_in_touch(now) {
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
