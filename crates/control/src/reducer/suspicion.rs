//! Who is thought to be gone. A wrong guess costs a needless succession, never safety.

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

/// A process silent for this long is suspected: three probes went unanswered by then.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(4);

/// How long a doubted process has to answer through the log: three of its reads.
const DOUBT_WAIT: Duration = Duration::from_secs(3);

/// A process that answered a doubt through the log isn't doubted again for this long: during a
/// cut between regions each process of the smaller side asks twice a minute.
const DOUBT_AGAIN_AFTER: Duration = Duration::from_secs(30);

/// A process that has joined is left out of account for this long, as long as there are older
/// ones: it learns only now who is silent, and the others would wait for its claims. One that
/// restarts in a loop would also take shards only to lose them.
const NEW_FOR: Duration = Duration::from_secs(10);

/// Processes that joined within this time of the oldest were started with it, and none of them
/// is new to the others. Without this the first to be ten seconds old took nearly every shard.
const TOGETHER: Duration = Duration::from_secs(5);

/// A claimant that hung until another one claimed its shard isn't meant to have shards for this
/// long. Balancing would otherwise move the shard back to it at once, to hang again.
const STUCK_FOR: Duration = Duration::from_secs(600);

/// What is known of one process beside the gossip.
#[derive(Clone, Debug, Default)]
struct Signs {
    seen_in_log: Option<Time>,
    doubted: Option<Time>,
    gone: Option<Time>,
    joined: Option<Time>,
    stuck: Option<Time>,
}

/// The view of who is there, from gossip, the log and the VM list.
///
/// A process that is cut off from its peers but not from the log hears nobody. If it then claimed
/// everything, and the others claimed it back, the shards would go to and fro for as long as the
/// cut lasts. So one that hears no more than half of the schedulers asks through the log first,
/// and the living answer there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    signs: BTreeMap<NodeId, Signs>,
    few_heard: bool,
    live: Vec<NodeId>,
    candidates: Vec<NodeId>,
}

impl Suspicion {
    pub(crate) fn seen_in_log(&mut self, now: Time, node: NodeId) {
        self.signs.entry(node).or_default().seen_in_log = Some(now);
    }

    pub(crate) fn doubted(&mut self, now: Time, node: NodeId) {
        self.signs.entry(node).or_default().doubted = Some(now);
    }

    pub(crate) fn stuck(&mut self, now: Time, node: NodeId) {
        self.signs.entry(node).or_default().stuck = Some(now);
    }

    pub(crate) fn vm_gone(&mut self, now: Time, addr: &str, state: &ControlState) {
        let at_addr = |info: &&NodeInfo| host(&info.peer_addr) == addr;
        for info in state.members().filter(at_addr) {
            self.signs.entry(info.node).or_default().gone = Some(now);
        }
    }

    /// Begins anew after this process was out of touch.
    pub(crate) fn excuse(&mut self) {
        for signs in self.signs.values_mut() {
            *signs = Signs { joined: signs.joined, stuck: signs.stuck, ..Signs::default() };
        }
    }

    /// Looks at everyone once for this step.
    pub(crate) fn update(&mut self, now: Time, me: NodeId, gossip: &Gossip, state: &ControlState) {
        self.signs.retain(|node, _| state.member(*node).is_some());
        for (node, signs) in &mut self.signs {
            let silent = gossip
                .time_since_contact(now, *node)
                .is_none_or(|silence| silence >= SUSPECT_AFTER);
            signs.doubted = signs.doubted.filter(|_| silent);
            let heard_since = |at: &Time| gossip.heard_at(*node).is_none_or(|heard| heard <= *at);
            signs.gone = signs.gone.filter(heard_since);
        }
        let schedulers = || state.schedulers().map(|info| info.node);
        let total = schedulers().count();
        let heard = schedulers().filter(|n| *n == me || !self.is_silent(now, *n, gossip)).count();
        self.few_heard = heard * 2 <= total;
        self.live = schedulers()
            .filter(|n| *n == me || !self.is_silent(now, *n, gossip) || !self.is_confirmed(now, *n))
            .collect();
        self.find_candidates(now, me);
    }

