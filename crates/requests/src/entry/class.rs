//! What an entry knows of one class.

use {
    super::{
        budget::RetryBudget,
        latency::Latency,
        limit::Limit,
        meter::{Drain, LoadMeter},
        options::QueueOrder,
    },
    crate::ids::RequestId,
    egretlb_types::{ClassName, Organisation, Time},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// A second sending starts after this many hundredths of the class's p95: fewer than one request
/// in twenty gets that far, so hedges stay far below the budget while all is well.
const HEDGE_PERCENT: u32 = 150;

/// No hedge before this: timers and scheduling make shorter waits meaningless.
const HEDGE_LEAST: Duration = Duration::from_millis(2);

/// The place of a class in [`Classes`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ClassIx(pub(super) usize);

/// The place of a request in its class's queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// When it is worth nothing any more; equal ones in the order of arrival.
    pub(super) give_up_at: Time,
    pub(super) request: RequestId,
}

/// What the configuration in force says of a class that serves requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Service {
    pub(super) member: Organisation,
    pub(super) target: Duration,
    pub(super) idempotent: bool,
}

/// One class.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    pub(super) name: ClassName,
    /// `None` if the configuration in force has no such class, or not of this kind.
    pub(super) service: Option<Service>,
    pub(super) queue: BTreeMap<QueueKey, RequestId>,
    pub(super) open: u32,
    pub(super) latency: Latency,
    pub(super) limit: Limit,
    pub(super) budget: RetryBudget,
    pub(super) drain: Drain,
    pub(super) load: LoadMeter,
    /// Since when requests have waited without any share that they could use.
    pub(super) starved_since: Option<Time>,
}

impl ClassState {
    fn new(name: ClassName) -> Self {
        ClassState {
            name,
            service: None,
            queue: BTreeMap::new(),
            open: 0,
            latency: Latency::new(Duration::ZERO),
            limit: Limit::new(),
            budget: RetryBudget::new(),
            drain: Drain::new(),
            load: LoadMeter::default(),
            starved_since: None,
        }
    }

    /// The time to set aside for the backend server, so that who is sent is also answered in time.
    ///
    /// The tail of what was measured, so that few of those who waited longest are late. At most
    /// three quarters of the target: a class whose own tail is beyond its target must still be
    /// served.
    pub(super) fn service_time(&self, target: Duration) -> Duration {
        let tail = self.latency.quantile(990).unwrap_or(self.latency.mean() * 2);
        tail.min(target * 3 / 4)
    }

    /// How long a first sending is waited for before a second one may help.
    pub(super) fn hedge_after(&self) -> Duration {
        let target = self.service.as_ref().map_or(Duration::from_secs(1), |known| known.target);
        let tail = self.latency.quantile(950).map(|p95| p95 * HEDGE_PERCENT / 100);
        tail.unwrap_or(target / 2).max(HEDGE_LEAST)
    }

    /// The one to be sent next.
    pub(super) fn head(&self, order: QueueOrder) -> Option<(QueueKey, RequestId)> {
        let head = match order {
            QueueOrder::EarliestDeadline | QueueOrder::OldestFirst => self.queue.first_key_value(),
            QueueOrder::NewestFirst => self.queue.last_key_value(),
        };
        head.map(|(key, request)| (*key, *request))
    }

    pub(super) fn note_need(&mut self) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.load.needs(self.open.saturating_add(waiting));
    }
}

/// All classes ever named by a configuration or a backend server.
#[derive(Debug, Default)]
pub(super) struct Classes {
    list: Vec<ClassState>,
    by_name: HashMap<ClassName, ClassIx>,
}

impl Classes {
    pub(super) fn find(&self, name: &ClassName) -> Option<ClassIx> {
        self.by_name.get(name).copied()
    }

    pub(super) fn find_or_add(&mut self, name: &ClassName) -> ClassIx {
        if let Some(ix) = self.find(name) {
            return ix;
        }
        let ix = ClassIx(self.list.len());
        self.list.push(ClassState::new(name.clone()));
        self.by_name.insert(name.clone(), ix);
        ix
    }

    pub(super) fn get(&self, ix: ClassIx) -> &ClassState {
        &self.list[ix.0]
    }

    pub(super) fn get_mut(&mut self, ix: ClassIx) -> &mut ClassState {
        &mut self.list[ix.0]
    }

    pub(super) fn indices(&self) -> impl Iterator<Item = ClassIx> + use<> {
        (0..self.list.len()).map(ClassIx)
    }
}
