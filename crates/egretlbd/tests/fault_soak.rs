//! Soak test with real processes. Daemons are killed, paused, stopped and restarted by signals; the store rejects
//! calls and loses responses; proxies delay, block, blackhole and reset connections to store and workers. The
//! faults are drawn from a seed and may overlap.
//!
//! CI runs two seeds. Manually: `EGRETLB_SOAK_SEEDS=1..51 cargo test --release -p egretlbd --test
//! fault_soak -- --nocapture`. Each process has its own loopback address.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use {
    bytes::Bytes,
    egretlb_http::{Answer, Client},
    http::Method,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        collections::{BTreeMap, BTreeSet},
        env, fs,
        net::SocketAddr,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    support::{
        Platform, on_one_thread,
        proxy::{Fault, Proxy},
    },
    tokio::time::sleep,
};

/// Seeds run by CI, including those that once failed.
const SEEDS: [u64; 2] = [1, 2];

const DAEMONS: usize = 3;
const WORKERS: usize = 4;

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Maximum time from the last fault to the completion of all workflows; generous for busy machines.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a client's request; a paused daemon doesn't respond.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

struct Daemon {
    number: usize,
    settings: String,
    /// Keeps its connections open until the process ends, as clients do.
    client: Client,
    child: Option<Child>,
}

