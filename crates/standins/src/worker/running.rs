//! Progress, end and checkpoints of a running task.

use {
    crate::worker::Command,
    compact_str::{CompactString, format_compact},
    egretlb_types::{ClassName, Fence, Resources, Time, worker::TaskEnd},
    std::time::Duration,
};

/// A running task.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) fence: Fence,
    pub(super) class: ClassName,
    pub(super) service: bool,
    pub(super) resources: Resources,
    pub(super) command: Command,
    pub(super) fails: bool,
    pub(super) started: Time,
    pub(super) lease_until: Time,
    pub(super) throttle_permille: u16,
    /// Work done up to `counted`, as time on an unthrottled worker.
    pub(super) progress: Duration,
    pub(super) progress_at: Time,
}

/// Returns the speed of a task in thousandths of full speed.
fn speed(throttle_permille: u16, slowdown_permille: u32) -> u64 {
    u64::from(throttle_permille) * 1_000 / u64::from(slowdown_permille.max(1_000))
}

impl Running {
    pub(super) fn update_progress(&mut self, now: Time, slowdown_permille: u32) {
        let speed = speed(self.throttle_permille, slowdown_permille);
        let micros = now.since(self.progress_at).as_micros() as u64 * speed / 1_000;
        self.progress += Duration::from_micros(micros);
        self.progress_at = self.progress_at.max(now);
    }

    /// Returns the time and kind of its end if nothing changes.
    pub(super) fn end(&self, slowdown_permille: u32) -> (Time, TaskEnd) {
        let speed = speed(self.throttle_permille, slowdown_permille);
        let remaining_micros = self.command.run.saturating_sub(self.progress).as_micros() as u64;
        let done = match (self.service, speed) {
            (false, speed @ 1..) => {
                self.progress_at + Duration::from_micros((remaining_micros * 1_000).div_ceil(speed))
            }
            _ => Time::from_micros(u64::MAX),
        };
        let end = if self.fails { TaskEnd::Failed } else { TaskEnd::Done };
        if done <= self.lease_until {
            (done, end)
        } else {
            (self.lease_until, TaskEnd::LeaseLapsed)
        }
    }

    pub(super) fn used(&self) -> Resources {
        Resources {
            cpu: self.command.cpu.unwrap_or(self.resources.cpu),
            memory: self.command.memory.unwrap_or(self.resources.memory),
            accelerators: self.resources.accelerators,
        }
    }

    pub(super) fn checkpoint(&self) -> Option<CompactString> {
        let step = self.command.checkpoint?.as_millis().max(1);
        let saved = self.progress.as_millis() / step * step;
        Some(format_compact!("at-{saved}ms"))
    }
}

/// Returns the work done up to a checkpoint.
pub(super) fn checkpoint_progress(checkpoint: Option<&CompactString>) -> Duration {
    let millis = checkpoint.and_then(|c| c.strip_prefix("at-")?.strip_suffix("ms")?.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}
