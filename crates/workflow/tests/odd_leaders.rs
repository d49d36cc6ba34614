//! Leader records of another writer.

mod support;

use {
    egretlb_types::{Epoch, Seq},
    egretlb_workflow::{Key, LeaderRecord, Limits},
    smallvec::SmallVec,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Another writer leaves a leader record of the highest epoch. Guards against processes that end or never claim again, since no
/// epoch follows it.
#[test]
fn highest_epoch() {
    let mut world = World::new(7, 3, 2, Limits::default());
    world.run(2 * SECOND);
    let record = LeaderRecord {
        node: "elsewhere".into(),
        incarnation: 7,
        epoch: Epoch(u64::MAX),
        released: false,
        addr: None,
        seq: Seq(u64::MAX),
        term_ms: u64::MAX,
        earlier: SmallVec::new(),
    };
    world.overwrite_with(Key::Leader, &record);
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads");
    world.overwrite_with(Key::Leader, &record);
    world.kill(leader);
    world.run(4 * SECOND);
    assert!(world.leader().is_some());
    let id = world.submit(9, &submission(vec![step(2, 300)]));
    assert!(world.run_until(5 * SECOND, |world| world.completed(id)).is_some());
}
