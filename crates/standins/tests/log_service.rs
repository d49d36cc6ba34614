//! The log service's stand-in.

mod common;

use {
    common::call,
    compact_str::CompactString,
    egretlb_standins::log::{
        AppendRefused, Expire, LogFaults, LogSettings, LogState, OffsetGone, ReadPage, start_log,
    },
    egretlb_types::Time,
    std::time::Duration,
};

fn read(page: (u16, Vec<u8>)) -> ReadPage {
    assert_eq!(page.0, 200);
    postcard::from_bytes(&page.1).expect("a page")
}

#[test]
fn appends_are_read_back() {
    let log = start_log(LogSettings::default(), 0).expect("a free port");
    let path = "/streams/control";
    assert_eq!(read(call(log.addr(), "GET", path, &[], b"").expect("read")).next, 0);
    for (n, record) in [b"one", b"two"].iter().enumerate() {
        let answer = call(log.addr(), "POST", path, &[], *record).expect("append");
        assert_eq!(answer, (200, format!("{{\"offset\":{n}}}").into_bytes()));
    }
    let first = read(call(log.addr(), "GET", "/streams/control?max_bytes=1", &[], b"").unwrap());
    assert_eq!((first.records.len(), first.next, first.end), (1, 1, false));
    let rest = read(call(log.addr(), "GET", "/streams/control?from=1", &[], b"").unwrap());
    assert_eq!((rest.records[0].data.as_slice(), rest.next, rest.end), (&b"two"[..], 2, true));
}

#[test]
fn answer_lost() {
    // An append takes effect although its answer is lost.
    let log = start_log(LogSettings::default(), 0).expect("a free port");
    log.set_faults(LogFaults { lose_answers: 1, ..LogFaults::default() });
    assert!(call(log.addr(), "POST", "/streams/s", &[], b"r").is_err());
    assert_eq!(log.stats().streams["s"].appends, 1);
    assert_eq!(call(log.addr(), "POST", "/streams/s", &[], b"r").expect("append").0, 200);
}

#[test]
fn one_node_cut_off() {
    // Only the refused node is cut off.
    let log = start_log(LogSettings::default(), 0).expect("a free port");
    let refuse_nodes = vec![CompactString::new("7")];
    log.set_faults(LogFaults { refuse_nodes, ..LogFaults::default() });
    let from = |node| call(log.addr(), "GET", "/streams/s", &[("egretlb-node", node)], b"");
    assert!(from("7").is_err());
    assert_eq!(from("8").expect("read").0, 200);
}

#[test]
fn records_forgotten() {
    // Records expire by count, by age or by an injected fault; reading them must be an error.
    let settings = LogSettings {
        retain_records: 2,
        retain_age: Duration::from_secs(10),
        ..LogSettings::default()
    };
    let mut log = LogState::new(settings);
    for n in 0..3 {
        log.append(Time::from_secs(n), "s", vec![n as u8]).expect("append");
    }
    assert_eq!(log.read(Time::from_secs(3), "s", 0, 99), Err(OffsetGone { oldest: 1 }));
    assert_eq!(log.read(Time::from_secs(12), "s", 1, 99), Err(OffsetGone { oldest: 2 }));
    log.expire(&Expire { stream: CompactString::new("s"), before: 3 });
    let page = log.read(Time::from_secs(12), "s", 3, 99).expect("the end");
    assert_eq!((page.records.len(), page.next, page.end), (0, 3, true));
}

#[test]
fn rate_limited() {
    let mut log = LogState::new(LogSettings { appends_per_s: 2, ..LogSettings::default() });
    let now = Time::from_millis(1_100);
    assert!(log.append(now, "s", vec![]).is_ok() && log.append(now, "s", vec![]).is_ok());
    assert_eq!(log.append(now, "s", vec![]), Err(AppendRefused::TooMany));
    assert!(log.append(Time::from_millis(2_000), "s", vec![]).is_ok());
    assert_eq!((log.stats().too_many, log.stats().peak_appends_per_s), (1, 2));
}
