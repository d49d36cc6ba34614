//! Priorities of any size, in the queue and in records.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::{Accelerators, Megabytes, MilliCores, Offset, Resources},
    egretlb_workflow::{
        AdviceTerms, Key, Ledger, Limits, Policies, Record, Step, Submission, Workflow, WorkflowId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// The form of a submission in which the priority took one byte.
#[derive(Serialize, Deserialize)]
struct ByteForm {
    route: CompactString,
    service: CompactString,
    priority: u8,
    max_attempts: u32,
    stretch_permille: u32,
    slack_ms: u32,
    advice: Option<AdviceTerms>,
    accepted_ms: u64,
    workflow: Workflow,
}

fn read(record: &Record) -> u64 {
    let mut ledger = Ledger::default();
    ledger.apply(Offset(1), &record.key, &record.value).expect("it can be read");
    let (_, entry) = ledger.iter().next().expect("it is stored");
    entry.submission.as_ref().expect("it hasn't ended").priority
}

/// Guards against records that earlier processes have written, or still read, and that aren't understood.
#[test]
fn byte_form() {
    let key = Key::Submission(WorkflowId(7));
    let workflow = submission(vec![step(2, 300)]).workflow;
    for priority in [0, 127, 128, 254, 255] {
        let former = ByteForm {
            route: "queue".into(),
            service: "service".into(),
            priority,
            max_attempts: 3,
            stretch_permille: 2_000,
            slack_ms: 1_000,
            advice: None,
            accepted_ms: 5,
            workflow: workflow.clone(),
        };
        assert_eq!(read(&Record::new(key, &former)), u64::from(priority));
    }
    for priority in [0, 127, 128, 255, 256, 300, u64::MAX] {
        let submission = Submission { priority, ..submission(vec![step(2, 300)]) };
        let record = Record::new(key, &submission);
        assert_eq!(read(&record), priority);
        assert_eq!(record.submission(), Some((WorkflowId(7), submission)));
        let former: ByteForm = postcard::from_bytes(&record.value[1..]).expect("the former form");
        assert_eq!(former.priority, u8::try_from(priority).unwrap_or(u8::MAX));
        assert_eq!(former.workflow, workflow);
    }
}

/// Guards against priorities that compare equal since both are beyond a limit.
#[test]
fn order_of_large_priorities() {
    for load_policies in [false, true] {
        let policies = Policies { feasibility_order: load_policies, ..Policies::default() };
        let mut world = World::new(1, 1, 1, Limits { policies, ..Limits::default() });
        world.run(2 * SECOND);
        let with_priority = |priority| Submission { priority, ..submission(vec![step(8, 1_000)]) };
        world.submit(1, &with_priority(0));
        world.run(SECOND / 10);
        for (id, priority) in [(2, 1 << 40), (3, 70_000), (4, 300), (5, 299)] {
            world.submit(id, &with_priority(priority));
        }
        for id in [1, 5, 4, 3, 2] {
            let done = |world: &World| world.completed(WorkflowId(id));
            assert!(world.run_until(3 * SECOND, done).is_some(), "{id}");
            let later = (2..id).filter(|later| world.completed(WorkflowId(*later)));
            assert!(id == 1 || later.count() == 0, "{id}");
        }
    }
}

/// Guards against an overflow by a workflow of the largest numbers that a client may send.
#[test]
fn largest_work() {
    let resources = Resources {
        cpu: MilliCores(u32::MAX),
        memory: Megabytes(u32::MAX),
        accelerators: Accelerators(u32::MAX),
    };
    let step = Step { count: 100_000, resources, estimate_ms: u32::MAX, ..Step::default() };
    let workflow = Workflow { steps: vec![step.clone(), step], ..Workflow::default() };
    assert!(workflow.check().is_ok());
    assert!(workflow.work() >= u64::MAX / 1_000);
}
