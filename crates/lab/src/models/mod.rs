//! Small models of the reducers' environment.

mod classes;
mod cluster;
pub mod place;
mod requests;
mod timeline;
mod world;

pub use crate::models::{
    classes::{class_name, document},
    cluster::{Cluster, Traffic},
    requests::{Counts, Requests},
    world::{Totals, World},
};
