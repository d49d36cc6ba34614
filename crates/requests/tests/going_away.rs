//! Backend servers that leave, and entries that shut down.

mod support;

use {
    egretlb_requests::entry::{EntryEvent, QueueOrder, Verdict},
    egretlb_types::{NotRunReason, Ran, VmState, shard_of_rack},
    std::time::Duration,
    support::{
        load::{BOGOTA, Stream, jobs, record},
        world::{ClassSetup, World},
    },
};

/// A world under half its capacity, with `seconds` of requests ahead.
fn busy(seconds: u64) -> World {
    let target = Duration::from_millis(500);
    let class = ClassSetup { name: "check", member: "andina", target, idempotent: false };
    let per_second = BOGOTA.capacity(100.0) * 0.5;
    let stream =
        Stream { class: 0, from_ms: 0, to_ms: seconds * 1_000, per_second, mean_work_ms: 100.0 };
    let mut world = World::new(BOGOTA.setup(&[class], QueueOrder::default(), 5));
    let start = world.now + Duration::from_secs(2);
    for (i, job) in jobs(&[stream], BOGOTA.entries, 5).iter().enumerate() {
        world.request(start + job.at, record(i, job, start));
    }
    world
}

/// A VM is about to be taken away. Whichever of three sources says so first, the platform's list,
/// the rack's owner or the server itself, nothing runs there three seconds later; a request that
/// did would be lost with the VM.
#[test]
fn leaving_servers_get_nothing_new() {
    for source in ["list", "owner", "server"] {
        let mut world = busy(12);
        world.run_until(world.now + Duration::from_secs(5));
        match source {
            "list" => {
                world.vms[3].state = VmState::Leaving;
                let vms = world.vms.clone();
                world.tell_all(|| EntryEvent::Vms { vms: vms.clone() });
            }
            "owner" => {
                world.vms[3].state = VmState::Leaving;
                world.tell_servers(shard_of_rack(&world.vms[3].rack.clone()));
            }
            _ => world.servers[3].leaving = true,
        }
        world.run_until(world.now + Duration::from_secs(3));
        let before = world.servers[3].started;
        assert!(before > 0);
        world.run_until(world.now + Duration::from_secs(5));
        assert_eq!(world.servers[3].started, before, "{source}");
    }
}

/// An entry is told to stop while it is busy. Its callers get their answers, new ones are told at
/// once to go elsewhere, and its slots are free for the other entries.
#[test]
fn shutdown_cuts_nothing_off() {
    let mut world = busy(8);
    world.run_until(world.now + Duration::from_secs(5));
    let told_at = world.now;
    world.tell(0, EntryEvent::Shutdown);
    world.run_until(told_at + Duration::from_secs(7));
    assert!(world.entries[0].drained);
    for record in world.requests.iter().filter(|record| record.entry == 0) {
        let (_, verdict) = record.answers.first().expect("an answer");
        if record.arrived < told_at {
            assert!(matches!(verdict, Verdict::Forward { .. }), "{record:?}");
        } else {
            let reason = NotRunReason::ShuttingDown;
            assert!(matches!(verdict, Verdict::Refuse { reason: given, .. } if *given == reason));
            assert_eq!((verdict.ran(), record.runs), (Ran::No, 0));
        }
    }
    let node = world.entries[0].node;
    let book = &world.schedulers[0].book;
    assert_eq!(book.charged_to(node), 0);
}
