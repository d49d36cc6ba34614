//! Peak use and run time of each class, from measurements that arrive late.
//!
//! Declared sizes are far from reality in both directions. Too small: the learned peak is
//! committed instead as soon as a single measurement exceeds the declaration, since the harm (a
//! VM overrun) is at once. Too large: the commitment shrinks only after many tasks have ended, and
//! never to nothing, since the harm of a wrong guess (a task held to too little) is paid by tasks
//! that did no wrong, while the gain (room) is only the scheduler's. Accelerators are whole and
//! are always taken as declared.

use {
    egretlb_types::{ClassName, Megabytes, MilliCores, Resources, worker::TaskEnd},
    std::{collections::BTreeMap, time::Duration},
};

/// Ended tasks of a class before its commitment may shrink below the declaration.
const SHRINK_MIN_SAMPLES: u32 = 20;

/// Ended tasks of a class before its learned run time is used.
const RUN_TIME_MIN_SAMPLES: u32 = 3;

/// What is committed for a learned peak below the declaration, in thousandths of it: measurements
/// miss short peaks.
const MARGIN_PERMILLE: u64 = 1_200;

/// No commitment falls below this share of the declaration, in thousandths.
const FLOOR_PERMILLE: u64 = 250;

/// How much of a remembered peak is kept with every ended task, in thousandths. A class that has
/// become smaller is believed after some hundred tasks.
const PEAK_DECAY_PERMILLE: u64 = 990;

/// The weight of a new run time against the remembered one, in thousandths.
const RUN_TIME_WEIGHT_PERMILLE: u64 = 100;

#[derive(Clone, Debug, Default)]
struct ClassSize {
    /// The peak seen, slowly forgotten.
    peak: Resources,
    ended: u32,
    run_time: Duration,
}

/// Learned sizes by class.
#[derive(Clone, Debug, Default)]
pub struct SizeTable {
    classes: BTreeMap<ClassName, ClassSize>,
}

fn scale(resources: &Resources, permille: u64) -> Resources {
    let part = |n: u32| u32::try_from(u64::from(n) * permille / 1_000).unwrap_or(u32::MAX);
    Resources {
        cpu: MilliCores(part(resources.cpu.0)),
        memory: Megabytes(part(resources.memory.0)),
        accelerators: resources.accelerators,
    }
}

/// The smaller of the two in each part.
fn min_each(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.min(b.cpu),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl SizeTable {
    /// A running task's use was measured.
    pub fn record_usage(&mut self, class: &ClassName, used: &Resources) {
        let size = self.entry(class);
        size.peak = size.peak.max(used);
    }

    /// A task ended.
    pub fn record_end(&mut self, class: &ClassName, peak: &Resources, ran: Duration, end: TaskEnd) {
        let size = self.entry(class);
        size.peak = scale(&size.peak, PEAK_DECAY_PERMILLE).max(peak);
        if end != TaskEnd::Done {
            // How long a failure took says nothing of how long the work takes.
            return;
        }
        size.run_time = match size.ended {
            0 => ran,
            _ => moving_average(size.run_time, ran),
        };
        size.ended = size.ended.saturating_add(1);
    }

    fn entry(&mut self, class: &ClassName) -> &mut ClassSize {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassSize::default());
        }
        self.classes.get_mut(class).expect("inserted above")
    }

    /// What to commit for a task of the class.
    pub fn committed_size(&self, class: &ClassName, declared: &Resources) -> Resources {
        let Some(size) = self.classes.get(class) else { return *declared };
        let mut committed = if size.ended >= SHRINK_MIN_SAMPLES {
            // The margin lifts no higher than the declaration. A task that uses all it is given
            // would otherwise be given a fifth more each time, without end: its use then says what
            // it was given and not what it needs.
            let with_margin = min_each(&scale(&size.peak, MARGIN_PERMILLE), declared);
            size.peak.max(&with_margin).max(&scale(declared, FLOOR_PERMILLE))
        } else {
            declared.max(&size.peak)
        };
        committed.accelerators = declared.accelerators;
        committed
    }

    /// The usual run time of the class.
    pub fn run_time(&self, class: &ClassName) -> Option<Duration> {
        self.classes
            .get(class)
            .filter(|size| size.ended >= RUN_TIME_MIN_SAMPLES)
            .map(|s| s.run_time)
    }
}

fn moving_average(old: Duration, new: Duration) -> Duration {
    let (old, new) = (old.as_millis() as u64, new.as_millis() as u64);
    let sum = old * (1_000 - RUN_TIME_WEIGHT_PERMILLE) + new * RUN_TIME_WEIGHT_PERMILLE;
    Duration::from_millis(sum / 1_000)
}
