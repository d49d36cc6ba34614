//! HTTP by `oxhttp`: calls with typed failures, and a server that can be drained.

mod client;
mod server;

pub use self::{
    client::{CallFailure, HttpAnswer, call, call_json},
    server::{BadRequest, Drain, HttpServer, ReadBodyError, read_body, respond, respond_json},
};
