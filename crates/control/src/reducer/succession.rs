//! Taking over shards: which to claim, how long to wait, when to recover and to settle.

use {
    crate::{
        event::{ControlEffect, Predecessor},
        options::Protections,
        record::{ShardEpoch, ShardEpochs},
        reducer::{reads::LEASE, suspicion::Suspicion},
        state::{ControlState, Phase, ShardState},
    },
    egretlb_types::{Epoch, NodeId, ShardId, Time, rendezvous_score},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a successor waits from reading its own claim back. The predecessor counts [`LEASE`]
/// from the sending of a read that came before. If one clock runs 1% slow and the other 1% fast,
/// the wait must be LEASE x 1.01 / 0.99 = 3.061 s; what is left over is for timers that fire early.
pub(crate) const WAIT_OUT: Duration = LEASE.saturating_add(Duration::from_millis(100));

/// The process preferred for a shard claims at once; each further one waits this much longer, so
/// that a preferred one that hangs doesn't leave the shard without an owner.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// A process that hears few others waits this much longer, for the many that hear each other.
const FEW_HEARD_DELAY: Duration = Duration::from_secs(2);

/// A claimant that hasn't settled after this long, though it is heard, is stuck; another claims.
const STUCK_AFTER: Duration = Duration::from_secs(30);

/// How often all shards are looked through for lost owners; other events come more often.
const LOOK_EVERY: Duration = Duration::from_millis(90);

/// Where a take-over stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The predecessor may still have authority.
    Waiting { until: Time },
    /// The shard is being read back and its snapshot written.
    Recovering,
    /// The snapshot is durable.
    Recovered,
}

#[derive(Clone, Copy, Debug)]
struct Takeover {
    epoch: Epoch,
    stage: Stage,
}

/// A claim that hasn't settled, and when it was read.
#[derive(Clone, Copy, Debug)]
struct ClaimSeen {
    epoch: Epoch,
    owner: Option<NodeId>,
    since: Time,
}

/// The shards that this process claimed and doesn't act for yet, and those nobody acts for.
#[derive(Clone, Debug)]
pub(crate) struct Succession {
    me: NodeId,
    protections: Protections,
    takeovers: BTreeMap<ShardId, Takeover>,
    claims: BTreeMap<ShardId, ClaimSeen>,
    stuck: Vec<NodeId>,
    orphan_since: BTreeMap<ShardId, Time>,
    look_at: Time,
}

impl Succession {
    pub(crate) fn new(me: NodeId, protections: Protections) -> Self {
        Succession {
            me,
            protections,
            takeovers: BTreeMap::new(),
            claims: BTreeMap::new(),
            stuck: Vec::new(),
            orphan_since: BTreeMap::new(),
            look_at: Time::ZERO,
        }
    }

    /// Follows the state right after a read was folded: this is the moment at which this process
    /// reads its own claims back, and from which it waits.
    pub(crate) fn follow(&mut self, now: Time, state: &ControlState, out: &mut Vec<ControlEffect>) {
        for (shard, of) in state.shards() {
            self.note_stuck(now, shard, of);
            if of.phase() == Phase::Claimed {
                self.follow_claimed(now, shard, of);
            } else {
                self.claims.remove(&shard);
            }
            self.drop_ended(shard, of, out);
        }
    }

    /// Ends a take-over that has settled, or was overtaken by another claim.
    fn drop_ended(&mut self, shard: ShardId, of: &ShardState, out: &mut Vec<ControlEffect>) {
        let mine = of.owner() == Some(self.me);
        if mine && of.phase() == Phase::Claimed {
            return;
        }
        let Some(takeover) = self.takeovers.remove(&shard) else { return };
        let settled = mine && of.phase() == Phase::Settled && of.epoch() == takeover.epoch;
        if !settled {
            out.push(ControlEffect::ShardLost { shard, epoch: takeover.epoch });
        }
    }

    fn follow_claimed(&mut self, now: Time, shard: ShardId, of: &ShardState) {
        let epoch = of.epoch();
        if self.claims.get(&shard).is_none_or(|seen| seen.epoch != epoch) {
            self.claims.insert(shard, ClaimSeen { epoch, owner: of.owner(), since: now });
        }
        if of.owner() != Some(self.me) {
            return;
        }
        if self.takeovers.get(&shard).is_none_or(|takeover| takeover.epoch != epoch) {
            let must_wait = of.must_wait() && self.protections.await_lease_expiry;
            let until = if must_wait { now + WAIT_OUT } else { now };
            self.takeovers.insert(shard, Takeover { epoch, stage: Stage::Waiting { until } });
        }
    }

    /// Notes a claimant that was overtaken because it didn't settle in time.
    fn note_stuck(&mut self, now: Time, shard: ShardId, of: &ShardState) {
        let overtaken = |seen: &&ClaimSeen| {
            seen.epoch != of.epoch() && now >= seen.since + STUCK_AFTER && seen.owner != of.owner()
        };
        let stuck = self.claims.get(&shard).filter(overtaken).and_then(|seen| seen.owner);
        self.stuck.extend(stuck);
    }