    fn find_candidates(&mut self, now: Time, me: NodeId) {
        for node in &self.live {
            self.signs.entry(*node).or_default().joined.get_or_insert(now);
        }
        let joined = |node: &NodeId| self.signs.get(node).and_then(|signs| signs.joined);
        let oldest = self.live.iter().filter_map(joined).min().unwrap_or(now);
        let is_old = |node: &NodeId| {
            let at = joined(node).unwrap_or(now);
            *node == me || now >= at + NEW_FOR || at <= oldest + TOGETHER
        };
        let is_stuck = |node: &NodeId| {
            let stuck = self.signs.get(node).and_then(|signs| signs.stuck);
            stuck.is_some_and(|at| now < at + STUCK_FOR)
        };
        let meant = |node: &NodeId| is_old(node) && !is_stuck(node);
        self.candidates = self.live.iter().copied().filter(meant).collect();
        if self.candidates.is_empty() {
            self.candidates = self.live.clone();
        }
    }

    /// The live schedulers that shards are meant for.
    pub(crate) fn candidates(&self) -> &[NodeId] {
        &self.candidates
    }

    /// Whether this process hears no more than half of the schedulers, itself among them.
    pub(crate) fn few_heard(&self) -> bool {
        self.few_heard
    }

    /// The schedulers that aren't suspected, this process among them, in the order of their ids.
    pub(crate) fn live(&self) -> &[NodeId] {
        &self.live
    }

    pub(crate) fn is_live(&self, node: NodeId) -> bool {
        self.live.binary_search(&node).is_ok()
    }

    /// The silent schedulers to be asked for through the log now.
    pub(crate) fn to_doubt(
        &self,
        now: Time,
        me: NodeId,
        gossip: &Gossip,
        state: &ControlState,
    ) -> SmallVec<[NodeId; 4]> {
        if !self.few_heard {
            return SmallVec::new();
        }
        state
            .schedulers()
            .map(|info| info.node)
            .filter(|node| *node != me && self.is_silent(now, *node, gossip))
            .filter(|node| self.wants_doubt(now, *node))
            .collect()
    }

    /// Whether the process has been silent for `limit`, in the log too, and isn't taken for living.
    /// One that is cut off from its peers shows itself in the log, and is not to be removed.
    pub(crate) fn is_gone_for(
        &self,
        now: Time,
        info: &NodeInfo,
        gossip: &Gossip,
        limit: Duration,
    ) -> bool {
        let silent =
            gossip.time_since_contact(now, info.node).is_some_and(|silence| silence >= limit);
        let seen = self.signs.get(&info.node).and_then(|signs| signs.seen_in_log);
        let seen_lately = seen.is_some_and(|at| now < at + limit);
        silent && !seen_lately && (info.role == Role::Entry || !self.is_live(info.node))
    }

    fn is_silent(&self, now: Time, node: NodeId, gossip: &Gossip) -> bool {
        let silent =
            gossip.time_since_contact(now, node).is_none_or(|silence| silence >= SUSPECT_AFTER);
        silent || self.signs.get(&node).is_some_and(|signs| signs.gone.is_some())
    }

    fn is_confirmed(&self, now: Time, node: NodeId) -> bool {
        if !self.few_heard {
            return true;
        }
        let Some(signs) = self.signs.get(&node) else {
            return false;
        };
        signs.doubted.is_some_and(|at| now >= at + DOUBT_WAIT && signs.seen_in_log < Some(at))
    }

    fn wants_doubt(&self, now: Time, node: NodeId) -> bool {
        let Some(Signs { doubted: Some(at), seen_in_log, .. }) = self.signs.get(&node) else {
            return true;
        };
        seen_in_log.is_some_and(|seen| seen >= *at && now >= seen + DOUBT_AGAIN_AFTER)
    }
}

/// The address without its port.
fn host(addr: &CompactString) -> &str {
    addr.rsplit_once(':').map_or(addr, |(host, _)| host)
}
