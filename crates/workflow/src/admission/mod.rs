//! Admission of workflows by the estimated queueing delay.
//!
//! The leader derives the delay of each route from the work that is accepted and not started, and from the work done in the last
//! seconds ([`LoadEstimator`]), and records it as a [`LoadEstimate`]. The process that takes a submission refuses a
//! workflow that by a fresh estimate can't end within three times its target duration ([`AdmissionControl`]).

mod decision;
mod estimate;
mod free_rooms;
mod load_record;

pub use self::{
    decision::{AdmissionControl, Arrival, CurrentEstimate, MAX_ESTIMATE_AGE, Refusal},
    estimate::{LoadEstimator, ServiceCapacity, WaitingWork},
    free_rooms::FreeRooms,
    load_record::{LoadEstimate, RouteLoad, ServiceLoad},
};
