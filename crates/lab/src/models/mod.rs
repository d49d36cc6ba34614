//! Small models of what the reducers meet.

mod classes;
mod cluster;

pub use crate::models::{
    classes::document,
    cluster::{Cluster, Traffic},
};
