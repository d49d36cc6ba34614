//! A client for the stand-ins' tests.

use {
    oxhttp::{
        Client,
        model::{Body, Request},
    },
    std::{io, net::SocketAddr, time::Duration},
};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends one request and reads the whole answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let mut builder = Request::builder().method(method).uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let req = builder.body(Body::from(body.to_vec())).map_err(io::Error::other)?;
    let answer = Client::new().with_global_timeout(TIMEOUT).request(req)?;
    let status = answer.status().as_u16();
    Ok((status, answer.into_body().to_vec()?))
}
