//! When an entry requests more shares.

use {
    egretlb_requests::{
        BodyHash, Entry, EntryEffect, EntryEvent, EntryOptions, RequestId,
        entry::{Arrival, ShardOwner},
        shares::{ServerGrant, ServerInfo, ShareGrant, ShareRequest},
    },
    egretlb_types::{
        ClassKind, ClassName, ClassSpec, ConfigDocument, Epoch, NodeId, Resources, Time, VmId,
        VmRecord, VmState, shard_of_rack,
    },
    std::{sync::Arc, time::Duration},
};

const OWNER: NodeId = NodeId(7);
const EPOCH: Epoch = Epoch(1);

fn class(name: &str) -> ClassName {
    name.parse().expect("a valid name")
}

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid name")
}

fn spec(name: &str) -> ClassSpec {
    ClassSpec {
        name: class(name),
        member: "firm".parse().expect("a valid name"),
        team: "all".parse().expect("a valid name"),
        kind: ClassKind::Latency {
            permille: 990,
            target: Duration::from_secs(2),
            idempotent: true,
            replica: Resources::default(),
            spread: false,
        },
    }
}

fn record() -> VmRecord {
    VmRecord {
        vm: vm("w-1"),
        addr: "10.0.0.1:1".into(),
        data_centre: "dc-1".parse().expect("a valid name"),
        rack: "r-1".parse().expect("a valid name"),
        state: VmState::Live,
        capacity: Resources::default(),
        slots: 8,
        connections: 64,
    }
}

/// One share at a server of each class.
fn grant(request: &ShareRequest) -> ShareGrant {
    let server = |name: &str, of: &str| ServerInfo {
        vm: vm(name),
        addr: "10.0.0.1:1".into(),
        data_centre: "dc-1".parse().expect("a valid name"),
        state: VmState::Live,
        classes: [class(of)].into_iter().collect(),
    };
    ShareGrant {
        shard: request.shard,
        epoch: EPOCH,
        seq: request.seq,
        lease: Duration::from_secs(10),
        servers: ["w-1", "w-2"].map(|name| ServerGrant { vm: vm(name), max_open: 1 }).into(),
        version: 1,
        descriptions: vec![server("w-1", "check"), server("w-2", "filing")],
    }
}

fn arrival(n: u64) -> EntryEvent {
    EntryEvent::Arrived(Arrival {
        request: RequestId(n),
        class: class("check"),
        deadline: None,
        key: None,
        body: BodyHash(n),
        body_size: 0,
    })
}

/// Steps the entry and grants every share request; returns their number.
fn step(entry: &mut Entry, now: Time, event: EntryEvent) -> usize {
    let mut events = vec![event];
    let mut request_count = 0;
    while let Some(event) = events.pop() {
        let mut out = Vec::new();
        entry.step(now, event, &mut out);
        for effect in out {
            if let EntryEffect::RequestShares { request, .. } = effect {
                request_count += 1;
                events.push(EntryEvent::SharesGranted { grant: grant(&request) });
            }
        }
    }
    request_count
}

// The only share for one class is in use while one for another class is idle. Guards against
// counting the idle share, which would delay the next request for shares by seconds.
#[test]
fn other_classes_share_idle() {
    let options = EntryOptions::new(NodeId(1), "dc-1".parse().expect("a valid name"), 1);
    let mut entry = Entry::new(options);
    let classes = vec![spec("check"), spec("filing")];
    let document = Arc::new(ConfigDocument { classes, ..ConfigDocument::default() });
    let shard = shard_of_rack(&record().rack);
    let owner = ShardOwner { shard, node: OWNER, epoch: EPOCH };
    let start = Time::from_secs(100);
    step(&mut entry, start, EntryEvent::Config { document });
    step(&mut entry, start, EntryEvent::Owners { owners: vec![owner] });
    step(&mut entry, start, EntryEvent::Vms { vms: vec![record()] });
    for tick in 0..100 {
        step(&mut entry, start + Duration::from_millis(100 * tick), EntryEvent::Tick);
    }
    let busy = start + Duration::from_secs(10);
    step(&mut entry, busy, arrival(1));
    let mut request_count = 0;
    request_count += step(&mut entry, busy + Duration::from_millis(20), arrival(2));
    for tick in 1..=5 {
        let now = busy + Duration::from_millis(20 + 100 * tick);
        request_count += step(&mut entry, now, EntryEvent::Tick);
    }
    assert!(request_count > 0, "no shares were requested within half a second");
}
