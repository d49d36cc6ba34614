//! Draining backend servers, and entries that shut down.

mod support;

use {
    egretlb_requests::entry::{EntryEvent, QueueOrder, Verdict},
    egretlb_types::{NotRunReason, Ran, VmState, shard_of_rack},
    std::time::Duration,
    support::{
        load::{BOGOTA, Stream, load_requests, record},
        world::{ClassSetup, World},
    },
};

/// A world under half its capacity, with `seconds` of requests scheduled.
fn busy(seconds: u64) -> World {
    let target = Duration::from_millis(500);
    let class = ClassSetup { name: "check", organisation: "andina", target, idempotent: false };
    let per_second = BOGOTA.capacity(100.0) * 0.5;
    let stream =
        Stream { class: 0, from_ms: 0, to_ms: seconds * 1_000, per_second, mean_work_ms: 100.0 };
    let mut world = World::new(BOGOTA.setup(&[class], QueueOrder::default(), 5));
    let start = world.now + Duration::from_secs(2);
    for (i, load_request) in load_requests(&[stream], BOGOTA.entries, 5).iter().enumerate() {
        world.request(start + load_request.at, record(i, load_request, start));
    }
    world
}

/// Guards against requests sent to a VM that is about to be removed, whichever source reports it
/// first: the platform's list, the rack's owner or the server itself.
#[test]
fn leaving_servers_get_nothing_new() {
    for source in ["list", "owner", "server"] {
        let mut world = busy(12);
        world.run_until(world.now + Duration::from_secs(5));
        match source {
            "list" => {
                world.vms[3].state = VmState::Leaving;
                let vms = world.vms.clone();
                world.send_to_all(|| EntryEvent::Vms { vms: vms.clone() });
            }
            "owner" => {
                world.vms[3].state = VmState::Leaving;
                world.send_server_list(shard_of_rack(&world.vms[3].rack.clone()));
            }
            _ => world.servers[3].draining = true,
        }
        world.run_until(world.now + Duration::from_secs(3));
        let before = world.servers[3].started;
        assert!(before > 0);
        world.run_until(world.now + Duration::from_secs(5));
        assert_eq!(world.servers[3].started, before, "{source}");
    }
}

/// Guards against a shutdown that drops open requests, accepts new ones or keeps its shares.
#[test]
fn shutdown_finishes_open_requests() {
    let mut world = busy(8);
    world.run_until(world.now + Duration::from_secs(5));
    let shutdown_at = world.now;
    world.send_to(0, EntryEvent::Shutdown);
    world.run_until(shutdown_at + Duration::from_secs(7));
    assert!(world.entries[0].drained);
    for record in world.requests.iter().filter(|record| record.entry == 0) {
        let (_, verdict) = record.answers.first().expect("an answer");
        if record.arrived < shutdown_at {
            assert!(matches!(verdict, Verdict::Forward { .. }), "{record:?}");
        } else {
            let reason = NotRunReason::ShuttingDown;
            assert!(matches!(verdict, Verdict::Refuse { reason: given, .. } if *given == reason));
            assert_eq!((verdict.ran(), record.runs), (Ran::No, 0));
        }
    }
    let node = world.entries[0].node;
    let shares = &world.schedulers[0].shares;
    assert_eq!(shares.charged_to(node), 0);
}
