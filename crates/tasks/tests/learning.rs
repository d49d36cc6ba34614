//! Sizes and interference learned from reports.

mod support;

use {
    egretlb_tasks::{InterferenceModel, SizeTable},
    egretlb_types::{
        ClassName, Fence, Resources, TaskId, Time,
        worker::{RunningTask, TaskEnd, TaskFence},
    },
    std::time::Duration,
    support::resources,
};

fn class(name: &str) -> ClassName {
    name.parse().unwrap()
}

fn running(index: u32, class_name: &str, slowdown_permille: u32) -> RunningTask {
    RunningTask {
        of: TaskFence {
            task: TaskId { job: "job".parse().unwrap(), index },
            fence: Fence::default(),
        },
        class: class(class_name),
        service: class_name == "checks",
        resources: Resources::default(),
        used: Resources::default(),
        slowdown_permille,
    }
}

// Guards against overcommitting VMs with a class that declares too little.
#[test]
fn too_small_declaration_counts_at_once() {
    let mut sizes = SizeTable::default();
    let declared = resources(1.0, 1.0, 1);
    assert_eq!(sizes.committed_size(&class("titles"), &declared), declared);
    sizes.record_usage(&class("titles"), &resources(4.0, 0.5, 0));
    assert_eq!(sizes.committed_size(&class("titles"), &declared), resources(4.0, 1.0, 1));
}

// Guards against wasted capacity of a class that declares too much, and against shrinking its
// reservation too soon or too far.
#[test]
fn too_large_declaration_shrinks_slowly() {
    let mut sizes = SizeTable::default();
    let declared = resources(8.0, 8.0, 2);
    for ended in 0..30 {
        let size = sizes.committed_size(&class("titles"), &declared);
        assert_eq!(size == declared, ended < 20, "after {ended}");
        let ran = Duration::from_secs(60);
        sizes.record_end(&class("titles"), &resources(4.0, 0.1, 0), ran, TaskEnd::Done);
    }
    assert_eq!(sizes.committed_size(&class("titles"), &declared), resources(4.8, 2.0, 2));
    assert_eq!(sizes.run_time(&class("titles")), Some(Duration::from_secs(60)));
}

// Guards against reservations that grow without bound for a class that uses all it gets.
#[test]
fn greedy_tasks_stay_as_declared() {
    let mut sizes = SizeTable::default();
    let declared = resources(1.0, 1.0, 0);
    for _ in 0..200 {
        let given = sizes.committed_size(&class("titles"), &declared);
        sizes.record_usage(&class("titles"), &given);
        sizes.record_end(&class("titles"), &given, Duration::from_secs(1), TaskEnd::Done);
    }
    assert_eq!(sizes.committed_size(&class("titles"), &declared), declared);
}

// Guards against attributing interference to a harmless class that always runs beside the cause.
#[test]
fn interference_is_attributed_to_cause() {
    let mut table = InterferenceModel::default();
    let mut now = Time::from_secs(1);
    for round in 0..200_u32 {
        now = now + Duration::from_secs(5);
        let (noisy, quiet) = (round % 4, (round / 4) % 5);
        let mut all = vec![running(0, "checks", 1_000 + noisy * 200)];
        all.extend((0..noisy).map(|i| running(10 + i, "titles", 1_000)));
        all.extend((0..quiet).map(|i| running(20 + i, "gazette", 1_000)));
        table.observe(now, &all);
    }
    let titles = table.pair_slowdown(&class("checks"), &class("titles"));
    let gazette = table.pair_slowdown(&class("checks"), &class("gazette"));
    assert!((0.15..0.25).contains(&titles), "{titles}");
    assert!(gazette < 0.03, "{gazette}");
    assert!(table.is_harmless(&class("checks"), &class("gazette")));
    // Three hours without a sample of the pair: the weight has decayed.
    table.observe(now + Duration::from_secs(3 * 3_600), &[]);
    let faded = table.pair_slowdown(&class("checks"), &class("titles"));
    assert!(faded < titles / 10.0, "{faded}");
}

// Guards against separating two classes after a single slow report.
#[test]
fn few_samples_count_little() {
    let mut table = InterferenceModel::default();
    let all = [running(0, "checks", 3_000), running(1, "titles", 1_000)];
    table.observe(Time::from_secs(1), &all);
    assert!(table.pair_slowdown(&class("checks"), &class("titles")) < 0.05);
    assert!(!table.is_harmless(&class("checks"), &class("titles")));
}
