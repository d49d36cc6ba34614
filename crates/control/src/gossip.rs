//! Heartbeats, and the time of last contact with each process that they report.
//!
//! Each scheduler sends two heartbeats a second, each to one peer, mostly at random. They report
//! which schedulers it had recent contact with, directly or through others. Sending to every peer
//! would exceed a node's network budget for control messages. Gossip only affects which process
//! claims a shard and when; ownership of a shard is decided by the log.

use {
    crate::{
        record::{ConfigVersion, NodeInfo, Role},
        state::ControlState,
    },
    egretlb_types::{NodeId, Time},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Time between two heartbeats of a scheduler.
const SCHEDULER_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two heartbeats of an entry process. It is removed from the members only after
/// minutes without contact.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Share of a scheduler's heartbeats sent to any process, to spread the configuration version. The
/// others go to schedulers, as only they claim shards.
const ANY_PROCESS_SHARE: f64 = 0.125;

/// A scheduler without contact for this long gets a heartbeat (a probe), which it answers at once.
/// This prevents most false suspicions of failure.
pub(crate) const PROBE_AFTER: Duration = Duration::from_millis(2_500);

/// A scheduler without contact for this long, which is then suspected to have failed, is probed with
/// at most every other heartbeat, so that failed processes don't delay contact between live ones.
const PROBE_ALTERNATELY_AFTER: Duration = Duration::from_secs(4);

/// A process without contact for this long is no longer probed, only sent random heartbeats.
const PROBE_UNTIL: Duration = Duration::from_secs(10);

/// The unit of [`LastContact::age`], in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// The last contact with a process, as reported in a heartbeat. The process is identified by a tag,
/// the low 32 bits of its id. If two processes have the same tag, a failure of one stays undetected
/// until the other restarts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LastContact {
    /// The low 32 bits of the process's id.
    pub tag: [u8; 4],
    /// Time since the last contact, in units of 100 ms.
    pub age: u8,
}

/// A message that shows that its sender is alive, and reports which schedulers it had contact with.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: NodeId,
    /// Whether the sender has read the log recently. If it hasn't, it can't act for its shards, and
    /// others may claim them.
    pub has_fresh_read: bool,
    /// The version of the configuration in force at the sender.
    pub config: ConfigVersion,
    /// Whether this answers a heartbeat whose sender had no recent contact with this process.
    pub answer: bool,
    /// The schedulers that the sender had recent contact with.
    pub last_contacts: Vec<LastContact>,
}

fn tag(node: NodeId) -> [u8; 4] {
    (node.0 as u32).to_le_bytes()
}

/// Contact with a peer, as known to this process.
#[derive(Clone, Copy, Debug)]
struct PeerContact {
    /// When the peer last sent a heartbeat to this process or to others that reported it.
    last_contact: Option<Time>,
    /// The peer's idle time doesn't start before this. Not reported to others, since it doesn't show
    /// that the peer is alive.
    idle_from: Time,
}

impl PeerContact {
    fn idle_since(&self) -> Time {
        self.last_contact.map_or(self.idle_from, |last| last.max(self.idle_from))
    }
}

/// The last contact with each peer, and the schedule of this process's heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    own_info: NodeInfo,
    rng: SmallRng,
    peers: BTreeMap<NodeId, PeerContact>,
    last_received: Option<Time>,
    /// When the next heartbeat is due.
    next_at: Time,
    /// Whether the current heartbeat may probe a suspected process; alternates.
    may_probe_suspected: bool,
}

impl Gossip {
    pub(crate) fn new(own_info: NodeInfo, seed: u64) -> Self {
        Gossip {
            own_info,
            rng: SmallRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            last_received: None,
            next_at: Time::ZERO,
            may_probe_suspected: false,
        }
    }

    /// Adds new members, whose idle time starts now, and removes former ones.
    pub(crate) fn update_members(&mut self, now: Time, state: &ControlState) {
        self.peers.retain(|node, _| state.member(*node).is_some());
        for info in state.members().filter(|info| info.node != self.own_info.node) {
            self.peers
                .entry(info.node)
                .or_insert(PeerContact { last_contact: None, idle_from: now });
        }
    }

