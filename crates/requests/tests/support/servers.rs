//! Backend servers: some slots, and a queue for what is sent beyond them.

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
    /// Which incarnation of the entry waits for the answer.
    pub incarnation: u32,
    pub work: Duration,
}

#[derive(Debug)]
pub struct Server {
    pub vm: VmId,
    pub slots: usize,
    pub alive: bool,
    pub leaving: bool,
    /// Every answer is cut off.
    pub truncates: bool,
    /// How many times longer than elsewhere everything takes.
    pub slow: f64,
    /// With more at once than this, everything takes longer: by the square of the excess.
    pub thrashes_above: usize,
    pub running: Vec<Run>,
    pub queue: VecDeque<Run>,
    /// Requests that it began to work on.
    pub started: u64,
    /// The most that was ever there at once.
    pub peak: usize,
    /// Grows with each restart: an end of an earlier life is void.
    pub life: u32,
}

impl Server {
    pub fn new(vm: VmId, slots: usize) -> Self {
        Server {
            vm,
            slots,
            alive: true,
            leaving: false,
            truncates: false,
            slow: 1.0,
            thrashes_above: usize::MAX,
            running: Vec::new(),
            queue: VecDeque::new(),
            started: 0,
            peak: 0,
            life: 0,
        }
    }

    /// Takes a request; returns it if it runs at once.
    pub fn receive(&mut self, run: Run) -> Option<Run> {
        self.peak = self.peak.max(self.running.len() + self.queue.len() + 1);
        if self.running.len() < self.slots {
            self.running.push(run);
            return Some(run);
        }
        self.queue.push_back(run);
        None
    }

    /// Ends a run; returns the next one if one waited.
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

    /// The process dies with all it holds; returns what was there.
    pub fn kill(&mut self) -> Vec<Run> {
        self.alive = false;
        self.life += 1;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }
}
