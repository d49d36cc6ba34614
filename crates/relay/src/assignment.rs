//! Assignment of workers to relays.

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

/// Target number of workers per relay, such that relaying takes about a quarter of the CPU time of a VM with an
/// eighth of a core.
pub const WORKERS_PER_RELAY: usize = 64;

/// Minimum number of workers for which relays are used. A relayed call takes a few milliseconds longer.
const MIN_RELAYED_WORKERS: usize = 96;

/// Number of successive unanswered calls through its relay after which a worker is called directly, since the
/// two may be partitioned from each other.
const DIRECT_AFTER_UNANSWERED: u32 = 2;

/// How long such a worker is called directly.
const DIRECT_FOR: Duration = Duration::from_secs(5);

/// Minimum number of unanswered calls within [`COUNT_WINDOW`] for a relay to be removed, if fewer calls were
/// answered. It is probably partitioned from its workers, whose leases would expire.
const MIN_UNANSWERED: u32 = 4;

/// The window over which a relay's calls are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// How long a new leader of a large fleet waits for relays before it calls workers directly, which would open
/// hundreds of short-lived connections. Followers detect a new leader within 150 ms.
const OFFER_WAIT: Duration = Duration::from_millis(250);

/// Number of workers by which a relay may exceed an equal distribution. Beyond it, workers move to another relay at
/// their next call.
const MAX_EXCESS_WORKERS: usize = 8;

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
    /// Not yet: the leader waits for relays to connect.
    Wait,
}

/// Why a relay is removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RemovalReason {
    /// Most of its calls aren't answered.
    CutOff,
}

/// Number of relays that a leader uses for `workers` workers; 0 if it calls all of them directly.
pub fn relays_wanted(workers: usize) -> usize {
    if workers < MIN_RELAYED_WORKERS { 0 } else { workers.div_ceil(WORKERS_PER_RELAY) }
}

#[derive(Debug)]
struct Relay {
    data_centre: CompactString,
    /// Number of workers assigned to it.
    worker_count: usize,
    /// Start of the window over which calls are counted.
    window_started: Time,
    /// Number of answered calls in the window.
    answered: u32,
    /// Number of unanswered calls in the window.
    unanswered: u32,
}

/// How a worker is called.
#[derive(Debug, Default)]
struct WorkerState {
    /// The relay that it is assigned to.
    relay: Option<RelayNo>,
    /// Number of successive unanswered calls.
    unanswered: u32,
    direct_until: Option<Time>,
}

/// The assignment of workers to relays in one term of a leader.
#[derive(Debug)]
pub struct Assignment {
    started: Time,
    relays: BTreeMap<RelayNo, Relay>,
    workers: HashMap<WorkerId, WorkerState>,
}

impl Assignment {
    /// An assignment without relays, for a term that starts at `now`.
    pub fn new(now: Time) -> Assignment {
        Assignment { started: now, relays: BTreeMap::new(), workers: HashMap::new() }
    }

    /// Adds a relay.
    pub fn add_relay(&mut self, now: Time, number: RelayNo, data_centre: CompactString) {
        let relay =
            Relay { data_centre, worker_count: 0, window_started: now, answered: 0, unanswered: 0 };
        self.relays.insert(number, relay);
    }

    /// Removes a relay; its workers are reassigned at their next call.
    pub fn remove_relay(&mut self, number: RelayNo) {
        self.relays.remove(&number);
        for assigned in self.workers.values_mut() {
            if assigned.relay == Some(number) {
                *assigned = WorkerState::default();
            }
        }
    }

    /// Number of relays.
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    /// Number of workers assigned to a relay.
    pub fn worker_count(&self, number: RelayNo) -> usize {
        self.relays.get(&number).map_or(0, |relay| relay.worker_count)
    }

    /// Removes the workers for which `is_known` is false.
    pub fn retain_workers(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        let relays = &mut self.relays;
        self.workers.retain(|id, assigned| {
            let keep = is_known(id);
            if !keep && let Some(relay) = assigned.relay.and_then(|number| relays.get_mut(&number))
            {
                relay.worker_count -= 1;
            }
            keep
        });
    }

    /// Decides how to call a worker in `data_centre`, and assigns it to a relay if needed. `worker_total` is the
    /// number of all workers.
    pub fn route(
        &mut self,
        now: Time,
        worker: &WorkerId,
        data_centre: &str,
        worker_total: usize,
    ) -> Route {
        let wanted = relays_wanted(worker_total);
        if wanted == 0 && self.relays.is_empty() {
            return Route::Direct;
        }
        if self.relays.len() < wanted && now.since(self.started) < OFFER_WAIT {
            return Route::Wait;
        }
        let Some(least_loaded) = self.least_loaded(data_centre) else { return Route::Direct };
        let assigned = match self.workers.get_mut(worker) {
            Some(assigned) => assigned,
            None => self.workers.entry(worker.clone()).or_default(),
        };
        if assigned.direct_until.is_some_and(|until| now < until) {
            return Route::Direct;
        }
        let max_workers = worker_total.div_ceil(self.relays.len()) + MAX_EXCESS_WORKERS;
        if let Some(number) = assigned.relay {
            let overloaded =
                self.relays.get(&number).is_some_and(|relay| relay.worker_count > max_workers);
            if !overloaded {
                return Route::Via(number);
            }
            if let Some(relay) = self.relays.get_mut(&number) {
                relay.worker_count -= 1;
            }
        }
        assigned.relay = Some(least_loaded);
        if let Some(relay) = self.relays.get_mut(&least_loaded) {
            relay.worker_count += 1;
        }
        Route::Via(least_loaded)
    }

    /// The least loaded relay, preferring the given data centre unless all relays there are full.
    fn least_loaded(&self, data_centre: &str) -> Option<RelayNo> {
        let rank = |(_, relay): &(&RelayNo, &Relay)| {
            let full = relay.worker_count >= WORKERS_PER_RELAY;
            (full, !full && relay.data_centre != data_centre, relay.worker_count)
        };
        self.relays.iter().min_by_key(rank).map(|(number, _)| *number)
    }

    /// Counts a call through a relay as answered or not. After several unanswered calls the worker is called directly
    /// for a while. Returns a reason if the relay is to be removed.
    pub fn record_call(
        &mut self,
        now: Time,
        number: RelayNo,
        worker: &WorkerId,
        answered: bool,
    ) -> Option<RemovalReason> {
        if let Some(assigned) = self.workers.get_mut(worker) {
            assigned.unanswered = if answered { 0 } else { assigned.unanswered + 1 };
            if assigned.unanswered >= DIRECT_AFTER_UNANSWERED {
                assigned.unanswered = 0;
                assigned.direct_until = Some(now + DIRECT_FOR);
            }
        }
        let relay = self.relays.get_mut(&number)?;
        if now.since(relay.window_started) >= COUNT_WINDOW {
            (relay.window_started, relay.answered, relay.unanswered) = (now, 0, 0);
        }
        if answered {
            relay.answered += 1;
        } else {
            relay.unanswered += 1;
        }
        let cut_off = relay.unanswered >= MIN_UNANSWERED && relay.unanswered > relay.answered;
        cut_off.then_some(RemovalReason::CutOff)
    }
}
