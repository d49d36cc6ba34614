//! Tasks that crash each worker that starts them.

use {
    super::world::World,
    egretlb_types::Time,
    egretlb_workflow::TaskId,
    std::{collections::BTreeMap, time::Duration},
};

/// Which tasks crash their worker, and when what they crashed is back.
pub struct Culprits {
    /// How long after its start each task crashes its worker.
    pub tasks: BTreeMap<TaskId, Duration>,
    /// How long a worker is away.
    pub away: Duration,
    down: Vec<(Time, usize)>,
}

impl Default for Culprits {
    fn default() -> Culprits {
        Culprits { tasks: BTreeMap::new(), away: Duration::from_millis(3_200), down: Vec::new() }
    }
}

impl World {
    /// Crashes the workers at which a culprit has run for as long as it takes, and brings back those whose time is
    /// over.
    pub fn crash_by_culprits(&mut self) {
        let now = self.now;
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            let Some(task) = worker.culprit(now, &self.culprits.tasks) else { continue };
            self.checker.crashed_by(task);
            self.workers[number].crash(&mut self.checker);
            self.culprits.down.push((now + self.culprits.away, number));
        }
        let (back, down) = self.culprits.down.drain(..).partition(|(at, _)| *at <= now);
        self.culprits.down = down;
        let back: Vec<(Time, usize)> = back;
        for (_, number) in back {
            self.revive(number);
        }
    }
}