    /// The claimants that were overtaken since this was asked last.
    pub(crate) fn take_stuck(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.stuck)
    }

    /// Forgets everything: this process has no state any more.
    pub(crate) fn clear(&mut self) {
        self.takeovers.clear();
        self.claims.clear();
        self.orphan_since.clear();
    }

    /// Begins to recover what was waited for.
    pub(crate) fn recover(
        &mut self,
        now: Time,
        state: &ControlState,
        out: &mut Vec<ControlEffect>,
    ) {
        for (shard, takeover) in &mut self.takeovers {
            let Stage::Waiting { until } = takeover.stage else { continue };
            if now < until {
                continue;
            }
            takeover.stage = if self.protections.snapshot_before_settle {
                Stage::Recovering
            } else {
                Stage::Recovered
            };
            let from = state.shard(*shard).last_settled();
            out.push(ControlEffect::Recover {
                shard: *shard,
                epoch: takeover.epoch,
                from: from.map(|(node, epoch)| {
                    let start = state.journal_start(node);
                    Predecessor { node, epoch, start }
                }),
            });
        }
    }

    /// The epoch under which this process is taking the shard over.
    pub(crate) fn epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.takeovers.get(&shard).map(|takeover| takeover.epoch)
    }

    /// The shard's snapshot is durable under the epoch.
    pub(crate) fn recovered(&mut self, shard: ShardId, epoch: Epoch) {
        let of_epoch = |takeover: &&mut Takeover| {
            takeover.epoch == epoch && takeover.stage == Stage::Recovering
        };
        if let Some(takeover) = self.takeovers.get_mut(&shard).filter(of_epoch) {
            takeover.stage = Stage::Recovered;
        }
    }

    /// The shards to be settled now.
    pub(crate) fn to_settle(&self) -> ShardEpochs {
        self.takeovers
            .iter()
            .filter(|(_, takeover)| takeover.stage == Stage::Recovered)
            .map(|(shard, takeover)| ShardEpoch { shard: *shard, epoch: takeover.epoch })
            .collect()
    }

    /// The shards to be claimed now, all of them in one append.
    pub(crate) fn due_claims(
        &mut self,
        now: Time,
        state: &ControlState,
        suspicion: &Suspicion,
    ) -> ShardEpochs {
        if now < self.look_at {
            return ShardEpochs::new();
        }
        self.look_at = now + LOOK_EVERY;
        let orphans: Vec<(ShardId, &ShardState)> = state
            .shards()
            .filter(|(shard, of)| self.is_orphan(now, *shard, of, suspicion))
            .collect();
        self.orphan_since.retain(|shard, _| orphans.iter().any(|(orphan, _)| orphan == shard));
        let mut claims = ShardEpochs::new();
        for (shard, of) in orphans {
            let since = *self.orphan_since.entry(shard).or_insert(now);
            if now >= since + self.delay(shard, of, suspicion) {
                claims.push(ShardEpoch { shard, epoch: of.epoch().next() });
            }
        }
        claims
    }

    fn is_orphan(&self, now: Time, shard: ShardId, of: &ShardState, suspicion: &Suspicion) -> bool {
        match of.owner() {
            None => true,
            Some(owner) if owner == self.me => false,
            Some(owner) if !suspicion.is_live(owner) => true,
            Some(_) => of.phase() == Phase::Claimed && self.is_stuck(now, shard),
        }
    }

    fn is_stuck(&self, now: Time, shard: ShardId) -> bool {
        self.claims.get(&shard).is_some_and(|seen| now >= seen.since + STUCK_AFTER)
    }

    fn delay(&self, shard: ShardId, of: &ShardState, suspicion: &Suspicion) -> Duration {
        let mine = rendezvous_score(shard, self.me);
        let better = suspicion
            .candidates()
            .iter()
            .filter(|node| Some(**node) != of.owner() && rendezvous_score(shard, **node) > mine)
            .count();
        // One that isn't meant to have shards comes after all that are.
        let is_candidate = suspicion.candidates().contains(&self.me);
        let better = if is_candidate { better } else { suspicion.candidates().len() };
        let rank = RANK_DELAY * u32::try_from(better).unwrap_or(u32::MAX);
        if suspicion.few_heard() { rank + FEW_HEARD_DELAY } else { rank }
    }

    /// Whether any shard has had no settled owner for `limit`.
    pub(crate) fn any_unserved_for(&self, now: Time, limit: Duration) -> bool {
        let long = |since: &Time| now.since(*since) >= limit;
        self.orphan_since.values().any(long) || self.claims.values().any(|seen| long(&seen.since))
    }

    /// How many shards this process is taking over.
    pub(crate) fn takeovers(&self) -> usize {
        self.takeovers.len()
    }
}

/// The process that the shard would go to if all were free: the one with the highest score.
pub(crate) fn preferred(shard: ShardId, candidates: &[NodeId]) -> Option<NodeId> {
    candidates.iter().copied().max_by_key(|node| rendezvous_score(shard, *node))
}
