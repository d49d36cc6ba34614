//! The VM list over HTTP.

use {
    crate::{
        http::{Call, Reply, serve, wall_clock},
        sync::lock,
        vms::{VmList, VmListFaults},
    },
    egretlb_types::{VmId, VmRecord},
    siphasher::sip::SipHasher13,
    std::{
        hash::Hasher,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

#[derive(Debug)]
struct Shared {
    list: VmList,
    faults: VmListFaults,
}

/// A running VM list.
#[derive(Clone, Debug)]
pub struct VmListServer {
    addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

/// Starts a VM list on the loopback interface; port 0 picks a free port.
pub fn start_vms(records: Vec<VmRecord>, port: u16) -> io::Result<VmListServer> {
    let shared = Shared { list: VmList::new(records), faults: VmListFaults::default() };
    let shared = Arc::new(Mutex::new(shared));
    let handler_shared = Arc::clone(&shared);
    let addr = serve(port, move |call| handle(call, &handler_shared))?;
    Ok(VmListServer { addr, shared })
}

impl VmListServer {
    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: VmListFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Sets one VM's record.
    pub fn set(&self, record: VmRecord) {
        lock(&self.shared).list.set(wall_clock(), record);
    }

    /// Removes a VM from the list.
    pub fn remove(&self, vm: &VmId) {
        lock(&self.shared).list.remove(wall_clock(), vm);
    }
}

fn handle(call: &Call, shared: &Mutex<Shared>) -> Reply {
    match handle_change(call, shared) {
        Some(Ok(())) => Reply::text(200, ""),
        Some(Err(reply)) => reply,
        None => list(call, shared),
    }
}

/// Handles a call that changes the list or the faults; `None` for a read.
fn handle_change(call: &Call, shared: &Mutex<Shared>) -> Option<Result<(), Reply>> {
    let vm = call.path.strip_prefix("/vms/").map(str::parse::<VmId>);
    let now = wall_clock();
    let result = match (call.method.as_str(), call.path.as_str(), vm) {
        ("GET", "/vms", _) => return None,
        ("POST", "/vms", _) => call.json().map(|records| lock(shared).list.replace(now, records)),
        ("POST", "/faults", _) => call.json().map(|faults| lock(shared).faults = faults),
        ("PUT", _, Some(Ok(_))) => call.json().map(|record| lock(shared).list.set(now, record)),
        ("DELETE", _, Some(Ok(vm))) => {
            lock(shared).list.remove(now, &vm);
            Ok(())
        }
        _ => Err(Reply::text(404, "no such call; see GET and POST /vms")),
    };
    Some(result)
}

/// Computes the `ETag` of an answer from its body.
fn etag(body: &[u8]) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    format!("\"{:016x}\"", hasher.finish())
}

/// Adds the `ETag`; answers 304 without a body if the caller has the same list.
fn with_etag(call: &Call, reply: Reply) -> Reply {
    let Reply::Whole { status, media_type, mut headers, body } = reply else { return reply };
    let etag = etag(&body);
    let same = call.header("if-none-match") == Some(etag.as_str());
    headers.push(("etag", etag));
    match same {
        true => Reply::Whole { status: 304, media_type, headers, body: Vec::new() },
        false => Reply::Whole { status, media_type, headers, body },
    }
}

fn list(call: &Call, shared: &Mutex<Shared>) -> Reply {
    let (reply, delay) = {
        let shared = lock(shared);
        if shared.faults.down {
            return Reply::Sever;
        }
        let lag = Duration::from_millis(shared.faults.lag_ms);
        (Reply::json(&shared.list.at_lag(wall_clock(), lag)), shared.faults.delay_ms)
    };
    thread::sleep(Duration::from_millis(delay));
    with_etag(call, reply)
}
