//! Small models of what the reducers meet.

mod classes;
mod cluster;
pub mod place;
mod requests;
mod world;

pub use crate::models::{
    classes::{class_name, document},
    cluster::{Cluster, Traffic},
    requests::{Counts, Requests},
    world::{Totals, World},
};
