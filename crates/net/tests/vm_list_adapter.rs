//! The VM list client against the stand-in.

use {
    egretlb_net::platform::VmListClient,
    egretlb_standins::vms::start_vms,
    egretlb_types::{Resources, VmRecord, VmState},
};

fn record(state: VmState) -> VmRecord {
    VmRecord {
        vm: "w-1".parse().expect("a valid name"),
        addr: "127.0.0.1:9".into(),
        data_centre: "dc-1".parse().expect("a valid name"),
        rack: "r-1".parse().expect("a valid name"),
        state,
        capacity: Resources::default(),
        slots: 8,
        connections: 64,
    }
}

// A stale cached list would keep sending work to a draining VM.
#[test]
fn sees_each_change() {
    let server = start_vms(vec![record(VmState::Live)], 0).expect("a port");
    let client = VmListClient::new(server.addr());
    for _ in 0..3 {
        assert_eq!(client.read().expect("a list"), [record(VmState::Live)]);
    }
    server.set(record(VmState::Leaving));
    for _ in 0..2 {
        assert_eq!(client.read().expect("a list"), [record(VmState::Leaving)]);
    }
    server.remove(&record(VmState::Live).vm);
    assert_eq!(client.read().expect("a list"), []);
}
