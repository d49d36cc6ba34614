//! A simulation of complete schedulers in virtual time, without sockets and threads.

mod world;

pub use self::world::{JOB_TASKS, World, WorldFault};
