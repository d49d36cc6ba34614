//! Which relay carries which worker.

use {
    egretlb_relay::{Assignment, RelayNo, RemovalReason, Route, WORKERS_PER_RELAY, relays_wanted},
    egretlb_types::Time,
    egretlb_workflow::WorkerId,
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn worker(number: usize) -> WorkerId {
    WorkerId(format!("w{number}").into())
}

/// A moment at which the leader waits for offers no more.
fn settled() -> Time {
    Time::ZERO + SECOND
}

/// A leader of `workers`, with the relays that so many want.
fn fleet(workers: usize) -> Assignment {
    let mut assignment = Assignment::new(Time::ZERO);
    for number in 0..relays_wanted(workers) {
        assignment.add_relay(Time::ZERO, RelayNo(number as u32), "dc".into());
    }
    for number in 0..workers {
        assignment.route(settled(), &worker(number), "dc", workers);
    }
    assignment
}

fn loads(assignment: &Assignment, relays: usize) -> Vec<usize> {
    (0..relays).map(|number| assignment.worker_count(RelayNo(number as u32))).collect()
}

#[test]
fn few_called_directly() {
    let mut assignment = Assignment::new(Time::ZERO);
    assert_eq!(relays_wanted(66), 0);
    assert_eq!(assignment.route(Time::ZERO, &worker(1), "dc", 66), Route::Direct);
}

/// Load: 900 workers, 2,500 starts a second, one leader. Each relay carries its share, so that neither it nor the
/// leader's link is what starts wait for.
#[test]
fn large_fleet_shared() {
    for workers in [144, 300, 890, 1_262] {
        let assignment = fleet(workers);
        let loads = loads(&assignment, relays_wanted(workers));
        assert_eq!(loads.iter().sum::<usize>(), workers);
        assert!(loads.iter().all(|load| *load <= WORKERS_PER_RELAY), "{workers}: {loads:?}");
    }
}

/// A new leader of a large fleet has no relay yet. Were it to call all workers by itself at once, it would open
/// hundreds of connections for one call each; but it doesn't wait for offers that never come.
#[test]
fn first_offers_awaited() {
    let mut assignment = Assignment::new(Time::ZERO);
    let early = Time::ZERO + Duration::from_millis(100);
    assert_eq!(assignment.route(early, &worker(1), "dc", 300), Route::Wait);
    assert_eq!(assignment.route(settled(), &worker(1), "dc", 300), Route::Direct);
}

#[test]
fn nearest_first() {
    let mut assignment = Assignment::new(Time::ZERO);
    assignment.add_relay(Time::ZERO, RelayNo(1), "north".into());
    assignment.add_relay(Time::ZERO, RelayNo(2), "south".into());
    for number in 0..40 {
        let route = assignment.route(settled(), &worker(number), "south", 100);
        assert_eq!(route, Route::Via(RelayNo(2)));
    }
    // A full one is no longer the nearest that will do.
    for number in 40..100 {
        assignment.route(settled(), &worker(number), "south", 100);
    }
    assert_eq!(loads(&assignment, 3)[1..], [36, 64]);
}

/// A relay dies. Its workers go to those that are left, and nobody else's do.
#[test]
fn lost_relay_replaced() {
    let mut assignment = fleet(300);
    let before: Vec<Route> =
        (0..300).map(|n| assignment.route(settled(), &worker(n), "dc", 300)).collect();
    assignment.remove_relay(RelayNo(2));
    for (number, route) in before.iter().enumerate() {
        let now = assignment.route(settled(), &worker(number), "dc", 300);
        if *route == Route::Via(RelayNo(2)) {
            assert!(matches!(now, Route::Via(other) if other != RelayNo(2)));
        } else {
            assert_eq!(now, *route);
        }
    }
}

/// Workers are added, and with them relays: the new ones take over what the others carry beyond their share.
#[test]
fn new_relay_used() {
    let mut assignment = fleet(128);
    for number in 128..250 {
        assignment.route(settled(), &worker(number), "dc", 250);
    }
    assignment.add_relay(settled(), RelayNo(7), "dc".into());
    assignment.add_relay(settled(), RelayNo(8), "dc".into());
    for number in 0..250 {
        assignment.route(settled(), &worker(number), "dc", 250);
    }
    assert!(assignment.worker_count(RelayNo(7)) >= 50, "{}", assignment.worker_count(RelayNo(7)));
    assert!(assignment.worker_count(RelayNo(8)) >= 50, "{}", assignment.worker_count(RelayNo(8)));
}

/// A relay is cut off from the workers, and not from the leader. All that it carries looks silent, and leases
/// would lapse; it is given up within a second.
#[test]
fn cut_off_relay_given_up() {
    let mut assignment = fleet(300);
    let mut lost = None;
    for number in 0..6 {
        let now = settled() + Duration::from_millis(100) * number;
        let route = assignment.route(now, &worker(number as usize * 5), "dc", 300);
        assert_eq!(route, Route::Via(RelayNo(0)));
        lost =
            lost.or(assignment.record_answer(now, RelayNo(0), &worker(number as usize * 5), false));
    }
    assert_eq!(lost, Some(RemovalReason::CutOff));
}

/// A rack of workers dies. Their calls get no answer, whoever makes them; the relay that carries them stays.
#[test]
fn dead_workers_no_fault() {
    let mut assignment = fleet(300);
    for number in 0..60 {
        let now = settled() + Duration::from_millis(10) * number as u32;
        let answered = number % 5 != 0;
        assert_eq!(assignment.record_answer(now, RelayNo(0), &worker(number * 5), answered), None);
    }
}

/// One worker is cut off from its relay and not from the leader. It is called directly for a while.
#[test]
fn cut_off_worker_direct() {
    let mut assignment = fleet(300);
    let (now, id) = (settled(), worker(5));
    assert_eq!(assignment.route(now, &id, "dc", 300), Route::Via(RelayNo(0)));
    for _ in 0..2 {
        assert_eq!(assignment.record_answer(now, RelayNo(0), &id, false), None);
    }
    assert_eq!(assignment.route(now + SECOND, &id, "dc", 300), Route::Direct);
    assert_eq!(assignment.route(now + 6 * SECOND, &id, "dc", 300), Route::Via(RelayNo(0)));
}

/// Workers come and go all day, each under a new id; what is known of those that are gone is forgotten.
#[test]
fn gone_forgotten() {
    let mut assignment = fleet(300);
    assignment.retain_workers(|id| id.0.len() < 3);
    assert_eq!(loads(&assignment, 5).iter().sum::<usize>(), 10);
}
