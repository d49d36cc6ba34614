//! What a process does of its own accord, whichever event came.

use {
    crate::{
        event::{Alarm, ControlEffect},
        record::{ControlRecord, ShardEpochs},
        reducer::{Control, Running, gate::Purpose, reads::LEASE},
        state::ControlState,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// A new scheduler claims nothing for this long after it joined: processes that are started
/// together see one another first, or the first would claim every shard.
const CLAIM_AFTER: Duration = Duration::from_secs(1);

/// A process that hears most others claims only if a heartbeat reached it within this time; some
/// two arrive each second.
const REACHED_WITHIN: Duration = Duration::from_secs(1);

/// Shards without an owner for this long raise an alarm.
const UNSERVED_ALARM_AFTER: Duration = Duration::from_secs(30);

impl Control {
    /// Does whatever is due, whichever event came.
    pub(super) fn act(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        self.appends.give_up(now);
        if let Some(state) = self.fold.state() {
            self.suspicion.update(now, self.options.info.node, &self.gossip, state);
        }
        self.send_heartbeat(now, out);
        let has_fresh_read = self.reads.has_fresh_read(now);
        self.watch(now, has_fresh_read, out);
        if has_fresh_read {
            self.take_part(now, out);
        } else {
            self.fetch_config(now, out);
        }
        self.give_up_shards(now, has_fresh_read, out);
        self.decide_proposals(now, has_fresh_read, out);
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

    fn watch(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let long = self.reads.out_of_touch_for(now) >= LEASE;
        self.alarms.set(Alarm::LogOutOfReach, !has_fresh_read && long, out);
        let few = has_fresh_read && self.suspicion.few_heard();
        self.alarms.set(Alarm::FewPeersHeard, few, out);
        let unserved =
            has_fresh_read && self.succession.any_unserved_for(now, UNSERVED_ALARM_AFTER);
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
            let record = ControlRecord::LivenessCheck { by: self.me(), of };
            self.append(now, Purpose::LivenessCheck, &record, out);
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
        // The only scheduler hears nobody if the entries are gone, and must serve all the same.
        let alone = self.fold.state().is_some_and(|state| state.schedulers().count() <= 1);
        self.member_since.is_some_and(|since| now >= since + CLAIM_AFTER)
            && self.reads.in_touch_for(now) >= CLAIM_AFTER
            && (alone || self.suspicion.few_heard() || self.gossip.is_reached(now, REACHED_WITHIN))
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
            self.append(
                now,
                Purpose::LowWaterMark,
                &ControlRecord::LowWaterMark { owner: me, from },
                out,
            );
        }
        if self.upkeep.wants_snapshot(now, me, &self.fold, self.suspicion.live())
            && let Some(record) = self.fold.snapshot()
        {
            self.append(now, Purpose::Snapshot, &record, out);
        }
    }

    /// Appends the releases, and on shutdown the leave. Tried without a fresh read too: a process
    /// that ends while the log is slow should still save its successors the wait.
    fn give_up_shards(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let shards = self.holdings.to_release();
        if !shards.is_empty() {
            self.append_release(now, has_fresh_read, shards, out);
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
        } else if !self.appends.in_doubt(Purpose::Claim) || has_fresh_read {
            self.running = Running::Left;
            out.push(ControlEffect::ShutdownDone);
        }
    }

    fn append_release(
        &mut self,
        now: Time,
        has_fresh_read: bool,
        shards: ShardEpochs,
        out: &mut Vec<ControlEffect>,
    ) {
        let record = ControlRecord::Release { owner: self.me(), shards };
        let read_sent = if has_fresh_read { self.reads.fresh() } else { Some(now) };
        if self.appends.is_open(now, Purpose::Release, read_sent) {
            self.appends.append(now, Purpose::Release, &record, out);
        }
    }

    fn decide_proposals(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let config = self.fold.state().map(ControlState::config);
        self.proposals.decide(now, config, &mut self.appends, out);
        if has_fresh_read {
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
