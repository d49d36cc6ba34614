//! The leader's estimate of queueing delays, from given arrivals and completions.

use {
    compact_str::CompactString,
    egretlb_types::{Accelerators, Epoch, Megabytes, MilliCores, Resources, Time},
    egretlb_workflow::{FreeRooms, LoadEstimate, LoadEstimator, ServiceCapacity, WaitingWork},
    std::collections::BTreeMap,
};

static SERVICE: CompactString = CompactString::const_new("service");
static URGENT: CompactString = CompactString::const_new("urgent");
static PATIENT: CompactString = CompactString::const_new("patient");

/// Cores of the simulated service.
const CORES: u64 = 100;

/// Interval between estimates, in milliseconds.
const INTERVAL_MS: u64 = 500;

fn work(route: &CompactString, priority: u64, due_ms: u64, core_ms: u64) -> WaitingWork<'_> {
    let (accepted_ms, remaining_ms) = (0, 1_000);
    WaitingWork { service: &SERVICE, route, priority, accepted_ms, due_ms, remaining_ms, core_ms }
}

fn capacity(at_work: u64) -> BTreeMap<CompactString, ServiceCapacity> {
    BTreeMap::from([(SERVICE.clone(), ServiceCapacity { free: FreeRooms::default(), at_work })])
}

