//! Shards find owners when processes start, and lose none while nothing fails.

mod support;

use support::{Options, SEC, World};

/// Three processes start together with an empty log. A user who comes in the first seconds is
/// refused; after that every shard has an owner, and nothing changes hands while nothing fails.
#[test]
fn first_start() {
    let mut world = World::new(Options::new(1, 3));
    let took = world.run_while(30 * SEC, |world| world.unserved() == 0);
    println!("first owners after {took:?} us");
    assert!(took.is_some());
    world.run_until(120 * SEC);
    assert_eq!(world.unserved(), 0);
    world.compare_states();
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    println!("appends {} bytes {}", world.log.appends, world.log.append_bytes);
}
