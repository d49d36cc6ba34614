//! Messages between processes over real sockets.

use {
    crossbeam::channel,
    egretlb_net::peers::{DeliveryFailure, PeerSender, Received, listen},
    egretlb_types::NodeId,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        time::Duration,
    },
    tokio::runtime::{Builder, Runtime},
};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Far longer than a delivery on loopback takes.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

fn runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

#[test]
fn delivers_each_message() {
    let rt = runtime();
    let (tx, rx) = channel::unbounded();
    let deliver = move |received| tx.send(received).expect("the test receives");
    let addr = listen(rt.handle(), LOOPBACK, 0, deliver).expect("a free port");
    let sender = PeerSender::new(rt.handle().clone(), NodeId(7));
    for n in 0..50_u8 {
        sender.send(addr, vec![n], None);
    }
    let mut bodies: Vec<u8> = Vec::new();
    for _ in 0..50 {
        let Received { from, body } = rx.recv_timeout(RECEIVE_TIMEOUT).expect("a message");
        assert_eq!(from, NodeId(7));
        bodies.extend(body);
    }
    bodies.sort_unstable();
    assert_eq!(bodies, (0..50).collect::<Vec<u8>>());
}

// Messages to a dead peer must fail at once rather than after a timeout.
#[test]
fn reports_unreachable_peer() {
    let rt = runtime();
    let listener = TcpListener::bind(SocketAddr::new(LOOPBACK, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let sender = PeerSender::new(rt.handle().clone(), NodeId(7));
    let (tx, rx) = channel::unbounded();
    for n in 0..3 {
        let tx = tx.clone();
        let on_undelivered =
            Box::new(move |failure| tx.send((n, failure)).expect("the test receives"));
        sender.send(addr, vec![0], Some(on_undelivered));
    }
    let mut failed: Vec<(i32, DeliveryFailure)> =
        (0..3).map(|_| rx.recv_timeout(RECEIVE_TIMEOUT).expect("a failed delivery")).collect();
    failed.sort_unstable_by_key(|(n, _)| *n);
    let never_sent = [0, 1, 2].map(|n| (n, DeliveryFailure::NeverSent));
    assert_eq!(failed, never_sent);
}
