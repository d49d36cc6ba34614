//! Detects failed processes. A wrong suspicion costs a needless takeover, never safety.

use {
    crate::{
        gossip::Gossip,
        record::{NodeInfo, Role},
        state::ControlState,
    },
    compact_str::CompactString,
    egretlb_types::{NodeId, Time},
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// A process without contact for this long is suspected; three probes fit into this time.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(4);

/// Time to answer a liveness check through the log; covers three reads.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);

/// A process that answered a liveness check isn't checked again for this long. Limits the records
/// written during a network partition.
const RECHECK_AFTER: Duration = Duration::from_secs(30);

/// A process that joined is no candidate for this long if older ones exist: it doesn't know yet
/// which processes are unresponsive, so the others would wait for its claims. One that restarts in
/// a loop would also take over shards only to lose them.
const NEWCOMER_EXCLUDED_FOR: Duration = Duration::from_secs(10);

/// Processes that joined within this time of the oldest are not newcomers. Otherwise the first to
/// reach [`NEWCOMER_EXCLUDED_FOR`] would claim nearly every shard.
const STARTED_TOGETHER_WITHIN: Duration = Duration::from_secs(5);

/// A claimant that didn't settle until another process claimed its shard is no candidate for this
/// long. Otherwise balancing would move the shard back to it at once.
const STUCK_EXCLUDED_FOR: Duration = Duration::from_secs(600);

/// What is known of one process besides gossip.
#[derive(Clone, Debug, Default)]
struct Observations {
    last_log_record: Option<Time>,
    check_requested: Option<Time>,
    vm_gone_at: Option<Time>,
    first_live: Option<Time>,
    stuck_at: Option<Time>,
}

/// Decides which processes are alive, from gossip, the log and the VM list.
///
/// A process that is cut off from its peers, but not from the log, has contact with none of them.
/// If it claimed every shard and the others claimed them back, shards would move as long as the
/// partition lasts. A process in contact with at most half of the schedulers therefore makes a
/// liveness check through the log first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    observations: BTreeMap<NodeId, Observations>,
    in_minority: bool,
    live: Vec<NodeId>,
    candidates: Vec<NodeId>,
}

impl FailureDetector {
    pub(crate) fn record_log_activity(&mut self, now: Time, node: NodeId) {
        self.observations.entry(node).or_default().last_log_record = Some(now);
    }

    pub(crate) fn record_liveness_check(&mut self, now: Time, node: NodeId) {
        self.observations.entry(node).or_default().check_requested = Some(now);
    }

    pub(crate) fn record_stuck(&mut self, now: Time, node: NodeId) {
        self.observations.entry(node).or_default().stuck_at = Some(now);
    }

    pub(crate) fn vm_gone(&mut self, now: Time, addr: &str, state: &ControlState) {
        let has_addr = |info: &&NodeInfo| host(&info.peer_addr) == addr;
        for info in state.members().filter(has_addr) {
            self.observations.entry(info.node).or_default().vm_gone_at = Some(now);
        }
    }

    /// Resets the detector after this process was without a fresh read.
    pub(crate) fn reset(&mut self) {
        for observations in self.observations.values_mut() {
            *observations = Observations {
                first_live: observations.first_live,
                stuck_at: observations.stuck_at,
                ..Observations::default()
            };
        }
    }

    /// Updates the view of every process.
    pub(crate) fn update(&mut self, now: Time, me: NodeId, gossip: &Gossip, state: &ControlState) {
        self.observations.retain(|node, _| state.member(*node).is_some());
        for (node, observations) in &mut self.observations {
            let unresponsive =
                gossip.idle_time(now, *node).is_none_or(|idle| idle >= SUSPECT_AFTER);
            observations.check_requested = observations.check_requested.filter(|_| unresponsive);
            let no_contact_since =
                |at: &Time| gossip.last_contact(*node).is_none_or(|contact| contact <= *at);
            observations.vm_gone_at = observations.vm_gone_at.filter(no_contact_since);
        }
        let schedulers = || state.schedulers().map(|info| info.node);
        let total = schedulers().count();
        let reachable =
            schedulers().filter(|n| *n == me || !self.is_unresponsive(now, *n, gossip)).count();
        self.in_minority = reachable * 2 <= total;
        self.live = schedulers()
            .filter(|n| {
                *n == me
                    || !self.is_unresponsive(now, *n, gossip)
                    || !self.is_confirmed_unresponsive(now, *n)
            })
            .collect();
        self.update_candidates(now, me);
    }

