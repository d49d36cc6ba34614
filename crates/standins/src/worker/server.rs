//! A worker over HTTP.

use {
    crate::{
        http::{self, Call, Reply, wall_clock},
        sync::lock,
        worker::{WorkerEvent, WorkerFaults, WorkerSettings, WorkerState, serve},
    },
    egretlb_types::worker::WorkerReport,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// How often a call at a paused worker checks whether it continues.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Shared {
    state: Mutex<WorkerState>,
    busy: Mutex<u16>,
}

/// A running worker.
#[derive(Clone, Debug)]
pub struct WorkerServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// Starts a worker on the loopback interface; port 0 picks a free port.
pub fn start_worker(settings: WorkerSettings, port: u16) -> io::Result<WorkerServer> {
    let state = Mutex::new(WorkerState::new(settings));
    let shared = Arc::new(Shared { state, busy: Mutex::new(0) });
    let handler_shared = Arc::clone(&shared);
    let addr = http::serve(port, move |call| handle(call, &handler_shared))?;
    Ok(WorkerServer { addr, shared })
}

impl WorkerServer {
    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: WorkerFaults) {
        lock(&self.shared.state).set_faults(wall_clock(), faults);
    }

    /// Returns the events so far.
    pub fn history(&self) -> Vec<WorkerEvent> {
        let mut state = lock(&self.shared.state);
        state.advance(wall_clock());
        state.history().to_vec()
    }

    /// Returns the worker's current report.
    pub fn report(&self) -> WorkerReport {
        lock(&self.shared.state).report(wall_clock())
    }
}

fn handle(call: &Call, shared: &Shared) -> Reply {
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/faults") => {
            let set = |faults| lock(&shared.state).set_faults(wall_clock(), faults);
            call.json().map_or_else(
                |reply| reply,
                |faults| {
                    set(faults);
                    Reply::text(200, "")
                },
            )
        }
        ("GET", "/history") => {
            let mut state = lock(&shared.state);
            state.advance(wall_clock());
            Reply::json(&state.history())
        }
        _ => handle_with_faults(call, shared),
    }
}

fn handle_with_faults(call: &Call, shared: &Shared) -> Reply {
    loop {
        let mut state = lock(&shared.state);
        if state.faults().dead {
            return Reply::Sever;
        }
        if !state.faults().frozen {
            break;
        }
        drop(state);
        thread::sleep(FROZEN_POLL_INTERVAL);
    }
    let reply = dispatch(call, shared);
    let (delay, lost, cut) = {
        let mut state = lock(&shared.state);
        let faults = state.faults();
        let lost = faults.lose_answers > 0;
        let cut = !lost && faults.truncate_answers > 0;
        faults.lose_answers -= u32::from(lost);
        faults.truncate_answers -= u32::from(cut);
        (faults.delay_ms, lost, cut)
    };
    thread::sleep(Duration::from_millis(delay));
    match (lost, cut) {
        (true, _) => Reply::Sever,
        (_, true) => reply.truncated(),
        _ => reply,
    }
}

fn dispatch(call: &Call, shared: &Shared) -> Reply {
    if call.path.starts_with("/serve/") {
        return serve::serve(call, &shared.state, &shared.busy);
    }
    let now = wall_clock();
    let mut state = lock(&shared.state);
    let reply = match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/tasks") => call.json().map(|start| Reply::json(&state.start(now, start))),
        ("POST", "/leases") => call.json().map(|renew| Reply::json(&state.renew(now, renew))),
        ("POST", "/stop") => call.json().map(|stop| Reply::json(&state.stop(now, stop))),
        ("POST", "/throttle") => call.json().map(|t| Reply::json(&state.throttle(now, t))),
        ("GET", "/report") => Ok(Reply::json(&state.report(now))),
        _ => Err(Reply::text(404, "no such call; see POST /tasks, /leases, /stop, GET /report")),
    };
    reply.unwrap_or_else(|error| error)
}
