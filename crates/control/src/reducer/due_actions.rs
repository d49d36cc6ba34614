//! Actions that depend on the state and the time only, checked after every event.

use {
    crate::{
        event::{Alarm, ControlEffect},
        record::{ControlRecord, ShardEpochs},
        reducer::{Control, Lifecycle, appends::Purpose, reads::LEASE},
        state::ControlState,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// A new scheduler claims nothing for this long after it joined, so that the first of several
/// processes started together doesn't claim every shard.
const CLAIM_AFTER: Duration = Duration::from_secs(1);

/// A process that isn't in a minority claims only if it received a heartbeat within this time;
/// about two arrive each second.
const HEARTBEAT_WITHIN: Duration = Duration::from_secs(1);

/// A shard without an owner for this long raises an alarm.
const WITHOUT_OWNER_ALARM_AFTER: Duration = Duration::from_secs(30);

impl Control {
    /// Performs all actions that are due.
    pub(super) fn run_due_actions(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        self.appends.time_out(now);
        if let Some(state) = self.fold.state() {
            self.detector.update(now, self.options.info.node, &self.gossip, state);
        }
        self.send_heartbeat(now, out);
        let has_fresh_read = self.reads.has_fresh_read(now);
        self.update_alarms(now, has_fresh_read, out);
        if has_fresh_read {
            self.participate(now, out);
        } else {
            self.fetch_config(now, out);
        }
        self.release_shards(now, has_fresh_read, out);
        self.decide_proposals(now, has_fresh_read, out);
        if self.lifecycle != Lifecycle::Left && self.reads.due(now) {
            out.push(ControlEffect::Read { from: self.fold.next() });
        }
    }

    fn send_heartbeat(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let Some(to) = self.gossip.next_recipient(now, state.members()).cloned() else { return };
        let heartbeat = self.own_heartbeat(now);
        out.push(ControlEffect::Heartbeat { to, heartbeat });
    }

    fn update_alarms(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let expired = self.reads.time_since_complete_read(now) >= LEASE;
        self.alarms.set(Alarm::LogOutOfReach, !has_fresh_read && expired, out);
        let in_minority = has_fresh_read && self.detector.in_minority();
        self.alarms.set(Alarm::FewPeersHeard, in_minority, out);
        let without_owner =
            has_fresh_read && self.succession.any_without_owner_for(now, WITHOUT_OWNER_ALARM_AFTER);
        self.alarms.set(Alarm::ShardsWithoutOwner, without_owner, out);
    }

    fn fetch_config(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(from) = self.config.due_fetch(now) else { return };
        let info = from.and_then(|node| self.fold.state()?.member(node).cloned());
        out.push(ControlEffect::FetchConfig { from: info });
    }

    /// Actions that need a fresh read: joining, and for a scheduler taking over shards.
    fn participate(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        if self.lifecycle != Lifecycle::Running {
            return;
        }
        self.join(now, out);
        if !self.options.is_scheduler() || self.member_since.is_none() {
            return;
        }
        self.check_liveness(now, out);
        self.advance_takeovers(now, out);
        self.maintain_stream(now, out);
    }

    fn join(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let joined = state.member(self.me()).is_some();
        if !joined {
            self.member_since = None;
        } else if self.member_since.is_none() {
            self.member_since = Some(now);
        }
        if joined && !self.must_rejoin {
            return;
        }
        let record = ControlRecord::Join(self.options.info.clone());
        if self.append(now, Purpose::Join, &record, out) {
            self.must_rejoin = false;
        }
    }

    fn check_liveness(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let Some(state) = self.fold.state() else { return };
        let nodes = self.detector.to_check(now, self.me(), &self.gossip, state);
        if !nodes.is_empty() {
            let record = ControlRecord::LivenessCheck { by: self.me(), nodes };
            self.append(now, Purpose::LivenessCheck, &record, out);
        }
    }

    fn advance_takeovers(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let owner = self.me();
        let Some(state) = self.fold.state() else { return };
        self.succession.recover(now, state, out);
        let claims = self.succession.due_claims(now, state, &self.detector);
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
        // The only scheduler receives no heartbeats if there are no entries, and must still claim.
        let is_only_scheduler =
            self.fold.state().is_some_and(|state| state.schedulers().count() <= 1);
        self.member_since.is_some_and(|since| now >= since + CLAIM_AFTER)
            && self.reads.fresh_for(now) >= CLAIM_AFTER
            && (is_only_scheduler
                || self.detector.in_minority()
                || self.gossip.received_within(now, HEARTBEAT_WITHIN))
    }

    fn maintain_stream(&mut self, now: Time, out: &mut Vec<ControlEffect>) {
        let me = self.me();
        let Some(state) = self.fold.state() else { return };
        if !self.detector.in_minority() {
            self.owned_shards.balance(now, state, self.detector.candidates(), out);
        }
        let gone = self.maintenance.due_prune(now, me, state, &self.gossip, &self.detector);
        let owns = |shard| self.owned_shards.epoch(shard).is_some();
        let low_water_mark = self.maintenance.due_low_water_mark(now, me, state, owns);
        if let Some(node) = gone {
            self.append(now, Purpose::Prune, &ControlRecord::Leave { node }, out);
        }
        if let Some(from) = low_water_mark {
            self.append(
                now,
                Purpose::LowWaterMark,
                &ControlRecord::LowWaterMark { owner: me, from },
                out,
            );
        }
        if self.maintenance.snapshot_due(now, me, &self.fold, self.detector.live())
            && let Some(record) = self.fold.snapshot()
        {
            self.append(now, Purpose::Snapshot, &record, out);
        }
    }

    /// Appends the releases and, on shutdown, the leave record. Also tried without a fresh read, so
    /// that successors needn't wait if the process exits while the log is slow.
    fn release_shards(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let shards = self.owned_shards.pending_releases();
        if !shards.is_empty() {
            self.append_release(now, has_fresh_read, shards, out);
            return;
        }
        let Some(state) = self.fold.state() else { return };
        if self.lifecycle != Lifecycle::Draining {
            return;
        }
        let claimed =
            state.shards().any(|(_, ownership)| ownership.owner() == Some(self.options.info.node));
        if claimed {
            // The claim was in flight when the shutdown began.
            self.owned_shards.release_all(state, out);
        } else if state.member(self.me()).is_some() {
            let record = ControlRecord::Leave { node: self.me() };
            self.append(now, Purpose::Leave, &record, out);
        } else if !self.appends.is_unconfirmed(Purpose::Claim) || has_fresh_read {
            self.lifecycle = Lifecycle::Left;
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
        let read_sent = if has_fresh_read { self.reads.last_complete_read() } else { Some(now) };
        if self.appends.may_append(now, Purpose::Release, read_sent) {
            self.appends.append(now, Purpose::Release, &record, out);
        }
    }

    fn decide_proposals(&mut self, now: Time, has_fresh_read: bool, out: &mut Vec<ControlEffect>) {
        let config = self.fold.state().map(ControlState::config);
        self.proposals.decide(now, config, &mut self.appends, out);
        if has_fresh_read {
            self.proposals.append(now, self.reads.last_complete_read(), &mut self.appends, out);
        }
    }

    fn append(
        &mut self,
        now: Time,
        purpose: Purpose,
        record: &ControlRecord,
        out: &mut Vec<ControlEffect>,
    ) -> bool {
        let may_append = self.appends.may_append(now, purpose, self.reads.last_complete_read());
        if may_append {
            self.appends.append(now, purpose, record, out);
        }
        may_append
    }
}
