//! Takeover of shards: which to claim, how long to wait, when to recover and settle.

use {
    crate::{
        event::{ControlEffect, Predecessor},
        options::Protections,
        record::{ShardEpoch, ShardEpochs},
        reducer::{reads::LEASE, suspicion::FailureDetector},
        state::{ControlState, Phase, ShardState},
    },
    egretlb_types::{Epoch, NodeId, ShardId, Time, rendezvous_score},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a successor waits after reading its own claim. The predecessor counts [`LEASE`] from a
/// read that was sent earlier. With clock rates 1% off in opposite directions the wait must be
/// LEASE x 1.01 / 0.99 = 3.061 s; the rest covers timers that fire early.
pub(crate) const LEASE_EXPIRY_WAIT: Duration = LEASE.saturating_add(Duration::from_millis(100));

/// The preferred process of a shard claims at once; each lower-ranked one waits this much longer,
/// in case the preferred one hangs.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// Extra delay of a process in a minority, so that the majority claims first.
const MINORITY_DELAY: Duration = Duration::from_secs(2);

/// A claimant that is alive but hasn't settled after this long is stuck, and another process
/// claims.
const STUCK_AFTER: Duration = Duration::from_secs(30);

/// Minimum time between two scans for shards without an owner.
const SCAN_INTERVAL: Duration = Duration::from_millis(90);

/// Progress of a takeover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The predecessor may still have authority.
    Waiting { until: Time },
    /// The shard is being recovered and its snapshot written.
    Recovering,
    /// The snapshot is durable.
    Recovered,
}

#[derive(Clone, Copy, Debug)]
struct Takeover {
    epoch: Epoch,
    stage: Stage,
}

/// A claim that hasn't settled, and when it was first read.
#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    epoch: Epoch,
    owner: Option<NodeId>,
    since: Time,
}