    fn update_candidates(&mut self, now: Time, me: NodeId) {
        for node in &self.live {
            self.observations.entry(*node).or_default().first_live.get_or_insert(now);
        }
        let first_live = |node: &NodeId| {
            self.observations.get(node).and_then(|observations| observations.first_live)
        };
        let oldest = self.live.iter().filter_map(first_live).min().unwrap_or(now);
        let is_established = |node: &NodeId| {
            let at = first_live(node).unwrap_or(now);
            *node == me
                || now >= at + NEWCOMER_EXCLUDED_FOR
                || at <= oldest + STARTED_TOGETHER_WITHIN
        };
        let is_stuck = |node: &NodeId| {
            let stuck = self.observations.get(node).and_then(|observations| observations.stuck_at);
            stuck.is_some_and(|at| now < at + STUCK_EXCLUDED_FOR)
        };
        let is_eligible = |node: &NodeId| is_established(node) && !is_stuck(node);
        self.candidates = self.live.iter().copied().filter(is_eligible).collect();
        if self.candidates.is_empty() {
            self.candidates = self.live.clone();
        }
    }

    /// The live schedulers that may be assigned shards.
    pub(crate) fn candidates(&self) -> &[NodeId] {
        &self.candidates
    }

    /// Whether this process is in contact with at most half of the schedulers, itself included.
    pub(crate) fn in_minority(&self) -> bool {
        self.in_minority
    }

    /// The schedulers that aren't suspected, this process included, by id.
    pub(crate) fn live(&self) -> &[NodeId] {
        &self.live
    }

    pub(crate) fn is_live(&self, node: NodeId) -> bool {
        self.live.binary_search(&node).is_ok()
    }

    /// The unresponsive schedulers for which a liveness check is due.
    pub(crate) fn to_check(
        &self,
        now: Time,
        me: NodeId,
        gossip: &Gossip,
        state: &ControlState,
    ) -> SmallVec<[NodeId; 4]> {
        if !self.in_minority {
            return SmallVec::new();
        }
        state
            .schedulers()
            .map(|info| info.node)
            .filter(|node| *node != me && self.is_unresponsive(now, *node, gossip))
            .filter(|node| self.needs_check(now, *node))
            .collect()
    }

    /// Whether the process has been unresponsive for `limit`, wrote no record in that time and
    /// isn't live. A process cut off from its peers only still writes records, and must not be
    /// removed.
    pub(crate) fn is_gone_for(
        &self,
        now: Time,
        info: &NodeInfo,
        gossip: &Gossip,
        limit: Duration,
    ) -> bool {
        let unresponsive = gossip.idle_time(now, info.node).is_some_and(|idle| idle >= limit);
        let last_log_record =
            self.observations.get(&info.node).and_then(|observations| observations.last_log_record);
        let recent_log_record = last_log_record.is_some_and(|at| now < at + limit);
        unresponsive && !recent_log_record && (info.role == Role::Entry || !self.is_live(info.node))
    }

    fn is_unresponsive(&self, now: Time, node: NodeId, gossip: &Gossip) -> bool {
        let unresponsive = gossip.idle_time(now, node).is_none_or(|idle| idle >= SUSPECT_AFTER);
        unresponsive
            || self
                .observations
                .get(&node)
                .is_some_and(|observations| observations.vm_gone_at.is_some())
    }

    fn is_confirmed_unresponsive(&self, now: Time, node: NodeId) -> bool {
        if !self.in_minority {
            return true;
        }
        let Some(observations) = self.observations.get(&node) else {
            return false;
        };
        observations
            .check_requested
            .is_some_and(|at| now >= at + CHECK_TIMEOUT && observations.last_log_record < Some(at))
    }

    fn needs_check(&self, now: Time, node: NodeId) -> bool {
        let Some(Observations { check_requested: Some(at), last_log_record, .. }) =
            self.observations.get(&node)
        else {
            return true;
        };
        last_log_record.is_some_and(|last| last >= *at && now >= last + RECHECK_AFTER)
    }
}

/// Strips the port from an address.
fn host(addr: &CompactString) -> &str {
    addr.rsplit_once(':').map_or(addr, |(host, _)| host)
}
