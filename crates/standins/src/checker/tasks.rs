//! Tasks: one run at a time, within capacity, resumed from the checkpoint and completed once.

use {
    crate::{
        checker::Violation,
        worker::{Refusal, WorkerEvent, WorkerEventKind},
    },
    compact_str::CompactString,
    egretlb_types::{
        Resources, TaskId, VmId,
        worker::{TaskEnd, TaskFence},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A run in progress.
struct Run<'a> {
    of: &'a TaskFence,
    vm: &'a VmId,
    resources: Resources,
}

#[derive(Default)]
struct Replay<'a> {
    runs: Vec<Run<'a>>,
    done: BTreeSet<&'a TaskId>,
    /// The newest checkpoint of each task.
    checkpoints: BTreeMap<&'a TaskId, Option<&'a CompactString>>,
}

/// Checks everything except that evicted tasks are resumed.
pub(super) fn check(
    worker_events: &[&WorkerEvent],
    capacities: &BTreeMap<VmId, Resources>,
    violations: &mut Vec<Violation>,
) {
    let mut replay = Replay::default();
    for event in worker_events {
        match &event.kind {
            WorkerEventKind::Started { of, resources, checkpoint, .. } => {
                replay.check_start(event, of, checkpoint.as_ref(), violations);
                replay.runs.push(Run { of, vm: &event.vm, resources: *resources });
                replay.check_capacity(event, capacities, violations);
            }
            WorkerEventKind::Ended { of, end } => replay.end(of, *end, violations),
            WorkerEventKind::Stopped { of, checkpoint } => {
                replay.runs.retain(|run| run.of != of);
                if checkpoint.is_some() {
                    replay.checkpoints.insert(&of.task, checkpoint.as_ref());
                }
            }
            WorkerEventKind::Refused { why: Refusal::NoRoom, .. } => {
                violations.push(Violation::OverCapacity { vm: event.vm.clone(), at: event.at });
            }
            WorkerEventKind::Died => replay.runs.retain(|run| *run.vm != event.vm),
            _ => {}
        }
    }
}

/// Checks that evicted tasks were resumed.
pub(super) fn check_resumed(
    worker_events: &[&WorkerEvent],
    cancelled: impl Fn(&TaskId) -> bool,
    violations: &mut Vec<Violation>,
) {
    let mut evicted = BTreeSet::new();
    for event in worker_events {
        match &event.kind {
            WorkerEventKind::Stopped { of, .. } => {
                evicted.insert(&of.task);
            }
            WorkerEventKind::Started { of, .. } => {
                evicted.remove(&of.task);
            }
            _ => {}
        }
    }
    let lost = evicted.into_iter().filter(|task| !cancelled(task));
    violations.extend(lost.map(|task| Violation::NeverResumed { task: task.clone() }));
}

impl<'a> Replay<'a> {
    fn check_start(
        &self,
        event: &WorkerEvent,
        of: &TaskFence,
        checkpoint: Option<&CompactString>,
        violations: &mut Vec<Violation>,
    ) {
        if let Some(first) = self.runs.iter().find(|run| run.of.task == of.task) {
            violations.push(Violation::TwoPlaces {
                first: first.of.clone(),
                first_vm: first.vm.clone(),
                second: of.clone(),
                second_vm: event.vm.clone(),
                at: event.at,
            });
        }
        if self.done.contains(&of.task) {
            violations.push(Violation::StartedAfterDone { task: of.task.clone() });
        }
        let expected = self.checkpoints.get(&of.task).copied().flatten();
        if checkpoint != expected {
            let expected = expected.cloned();
            violations.push(Violation::WrongResume { of: of.clone(), expected });
        }
    }

    fn check_capacity(
        &self,
        event: &WorkerEvent,
        capacities: &BTreeMap<VmId, Resources>,
        violations: &mut Vec<Violation>,
    ) {
        let Some(capacity) = capacities.get(&event.vm) else { return };
        let here = self.runs.iter().filter(|run| *run.vm == event.vm);
        let used = here.fold(Resources::default(), |sum, run| sum.plus(&run.resources));
        if !used.fits(capacity) {
            violations.push(Violation::OverCapacity { vm: event.vm.clone(), at: event.at });
        }
    }

    fn end(&mut self, of: &'a TaskFence, end: TaskEnd, violations: &mut Vec<Violation>) {
        self.runs.retain(|run| run.of != of);
        if end == TaskEnd::Done && !self.done.insert(&of.task) {
            violations.push(Violation::DoneTwice { task: of.task.clone() });
        }
    }
}
