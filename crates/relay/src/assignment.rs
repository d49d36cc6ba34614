//! Which relay carries which worker.

use {
    compact_str::CompactString,
    egretlb_types::Time,
    egretlb_workflow::WorkerId,
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
        time::Duration,
    },
};

/// A relay's load: with three calls a second for each task slot, a VM of an eighth of a core carries so many
/// workers with a quarter of its processor.
pub const WORKERS_PER_RELAY: usize = 64;

/// A leader of fewer workers calls them by itself. Each call by a relay takes a few milliseconds more.
const LEAST_RELAYED: usize = 96;

/// A worker that left so many calls in a row unanswered by way of its relay is called directly: the two may be cut
/// off from each other.
const DIRECT_AFTER: u32 = 2;

/// For so long.
const DIRECT_FOR: Duration = Duration::from_secs(5);

/// A relay is given up if so many calls got no answer within [`COUNTED_FOR`], and fewer got one: it is cut off
/// from the workers, whose leases would lapse.
const MOST_UNANSWERED: u32 = 4;

/// The span over which calls are counted.
const COUNTED_FOR: Duration = Duration::from_secs(1);

/// After the begin of its term a leader waits for so long until VMs have offered themselves, and calls no worker
/// before: it would open hundreds of connections that are of no use a moment later. Followers learn of a new
/// leader within 150 ms.
const OFFERS_WITHIN: Duration = Duration::from_millis(250);

/// A relay may carry so many workers more than its share before others take them over.
const SLACK: usize = 8;

/// A relay's number in the leader's term.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RelayNo(pub u32);

impl fmt::Display for RelayNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How a worker is called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// By the leader itself.
    Direct,
    /// By a relay.
    Via(RelayNo),
    /// Not yet: relays are about to offer themselves.
    Wait,
}

/// Why a relay is used no more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RemovalReason {
    /// Most of its calls get no answer.
    CutOff,
}

/// How many relays a leader of so many workers uses.
pub fn relays_wanted(workers: usize) -> usize {
    if workers < LEAST_RELAYED { 0 } else { workers.div_ceil(WORKERS_PER_RELAY) }
}

#[derive(Debug)]
struct Relay {
    data_centre: CompactString,
    workers: usize,
    /// The beginning of the span over which calls are counted.
    counted_since: Time,
    answered: u32,
    unanswered: u32,
}

#[derive(Debug, Default)]
struct AssignedWorker {
    relay: Option<RelayNo>,
    unanswered: u32,
    direct_until: Option<Time>,
}

/// Which relay carries which worker, in one term of a leader.
#[derive(Debug)]
pub struct Assignment {
    begun: Time,
    relays: BTreeMap<RelayNo, Relay>,
    workers: HashMap<WorkerId, AssignedWorker>,
}

impl Assignment {
    /// No relay has offered itself.
    pub fn new(now: Time) -> Assignment {
        Assignment { begun: now, relays: BTreeMap::new(), workers: HashMap::new() }
    }

    /// A relay is used from now on.
    pub fn add_relay(&mut self, now: Time, number: RelayNo, data_centre: CompactString) {
        let relay =
            Relay { data_centre, workers: 0, counted_since: now, answered: 0, unanswered: 0 };
        self.relays.insert(number, relay);
    }

    /// A relay is used no more.
    pub fn remove_relay(&mut self, number: RelayNo) {
        self.relays.remove(&number);
        for carried in self.workers.values_mut() {
            if carried.relay == Some(number) {
                *carried = AssignedWorker::default();
            }
        }
    }

    /// How many relays are used.
    pub fn relays(&self) -> usize {
        self.relays.len()
    }

    /// How many workers a relay carries.
    pub fn worker_count(&self, number: RelayNo) -> usize {
        self.relays.get(&number).map_or(0, |relay| relay.workers)
    }

    /// Forgets workers that aren't known any more.
    pub fn retain_workers(&mut self, known: impl Fn(&WorkerId) -> bool) {
        let relays = &mut self.relays;
        self.workers.retain(|id, carried| {
            let keep = known(id);
            if !keep && let Some(relay) = carried.relay.and_then(|no| relays.get_mut(&no)) {
                relay.workers -= 1;
            }
            keep
        });
    }

    /// How a worker is called now, if the leader knows of so many workers.
    pub fn route(
        &mut self,
        now: Time,
        worker: &WorkerId,
        data_centre: &str,
        known: usize,
    ) -> Route {
        let wanted = relays_wanted(known);
        if wanted == 0 && self.relays.is_empty() {
            return Route::Direct;
        }
        if self.relays.len() < wanted && now.since(self.begun) < OFFERS_WITHIN {
            return Route::Wait;
        }
        let Some(fewest) = self.least_loaded(data_centre) else { return Route::Direct };
        let carried = match self.workers.get_mut(worker) {
            Some(carried) => carried,
            None => self.workers.entry(worker.clone()).or_default(),
        };
        if carried.direct_until.is_some_and(|until| now < until) {
            return Route::Direct;
        }
        let share = known.div_ceil(self.relays.len()) + SLACK;
        if let Some(number) = carried.relay {
            let overloaded = self.relays.get(&number).is_some_and(|relay| relay.workers > share);
            if !overloaded {
                return Route::Via(number);
            }
            if let Some(relay) = self.relays.get_mut(&number) {
                relay.workers -= 1;
            }
        }
        carried.relay = Some(fewest);
        if let Some(relay) = self.relays.get_mut(&fewest) {
            relay.workers += 1;
        }
        Route::Via(fewest)
    }

    /// The relay with most to spare, in the same data centre if one there isn't full.
    fn least_loaded(&self, data_centre: &str) -> Option<RelayNo> {
        let rank = |(_, relay): &(&RelayNo, &Relay)| {
            let full = relay.workers >= WORKERS_PER_RELAY;
            (full, !full && relay.data_centre != data_centre, relay.workers)
        };
        self.relays.iter().min_by_key(rank).map(|(number, _)| *number)
    }

    /// A call by way of a relay got an answer from the worker, or none. Returns why the relay is better given
    /// up, if it is.
    pub fn record_answer(
        &mut self,
        now: Time,
        number: RelayNo,
        worker: &WorkerId,
        answered: bool,
    ) -> Option<RemovalReason> {
        if let Some(carried) = self.workers.get_mut(worker) {
            carried.unanswered = if answered { 0 } else { carried.unanswered + 1 };
            if carried.unanswered >= DIRECT_AFTER {
                carried.unanswered = 0;
                carried.direct_until = Some(now + DIRECT_FOR);
            }
        }
        let relay = self.relays.get_mut(&number)?;
        if now.since(relay.counted_since) >= COUNTED_FOR {
            (relay.counted_since, relay.answered, relay.unanswered) = (now, 0, 0);
        }
        if answered {
            relay.answered += 1;
        } else {
            relay.unanswered += 1;
        }
        let cut_off = relay.unanswered >= MOST_UNANSWERED && relay.unanswered > relay.answered;
        cut_off.then_some(RemovalReason::CutOff)
    }
}
