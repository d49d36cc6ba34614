//! How many starts a leader has under way, by how fast they are answered.

use {
    egretlb_types::Time,
    egretlb_workflow::StartWindow,
    std::{collections::VecDeque, time::Duration},
};

const STEP: Duration = Duration::from_millis(1);

/// A leader that always has something to start, and workers that answer `rate` starts a second, each after `delay`
/// at least. Returns how many starts were answered in the last second, and the longest of their waits.
fn play(rate: usize, delay: Duration, answers: impl Fn(Time) -> bool) -> (usize, Duration) {
    let mut now = Time::ZERO;
    let mut window = StartWindow::new(now);
    let mut waiting: VecDeque<Time> = VecDeque::new();
    let (mut credit, mut served, mut longest) = (0.0, 0, Duration::ZERO);
    for step in 0..6_000 {
        now = now + STEP;
        while window.is_open() {
            window.on_decided();
            waiting.push_back(now);
        }
        credit = (credit + rate as f64 / 1_000.0).min(rate as f64);
        while credit >= 1.0 && waiting.front().is_some_and(|since| now.since(*since) >= delay) {
            credit -= 1.0;
            let since = waiting.pop_front().unwrap_or(now);
            window.on_settled(now, answers(now));
            if step >= 5_000 {
                served += 1;
                longest = longest.max(now.since(since));
            }
        }
    }
    (served, longest)
}

/// Load: 900 workers and 2,500 starts a second, each answered within 100 ms. A fixed 64 under way would let 640 of
/// them through a second.
#[test]
fn large_fleet_kept_busy() {
    let (served, _) = play(2_500, Duration::from_millis(100), |_| true);
    assert!(served >= 2_300, "{served} a second");
}

/// Load: the leader's link takes a tenth of what it would decide. What stands in the link's queue can't be taken back,
/// and may have been cancelled by the time it arrives.
#[test]
fn thin_link_not_filled() {
    let (served, longest) = play(300, Duration::from_millis(5), |_| true);
    assert!(served >= 290, "{served} a second");
    assert!(longest <= Duration::from_millis(400), "{longest:?}");
}

/// Nobody answers: what is started into the void stays few.
#[test]
fn silence_not_fed() {
    let (_, longest) = play(128, Duration::from_millis(500), |_| false);
    assert!(longest <= Duration::from_secs(1), "{longest:?}");
}
