//! The leader's estimate of queueing delays.

use {
    super::{FreeRooms, LoadEstimate, RouteLoad, ServiceLoad},
    compact_str::CompactString,
    egretlb_types::{Epoch, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time over which work done is counted. Single tasks take up to some 4 s.
const WINDOW: Duration = Duration::from_secs(4);

/// Length of the parts into which work done is divided.
const BUCKET: Duration = Duration::from_millis(250);

/// Time without an update after which the leader was frozen: what was done then is read all at once, so rates are
/// measured anew.
const MAX_GAP: Duration = Duration::from_millis(1_500);

/// How long nothing is estimated after such a gap, and at the beginning of a term. By then the workers have answered.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Shortest delay that is recorded. The shortest that matters is three times a target duration, and shorter ones occur
/// without overload.
const MIN_DELAY_MS: u64 = 500;

/// Work of an accepted workflow that hasn't been started.
#[derive(Clone, Copy, Debug)]
pub struct WaitingWork<'a> {
    /// The service whose workers run it.
    pub service: &'a CompactString,
    /// The workflow's route.
    pub route: &'a CompactString,
    /// Priority; 0 is most urgent.
    pub priority: u64,
    /// When the workflow was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When it should be complete, in milliseconds since 1970.
    pub due_ms: u64,
    /// The least time that it still takes, in milliseconds.
    pub remaining_ms: u64,
    /// The work, in core-milliseconds.
    pub core_ms: u64,
}

/// Capacity of the workers of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCapacity {
    /// Capacity that no task uses.
    pub free: FreeRooms,
    /// CPU of the batch tasks that run, in millicores.
    pub at_work: u64,
}

/// Work done on a service's workers.
#[derive(Debug, Default)]
struct Throughput {
    /// Core-milliseconds by the start of the bucket, oldest first.
    buckets: VecDeque<(Time, u64)>,
    /// Since when work has always waited; `None` if none waited at the last estimate.
    backlog_since: Option<Time>,
}

impl Throughput {
    fn add(&mut self, now: Time, core_ms: u64) {
        match self.buckets.back_mut() {
            Some((start, sum)) if now.since(*start) < BUCKET => *sum = sum.saturating_add(core_ms),
            _ => self.buckets.push_back((now, core_ms)),
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Time) {
        while self.buckets.front().is_some_and(|(start, _)| now.since(*start) >= WINDOW) {
            self.buckets.pop_front();
        }
    }

    /// Rate at which waiting work is started, in millicores; 0 if unknown. The work done is counted by its estimated run times, as
    /// the waiting work is, so errors of the estimates cancel out. Until work has waited for a whole window, the work done may
    /// be less than what the workers can do, and the CPU at work counts instead if it is more. Afterwards half of that is the
    /// lower bound, since single long tasks complete rarely.
    fn rate(&mut self, now: Time, at_work: u64) -> u64 {
        self.evict(now);
        let core_ms = sum(self.buckets.iter().map(|(_, core_ms)| *core_ms));
        let done = core_ms.saturating_mul(1_000) / WINDOW.as_millis() as u64;
        let is_measured = self.backlog_since.is_some_and(|since| now.since(since) >= WINDOW);
        done.max(if is_measured { at_work / 2 } else { at_work })
    }
}

/// What waits on a route.
#[derive(Clone, Copy, Debug)]
struct RouteBacklog {
    priority: u64,
    /// The shortest target duration of its workflows, in milliseconds.
    target_ms: u64,
    ahead: u64,
    ahead_in_time: u64,
}

/// Derives queueing delays from waiting work and from work done.
#[derive(Debug, Default)]
pub struct LoadEstimator {
    services: BTreeMap<CompactString, Throughput>,
    updated_at: Option<Time>,
    /// When rates were last measured anew.
    restarted_at: Time,
}

impl LoadEstimator {
    /// Notes that a batch task completed whose estimated work was `core_ms`.
    pub fn note_done(&mut self, now: Time, service: &CompactString, core_ms: u64) {
        match self.services.get_mut(service) {
            Some(throughput) => throughput.add(now, core_ms),
            None => self.services.entry(service.clone()).or_default().add(now, core_ms),
        }
    }

