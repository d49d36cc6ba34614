//! The load of a process that lags behind on a slow link: a read that asks for too much times out.

use {egretlb_runtime::ReadLimits, std::time::Duration};

/// Timeout of a read, and the pause after a failed one.
const READ_TIMEOUT: Duration = Duration::from_millis(1_300);
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time for `kb` on a link with `kb_per_s`.
fn transfer(kb: u32, kb_per_s: u32) -> Duration {
    Duration::from_millis(u64::from(kb) * 1_000 / u64::from(kb_per_s))
}

/// Time to catch up with `lag_kb` of records while `written_per_s` KB are written; `None` if it takes over a minute.
fn catch_up(
    kb_per_s: u32,
    lag_kb: u32,
    written_per_s: u32,
    adapt: impl Fn(&mut ReadLimits, bool),
) -> Option<Duration> {
    let (mut limits, mut lag, mut elapsed) = (ReadLimits::default(), lag_kb, Duration::ZERO);
    while lag > 0 {
        let asked = limits.max_kb.min(lag);
        let needed = transfer(asked, kb_per_s);
        let answered = needed <= READ_TIMEOUT;
        let took = if answered { needed } else { READ_TIMEOUT + RETRY_PAUSE };
        elapsed += took;
        lag = if answered { lag - asked } else { lag };
        lag += u32::try_from(took.as_millis()).expect("short") * written_per_s / 1_000;
        adapt(&mut limits, answered);
        if elapsed > Duration::from_secs(60) {
            return None;
        }
    }
    Some(elapsed)
}

fn adapted(limits: &mut ReadLimits, answered: bool) {
    if answered { limits.on_read() } else { limits.on_read_failed() }
}

/// Guards against a process that never catches up, since each of its reads times out.
#[test]
fn catches_up() {
    for kb_per_s in [125, 250, 1_250] {
        let took = catch_up(kb_per_s, 1_500, 50, adapted);
        assert!(took.is_some(), "{kb_per_s} KB a second");
    }
    let fixed = catch_up(250, 1_500, 50, |_, _| {});
    assert_eq!(fixed, None, "the test must notice reads of a fixed size");
}

/// Guards against small reads on a fast link, which would cost many calls.
#[test]
fn fast_link_unaffected() {
    let mut limits = ReadLimits::default();
    let first = limits;
    limits.on_read();
    assert_eq!(limits, first);
    (0..3).for_each(|_| limits.on_read_failed());
    (0..15).for_each(|_| limits.on_read());
    assert_eq!(limits, first);
}

/// Guards against a record that exceeds the limit of each read.
#[test]
fn large_record() {
    let mut limits = ReadLimits { max_kb: 32, ..ReadLimits::default() };
    let fits = (0..5).any(|_| {
        limits.on_read_failed();
        limits.max_kb >= 256
    });
    assert!(fits);
}

/// Guards against pages that time out on each try, and against long waits for a dead connection afterwards.
#[test]
fn pages_get_more_time() {
    let page = transfer(1_024, 250);
    let mut limits = ReadLimits::default();
    let tries = (0..10).take_while(|_| {
        let timed_out = limits.page_timeout < page;
        if timed_out {
            limits.on_page_failed();
        }
        timed_out
    });
    assert_eq!(tries.count(), 2);
    limits.on_page();
    assert_eq!(limits, ReadLimits::default());
}
