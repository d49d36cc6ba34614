//! Learned peak use and run time of each class.
//!
//! The learned peak replaces a declaration that is too small after a single larger measurement,
//! since the VM would be overcommitted. A declaration that is too large is reduced only after many
//! tasks have ended, and not below a floor, since a task with too small a reservation may fail.
//! Accelerators are always reserved as declared.

use {
    egretlb_types::{ClassName, Megabytes, MilliCores, Resources, worker::TaskEnd},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of ended tasks of a class before its reservations shrink below the declaration.
const SHRINK_MIN_SAMPLES: u32 = 20;

/// Number of ended tasks of a class before its learned run time is used.
const RUN_TIME_MIN_SAMPLES: u32 = 3;

/// Reservation as a share of the learned peak, if that is below the declaration. Measurements miss
/// short peaks.
const MARGIN_PERMILLE: u64 = 1_200;

/// Minimum reservation as a share of the declaration.
const FLOOR_PERMILLE: u64 = 250;

/// Share of the learned peak that is kept per ended task. The peak follows a class that uses less
/// within some hundred tasks.
const PEAK_RETAINED_PERMILLE: u64 = 990;

/// Weight of a new run time in the moving average.
const RUN_TIME_WEIGHT_PERMILLE: u64 = 100;

#[derive(Clone, Debug, Default)]
struct ClassSize {
    /// Decaying peak use.
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

/// The minimum of each resource.
fn min_each(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.min(b.cpu),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

impl SizeTable {
    /// Records the measured use of a running task.
    pub fn record_usage(&mut self, class: &ClassName, used: &Resources) {
        let size = self.entry(class);
        size.peak = size.peak.max(used);
    }

    /// Records the end of a task.
    pub fn record_end(&mut self, class: &ClassName, peak: &Resources, ran: Duration, end: TaskEnd) {
        let size = self.entry(class);
        size.peak = scale(&size.peak, PEAK_RETAINED_PERMILLE).max(peak);
        if end != TaskEnd::Done {
            // The run time of a failed task isn't representative.
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

    /// Resources to reserve for a task of the class.
    pub fn committed_size(&self, class: &ClassName, declared: &Resources) -> Resources {
        let Some(size) = self.classes.get(class) else { return *declared };
        let mut committed = if size.ended >= SHRINK_MIN_SAMPLES {
            // Limited to the declaration: a task that uses all of its reservation would otherwise
            // grow by the margin each time.
            let with_margin = min_each(&scale(&size.peak, MARGIN_PERMILLE), declared);
            size.peak.max(&with_margin).max(&scale(declared, FLOOR_PERMILLE))
        } else {
            declared.max(&size.peak)
        };
        committed.accelerators = declared.accelerators;
        committed
    }

    /// Average run time of the class.
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
