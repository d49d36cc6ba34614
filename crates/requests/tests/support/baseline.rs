//! Baseline for comparison: round robin over all servers, an unbounded FIFO queue at each, and
//! three blind retries after a timeout of the class's target. Servers process abandoned requests
//! too.

use {
    super::{load::LoadRequest, stats::Sample},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

const RETRIES: u32 = 3;
const HOP: Duration = Duration::from_micros(800);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Send(usize),
    Timeout(usize, u32),
    RunFinished(usize, usize),
}

/// Runs the load on servers of `slots` slots; `slow` holds the slowdown of each server.
pub fn run(
    load_requests: &[LoadRequest],
    targets: &[Duration],
    slots: usize,
    slow: &[f64],
) -> Vec<Sample> {
    let mut queue: BinaryHeap<Reverse<(Duration, u64, SimEvent)>> = BinaryHeap::new();
    let mut seq = 0;
    let mut push = |queue: &mut BinaryHeap<_>, at: Duration, ev: SimEvent| {
        seq += 1;
        queue.push(Reverse((at, seq, ev)));
    };
    let mut samples: Vec<Sample> =
        load_requests.iter().map(|load_request| load_request.sample()).collect();
    let mut done = vec![false; load_requests.len()];
    let mut busy = vec![0; slow.len()];
    let mut waiting = vec![VecDeque::new(); slow.len()];
    let mut next_server = 0;
    for (i, load_request) in load_requests.iter().enumerate() {
        push(&mut queue, load_request.at, SimEvent::Send(i));
    }
    while let Some(Reverse((now, _, ev))) = queue.pop() {
        match ev {
            SimEvent::Send(i) => {
                next_server = (next_server + 1) % slow.len();
                samples[i].sends += 1;
                push(
                    &mut queue,
                    now + targets[load_requests[i].class],
                    SimEvent::Timeout(i, samples[i].sends),
                );
                if busy[next_server] < slots {
                    busy[next_server] += 1;
                    push(
                        &mut queue,
                        now + HOP + load_requests[i].work.mul_f64(slow[next_server]),
                        SimEvent::RunFinished(next_server, i),
                    );
                } else {
                    waiting[next_server].push_back(i);
                }
            }
            SimEvent::Timeout(i, send_count) => {
                if done[i] || samples[i].sends != send_count {
                    continue;
                }
                if send_count <= RETRIES {
                    push(&mut queue, now, SimEvent::Send(i));
                } else {
                    done[i] = true;
                    samples[i].took = now - load_requests[i].at;
                }
            }
            SimEvent::RunFinished(server, i) => {
                if !done[i] {
                    done[i] = true;
                    samples[i].answered = true;
                    samples[i].took = now + HOP - load_requests[i].at;
                }
                match waiting[server].pop_front() {
                    Some(next) => {
                        let work = load_requests[next].work.mul_f64(slow[server]);
                        push(&mut queue, now + work, SimEvent::RunFinished(server, next));
                    }
                    None => busy[server] -= 1,
                }
            }
        }
    }
    samples
}