/// Runs an estimator for 10 s in which `done_core_ms` complete in each interval, and returns the last estimate for the work.
fn estimate_after(
    done_core_ms: u64,
    by_feasibility: bool,
    now_ms: u64,
    work: &[WaitingWork<'_>],
) -> LoadEstimate {
    let mut estimator = LoadEstimator::default();
    let mut estimate = LoadEstimate::default();
    for tick in 1..=20 {
        let now = Time::from_millis(tick * INTERVAL_MS);
        estimator.note_done(now, &SERVICE, done_core_ms);
        let made = (Epoch(3), now_ms);
        estimate = estimator.estimate(now, made, by_feasibility, work, capacity(CORES * 1_000));
    }
    assert_eq!(estimate.epoch, Epoch(3));
    estimate
}

fn delay_ms(estimate: &LoadEstimate, route: &str) -> Option<u32> {
    estimate.find("service", route).map(|(_, load)| load.delay_ms)
}

fn assert_near(value: Option<u32>, expected: u32) {
    let value = value.expect("an estimate");
    assert!(value.abs_diff(expected) * 10 <= expected, "{value} isn't near {expected}");
}

/// Guards against delays that don't follow what arrives and completes: at twice the capacity for 12 s, and afterwards.
#[test]
fn arrivals_and_completions() {
    let mut estimator = LoadEstimator::default();
    let served = CORES * INTERVAL_MS;
    let mut waiting = 0;
    let mut emptied_at = None;
    for tick in 1..=60_u64 {
        let now_ms = tick * INTERVAL_MS;
        let arrived = if now_ms <= 12_000 { 2 * served } else { 0 };
        waiting += arrived;
        let done = served.min(waiting);
        waiting -= done;
        let now = Time::from_millis(now_ms);
        estimator.note_done(now, &SERVICE, done);
        let at_work = done * 1_000 / INTERVAL_MS;
        let work = [work(&URGENT, 0, now_ms, waiting)];
        let made = (Epoch(1), now_ms);
        let estimate = estimator.estimate(now, made, false, &work, capacity(at_work));
        let expected = u32::try_from(waiting / CORES).expect("seconds");
        if (2_000..=23_000).contains(&now_ms) && expected >= 1_000 {
            assert_near(delay_ms(&estimate, "urgent"), expected);
        }
        if waiting == 0 {
            emptied_at = emptied_at.or(Some(now_ms));
            assert!(estimate.services.is_empty(), "{estimate:?}");
        }
    }
    assert_eq!(emptied_at, Some(24_000));
}

/// Guards against delays twice too short since all tasks take twice as long as estimated, and against half of the delays since
/// they take half as long.
#[test]
fn wrong_run_times() {
    let waiting = [work(&URGENT, 0, 0, 1_000_000)];
    let estimate = |done| estimate_after(done, false, 0, &waiting);
    assert_near(delay_ms(&estimate(CORES * INTERVAL_MS / 2), "urgent"), 20_000);
    assert_near(delay_ms(&estimate(CORES * INTERVAL_MS * 2), "urgent"), 5_000);
}

/// Guards against endless delays while long tasks run and none has completed for seconds.
#[test]
fn nothing_completed() {
    let waiting = [work(&URGENT, 0, 0, 1_000_000)];
    assert_near(delay_ms(&estimate_after(0, false, 0, &waiting), "urgent"), 20_000);
}

/// Guards against an estimate of a service of which nothing is known, since it neither does nor has done any work.
#[test]
fn no_throughput() {
    let mut estimator = LoadEstimator::default();
    let waiting = [work(&URGENT, 0, 0, 1_000_000)];
    for tick in 1..=20 {
        let now = Time::from_millis(tick * INTERVAL_MS);
        let estimate = estimator.estimate(now, (Epoch(1), 0), false, &waiting, capacity(0));
        assert!(estimate.services.is_empty());
    }
}

/// Guards against urgent workflows refused because of patient ones, whether by priority or by the deadline.
#[test]
fn work_placed_after() {
    let served = CORES * INTERVAL_MS;
    let waiting = [work(&URGENT, 0, 2_000, 100_000), work(&PATIENT, 2, 12_000, 3_000_000)];
    let estimate = estimate_after(served, false, 0, &waiting);
    assert_near(delay_ms(&estimate, "urgent"), 1_000);
    assert_near(delay_ms(&estimate, "patient"), 31_000);
    let waiting = [work(&URGENT, 0, 2_000, 100_000), work(&PATIENT, 0, 12_000, 3_000_000)];
    let estimate = estimate_after(served, false, 0, &waiting);
    assert_near(delay_ms(&estimate, "urgent"), 1_000);
    assert_near(delay_ms(&estimate, "patient"), 31_000);
}

/// Guards against a new workflow refused because of work that the queue places after it, since that can't be in time.
#[test]
fn late_work() {
    let served = CORES * INTERVAL_MS;
    // At 8 s, the first is late, the second too late to be of use, and the third can be in time.
    let waiting = [
        work(&URGENT, 0, 5_000, 1_000_000),
        work(&URGENT, 0, 1_000, 4_000_000),
        WaitingWork { accepted_ms: 8_000, ..work(&URGENT, 0, 9_000, 100_000) },
    ];
    let in_order = estimate_after(served, false, 8_000, &waiting);
    let (_, load) = in_order.find("service", "urgent").expect("a backlog");
    assert_near(Some(load.delay_ms), 51_000);
    assert_eq!(load.in_time_delay_ms, load.delay_ms);
    let by_feasibility = estimate_after(served, true, 8_000, &waiting);
    let (_, load) = by_feasibility.find("service", "urgent").expect("a backlog");
    assert_near(Some(load.delay_ms), 11_000);
    assert_near(Some(load.in_time_delay_ms), 1_000);
}

/// Guards against estimates by completions that a frozen leader reads all at once, or by those of its previous term.
#[test]
fn resumed_after_freeze() {
    let mut estimator = LoadEstimator::default();
    let waiting = [work(&URGENT, 0, 0, 1_000_000)];
    let mut estimated = Vec::new();
    for tick in (1..=10).chain(30..=40) {
        let now = Time::from_millis(tick * INTERVAL_MS);
        let at_work = capacity(CORES * 1_000);
        let estimate = estimator.estimate(now, (Epoch(1), 0), false, &waiting, at_work);
        estimated.extend((!estimate.services.is_empty()).then_some(tick));
    }
    let expected: Vec<u64> = (3..=10).chain(32..=40).collect();
    assert_eq!(estimated, expected);
}

fn room(cores: u32, gigabytes: u32) -> Resources {
    Resources {
        cpu: MilliCores(cores * 1_000),
        memory: Megabytes(gigabytes * 1_000),
        accelerators: Accelerators(0),
    }
}

/// Guards against free capacity that is left out, for which a workflow would be refused although it fits.
#[test]
fn rooms_kept() {
    let mut rooms = FreeRooms::default();
    let added: Vec<Resources> = (1..=20).map(|size| room(size, 21 - size)).collect();
    for free in &added {
        rooms.add(*free);
        rooms.add(room(1, 1));
    }
    assert!(added.iter().all(|free| rooms.fits(free)));
    assert!(!rooms.fits(&room(21, 1)));
    let mut rooms = FreeRooms::default();
    rooms.add(room(4, 1));
    rooms.add(room(1, 4));
    assert!(!rooms.fits(&room(2, 2)));
}