    /// Restarts every idle time, after this process had no fresh read of the log.
    pub(crate) fn reset_idle_times(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            peer.idle_from = now;
        }
    }

    /// Time since the last contact with the process, since it became a member or since the
    /// last reset; `None` if it isn't another member.
    pub(crate) fn idle_time(&self, now: Time, node: NodeId) -> Option<Duration> {
        self.peers.get(&node).map(|peer| now.since(peer.idle_since()))
    }

    /// When the last contact with the process was; `None` if there was none.
    pub(crate) fn last_contact(&self, node: NodeId) -> Option<Time> {
        self.peers.get(&node).and_then(|peer| peer.last_contact)
    }

    /// Whether a heartbeat of any process arrived within `span`.
    ///
    /// A process that can't be reached any more loses contact with its peers one after the other.
    /// Without this check it would claim the shards of the first while it still seems to have contact
    /// with most.
    pub(crate) fn received_within(&self, now: Time, span: Duration) -> bool {
        self.last_received.is_some_and(|at| now.since(at) <= span)
    }

    /// Handles a heartbeat. Returns `true` if the sender has had no recent contact with this scheduler
    /// and should get an answer at once.
    pub(crate) fn receive(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        self.last_received = Some(now);
        if heartbeat.has_fresh_read {
            self.record_contact(heartbeat.from, now);
        }
        for contact in &heartbeat.last_contacts {
            let age = Duration::from_millis(u64::from(contact.age) * AGE_UNIT_MS);
            let node = self.peers.keys().find(|node| tag(**node) == contact.tag).copied();
            if let Some(node) = node {
                self.record_contact(node, now - age);
            }
        }
        let max_age = PROBE_AFTER.as_millis() as u64 / AGE_UNIT_MS;
        let had_recent_contact = |contact: &LastContact| {
            contact.tag == tag(self.own_info.node) && u64::from(contact.age) < max_age
        };
        let lost_contact = !heartbeat.last_contacts.iter().any(had_recent_contact);
        // An answer is never answered, or a peer that doesn't know this process yet would cause a
        // loop.
        lost_contact && !heartbeat.answer && self.own_info.role == Role::Scheduler
    }

    /// The process to send a heartbeat to now, if one is due.
    pub(crate) fn next_recipient<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a NodeInfo>,
    ) -> Option<&'a NodeInfo> {
        if now < self.next_at {
            return None;
        }
        // Jitter, so that processes started together don't send in step.
        let is_entry = self.own_info.role == Role::Entry;
        let interval = if is_entry { ENTRY_INTERVAL } else { SCHEDULER_INTERVAL };
        self.next_at = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
        let others: Vec<&NodeInfo> =
            members.filter(|info| info.node != self.own_info.node).collect();
        self.may_probe_suspected = !self.may_probe_suspected;
        let idle_time = |info: &NodeInfo| self.idle_time(now, info.node).unwrap_or_default();
        let probe_target = others
            .iter()
            .copied()
            .filter(|info| info.role == Role::Scheduler)
            .filter(|info| (PROBE_AFTER..PROBE_UNTIL).contains(&idle_time(info)))
            // The longest idle one, but a suspected one only if there are no others.
            .max_by_key(|info| (idle_time(info) < PROBE_ALTERNATELY_AFTER, idle_time(info)));
        let may_probe =
            |info: &NodeInfo| self.may_probe_suspected || idle_time(info) < PROBE_ALTERNATELY_AFTER;
        match probe_target.filter(|info| may_probe(info)) {
            Some(info) => Some(info),
            None => self.random_recipient(&others),
        }
    }

    fn random_recipient<'a>(&mut self, others: &[&'a NodeInfo]) -> Option<&'a NodeInfo> {
        let is_scheduler = |info: &&&NodeInfo| info.role == Role::Scheduler;
        let schedulers: Vec<&NodeInfo> = others.iter().filter(is_scheduler).copied().collect();
        let to_anyone =
            self.own_info.role == Role::Scheduler && self.rng.random_bool(ANY_PROCESS_SHARE);
        if to_anyone || schedulers.is_empty() {
            return others.choose(&mut self.rng).copied();
        }
        schedulers.choose(&mut self.rng).copied()
    }

    /// The heartbeat to send now.
    pub(crate) fn heartbeat<'a>(
        &self,
        now: Time,
        has_fresh_read: bool,
        config: ConfigVersion,
        schedulers: impl Iterator<Item = &'a NodeInfo>,
    ) -> Heartbeat {
        let last_contacts = schedulers
            .filter_map(|info| Some((info.node, now.since(self.last_contact(info.node)?))))
            .filter_map(|(node, idle)| {
                let age = u8::try_from((idle.as_millis() as u64).div_ceil(AGE_UNIT_MS)).ok()?;
                Some(LastContact { tag: tag(node), age })
            })
            .collect();
        Heartbeat { from: self.own_info.node, has_fresh_read, config, answer: false, last_contacts }
    }

    fn record_contact(&mut self, node: NodeId, at: Time) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.last_contact = peer.last_contact.max(Some(at));
        }
    }
}

impl Heartbeat {
    /// Size of the encoded heartbeat in bytes; the runtime's encoding may differ by a few bytes.
    pub fn encoded_len(&self) -> usize {
        postcard::to_extend(self, Vec::new()).map_or(0, |buf| buf.len())
    }
}
