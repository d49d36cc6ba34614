//! Heartbeats: who was heard when, spread from process to process.
//!
//! Each scheduler sends to two others a second, chosen at random, and says whom it has heard of
//! lately. Sending to all would cost 33 x 220 bytes a second at 17 + 17 processes, three times a
//! node's whole budget for control. All of this is a hint: it decides who claims when, never who
//! may act.

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
const SCHEDULER_EVERY: Duration = Duration::from_millis(500);

/// Time between two heartbeats of an entry, whose silence matters to nobody for minutes.
const ENTRY_EVERY: Duration = Duration::from_millis(1_000);

/// The share of a scheduler's heartbeats that goes to any process, for the version of the
/// configuration that it tells; the others go to schedulers, who alone claim shards.
const TO_ANYONE: f64 = 0.125;

/// A process not heard of for this long is asked directly, and answers at once: most silences
/// are the gossip's chance, and end here before anyone suspects a living process.
pub(crate) const PROBE_AFTER: Duration = Duration::from_millis(2_500);

/// A process not heard of for this long is suspected, and takes only every other heartbeat: the
/// dead must not keep the living from hearing of each other.
const PROBE_ONLY_UNTIL: Duration = Duration::from_secs(4);

/// A process not heard of for this long is probed no more often than others are.
const PROBE_UNTIL: Duration = Duration::from_secs(10);

/// The unit of [`LastContact::age`], in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// A process in a heartbeat: the low 32 bits of its id. Two processes of one tag would at worst
/// hide each other's silence until one is restarted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LastContact {
    /// The low 32 bits of the process's id.
    pub tag: [u8; 4],
    /// How long ago it was heard, in units of 100 ms.
    pub age: u8,
}

/// What a process tells another one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends.
    pub from: NodeId,
    /// Whether the sender reads the log: one that doesn't can't act for its shards, and must not
    /// keep others from claiming them.
    pub has_fresh_read: bool,
    /// The version of the configuration in force at the sender.
    pub config: ConfigVersion,
    /// Whether this answers a heartbeat whose sender had lost sight of this process.
    pub answer: bool,
    /// The schedulers that the sender has heard of lately.
    pub last_contacts: Vec<LastContact>,
}

fn tag(node: NodeId) -> [u8; 4] {
    (node.0 as u32).to_le_bytes()
}

/// What this process knows of another one.
#[derive(Clone, Copy, Debug)]
struct Sight {
    /// The last sign of life, its own or told by others.
    heard: Option<Time>,
    /// Its silence counts from here at the earliest. Not told to others: a process that was just
    /// pruned, or that one returning process excuses, would seem alive to everyone.
    excused: Time,
}

impl Sight {
    fn last(&self) -> Time {
        self.heard.map_or(self.excused, |heard| heard.max(self.excused))
    }
}

/// Who was heard when.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    me: NodeInfo,
    rng: SmallRng,
    sights: BTreeMap<NodeId, Sight>,
    received: Option<Time>,
    next_at: Time,
    probe_next: bool,
}

impl Gossip {
    pub(crate) fn new(me: NodeInfo, seed: u64) -> Self {
        Gossip {
            me,
            rng: SmallRng::seed_from_u64(seed),
            sights: BTreeMap::new(),
            received: None,
            next_at: Time::ZERO,
            probe_next: false,
        }
    }

    /// Follows the membership; a new process is excused for its silence before.
    pub(crate) fn follow(&mut self, now: Time, state: &ControlState) {
        self.sights.retain(|node, _| state.member(*node).is_some());
        for info in state.members().filter(|info| info.node != self.me.node) {
            self.sights.entry(info.node).or_insert(Sight { heard: None, excused: now });
        }
    }

    /// Everyone gets time to be heard again: this process was out of touch itself.
    pub(crate) fn excuse(&mut self, now: Time) {
        for sight in self.sights.values_mut() {
            sight.excused = now;
        }
    }

    /// How long nothing was heard of the process; `None` if it doesn't take part.
    pub(crate) fn time_since_contact(&self, now: Time, node: NodeId) -> Option<Duration> {
        self.sights.get(&node).map(|sight| now.since(sight.last()))
    }

    /// When the process was last heard of.
    pub(crate) fn heard_at(&self, node: NodeId) -> Option<Time> {
        self.sights.get(&node).and_then(|sight| sight.heard)
    }

