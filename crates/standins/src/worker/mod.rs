//! A stand-in for one of the platform's workers, which is also the backend server of its services.
//!
//! It implements the messages of [`egretlb_types::worker`] and these calls:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `* /serve/{class}/{path}` | any | 200 [`Served`]; 404 if no service of the class runs, 503 if busy or leaving, both with `Worker-Declined` |
//! | `POST /faults` | [`WorkerFaults`] | 200; replaces the faults in force |
//! | `GET /history` | none | 200 a list of [`WorkerEvent`] |
//!
//! A request's service time is its header `X-Service-Ms`, or the worker's default. Its id is its
//! header `X-Request-Id`, which the answer repeats. `X-Answer-Bytes` sets the length of the
//! padding.
//!
//! The worker records a history of its events, from which tests check egretlb's behaviour.

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
    history::{Refusal, WorkerEvent, WorkerEventKind},
    serve::{Served, body_hash},
    server::{WorkerServer, start_worker},
    state::{WorkerSettings, WorkerState},
};