/// Takeovers by this process, pending claims, and shards without an owner.
#[derive(Clone, Debug)]
pub(crate) struct Succession {
    me: NodeId,
    protections: Protections,
    takeovers: BTreeMap<ShardId, Takeover>,
    claims: BTreeMap<ShardId, PendingClaim>,
    stuck: Vec<NodeId>,
    orphan_since: BTreeMap<ShardId, Time>,
    scan_at: Time,
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
            scan_at: Time::ZERO,
        }
    }

    /// Follows the state after a read was folded. The wait for a predecessor starts here, when this
    /// process reads its own claim.
    pub(crate) fn update(&mut self, now: Time, state: &ControlState, out: &mut Vec<ControlEffect>) {
        for (shard, ownership) in state.shards() {
            self.record_stuck(now, shard, ownership);
            if ownership.phase() == Phase::Claimed {
                self.update_claimed(now, shard, ownership);
            } else {
                self.claims.remove(&shard);
            }
            self.drop_ended(shard, ownership, out);
        }
    }

    /// Drops a takeover that has settled, or that another claim replaced.
    fn drop_ended(&mut self, shard: ShardId, ownership: &ShardState, out: &mut Vec<ControlEffect>) {
        let is_mine = ownership.owner() == Some(self.me);
        if is_mine && ownership.phase() == Phase::Claimed {
            return;
        }
        let Some(takeover) = self.takeovers.remove(&shard) else { return };
        let settled =
            is_mine && ownership.phase() == Phase::Settled && ownership.epoch() == takeover.epoch;
        if !settled {
            out.push(ControlEffect::ShardLost { shard, epoch: takeover.epoch });
        }
    }

    fn update_claimed(&mut self, now: Time, shard: ShardId, ownership: &ShardState) {
        let epoch = ownership.epoch();
        if self.claims.get(&shard).is_none_or(|claim| claim.epoch != epoch) {
            self.claims.insert(shard, PendingClaim { epoch, owner: ownership.owner(), since: now });
        }
        if ownership.owner() != Some(self.me) {
            return;
        }
        if self.takeovers.get(&shard).is_none_or(|takeover| takeover.epoch != epoch) {
            let must_wait = ownership.must_wait() && self.protections.await_lease_expiry;
            let until = if must_wait { now + LEASE_EXPIRY_WAIT } else { now };
            self.takeovers.insert(shard, Takeover { epoch, stage: Stage::Waiting { until } });
        }
    }

    /// Records a claimant that was replaced because it didn't settle in time.
    fn record_stuck(&mut self, now: Time, shard: ShardId, ownership: &ShardState) {
        let replaced = |claim: &&PendingClaim| {
            claim.epoch != ownership.epoch()
                && now >= claim.since + STUCK_AFTER
                && claim.owner != ownership.owner()
        };
        let stuck = self.claims.get(&shard).filter(replaced).and_then(|claim| claim.owner);
        self.stuck.extend(stuck);
    }

    /// Returns the replaced claimants since the last call.
    pub(crate) fn take_stuck(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.stuck)
    }

    /// Drops everything, since this process lost its state.
    pub(crate) fn clear(&mut self) {
        self.takeovers.clear();
        self.claims.clear();
        self.orphan_since.clear();
    }

    /// Starts to recover shards whose wait is over.
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
        let is_recovering = |takeover: &&mut Takeover| {
            takeover.epoch == epoch && takeover.stage == Stage::Recovering
        };
        if let Some(takeover) = self.takeovers.get_mut(&shard).filter(is_recovering) {
            takeover.stage = Stage::Recovered;
        }
    }

    /// The shards to settle now.
    pub(crate) fn to_settle(&self) -> ShardEpochs {
        self.takeovers
            .iter()
            .filter(|(_, takeover)| takeover.stage == Stage::Recovered)
            .map(|(shard, takeover)| ShardEpoch { shard: *shard, epoch: takeover.epoch })
            .collect()
    }

    /// The shards to claim now, in one append.
    pub(crate) fn due_claims(
        &mut self,
        now: Time,
        state: &ControlState,
        detector: &FailureDetector,
    ) -> ShardEpochs {
        if now < self.scan_at {
            return ShardEpochs::new();
        }
        self.scan_at = now + SCAN_INTERVAL;
        let orphans: Vec<(ShardId, &ShardState)> = state
            .shards()
            .filter(|(shard, ownership)| self.is_orphan(now, *shard, ownership, detector))
            .collect();
        self.orphan_since.retain(|shard, _| orphans.iter().any(|(orphan, _)| orphan == shard));
        let mut claims = ShardEpochs::new();
        for (shard, ownership) in orphans {
            let since = *self.orphan_since.entry(shard).or_insert(now);
            if now >= since + self.claim_delay(shard, ownership, detector) {
                claims.push(ShardEpoch { shard, epoch: ownership.epoch().next() });
            }
        }
        claims
    }

    fn is_orphan(
        &self,
        now: Time,
        shard: ShardId,
        ownership: &ShardState,
        detector: &FailureDetector,
    ) -> bool {
        match ownership.owner() {
            None => true,
            Some(owner) if owner == self.me => false,
            Some(owner) if !detector.is_live(owner) => true,
            Some(_) => ownership.phase() == Phase::Claimed && self.is_stuck(now, shard),
        }
    }

    fn is_stuck(&self, now: Time, shard: ShardId) -> bool {
        self.claims.get(&shard).is_some_and(|claim| now >= claim.since + STUCK_AFTER)
    }

    fn claim_delay(
        &self,
        shard: ShardId,
        ownership: &ShardState,
        detector: &FailureDetector,
    ) -> Duration {
        let own_score = rendezvous_score(shard, self.me);
        let better_ranked = detector
            .candidates()
            .iter()
            .filter(|node| {
                Some(**node) != ownership.owner() && rendezvous_score(shard, **node) > own_score
            })
            .count();
        // A process that is no candidate ranks after all candidates.
        let is_candidate = detector.candidates().contains(&self.me);
        let better_ranked = if is_candidate { better_ranked } else { detector.candidates().len() };
        let rank_delay = RANK_DELAY * u32::try_from(better_ranked).unwrap_or(u32::MAX);
        if detector.in_minority() { rank_delay + MINORITY_DELAY } else { rank_delay }
    }

    /// Whether any shard has had no settled owner for `limit`.
    pub(crate) fn any_without_owner_for(&self, now: Time, limit: Duration) -> bool {
        let exceeds_limit = |since: &Time| now.since(*since) >= limit;
        self.orphan_since.values().any(exceeds_limit)
            || self.claims.values().any(|claim| exceeds_limit(&claim.since))
    }

    /// Number of shards that this process is taking over.
    pub(crate) fn takeovers(&self) -> usize {
        self.takeovers.len()
    }
}

/// The preferred owner of the shard: the candidate with the highest score.
pub(crate) fn preferred(shard: ShardId, candidates: &[NodeId]) -> Option<NodeId> {
    candidates.iter().copied().max_by_key(|node| rendezvous_score(shard, *node))
}
