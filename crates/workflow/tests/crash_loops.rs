//! Tasks that crash each worker that starts them.

mod support;

use {
    egretlb_workflow::{Limits, Outcome, State, TaskId, WorkflowId},
    std::time::Duration,
    support::{lasting, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// How long after its start a culprit crashes its worker.
const AT_ONCE: Duration = Duration::from_millis(10);

fn task(workflow: u64, index: u32) -> TaskId {
    TaskId { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index }
}

/// Guards against a task that takes down one worker after the other because it is started again without end.
#[test]
fn culprit_given_up() {
    let mut world = World::new(41, 3, 12, Limits::default());
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![lasting(12, 2)]));
    let id = world.submit(2, &submission(vec![step(6, 800)]));
    world.culprits.tasks.insert(task(2, 3), AT_ONCE);
    world.run(40 * SECOND);
    assert_eq!(world.checker.faults, Vec::<String>::new());
    assert_eq!(world.state(id), Some(State::Ended(Outcome::Failed)));
}
