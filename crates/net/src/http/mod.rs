//! HTTP over `oxhttp`: a client with typed errors, and a server that can be drained.

mod client;
mod server;

pub use self::{
    client::{CallFailure, HttpAnswer, call, call_json},
    server::{
        BadRequest, HttpServer, ReadBodyError, RequestCounter, read_body, respond, respond_json,
    },
};
