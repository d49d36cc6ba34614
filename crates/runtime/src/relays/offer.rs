//! The follower's side: offers to be a relay and makes the leader's calls.

use {
    super::{FRAME_GAP, HEARTBEAT_INTERVAL, LOW_CPU_PATH, PATH, PROTOCOL, frames},
    crate::{
        core::Core,
        node::Node,
        platform::{PaceCall, PollCall, StartCall, StopCall},
    },
    bytes::Bytes,
    compact_str::CompactString,
    egretlb_http::{Duplex, Upgrade, upgrade},
    egretlb_relay::{Answer, Call, Hello, RelayCodec, RelayedCall},
    egretlb_workflow::StartResult,
    futures::{SinkExt, StreamExt},
    http::StatusCode,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Timeout of an offer. A leader without relays is overloaded and slow to answer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a declined offer.
const DECLINED_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a closed connection or a failed offer. It is short, since the leader may have lost all relays.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Delay of offers from VMs with a low CPU share, so that others are used first.
const LOW_CPU_DELAY: Duration = Duration::from_millis(100);

/// The connection to the leader.
struct LeaderLink {
    codec: RefCell<RelayCodec>,
    /// A report was added.
    send_frame: Notify,
    /// The leader has sent a frame, so this relay is in use.
    used: Notify,
}

/// Offers this process to each leader as a relay, until the process stops.
pub(crate) async fn offer(node: Rc<Node>) {
    loop {
        let leader = node.watch.wait_for(Core::other_term).await;
        if node.has_low_cpu() {
            sleep(LOW_CPU_DELAY).await;
        }
        if node.core().stopping {
            return;
        }
        let relaying = async {
            let pause = relay_for(&node, leader.addr).await;
            sleep(pause).await;
        };
        // A new term gets a new offer at once, even at the same address, since the process may have been restarted.
        let new_term =
            node.watch.wait_for(|core| (core.other_term() != Some(leader)).then_some(()));
        tokio::select! {
            () = relaying => {}
            () = new_term => {}
        }
    }
}

/// Makes calls for a leader until the connection ends; returns the pause before the next offer.
async fn relay_for(node: &Rc<Node>, leader: SocketAddr) -> Duration {
    let path = if node.has_low_cpu() { LOW_CPU_PATH } else { PATH };
    let stream = match upgrade(leader, path, PROTOCOL, OFFER_TIMEOUT).await {
        Ok(Upgrade::Agreed(stream)) => *stream,
        Ok(Upgrade::Declined(status)) => {
            log::debug!(leader:%, status = status.as_u16(); "offer_declined");
            let not_leader = status == StatusCode::CONFLICT;
            return if not_leader { RECONNECT_PAUSE } else { DECLINED_PAUSE };
        }
        Err(error) => {
            log::debug!(leader:%, error:%; "offer_failed");
            return RECONNECT_PAUSE;
        }
    };
    let link = Rc::new(LeaderLink {
        codec: RefCell::default(),
        send_frame: Notify::new(),
        used: Notify::new(),
    });
    exchange(node, &link, stream).await;
    log::info!(leader:%; "relaying_ended");
    RECONNECT_PAUSE
}

/// Exchanges frames with the leader until the connection fails or this process stops.
async fn exchange(node: &Rc<Node>, link: &Rc<LeaderLink>, stream: Duplex) {
    let (mut sink, mut source) = frames(stream).split();
    let hello = Hello {
        name: node.name.clone(),
        data_centre: node.data_centre.clone(),
        addr: node.core().leadership.addr(),
        low_cpu: node.has_low_cpu(),
        clock_ms: clock_ms(node),
    };
    if sink.send(Bytes::from(hello.to_frame())).await.is_err() {
        return;
    }
    let write = async {
        link.used.notified().await;
        while !node.core().stopping {
            // A frame without reports is a heartbeat.
            let _ = timeout(HEARTBEAT_INTERVAL, link.send_frame.notified()).await;
            let frame = link.codec.borrow_mut().next_frame(clock_ms(node));
            if sink.send(Bytes::from(frame)).await.is_err() {
                return;
            }
            sleep(FRAME_GAP).await;
        }
    };
    let read = async {
        while let Some(Ok(frame)) = source.next().await {
            link.used.notify_one();
            let read = link.codec.borrow_mut().read(&frame);
            let (until_ms, calls) = match read {
                Ok(read) => read,
                Err(error) => {
                    log::warn!(error:%; "relay_frame_unreadable");
                    return;
                }
            };
            let late = clock_ms(node) > until_ms;
            if late && !calls.is_empty() {
                log::info!(calls = calls.len(); "calls_arrived_late");
            }
            for relayed in calls {
                if late {
                    add_answer(link, relayed.number, relayed.call.withheld_answer());
                } else {
                    spawn_local(perform_call(Rc::clone(node), Rc::clone(link), relayed));
                }
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}

fn clock_ms(node: &Node) -> u64 {
    node.clock().now().as_micros() / 1_000
}

fn add_answer(link: &LeaderLink, number: egretlb_relay::CallNo, answer: Answer) {
    link.codec.borrow_mut().add(number, answer);
    link.send_frame.notify_one();
}

async fn perform_call(node: Rc<Node>, link: Rc<LeaderLink>, relayed: RelayedCall) {
    let RelayedCall { number, epoch, worker, addr, call } = relayed;
    let workers = node.relays.direct();
    let answer = match call {
        Call::Poll { recorded, until_ms, wait_ms } => {
            let call = PollCall { worker, addr, epoch, recorded, until_ms, wait_ms };
            Answer::Poll(node.take_decoded(workers.poll(call).await))
        }
        Call::Start { task, run, payload, until_ms, checkpoint, ticket, data_centre } => {
            let (worker, payload): (_, &CompactString) = (&worker, &payload);
            let (checkpoint, ticket) = (checkpoint.as_str(), ticket.as_str());
            let call = StartCall {
                worker,
                addr,
                epoch,
                task,
                run,
                payload,
                until_ms,
                checkpoint,
                ticket,
                data_centre: &data_centre,
            };
            // The evacuation may have been read after the leader sent the call.
            if node.core().evacuated.contains(&data_centre) {
                Answer::Start(StartResult::Withheld)
            } else {
                Answer::Start(workers.start(call).await)
            }
        }
        Call::Stop { task, run } => {
            Answer::Stop(workers.stop(StopCall { worker, addr, epoch, task, run }).await)
        }
        Call::Pace { task, run, percent } => {
            let call = PaceCall { worker, addr, epoch, task, run, percent };
            Answer::Pace(workers.pace(call).await)
        }
    };
    add_answer(&link, number, answer);
}
