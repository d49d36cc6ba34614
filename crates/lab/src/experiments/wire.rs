//! Bytes of calls on the wire, counted by a relay on the loopback interface.
//!
//! Includes the headers of HTTP and of the peer codec, but not those of TCP and IP.

use {
    crate::{
        measure::{OpTimer, Series},
        models::place::{node_id, vm_list},
        report::Report,
    },
    egretlb_log::{LogService, StreamName},
    egretlb_net::{
        peers::{PeerSender, listen},
        platform::{HttpLog, VmListClient},
    },
    egretlb_standins::{
        log::{LogSettings, start_log},
        vms::start_vms,
    },
    egretlb_types::Offset,
    std::{
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Builder,
};

/// Number of messages per body size.
const MESSAGES: u64 = 200;

/// Number of reads of the VM list per size.
const VM_READS: u64 = 20;

/// Maximum time for a message to pass the relay.
const RELAY_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards bytes and counts them.
struct Relay {
    addr: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&bytes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // If forwarding fails, the connection is closed and its caller gets an error.
                let _ = forward(stream, to, &count);
            }
        });
        Ok(Relay { addr, bytes })
    }

    fn count(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn forward(caller: TcpStream, to: SocketAddr, count: &Arc<AtomicU64>) -> io::Result<()> {
    let server = TcpStream::connect(to)?;
    for (from, into) in [(caller.try_clone()?, server.try_clone()?), (server, caller)] {
        let count = Arc::clone(count);
        thread::spawn(move || copy(from, into, &count));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut into: TcpStream, count: &AtomicU64) {
    let mut buf = [0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        count.fetch_add(n as u64, Ordering::Relaxed);
        if into.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // An error means that the other side has already closed the connection.
    let _ = into.shutdown(std::net::Shutdown::Write);
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("wire", seed);
    log_calls(&mut report).expect("a port on the loopback");
    peer_messages(&mut report).expect("a port on the loopback");
    vm_lists(&mut report).expect("a port on the loopback");
    report
}

fn log_calls(report: &mut Report) -> io::Result<()> {
    let log = start_log(LogSettings { appends_per_s: 10_000, ..LogSettings::default() }, 0)?;
    let relay = Relay::start(log.addr())?;
    let client = HttpLog::new([relay.addr], node_id(0));
    let mut reads = Series::new("bytes of reads that find nothing", "reads", "B");
    for count in [50, 100, 200] {
        let before = relay.count();
        for _ in 0..count {
            client.read(&StreamName::control(), Offset(0));
        }
        reads.push(f64::from(count), (relay.count() - before) as f64);
    }
    let mut appends = Series::new("bytes of an append", "bytes of the record", "B");
    for size in [100, 1_000, 10_000] {
        let before = relay.count();
        for _ in 0..MESSAGES {
            client.append(&StreamName::journal(node_id(0)), &vec![0; size]);
        }
        appends.push(size as f64, (relay.count() - before) as f64 / MESSAGES as f64);
    }
    report.series.extend([reads, appends]);
    Ok(())
}

fn peer_messages(report: &mut Report) -> io::Result<()> {
    let rt = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let arrived = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&arrived);
    let count_message = move |_| {
        count.fetch_add(1, Ordering::Relaxed);
    };
    let addr = listen(rt.handle(), Ipv4Addr::LOCALHOST.into(), 0, count_message)?;
    let relay = Relay::start(addr)?;
    let sender = PeerSender::new(rt.handle().clone(), node_id(0));
    let mut bytes = Series::new("bytes of a peer message and its answer", "bytes of the body", "B");
    for size in [16, 100, 400, 1_600] {
        let (before, first) = (relay.count(), arrived.load(Ordering::Relaxed));
        for sent in 1..=MESSAGES {
            sender.send(relay.addr, vec![0; size], None);
            let start = Instant::now();
            while arrived.load(Ordering::Relaxed) < first + sent && start.elapsed() < RELAY_TIMEOUT
            {
                thread::yield_now();
            }
        }
        thread::sleep(Duration::from_millis(200));
        bytes.push(size as f64, (relay.count() - before) as f64 / MESSAGES as f64);
    }
    report.series.push(bytes);
    Ok(())
}

fn vm_lists(report: &mut Report) -> io::Result<()> {
    let mut first_reads = Series::new("bytes of reading the VM list first", "workers", "B");
    let mut unchanged_reads = Series::new("bytes of reading it again unchanged", "workers", "B");
    for workers in [65, 325, 1_300] {
        let vms = start_vms(vm_list(workers), 0)?;
        let relay = Relay::start(vms.addr())?;
        let mut timer = OpTimer::new();
        let before = relay.count();
        for _ in 0..VM_READS {
            timer.time(|| VmListClient::new(relay.addr).read()).map_err(io::Error::other)?;
        }
        let read = relay.count();
        first_reads.push(workers as f64, (read - before) as f64 / VM_READS as f64);
        report.spreads.push(timer.spread("reading the VM list first", workers as f64));
        let client = VmListClient::new(relay.addr);
        client.read().map_err(io::Error::other)?;
        let (before, mut timer) = (relay.count(), OpTimer::new());
        for _ in 0..VM_READS {
            timer.time(|| client.read()).map_err(io::Error::other)?;
        }
        unchanged_reads.push(workers as f64, (relay.count() - before) as f64 / VM_READS as f64);
        report.spreads.push(timer.spread("reading it again unchanged", workers as f64));
    }
    report.series.push(first_reads);
    report.series.push(unchanged_reads);
    Ok(())
}
