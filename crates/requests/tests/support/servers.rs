//! Simulated backend servers: slots, and a queue for requests beyond them.

use {
    egretlb_requests::{AttemptId, RequestId},
    egretlb_types::VmId,
    std::{collections::VecDeque, time::Duration},
};

/// One exchange at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Run {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub entry: usize,
    /// Incarnation of the entry that waits for the answer.
    pub incarnation: u32,
    pub work: Duration,
}

#[derive(Debug)]
pub struct Server {
    pub vm: VmId,
    pub slots: usize,
    pub alive: bool,
    pub draining: bool,
    /// Whether every answer is truncated.
    pub truncates_answers: bool,
    /// Slowdown compared with a normal server.
    pub slow: f64,
    /// Above this concurrency all work slows down by the square of the excess.
    pub thrashes_above: usize,
    pub running: Vec<Run>,
    pub queue: VecDeque<Run>,
    /// Number of requests started.
    pub started: u64,
    /// Maximum number of requests running and queued at once.
    pub peak: usize,
    /// Increases with each kill; runs of an earlier generation are ignored.
    pub generation: u32,
}

impl Server {
    pub fn new(vm: VmId, slots: usize) -> Self {
        Server {
            vm,
            slots,
            alive: true,
            draining: false,
            truncates_answers: false,
            slow: 1.0,
            thrashes_above: usize::MAX,
            running: Vec::new(),
            queue: VecDeque::new(),
            started: 0,
            peak: 0,
            generation: 0,
        }
    }

    /// Accepts a request; returns it if it starts at once.
    pub fn receive(&mut self, run: Run) -> Option<Run> {
        self.peak = self.peak.max(self.running.len() + self.queue.len() + 1);
        if self.running.len() < self.slots {
            self.running.push(run);
            return Some(run);
        }
        self.queue.push_back(run);
        None
    }

    /// Ends a run; returns the queued one that starts next.
    pub fn finish(&mut self, run: &Run) -> Option<Run> {
        self.running.retain(|other| other != run);
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    pub fn time_for(&self, work: Duration) -> Duration {
        let excess = self.running.len() as f64 / self.thrashes_above as f64;
        work.mul_f64(self.slow * excess.max(1.0).powi(2))
    }

    /// Kills the process; returns the runs that are lost.
    pub fn kill(&mut self) -> Vec<Run> {
        self.alive = false;
        self.generation += 1;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }
}
