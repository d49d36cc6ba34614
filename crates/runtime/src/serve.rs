//! Starting a node, and ending it gracefully.

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
    /// For the balancer's question whether to send clients here.
    pub ready: TcpListener,
    /// For followers that hand records to the leader.
    pub peers: TcpListener,
}

/// How long a process that ends goes on serving: the balancer asks once a second and takes a node out
/// after two misses.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Then open connections have this long to finish their requests. Together with [`DRAIN`] it stays
/// below the 6 s after which the platform kills the process.
const FINISH_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Limits of the clients' listener: an eighth of a VM's 4,100 descriptors is far more than the clients
/// of one balancer use, and the buffers of so many connections stay below 10 MB. The platform's largest
/// body is 256 KiB. Idle connections are kept for 15 s, the platform's own bound.
const CLIENT_LIMITS: ServerLimits =
    ServerLimits { connections: 512, body_bytes: 256 * 1024, head: Duration::from_secs(15) };

/// Limits of the listener for followers: some connections each of up to a hundred VMs. A record is at
/// most as large as a client's body and its queue's names.
const PEER_LIMITS: ServerLimits =
    ServerLimits { connections: 512, body_bytes: 300 * 1024, head: Duration::from_secs(15) };

/// Limits of the balancer's listener.
const READY_LIMITS: ServerLimits =
    ServerLimits { connections: 32, body_bytes: 1024, head: Duration::from_secs(15) };

/// Serves until `stop` resolves, then ends gracefully. Must run within a local task set.
pub async fn run(node: Rc<Node>, listeners: Listeners, stop: impl Future<Output = ()>) {
    let (stop_tx, stop_rx) = watch::channel(false);
    match listeners.peers.local_addr() {
        Ok(addr) => node.listen_at(addr),
        // Followers append by themselves then.
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
    // Without a listener left there is nobody to be told.
    let _ = stop_tx.send(true);
    if timeout(FINISH_TIMEOUT, clients).await.is_err() {
        log::warn!("connections_cut_off");
    }
    // The last answers are on their way in the connections' own tasks.
    timeout(FINISH_TIMEOUT, stop_tx.closed())
        .await
        .unwrap_or_else(|_| log::warn!("requests_cut_off"));
}

async fn answer_ready(node: Rc<Node>, _: Request) -> Response {
    let now = node.clock().now();
    let ready = node.core().is_ready(now) && !node.appender.is_stuck();
    Response::empty(if ready { 200 } else { 503 })
}
