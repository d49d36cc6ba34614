//! Latency, goodput and refusals under load, next to a baseline with the same seeds.
//!
//! `cargo test -p egretlb-requests --test load_shapes -- --nocapture` prints all figures.

mod support;

use {
    egretlb_requests::entry::QueueOrder,
    std::time::Duration,
    support::{
        load::{BOGOTA, Runs, SLOTS, SRI_LANKA, Site, Stream, run},
        stats::HEADER,
        world::ClassSetup,
    },
};

const SEED: u64 = 2_026;
const TARGET_MS: u64 = 500;
const WORK_MS: f64 = 100.0;

fn class(name: &'static str, organisation: &'static str, target_ms: u64) -> ClassSetup {
    ClassSetup { name, organisation, target: Duration::from_millis(target_ms), idempotent: true }
}

fn two_organisations() -> Vec<ClassSetup> {
    vec![class("check", "andina", TARGET_MS), class("recall", "kelani", TARGET_MS)]
}

/// A stream at a fraction of the site's capacity.
fn stream(site: Site, class: usize, ms: (u64, u64), share: f64) -> Stream {
    let per_second = site.capacity(WORK_MS) * share;
    Stream { class, from_ms: ms.0, to_ms: ms.1, per_second, mean_work_ms: WORK_MS }
}

fn print(name: &str, runs: &Runs, class: usize, ms: std::ops::Range<u64>) {
    println!("{HEADER}");
    println!("{}", runs.egretlb(class, ms.clone()).row(name, "egretlb"));
    println!("{}", runs.baseline(class, ms).row(name, "baseline"));
    assert!(runs.peak <= usize::from(SLOTS), "a server had {} at once", runs.peak);
}

/// Ten seconds below capacity, then twice the capacity until `end_ms`, then below it again.
fn saturate(site: Site, order: QueueOrder, end_ms: u64) -> Runs {
    let classes = [class("check", "andina", TARGET_MS)];
    let streams = [
        stream(site, 0, (0, 10_000), 0.6),
        stream(site, 0, (10_000, end_ms), 2.0),
        stream(site, 0, (end_ms, end_ms + 20_000), 0.6),
    ];
    run(site, &classes, &streams, &[], order, SEED)
}

/// Guards against congestion collapse: at twice the capacity goodput stays at 90% of it, other
/// requests are refused at once, and the system recovers within seconds.
#[test]
fn saturation_and_recovery() {
    for (name, site) in [("Bogotá 2x", BOGOTA), ("Sri Lanka 2x", SRI_LANKA)] {
        let runs = saturate(site, QueueOrder::EarliestDeadline, 70_000);
        print(name, &runs, 0, 12_000..70_000);
        print(&format!("{name}, before"), &runs, 0, 2_000..10_000);
        print(&format!("{name}, after 2 s"), &runs, 0, 72_000..90_000);
        let capacity = site.capacity(WORK_MS) * 58.0;
        let outcome = runs.egretlb(0, 12_000..70_000);
        let goodput = outcome.good as f64 / capacity;
        let baseline = runs.baseline(0, 12_000..70_000).good as f64 / capacity;
        println!("{name}: goodput of capacity: egretlb={goodput:.3} baseline={baseline:.3}");
        let (messages, bytes) = (runs.messages, runs.share_bytes);
        println!("{name}: messages to owners={messages} share bytes/s/entry={bytes:.0}");
        assert!(goodput >= 0.9);
        assert!(baseline < 0.5);
        assert!(outcome.extra <= 0.1);
        assert!(outcome.refusal_p99 <= Duration::from_millis(5));
        assert!(runs.egretlb(0, 72_000..90_000).within > 0.99);
    }
}

/// Guards against a default order that serves fewer requests in time, or refuses later, than
/// another one.
#[test]
fn orders_under_saturation() {
    let orders = [QueueOrder::EarliestDeadline, QueueOrder::NewestFirst, QueueOrder::OldestFirst];
    let outcomes = orders.map(|order| {
        let outcome = saturate(SRI_LANKA, order, 30_000).egretlb(0, 12_000..30_000);
        println!("{}", outcome.row("Sri Lanka 2x, 20 s", &format!("{order:?}")));
        outcome
    });
    let best = outcomes.iter().map(|outcome| outcome.good).max().unwrap();
    assert!(outcomes[0].good as f64 >= best as f64 * 0.99);
    assert!(outcomes[0].refusal_p99 <= outcomes[1].refusal_p99);
    assert!(outcomes[0].refusal_p99 <= outcomes[2].refusal_p99);
}

