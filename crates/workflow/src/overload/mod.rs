//! Decisions under overload: the order of the queue, room for what comes first in it, which long-running tasks give room to
//! batch tasks, and how often.
//!
//! The modules know nothing of the scheduler's state; it passes what they need.

mod order;
mod preemption;
mod rooms;

pub(crate) use self::{
    order::{Feasibility, Position, QUEUE_ORDER, WaitingStep, remaining_paths},
    preemption::{Claim, PreemptionBudget, Refusal, Standing, StopRank},
    rooms::{
        MAX_ROOM_WAIT, SEARCH_INTERVAL as ROOM_SEARCH_INTERVAL, STEP_SEARCH_INTERVAL,
        TURN_ROOM_WAIT, rooms_to_hold,
    },
};
