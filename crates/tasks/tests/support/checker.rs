//! Checks the invariants of a run.

use {
    egretlb_types::{JobId, Resources, TaskId, Time, VmId, worker::TaskFence},
    std::collections::{BTreeMap, BTreeSet},
};

/// Records what workers did and what callers were answered, and each violation.
#[derive(Debug, Default)]
pub struct Checker {
    pub violations: Vec<String>,
    running: BTreeMap<TaskId, Vec<(VmId, TaskFence)>>,
    /// The VMs where each task completed.
    done: BTreeMap<TaskId, Vec<VmId>>,
    /// The last checkpoint of each task, and the VM that wrote it.
    checkpoints: BTreeMap<TaskId, (String, VmId)>,
    /// VMs that died or were cut off; their unreported results may be lost.
    failed_vms: BTreeSet<VmId>,
    pub accepted: BTreeSet<JobId>,
    pub starts: u64,
    /// When each task first started.
    pub first_starts: BTreeMap<TaskId, Time>,
    pub evictions: u64,
    pub resumes: u64,
}

impl Checker {
    fn violation(&mut self, now: Time, text: String) {
        self.violations.push(format!("{now}: {text}"));
    }

    pub fn started(&mut self, now: Time, vm: &VmId, of: &TaskFence, checkpoint: Option<&str>) {
        self.starts += 1;
        self.first_starts.entry(of.task.clone()).or_insert(now);
        self.resumes += u64::from(checkpoint.is_some());
        let others = self.running.entry(of.task.clone()).or_default();
        let elsewhere: Vec<String> =
            others.iter().map(|(vm, of)| format!("{vm} under {}", of.fence)).collect();
        others.push((vm.clone(), of.clone()));
        if !elsewhere.is_empty() {
            let text =
                format!("{} starts on {vm} under {}, runs on {elsewhere:?}", of.task, of.fence);
            self.violation(now, text);
        }
        if let Some((last, at)) = self.checkpoints.get(&of.task)
            && Some(last.as_str()) != checkpoint
            && !self.failed_vms.contains(at)
        {
            let text = format!("{} resumes from {checkpoint:?}, last was {last}", of.task);
            self.violation(now, text);
        }
        if self.done.contains_key(&of.task) && !self.done_is_lost(&of.task) {
            self.violation(now, format!("{} starts again after it was done", of.task));
        }
    }

    fn done_is_lost(&self, task: &TaskId) -> bool {
        self.done.get(task).is_some_and(|at| at.iter().all(|vm| self.failed_vms.contains(vm)))
    }

    pub fn ended(&mut self, vm: &VmId, of: &TaskFence) {
        if let Some(running) = self.running.get_mut(&of.task) {
            running.retain(|(at, fence)| at != vm || fence != of);
        }
    }

    pub fn stopped(&mut self, vm: &VmId, of: &TaskFence, checkpoint: Option<&str>) {
        self.ended(vm, of);
        if let Some(checkpoint) = checkpoint {
            self.evictions += 1;
            self.checkpoints.insert(of.task.clone(), (checkpoint.to_owned(), vm.clone()));
        }
    }

    pub fn done(&mut self, now: Time, vm: &VmId, of: &TaskFence) {
        if self.done.contains_key(&of.task) && !self.done_is_lost(&of.task) {
            self.violation(now, format!("{} is done twice", of.task));
        }
        self.done.entry(of.task.clone()).or_default().push(vm.clone());
    }

    pub fn holds(&mut self, now: Time, vm: &VmId, held: &Resources, capacity: &Resources) {
        if !held.fits(capacity) {
            self.violation(now, format!("{vm} is given {held}, holds {capacity}"));
        }
    }

    pub fn vm_failed(&mut self, vm: &VmId) {
        self.failed_vms.insert(vm.clone());
    }

    pub fn is_done(&self, task: &TaskId) -> bool {
        self.done.contains_key(task)
    }

    pub fn runs(&self, task: &TaskId) -> bool {
        self.running.get(task).is_some_and(|running| !running.is_empty())
    }

    /// Checks the final reported state of a job.
    pub fn final_state(&mut self, now: Time, job: &JobId, over: bool, done: u32, tasks: u32) {
        if !over {
            self.violation(now, format!("{job} was accepted and isn't over"));
            return;
        }
        let task = |index| TaskId { job: job.clone(), index };
        let done_at_workers = (0..tasks).filter(|index| self.is_done(&task(*index))).count() as u32;
        // A completion on a VM that failed before it reported may be missing from the count.
        if done > done_at_workers {
            self.violation(
                now,
                format!("{job} is reported with {done} tasks done, has {done_at_workers}"),
            );
        }
        for index in 0..tasks {
            if self.runs(&task(index)) {
                self.violation(now, format!("{job}/{index} is over and still runs"));
            }
        }
    }
}
