//! HTTP clients of the platform's services: the log service, the VM list, the workers.

mod log;
mod vms;
mod worker;

pub use self::{
    log::HttpLog,
    vms::VmListClient,
    worker::{WorkerClient, worker_url},
};
