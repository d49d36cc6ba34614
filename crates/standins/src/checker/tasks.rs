//! Tasks: one place at a time, within capacity, resumed and done once.

use {
    crate::{
        checker::Violation,
        worker::{Happening, Refusal, What},
    },
    compact_str::CompactString,
    egretlb_types::{
        Resources, TaskId, VmId,
        worker::{TaskEnd, TaskFence},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// One run that goes on.
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

/// Checks all that can be said before the work is over.
pub(super) fn check(
    happenings: &[&Happening],
    capacities: &BTreeMap<VmId, Resources>,
    found: &mut Vec<Violation>,
) {
    let mut replay = Replay::default();
    for h in happenings {
        match &h.what {
            What::Started { of, resources, checkpoint, .. } => {
                replay.check_start(h, of, checkpoint.as_ref(), found);
                replay.runs.push(Run { of, vm: &h.vm, resources: *resources });
                replay.check_capacity(h, capacities, found);
            }
            What::Ended { of, end } => replay.end(of, *end, found),
            What::Stopped { of, checkpoint } => {
                replay.runs.retain(|run| run.of != of);
                if checkpoint.is_some() {
                    replay.checkpoints.insert(&of.task, checkpoint.as_ref());
                }
            }
            What::Refused { why: Refusal::NoRoom, .. } => {
                found.push(Violation::OverCapacity { vm: h.vm.clone(), at: h.at });
            }
            What::Died => replay.runs.retain(|run| *run.vm != h.vm),
            _ => {}
        }
    }
}

/// Checks that what was evicted has been run to an end since.
pub(super) fn check_resumed(
    happenings: &[&Happening],
    cancelled: impl Fn(&TaskId) -> bool,
    found: &mut Vec<Violation>,
) {
    let mut evicted = BTreeSet::new();
    for h in happenings {
        match &h.what {
            What::Stopped { of, .. } => {
                evicted.insert(&of.task);
            }
            What::Started { of, .. } => {
                evicted.remove(&of.task);
            }
            _ => {}
        }
    }
    let lost = evicted.into_iter().filter(|task| !cancelled(task));
    found.extend(lost.map(|task| Violation::NeverResumed { task: task.clone() }));
}

impl<'a> Replay<'a> {
    fn check_start(
        &self,
        h: &Happening,
        of: &TaskFence,
        checkpoint: Option<&CompactString>,
        found: &mut Vec<Violation>,
    ) {
        if let Some(first) = self.runs.iter().find(|run| run.of.task == of.task) {
            found.push(Violation::TwoPlaces {
                first: first.of.clone(),
                first_vm: first.vm.clone(),
                second: of.clone(),
                second_vm: h.vm.clone(),
                at: h.at,
            });
        }
        if self.done.contains(&of.task) {
            found.push(Violation::StartedAfterDone { task: of.task.clone() });
        }
        let expected = self.checkpoints.get(&of.task).copied().flatten();
        if checkpoint != expected {
            let expected = expected.cloned();
            found.push(Violation::WrongResume { of: of.clone(), expected });
        }
    }

    fn check_capacity(
        &self,
        h: &Happening,
        capacities: &BTreeMap<VmId, Resources>,
        found: &mut Vec<Violation>,
    ) {
        let Some(capacity) = capacities.get(&h.vm) else { return };
        let here = self.runs.iter().filter(|run| *run.vm == h.vm);
        let held = here.fold(Resources::default(), |sum, run| sum.plus(&run.resources));
        if !held.fits(capacity) {
            found.push(Violation::OverCapacity { vm: h.vm.clone(), at: h.at });
        }
    }

    fn end(&mut self, of: &'a TaskFence, end: TaskEnd, found: &mut Vec<Violation>) {
        self.runs.retain(|run| run.of != of);
        if end == TaskEnd::Done && !self.done.insert(&of.task) {
            found.push(Violation::DoneTwice { task: of.task.clone() });
        }
    }
}
