//! Whole schedulers in virtual time, against the stand-ins' state machines: no sockets, no threads.

mod world;

pub use self::world::{JOB_TASKS, World, WorldFault};
