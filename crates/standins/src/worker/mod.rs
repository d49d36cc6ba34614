//! A stand-in for one of the platform's workers, which is also the backend server of the services
//! that run there.
//!
//! It speaks the messages of [`egretlb_types::worker`], and besides:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `* /serve/{class}/{path}` | any | 200 [`Served`]; 404 if no service of the class runs, 503 if busy or leaving, both with `Worker-Declined` |
//! | `POST /faults` | [`WorkerFaults`] | 200; replaces the faults in force |
//! | `GET /history` | none | 200 a list of [`Happening`] |
//!
//! A request's time is its header `X-Service-Ms`, else the worker's setting. Its id is its header
//! `X-Request-Id`, which the answer carries too. `X-Answer-Bytes` makes the answer longer.
//!
//! The worker keeps a history of what truly ran, which the tests trust over anything that egretlb
//! says of itself.

mod command;
mod faults;
mod history;
mod running;
mod serve;
mod server;
mod state;

pub use crate::worker::{
    command::{Command, ParseCommandError},
    faults::WorkerFaults,
    history::{Happening, Refusal, What},
    serve::{Served, body_hash},
    server::{WorkerServer, start_worker},
    state::{WorkerSettings, WorkerState},
};