/// Guards against a tenfold burst of one organisation that delays the other's requests.
#[test]
fn burst_of_one_member() {
    let quiet = [stream(BOGOTA, 0, (0, 16_000), 0.2), stream(BOGOTA, 1, (0, 16_000), 0.2)];
    let calm = run(BOGOTA, &two_organisations(), &quiet, &[], QueueOrder::default(), SEED);
    let mut streams = quiet.to_vec();
    streams.push(stream(BOGOTA, 1, (8_000, 10_000), 1.8));
    let burst = run(BOGOTA, &two_organisations(), &streams, &[], QueueOrder::default(), SEED);
    let during = 8_000..10_500;
    print("no burst, quiet member", &calm, 0, during.clone());
    print("10x burst, quiet member", &burst, 0, during.clone());
    print("10x burst, bursting member", &burst, 1, during.clone());
    print("after 10x burst, bursting member", &burst, 1, 10_500..16_000);
    let (before, now) = (calm.egretlb(0, during.clone()), burst.egretlb(0, during));
    assert!(now.p99.as_secs_f64() <= before.p99.as_secs_f64() * 1.05, "{now:?}");
    assert!(now.within > 0.99);
}

/// Guards against an organisation with 80% of an overload that takes the other's fair share.
#[test]
fn skewed_demand() {
    let streams = [stream(BOGOTA, 0, (0, 15_000), 0.3), stream(BOGOTA, 1, (0, 15_000), 1.2)];
    let runs = run(BOGOTA, &two_organisations(), &streams, &[], QueueOrder::default(), SEED);
    print("skew 80/20 at 1.5x, small member", &runs, 0, 3_000..15_000);
    print("skew 80/20 at 1.5x, large member", &runs, 1, 3_000..15_000);
    let small = runs.egretlb(0, 3_000..15_000);
    let large = runs.egretlb(1, 3_000..15_000);
    let parts = small.good + large.good;
    println!("share of goodput: small={:.3}", small.good as f64 / parts as f64);
    assert!(small.within > 0.99, "{small:?}");
    assert!(parts as f64 / (BOGOTA.capacity(WORK_MS) * 12.0) > 0.9);
}

/// Guards against one slow server that raises the overall p99.
#[test]
fn one_slow_server() {
    for (name, site) in [("Bogotá", BOGOTA), ("Sri Lanka", SRI_LANKA)] {
        let classes = [class("check", "andina", TARGET_MS)];
        let streams = [stream(site, 0, (0, 20_000), 0.6)];
        let even = run(site, &classes, &streams, &[], QueueOrder::default(), SEED);
        let slow = run(site, &classes, &streams, &[(3, 10.0)], QueueOrder::default(), SEED);
        println!("{name}: share bytes/s/entry={:.0}", even.share_bytes);
        print(&format!("{name}, all alike"), &even, 0, 3_000..20_000);
        print(&format!("{name}, one 10x slower"), &slow, 0, 3_000..20_000);
        print(&format!("{name}, one 10x slower, its first 3 s"), &slow, 0, 0..3_000);
        let (before, now) = (even.egretlb(0, 3_000..20_000), slow.egretlb(0, 3_000..20_000));
        assert!(now.p99.as_secs_f64() < before.p99.as_secs_f64() * 1.2, "{now:?}");
        assert!(now.extra <= 0.1);
    }
}

/// Guards against long requests of one organisation that delay the short ones of the other.
#[test]
fn long_and_short() {
    let classes = vec![class("check", "andina", 200), class("report", "kelani", 8_000)];
    let per_second = BOGOTA.capacity(20.0) * 0.2;
    let short = Stream { class: 0, from_ms: 0, to_ms: 20_000, per_second, mean_work_ms: 20.0 };
    let per_second = BOGOTA.capacity(1_500.0) * 1.2;
    let long = Stream { class: 1, from_ms: 0, to_ms: 20_000, per_second, mean_work_ms: 1_500.0 };
    let runs = run(BOGOTA, &classes, &[short, long], &[], QueueOrder::default(), SEED);
    print("short among long, 1.4x", &runs, 0, 4_000..20_000);
    print("long, 1.4x", &runs, 1, 4_000..20_000);
    assert!(runs.egretlb(0, 4_000..20_000).within > 0.95);
}