    /// Estimates the delays of all routes with work that waits. Services of which nothing is known are left out. With
    /// `by_feasibility`, work that can't end in time is placed after all that can.
    pub fn estimate(
        &mut self,
        now: Time,
        (epoch, made_ms): (Epoch, u64),
        by_feasibility: bool,
        work: &[WaitingWork<'_>],
        capacity: BTreeMap<CompactString, ServiceCapacity>,
    ) -> LoadEstimate {
        if self.updated_at.is_none_or(|at| now.since(at) >= MAX_GAP) {
            self.services.clear();
            self.restarted_at = now;
        }
        self.updated_at = Some(now);
        let mut estimate = LoadEstimate { epoch, made_ms, services: Vec::new() };
        self.services.retain(|service, _| capacity.contains_key(service));
        let settled = now.since(self.restarted_at) >= SETTLE_TIME;
        for (service, capacity) in capacity {
            let waiting: Vec<&WaitingWork<'_>> =
                work.iter().filter(|item| *item.service == service && item.core_ms > 0).collect();
            let throughput = self.services.entry(service.clone()).or_default();
            if waiting.is_empty() {
                throughput.backlog_since = None;
                continue;
            }
            throughput.backlog_since.get_or_insert(now);
            let rate = throughput.rate(now, capacity.at_work);
            if rate == 0 || !settled {
                continue;
            }
            let load =
                service_load(service, made_ms, by_feasibility, &waiting, rate, capacity.free);
            estimate.services.extend(load);
        }
        estimate
    }
}

/// The sum of core-milliseconds. Workflows may be submitted with any run time.
fn sum(core_ms: impl Iterator<Item = u64>) -> u64 {
    core_ms.fold(0, u64::saturating_add)
}

/// Time in milliseconds in which `core_ms` are done at `rate` millicores.
fn time_ms(core_ms: u64, rate: u64) -> u64 {
    core_ms.saturating_mul(1_000) / rate.max(1)
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// The load of a service; `None` if no delay is long enough.
fn service_load(
    service: CompactString,
    now_ms: u64,
    by_feasibility: bool,
    waiting: &[&WaitingWork<'_>],
    rate: u64,
    free: FreeRooms,
) -> Option<ServiceLoad> {
    let mut routes: BTreeMap<&CompactString, RouteBacklog> = BTreeMap::new();
    for item in waiting {
        let target_ms = item.due_ms.saturating_sub(item.accepted_ms);
        let route = routes.entry(item.route).or_insert(RouteBacklog {
            priority: item.priority,
            target_ms,
            ahead: 0,
            ahead_in_time: 0,
        });
        // Of different values, after a change of the configuration, the one that counts less work is assumed.
        route.priority = route.priority.min(item.priority);
        route.target_ms = route.target_ms.min(target_ms);
    }
    for item in waiting {
        let ends_ms = now_ms.saturating_add(item.remaining_ms);
        let target_ms = item.due_ms.saturating_sub(item.accepted_ms);
        let latest_ms = item.accepted_ms.saturating_add(target_ms.saturating_mul(3));
        let in_time = !by_feasibility || ends_ms <= item.due_ms;
        let before_rest = !by_feasibility || ends_ms <= latest_ms;
        for route in routes.values_mut() {
            let same_priority = item.priority == route.priority;
            let due_before = item.due_ms <= now_ms.saturating_add(route.target_ms);
            if item.priority < route.priority || (same_priority && due_before) {
                let counted = |counts: bool| if counts { item.core_ms } else { 0 };
                route.ahead = route.ahead.saturating_add(counted(before_rest));
                route.ahead_in_time = route.ahead_in_time.saturating_add(counted(in_time));
            }
        }
    }
    let routes = routes.into_iter().map(|(route, backlog)| RouteLoad {
        route: route.clone(),
        delay_ms: saturating_u32(time_ms(backlog.ahead, rate)),
        in_time_delay_ms: saturating_u32(time_ms(backlog.ahead_in_time, rate)),
    });
    let routes: Vec<RouteLoad> =
        routes.filter(|load| u64::from(load.delay_ms) >= MIN_DELAY_MS).collect();
    let all = sum(waiting.iter().map(|item| item.core_ms));
    let drained_ms = saturating_u32(time_ms(all, rate));
    (!routes.is_empty()).then_some(ServiceLoad { service, drained_ms, free, routes })
}
