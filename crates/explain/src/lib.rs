//! Tells from log lines what became of a workflow, and why.
//!
//! An on-call engineer has a client's id and the logs of all VMs. The lines that matter are spread: any VM
//! may have taken the request, the leader decided, and what held the workflow up, a change of the leader or
//! a lost worker, doesn't name it. [`ExplanationBuilder`] takes lines in any order, keeps those that name the workflow and
//! those that change what everything waits for, and [`ExplanationBuilder::finish`] puts them in order and draws the
//! conclusions that the lines allow, no others.

mod downtime;
mod explanation;
mod findings;
mod line;
mod waits;

pub use crate::{
    downtime::{HeldWork, StepWait, Suspension, TaskDown, TaskGap, TaskRestart},
    explanation::{Explanation, ExplanationBuilder, TimelineEvent},
    findings::Finding,
    line::LogLine,
};
