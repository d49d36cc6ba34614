//! The number of starts under way, by the rate at which they are answered.

use {
    egretlb_types::Time,
    egretlb_workflow::StartWindow,
    std::{collections::VecDeque, time::Duration},
};

const STEP: Duration = Duration::from_millis(1);

/// Simulates a leader that always has something to start, and workers that answer `rate` starts a second, each after
/// `delay` or later. Returns the number of starts answered in the last second and the longest of their waits.
fn simulate(rate: usize, delay: Duration, answers: impl Fn(Time) -> bool) -> (usize, Duration) {
    let mut now = Time::ZERO;
    let mut window = StartWindow::new(now);
    let mut unanswered: VecDeque<Time> = VecDeque::new();
    let (mut credit, mut answered, mut longest_wait) = (0.0, 0, Duration::ZERO);
    for step in 0..6_000 {
        now = now + STEP;
        while window.is_open() {
            window.on_decided();
            unanswered.push_back(now);
        }
        credit = (credit + rate as f64 / 1_000.0).min(rate as f64);
        while credit >= 1.0
            && unanswered.front().is_some_and(|decided_at| now.since(*decided_at) >= delay)
        {
            credit -= 1.0;
            let decided_at = unanswered.pop_front().unwrap_or(now);
            window.on_settled(now, answers(now));
            if step >= 5_000 {
                answered += 1;
                longest_wait = longest_wait.max(now.since(decided_at));
            }
        }
    }
    (answered, longest_wait)
}

/// Guards against a limit that is too low for a large fleet: 2,500 starts a second, each answered within 100 ms.
#[test]
fn large_fleet_kept_busy() {
    let (answered, _) = simulate(2_500, Duration::from_millis(100), |_| true);
    assert!(answered >= 2_300, "{answered} a second");
}

/// Guards against starts that queue up in a slow link, where they can't be revoked.
#[test]
fn thin_link_not_filled() {
    let (answered, longest_wait) = simulate(300, Duration::from_millis(5), |_| true);
    assert!(answered >= 290, "{answered} a second");
    assert!(longest_wait <= Duration::from_millis(400), "{longest_wait:?}");
}

/// Guards against a growing number of starts while none is answered.
#[test]
fn silence_not_fed() {
    let (_, longest_wait) = simulate(128, Duration::from_millis(500), |_| false);
    assert!(longest_wait <= Duration::from_secs(1), "{longest_wait:?}");
}