    /// Whether any process's heartbeat arrived here within `span`.
    ///
    /// One that is cut off finds its peers silent one after the other, and would take the first
    /// for dead while it still seems to hear most of them.
    pub(crate) fn is_reached(&self, now: Time, span: Duration) -> bool {
        self.received.is_some_and(|at| now.since(at) <= span)
    }

    /// Takes a heartbeat. `true` if the sender has lost sight of this process and should get an
    /// answer at once.
    pub(crate) fn receive(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        self.received = Some(now);
        if heartbeat.has_fresh_read {
            self.hear(heartbeat.from, now);
        }
        for heard in &heartbeat.last_contacts {
            let age = Duration::from_millis(u64::from(heard.age) * AGE_UNIT_MS);
            let node = self.sights.keys().find(|node| tag(**node) == heard.tag).copied();
            if let Some(node) = node {
                self.hear(node, now - age);
            }
        }
        let limit = PROBE_AFTER.as_millis() as u64 / AGE_UNIT_MS;
        let sees_me = |h: &LastContact| h.tag == tag(self.me.node) && u64::from(h.age) < limit;
        let lost = !heartbeat.last_contacts.iter().any(sees_me);
        // An answer is never answered: a peer that doesn't know this process yet would go on.
        lost && !heartbeat.answer && self.me.role == Role::Scheduler
    }

    /// The process to send to now, if it is time.
    pub(crate) fn due<'a>(
        &mut self,
        now: Time,
        members: impl Iterator<Item = &'a NodeInfo>,
    ) -> Option<&'a NodeInfo> {
        if now < self.next_at {
            return None;
        }
        // A jitter, so that processes started together don't send together for ever.
        let is_entry = self.me.role == Role::Entry;
        let every = if is_entry { ENTRY_EVERY } else { SCHEDULER_EVERY };
        self.next_at = now + every.mul_f64(self.rng.random_range(0.9..1.1));
        let others: Vec<&NodeInfo> = members.filter(|info| info.node != self.me.node).collect();
        self.probe_next = !self.probe_next;
        let idle_time =
            |info: &NodeInfo| self.time_since_contact(now, info.node).unwrap_or_default();
        let lost = others
            .iter()
            .copied()
            .filter(|info| info.role == Role::Scheduler)
            .filter(|info| (PROBE_AFTER..PROBE_UNTIL).contains(&idle_time(info)))
            // The one with most time to lose first; one that is suspected already comes last.
            .max_by_key(|info| (idle_time(info) < PROBE_ONLY_UNTIL, idle_time(info)));
        let probe = |info: &NodeInfo| self.probe_next || idle_time(info) < PROBE_ONLY_UNTIL;
        match lost.filter(|info| probe(info)) {
            Some(info) => Some(info),
            None => self.choose(&others),
        }
    }

    fn choose<'a>(&mut self, others: &[&'a NodeInfo]) -> Option<&'a NodeInfo> {
        let is_scheduler = |info: &&&NodeInfo| info.role == Role::Scheduler;
        let schedulers: Vec<&NodeInfo> = others.iter().filter(is_scheduler).copied().collect();
        let to_anyone = self.me.role == Role::Scheduler && self.rng.random_bool(TO_ANYONE);
        if to_anyone || schedulers.is_empty() {
            return others.choose(&mut self.rng).copied();
        }
        schedulers.choose(&mut self.rng).copied()
    }

    /// What this process tells others now.
    pub(crate) fn heartbeat<'a>(
        &self,
        now: Time,
        has_fresh_read: bool,
        config: ConfigVersion,
        schedulers: impl Iterator<Item = &'a NodeInfo>,
    ) -> Heartbeat {
        let last_contacts = schedulers
            .filter_map(|info| Some((info.node, now.since(self.heard_at(info.node)?))))
            .filter_map(|(node, silence)| {
                let age = u8::try_from((silence.as_millis() as u64).div_ceil(AGE_UNIT_MS)).ok()?;
                Some(LastContact { tag: tag(node), age })
            })
            .collect();
        Heartbeat { from: self.me.node, has_fresh_read, config, answer: false, last_contacts }
    }

    fn hear(&mut self, node: NodeId, at: Time) {
        if let Some(sight) = self.sights.get_mut(&node) {
            sight.heard = sight.heard.max(Some(at));
        }
    }
}

impl Heartbeat {
    /// The heartbeat as bytes, to be measured; the runtime's codec may differ by a few.
    pub fn encoded_len(&self) -> usize {
        postcard::to_extend(self, Vec::new()).map_or(0, |buf| buf.len())
    }
}
