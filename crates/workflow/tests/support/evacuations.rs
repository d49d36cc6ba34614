//! Evacuations of data centres by the operator, and a check that nothing is started there.

use {
    super::world::World,
    compact_str::CompactString,
    egretlb_types::Time,
    egretlb_workflow::{RunId, TaskId},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash, Hasher},
        time::Duration,
    },
};

/// How long after an evacuation a node that reads the store may still start tasks there.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Like [`MAX_DELAY`], for a node that doesn't read the store or was just frozen.
const MAX_DELAY_OUT_OF_TOUCH: Duration = Duration::from_secs(8);

/// How long a node must have been running and reading to be in touch.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(1);

/// The evacuations in force, as the store has them.
#[derive(Default)]
pub struct Evacuations {
    /// When each was acknowledged.
    since: BTreeMap<CompactString, Time>,
    /// Whether nodes don't read them, so that the check must notice.
    pub unread: bool,
    /// Whether nodes don't read that one has ended, so that the check for stalls must notice.
    pub end_unread: bool,
    /// All data centres that were ever evacuated.
    ever: BTreeSet<CompactString>,
}

impl Evacuations {
    /// The evacuated data centres, as a node reads them.
    pub fn read(&self) -> BTreeSet<CompactString> {
        match (self.unread, self.end_unread) {
            (true, _) => BTreeSet::new(),
            (false, true) => self.ever.clone(),
            (false, false) => self.since.keys().cloned().collect(),
        }
    }

    /// Whether a data centre is evacuated, as the store has it.
    pub fn in_force(&self, data_centre: &str) -> bool {
        self.since.contains_key(data_centre)
    }

    pub fn hash_in_force(&self, hasher: &mut impl Hasher) {
        self.since.keys().for_each(|data_centre| data_centre.hash(hasher));
    }
}

impl World {
    pub fn evacuate(&mut self, data_centre: &str) {
        self.evacuations.since.entry(data_centre.into()).or_insert(self.now);
        self.evacuations.ever.insert(data_centre.into());
    }

    pub fn take_back(&mut self, data_centre: &str) {
        self.evacuations.since.remove(data_centre);
    }

    /// Reads the evacuations at a node.
    pub fn read_evacuations(&mut self, node: usize) {
        let evacuated = self.evacuations.read();
        let node = &mut self.nodes[node];
        if let Some(scheduler) = &mut node.scheduler {
            scheduler.set_evacuated(&evacuated);
        }
        node.evacuated = evacuated;
        node.read_at = self.now;
    }

    /// Reports a start by a node, sent at `sent`, in a data centre that it had to know as evacuated.
    pub fn check_evacuated_start(
        &mut self,
        node: usize,
        sent: Time,
        worker: usize,
        (task, run): (TaskId, RunId),
    ) {
        let info = &self.workers[worker].info;
        let Some(since) = self.evacuations.since.get(&info.data_centre) else { return };
        let node = &self.nodes[node];
        let reads = self.now.since(node.read_at) < Duration::from_millis(100);
        let in_touch = reads && self.now.since(node.frozen_until) >= IN_TOUCH_AFTER;
        let max_delay = if in_touch { MAX_DELAY } else { MAX_DELAY_OUT_OF_TOUCH };
        if sent.since(*since) > max_delay {
            let (id, centre) = (&info.id, &info.data_centre);
            let text = format!("{task} run {run} started at {id} in evacuated {centre}");
            self.checker.violations.push(text);
        }
    }
}