impl Daemon {
    fn new(number: usize, seed: u64, store: SocketAddr) -> Daemon {
        let process = std::process::id();
        // A separate address for each daemon and run avoids port collisions.
        let ip = format!("127.{}.{}.{}", 64 + seed % 64, process % 250 + 1, number + 1);
        let clients = format!("{ip}:7801");
        let settings = serde_json::json!({
            "nodeName": format!("soak-{number}"), "zone": "centre", "ip": ip,
            "listen": {"front": clients, "ready": format!("{ip}:7802")},
            "internalPorts": [7803, 7810], "limits": {"cpuShare": 0.25}, "controlMode": "rpc",
            "bounds": {"maxHoldMs": 6_000, "status_s": 120},
            "platform": {"addr": store.to_string(), "form": "log"},
        });
        let path = env::temp_dir().join(format!("egretlb-soak-{process}-{seed}-{number}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let settings = path.display().to_string();
        let client = Client::new(clients.parse().expect("it is an address"), 2);
        let mut daemon = Daemon { number, settings, client, child: None };
        daemon.start();
        daemon
    }

    fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let child = Command::new(env!("CARGO_BIN_EXE_egretlbd"))
            .env("EGRETLB_NODE_FILE", &self.settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(id) = id {
            // Fails if the process has already exited.
            let _ = kill_process(id, signal);
        }
    }

    /// Kills the process and waits for its exit.
    fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.signal(Signal::CONT);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Reaps the process if it has exited after a signal.
    fn reap(&mut self) {
        if self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
            self.child = None;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

struct Soak {
    rng: SmallRng,
    platform: Platform,
    /// Between each daemon and the store.
    store_proxies: Vec<Proxy>,
    worker_proxies: Vec<Proxy>,
    daemons: Vec<Daemon>,
    accepted: BTreeSet<String>,
    next_id: u64,
    violations: Vec<String>,
}

const WORK: &str = r#"{"spec":"work","steps":[{"count":3,"cpu":500,"memMb":64,"estRuntimeMs":120},
    {"count":2,"cpu":500,"memMb":64,"estRuntimeMs":120,"after":[0]}]}"#;

async fn request(client: Client, method: Method, path: &str, body: &str) -> Option<Answer> {
    let headers = [("host", "host.example".to_string())];
    let body = Bytes::copy_from_slice(body.as_bytes());
    client.call(method, path, &headers, body, REQUEST_TIMEOUT).await.ok()
}

impl Soak {
    async fn new(seed: u64) -> Soak {
        let mut platform = Platform::start(WORKERS).await;
        let worker_proxies = platform.proxy_workers().await;
        let mut store_proxies = Vec::new();
        for _ in 0..DAEMONS {
            store_proxies.push(Proxy::start(platform.store_addr).await);
        }
        let daemon = |(number, proxy): (usize, &Proxy)| Daemon::new(number, seed, proxy.addr);
        let daemons = store_proxies.iter().enumerate().map(daemon).collect();
        Soak {
            rng: SmallRng::seed_from_u64(seed),
            platform,
            store_proxies,
            worker_proxies,
            daemons,
            accepted: BTreeSet::new(),
            next_id: seed << 32,
            violations: Vec::new(),
        }
    }

    /// Injects a random fault or ends one.
    fn inject_fault(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        let kind = self.rng.random_range(0..13);
        if kind >= 8 {
            self.inject_link_fault();
            return;
        }
        let daemon = &mut self.daemons[daemon];
        daemon.reap();
        match kind {
            0 => daemon.kill(),
            1 => daemon.signal(Signal::STOP),
            2 => daemon.signal(Signal::TERM),
            3 => daemon.signal(Signal::HUP),
            4 => self.platform.store.borrow_mut().busy = true,
            5 => self.platform.store.borrow_mut().lose_responses = 2,
            _ => {
                daemon.signal(Signal::CONT);
                daemon.start();
                self.platform.store.borrow_mut().busy = false;
            }
        }
    }

    /// Injects a fault into one daemon's connections to the store, or into the connections to one worker.
    fn inject_link_fault(&mut self) {
        let links =
            if self.rng.random_bool(0.5) { &self.store_proxies } else { &self.worker_proxies };
        let link = &links[self.rng.random_range(0..links.len())];
        match self.rng.random_range(0..7) {
            0 => link.blackhole_open_connections(),
            1 => link.reset_open_connections(),
            2 => link.set_fault(Fault::Delay(self.rng.random_range(20..300))),
            3 => link.set_fault(Fault::BlockAll),
            4 => link.set_fault(Fault::BlockResponses),
            _ => link.set_fault(Fault::None),
        }
    }

    /// Ends all faults and restarts all daemons.
    fn end_faults(&mut self) {
        for link in self.store_proxies.iter().chain(&self.worker_proxies) {
            link.set_fault(Fault::None);
        }
        self.platform.store.borrow_mut().busy = false;
        self.platform.store.borrow_mut().lose_responses = 0;
        for daemon in &mut self.daemons {
            daemon.kill();
            daemon.start();
        }
    }

    async fn submit(&mut self) {
        self.next_id += 1;
        let path = format!("/queue/{:016x}", self.next_id);
        let daemon = self.rng.random_range(0..DAEMONS);
        let client = self.daemons[daemon].client.clone();
        if let Some(answer) = request(client, Method::POST, &path, WORK).await
            && answer.status == 200
        {
            self.accepted.insert(path);
        }
    }

    /// Checks that no task runs on two workers.
    fn check_single_runs(&mut self) {
        let mut worker_by_task: BTreeMap<String, usize> = BTreeMap::new();
        for (number, worker) in self.platform.workers.iter().enumerate() {
            for task in worker.borrow_mut().running_tasks() {
                if let Some(other) = worker_by_task.insert(task.clone(), number) {
                    self.violations.push(format!("{task} runs at workers {other} and {number}"));
                }
            }
        }
    }

    /// Waits until every accepted workflow is reported as completed by some daemon.
    async fn wait_for_completion(&mut self) {
        let started_at = Instant::now();
        let mut pending = self.accepted.clone();
        while !pending.is_empty() && started_at.elapsed() < COMPLETION_TIMEOUT {
            for path in pending.clone() {
                let daemon = self.rng.random_range(0..DAEMONS);
                let Daemon { number, ref client, .. } = self.daemons[daemon];
                let answer = request(client.clone(), Method::GET, &path, "").await;
                let Some(answer) = answer else { continue };
                if answer.status == 410 {
                    self.violations.push(format!("{path} was accepted and is unknown at {number}"));
                    pending.remove(&path);
                } else if answer.body == br#"{"state":"completed"}"#.as_slice() {
                    pending.remove(&path);
                }
            }
            self.check_single_runs();
            sleep(Duration::from_millis(50)).await;
        }
        for path in pending {
            self.violations.push(format!("{path} was accepted and isn't completed"));
        }
    }
}

async fn run_seed(seed: u64) -> (usize, Vec<String>) {
    let mut soak = Soak::new(seed).await;
    sleep(Duration::from_millis(800)).await;
    let started_at = Instant::now();
    while started_at.elapsed() < FAULT_DURATION {
        if soak.rng.random_bool(0.25) {
            soak.inject_fault();
        }
        soak.submit().await;
        soak.check_single_runs();
        sleep(Duration::from_millis(40)).await;
    }
    soak.end_faults();
    soak.wait_for_completion().await;
    (soak.accepted.len(), std::mem::take(&mut soak.violations))
}

fn seeds() -> Vec<u64> {
    let range = env::var("EGRETLB_SOAK_SEEDS").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    let number = |text: &str| text.parse::<u64>().expect("seeds are given as FIRST..END");
    range.map_or(SEEDS.to_vec(), |(first, end)| (number(first)..number(end)).collect())
}

/// Faults of processes, store and connections while clients submit workflows. Guards against accepted workflows that
/// are lost, unknown to a daemon or never completed, and against tasks that run on two workers at a time.
#[test]
fn faults_from_outside() {
    on_one_thread(async {
        for seed in seeds() {
            let (accepted, violations) = run_seed(seed).await;
            println!("seed {seed}: {accepted} workflows accepted, {} faults", violations.len());
            assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        }
    });
}
