//! The log service over HTTP.

use {
    crate::{
        http::{Call, Reply, serve, wall_clock},
        log::{AppendRefused, LogFaults, LogSettings, LogState, LogStats},
        sync::lock,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Default of `max_bytes` for a read.
const DEFAULT_READ_BYTES: u64 = 1 << 20;

#[derive(Debug)]
struct Shared {
    log: LogState,
    faults: LogFaults,
}

/// A running log service.
#[derive(Clone, Debug)]
pub struct LogServer {
    addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

/// Starts a log service on the loopback interface; port 0 picks a free port.
pub fn start_log(settings: LogSettings, port: u16) -> io::Result<LogServer> {
    let faults = LogFaults::default();
    let shared = Arc::new(Mutex::new(Shared { log: LogState::new(settings), faults }));
    let handler_shared = Arc::clone(&shared);
    let addr = serve(port, move |call| handle(call, &handler_shared))?;
    Ok(LogServer { addr, shared })
}

impl LogServer {
    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        set_faults(&self.shared, faults);
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> LogStats {
        lock(&self.shared).log.stats()
    }
}

fn set_faults(shared: &Mutex<Shared>, faults: LogFaults) {
    let mut shared = lock(shared);
    for expire in &faults.expire {
        shared.log.expire(expire);
    }
    shared.faults = faults;
}

fn handle(call: &Call, shared: &Mutex<Shared>) -> Reply {
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/faults") => match call.json() {
            Ok(faults) => {
                set_faults(shared, faults);
                Reply::text(200, "")
            }
            Err(reply) => reply,
        },
        ("GET", "/stats") => Reply::json(&lock(shared).log.stats()),
        (method, path) => match path.strip_prefix("/streams/") {
            Some(name) if method == "POST" => append(call, name, shared),
            Some(name) if method == "GET" => read(call, name, shared),
            _ => Reply::text(404, "no such call; see POST and GET /streams/{name}"),
        },
    }
}

fn append(call: &Call, stream: &str, shared: &Mutex<Shared>) -> Reply {
    let (reply, delay, lost) = {
        let mut shared = lock(shared);
        if shared.faults.severs(call.header("egretlb-node"), true) {
            return Reply::Sever;
        }
        let reply = match shared.log.append(wall_clock(), stream, call.body.clone()) {
            Ok(appended) => Reply::json(&appended),
            Err(AppendRefused::TooMany) => {
                return Reply::text(429, "too many appends; append fewer in a second");
            }
            Err(AppendRefused::TooLarge) => {
                return Reply::text(413, "the record is too large; split it");
            }
        };
        (reply, shared.faults.delay_ms, shared.faults.take_lost_answer())
    };
    thread::sleep(Duration::from_millis(delay));
    if lost { Reply::Sever } else { reply }
}

fn read(call: &Call, stream: &str, shared: &Mutex<Shared>) -> Reply {
    let from = call.query_number("from").unwrap_or(0);
    let max_bytes = call.query_number("max_bytes").unwrap_or(DEFAULT_READ_BYTES) as usize;
    let (result, delay) = {
        let mut shared = lock(shared);
        if shared.faults.severs(call.header("egretlb-node"), false) {
            return Reply::Sever;
        }
        (shared.log.read(wall_clock(), stream, from, max_bytes), shared.faults.delay_ms)
    };
    thread::sleep(Duration::from_millis(delay));
    match result {
        Ok(page) => match postcard::to_stdvec(&page) {
            Ok(body) => Reply::bytes(body),
            Err(e) => Reply::text(500, format!("{e}")),
        },
        Err(gone) => Reply::json_with(410, &gone),
    }
}
