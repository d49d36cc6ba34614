//! The plain way that every figure stands beside: round robin over all servers, as many
//! connections as wanted with an unbounded first-in first-out queue at each, and three blind
//! retries after a timeout of the class's target. A server works off abandoned requests too.

use {
    super::{load::Job, stats::Sample},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::Duration,
    },
};

const RETRIES: u32 = 3;
const HOP: Duration = Duration::from_micros(800);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Ev {
    Send(usize),
    Timeout(usize, u32),
    Ran(usize, usize),
}

/// Runs the jobs on `servers` servers of `slots` slots; `slow` gives each server's factor.
pub fn run(jobs: &[Job], targets: &[Duration], slots: usize, slow: &[f64]) -> Vec<Sample> {
    let mut queue: BinaryHeap<Reverse<(Duration, u64, Ev)>> = BinaryHeap::new();
    let mut seq = 0;
    let mut push = |queue: &mut BinaryHeap<_>, at: Duration, ev: Ev| {
        seq += 1;
        queue.push(Reverse((at, seq, ev)));
    };
    let mut samples: Vec<Sample> = jobs.iter().map(|job| job.sample()).collect();
    let mut done = vec![false; jobs.len()];
    let mut busy = vec![0; slow.len()];
    let mut waiting = vec![VecDeque::new(); slow.len()];
    let mut turn = 0;
    for (i, job) in jobs.iter().enumerate() {
        push(&mut queue, job.at, Ev::Send(i));
    }
    while let Some(Reverse((now, _, ev))) = queue.pop() {
        match ev {
            Ev::Send(i) => {
                turn = (turn + 1) % slow.len();
                samples[i].sends += 1;
                push(&mut queue, now + targets[jobs[i].class], Ev::Timeout(i, samples[i].sends));
                if busy[turn] < slots {
                    busy[turn] += 1;
                    push(
                        &mut queue,
                        now + HOP + jobs[i].work.mul_f64(slow[turn]),
                        Ev::Ran(turn, i),
                    );
                } else {
                    waiting[turn].push_back(i);
                }
            }
            Ev::Timeout(i, tried) => {
                if done[i] || samples[i].sends != tried {
                    continue;
                }
                if tried <= RETRIES {
                    push(&mut queue, now, Ev::Send(i));
                } else {
                    done[i] = true;
                    samples[i].took = now - jobs[i].at;
                }
            }
            Ev::Ran(server, i) => {
                if !done[i] {
                    done[i] = true;
                    samples[i].answered = true;
                    samples[i].took = now + HOP - jobs[i].at;
                }
                match waiting[server].pop_front() {
                    Some(next) => {
                        let work = jobs[next].work.mul_f64(slow[server]);
                        push(&mut queue, now + work, Ev::Ran(server, next));
                    }
                    None => busy[server] -= 1,
                }
            }
        }
    }
    samples
}
