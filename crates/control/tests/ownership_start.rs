//! First ownership of shards when processes start.

mod support;

use support::{Options, SEC, World};

/// Every shard must find an owner after the first start and must not lose it while nothing fails.
#[test]
fn first_start() {
    let mut world = World::new(Options::new(1, 3));
    let took = world.run_while(30 * SEC, |world| world.shards_without_owner() == 0);
    println!("first owners after {took:?} us");
    assert!(took.is_some());
    world.run_until(120 * SEC);
    assert_eq!(world.shards_without_owner(), 0);
    world.compare_states();
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    println!("appends {} bytes {}", world.log.appends, world.log.append_bytes);
}
