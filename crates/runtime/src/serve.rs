//! Startup and graceful shutdown of a node.

use {
    crate::{clients, node::Node, peers},
    egretlb_http::{Request, Response, ServerLimits, serve},
    std::{future::Future, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        task::{JoinHandle, spawn_local},
        time::{sleep, timeout},
    },
};

/// Where a node listens.
#[derive(Debug)]
pub struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// For the load balancer's readiness check.
    pub ready: TcpListener,
    /// For other nodes: followers that forward records to the leader or offer to be relays; also state and metrics.
    pub peers: TcpListener,
}

/// How long a stopping process continues to serve. The load balancer checks readiness once a second and removes
/// a node after two failures.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// How long the clients' listener, and then all open connections, have to finish. The platform kills the process after 6 s.
const FINISH_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Limits of the clients' listener. A VM has 4,100 descriptors; the buffers of these connections take less than
/// 10 MB. The platform limits bodies to 256 KiB, and idle connections to 15 s.
const CLIENT_LIMITS: ServerLimits =
    ServerLimits { connections: 512, body_bytes: 256 * 1024, head: Duration::from_secs(15) };

/// Limits of the listener for other nodes: several connections each of up to a hundred VMs. A record contains a
/// client's body and the names of its route and service.
const PEER_LIMITS: ServerLimits =
    ServerLimits { connections: 512, body_bytes: 300 * 1024, head: Duration::from_secs(15) };

/// Limits of the readiness listener.
const READY_LIMITS: ServerLimits =
    ServerLimits { connections: 32, body_bytes: 1024, head: Duration::from_secs(15) };

/// Serves until `stop` resolves, then shuts down gracefully. Must run within a [`tokio::task::LocalSet`].
pub async fn run(node: Rc<Node>, listeners: Listeners, stop: impl Future<Output = ()>) {
    let (stop_tx, stop_rx) = watch::channel(false);
    match listeners.peers.local_addr() {
        Ok(addr) => node.set_listen_addr(addr),
        // Followers then append their records to the store themselves.
        Err(error) => log::warn!(error:% = error; "peer_address_unknown"),
    }
    node.spawn();
    let peer_node = Rc::clone(&node);
    spawn_local(serve(listeners.peers, PEER_LIMITS, stop_rx.clone(), move |req| {
        peers::answer(Rc::clone(&peer_node), req)
    }));
    let ready_node = Rc::clone(&node);
    spawn_local(serve(listeners.ready, READY_LIMITS, stop_rx.clone(), move |req| {
        answer_ready(Rc::clone(&ready_node), req)
    }));
    let client_node = Rc::clone(&node);
    let clients = spawn_local(serve(listeners.clients, CLIENT_LIMITS, stop_rx, move |req| {
        clients::answer(Rc::clone(&client_node), req)
    }));
    stop.await;
    log::info!(leads = node.leads(); "stopping");
    node.retire().await;
    sleep(DRAIN_TIME).await;
    shut_down(&stop_tx, clients).await;
    log::info!("stopped");
}

async fn shut_down(stop_tx: &watch::Sender<bool>, clients: JoinHandle<()>) {
    // Fails only if all listeners have ended.
    let _ = stop_tx.send(true);
    if timeout(FINISH_TIMEOUT, clients).await.is_err() {
        log::warn!("connections_cut_off");
    }
    // Connections run in their own tasks; the channel closes when the last of them ends.
    timeout(FINISH_TIMEOUT, stop_tx.closed())
        .await
        .unwrap_or_else(|_| log::warn!("requests_cut_off"));
}

async fn answer_ready(node: Rc<Node>, _: Request) -> Response {
    let now = node.clock().now();
    let ready = node.is_ready(now) && !node.appender.is_stuck();
    Response::empty(if ready { 200 } else { 503 })
}
