//! Explains from log lines what happened to a workflow and why.
//!
//! The relevant lines are spread over the logs of all VMs: any VM may have accepted the request, the leader scheduled
//! it, and causes such as a change of the leader or a lost worker don't name the workflow. [`ExplanationBuilder`]
//! collects lines in any order, keeps those that name the workflow and those that may affect every workflow, and
//! [`ExplanationBuilder::finish`] sorts them by time and derives findings.

mod downtime;
mod explanation;
mod findings;
mod line;
mod refusals;
mod waits;

pub use crate::{
    downtime::{HeldWork, StepWait, Suspension, TaskDown, TaskGap, TaskRestart},
    explanation::{Explanation, ExplanationBuilder, TimelineEvent},
    findings::Finding,
    line::LogLine,
    refusals::DelayRefusals,
};
