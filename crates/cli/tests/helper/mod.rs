//! Runs the program `egretlb` against a fake daemon.

#![allow(dead_code)]

use {
    egretlb_net::http::{HttpServer, read_body},
    oxhttp::model::{Body, Response},
    serde_json::Value,
    std::{
        net::{IpAddr, Ipv4Addr},
        path::{Path, PathBuf},
        process::Command,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Exit code and output of a run of the program.
pub struct Ended {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs the program with these arguments and an empty environment.
pub fn egretlb<S: AsRef<str>>(args: impl IntoIterator<Item = S>) -> Ended {
    let args: Vec<String> = args.into_iter().map(|arg| arg.as_ref().to_owned()).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_egretlb"))
        .args(args)
        .env_clear()
        .output()
        .expect("the program starts");
    Ended {
        code: output.status.code().expect("the program exits by itself"),
        out: String::from_utf8(output.stdout).expect("the output is text"),
        err: String::from_utf8(output.stderr).expect("the output is text"),
    }
}

/// Returns the path of a file in `examples`.
pub fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.to_str().expect("the path is text").to_owned()
}

/// Writes a temporary file and returns its path.
pub fn file(name: &str, text: impl AsRef<[u8]>) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target folder takes a file");
    path.to_str().expect("the path is text").to_owned()
}

/// A call received from the program.
#[derive(Clone, Debug)]
pub struct Called {
    pub method: String,
    pub path: String,
    pub body: Value,
}

/// HTTP server that records calls and gives prepared answers.
pub struct FakeDaemon {
    server: HttpServer,
    calls: Arc<Mutex<Vec<Called>>>,
}

impl FakeDaemon {
    /// Starts a server whose answers are the status and body from `answer`, given the call and its
    /// number. Status 0 truncates the answer, as if the daemon crashed after processing the call.
    pub fn start(answer: impl Fn(&Called, usize) -> (u16, String) + Send + Sync + 'static) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&calls);
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let server = HttpServer::start(ip, 0, Duration::from_secs(5), 16, move |req| {
            let body = read_body(req, 10_000_000).expect("the program sends whole bodies");
            let called = Called {
                method: req.method().to_string(),
                path: req.uri().path().to_owned(),
                body: serde_json::from_slice(&body).unwrap_or(Value::Null),
            };
            let number = {
                let mut recorded = recorded.lock().expect("no test panics in here");
                recorded.push(called.clone());
                recorded.len() - 1
            };
            match answer(&called, number) {
                (0, _) => truncated_answer(),
                (status, text) => {
                    Response::builder().status(status).body(Body::from(text)).expect("a status")
                }
            }
        });
        FakeDaemon { server: server.expect("a free port"), calls }
    }

    pub fn addr(&self) -> String {
        self.server.addr().to_string()
    }

    pub fn calls(&self) -> Vec<Called> {
        self.calls.lock().expect("no test panics in here").clone()
    }
}

/// Returns an answer whose connection closes within the body.
fn truncated_answer() -> Response<Body> {
    struct FailingReader;
    impl std::io::Read for FailingReader {
        fn read(&mut self, _: &mut [u8]) -> std::io::Result<usize> {
            Err(std::io::Error::other("the daemon dies here"))
        }
    }
    Response::new(Body::from_read(FailingReader))
}
