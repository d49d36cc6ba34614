//! The VM list's stand-in.

mod common;

use {
    common::call,
    egretlb_standins::vms::{VmList, VmListFaults, start_vms},
    egretlb_types::{Resources, Time, VmRecord, VmState},
    std::time::Duration,
};

fn record(vm: &str) -> VmRecord {
    VmRecord {
        vm: vm.parse().expect("a name"),
        addr: "127.0.0.1:1".into(),
        data_centre: "dc1".parse().expect("a name"),
        rack: "r1".parse().expect("a name"),
        state: VmState::Live,
        capacity: Resources::default(),
        slots: 8,
        connections: 64,
    }
}

#[test]
fn list_lags() {
    // The list lags: removed VMs are still on it, and new ones are missing.
    let mut list = VmList::new(vec![record("a")]);
    list.set(Time::from_secs(5), record("b"));
    list.remove(Time::from_secs(6), &"a".parse().expect("a name"));
    let lag = Duration::from_secs(2);
    let names = |secs| -> Vec<_> {
        list.at_lag(Time::from_secs(secs), lag).iter().map(|r| r.vm.to_string()).collect()
    };
    assert_eq!(names(6), ["a"]);
    assert_eq!(names(7), ["a", "b"]);
    assert_eq!(names(8), ["b"]);
}

#[test]
fn list_over_http() {
    let vms = start_vms(vec![record("a")], 0).expect("a free port");
    let body = serde_json::to_vec(&record("b")).expect("json");
    assert_eq!(call(vms.addr(), "PUT", "/vms/b", &[], &body).expect("put").0, 200);
    let (status, body) = call(vms.addr(), "GET", "/vms", &[], b"").expect("get");
    let records: Vec<VmRecord> = serde_json::from_slice(&body).expect("records");
    assert_eq!((status, records), (200, vec![record("a"), record("b")]));
    assert_eq!(call(vms.addr(), "POST", "/vms", &[], b"[{}]").expect("post").0, 400);
    vms.set_faults(VmListFaults { down: true, ..VmListFaults::default() });
    assert!(call(vms.addr(), "GET", "/vms", &[], b"").is_err());
}
