//! The log service client against the stand-in.

use {
    egretlb_log::{AppendOutcome, LogService, NotAppendedReason, ReadOutcome, StreamName},
    egretlb_net::platform::HttpLog,
    egretlb_standins::log::{Expire, LogFaults, LogServer, LogSettings, start_log},
    egretlb_types::{NodeId, Offset},
    std::net::{Ipv4Addr, SocketAddr, TcpListener},
};

fn start() -> (LogServer, HttpLog) {
    let server = start_log(LogSettings::default(), 0).expect("a free port");
    let log = HttpLog::new([server.addr()], NodeId(1));
    (server, log)
}

fn records(outcome: ReadOutcome) -> Vec<Vec<u8>> {
    match outcome {
        ReadOutcome::Page { records, end: true, .. } => {
            records.into_iter().map(|r| r.bytes).collect()
        }
        other => panic!("expected the whole stream, got {other:?}"),
    }
}

#[test]
fn reads_what_was_appended() {
    let (_server, log) = start();
    let stream = StreamName::control();
    assert_eq!(records(log.read(&stream, Offset(0))), Vec::<Vec<u8>>::new());
    assert_eq!(log.append(&stream, b"one"), AppendOutcome::Appended(Offset(0)));
    assert_eq!(log.append(&stream, b"two"), AppendOutcome::Appended(Offset(1)));
    assert_eq!(records(log.read(&stream, Offset(0))), [b"one".to_vec(), b"two".to_vec()]);
    assert_eq!(records(log.read(&stream, Offset(1))), [b"two".to_vec()]);
}

// An append whose response is lost must not count as failed, or work runs twice.
#[test]
fn lost_response_is_unknown() {
    let (server, log) = start();
    let stream = StreamName::control();
    server.set_faults(LogFaults { lose_answers: 1, ..LogFaults::default() });
    assert_eq!(log.append(&stream, b"one"), AppendOutcome::Unknown);
    assert_eq!(records(log.read(&stream, Offset(0))), [b"one".to_vec()]);
}

// A refused connection proves that nothing was appended.
#[test]
fn refused_connection_not_appended() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr: SocketAddr = listener.local_addr().expect("an address");
    drop(listener);
    let log = HttpLog::new([addr], NodeId(1));
    let outcome = log.append(&StreamName::control(), b"one");
    assert_eq!(outcome, AppendOutcome::NotAppended(NotAppendedReason::Unreachable));
    assert_eq!(log.read(&StreamName::control(), Offset(0)), ReadOutcome::Unavailable);
}

// An expired offset must not look like an empty stream, or the jobs in it are lost silently.
#[test]
fn expired_offset_gone() {
    let (server, log) = start();
    let stream = StreamName::control();
    for record in [b"one", b"two"] {
        log.append(&stream, record);
    }
    let expire = Expire { stream: "control".into(), before: 1 };
    server.set_faults(LogFaults { expire: vec![expire], ..LogFaults::default() });
    assert_eq!(log.read(&stream, Offset(0)), ReadOutcome::Gone { oldest: Offset(1) });
}
