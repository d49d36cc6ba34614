//! A small system of real daemon processes; stand-ins of the platform run in the test's process.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    egretlb_api::{
        CONFIG, ConfigView, JOBS, JobAnswer, JobState, JobStatus, ProposalId, ProposeAnswer,
        ProposeConfig, STATUS, Status, SubmitAnswer, SubmitJob, job_path,
    },
    egretlb_config::parse_config,
    egretlb_net::http::{CallFailure, HttpAnswer, call},
    egretlb_standins::{
        log::{LogServer, LogSettings, start_log},
        vms::{VmListServer, start_vms},
        worker::{WorkerServer, WorkerSettings, start_worker},
    },
    egretlb_types::{Megabytes, MilliCores, Offset, Resources, VmId, VmRecord, VmState},
    oxhttp::model::{HeaderName, HeaderValue, Method},
    std::{
        collections::BTreeMap,
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum time to wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Three classes that fit the test's workers.
pub const CLASSES: &str = r#"{
  "teams": [{ "name": "all", "member": "firm", "quota": { "cpu": "90000m", "memory": "400000MB" } }],
  "classes": [
    { "name": "check", "member": "firm", "team": "all",
      "latency": { "percentile": "p99", "within": "2s", "idempotent": true, "spread": false,
                   "replica": { "cpu": "1000m", "memory": "1000MB" } } },
    { "name": "filing", "member": "firm", "team": "all",
      "latency": { "percentile": "p99", "within": "4s", "idempotent": false, "spread": false,
                   "replica": { "cpu": "1000m", "memory": "1000MB" } } },
    { "name": "merge", "member": "firm", "team": "all",
      "batch": { "amount": 100, "within": "1h", "run_time": "1s", "urgent": false,
                 "task": { "cpu": "1000m", "memory": "1000MB" } } },
  ],
}"#;

/// Returns a number unique within this process.
fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The kind of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Entry,
    Scheduler,
}

/// A daemon's process.
pub struct Daemon {
    pub role: Role,
    pub child: Child,
    pub node: String,
    pub callers: Option<SocketAddr>,
    pub operators: SocketAddr,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl Daemon {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(sent.success(), "kill {signal} {pid}");
    }

    /// Waits until the process ends and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the process didn't end");
    }
}

/// The running stand-ins and daemons.
pub struct System {
    pub log: LogServer,
    pub vms: VmListServer,
    pub workers: Vec<WorkerServer>,
    pub schedulers: Vec<Daemon>,
    pub entries: Vec<Daemon>,
}

fn capacity() -> Resources {
    Resources { cpu: MilliCores(30_000), memory: Megabytes(125_000), ..Resources::default() }
}

fn worker(n: usize) -> (WorkerServer, VmRecord) {
    let vm: VmId = format!("w-{n}").parse().expect("a valid name");
    let server = start_worker(WorkerSettings::new(vm.clone(), capacity()), 0).expect("a port");
    let record = VmRecord {
        vm,
        addr: server.addr().to_string().into(),
        data_centre: format!("dc-{}", n % 2).parse().expect("a valid name"),
        rack: format!("rack-{n}").parse().expect("a valid name"),
        state: VmState::Live,
        capacity: capacity(),
        slots: 8,
        connections: 64,
    };
    (server, record)
}

impl System {
    /// Starts stand-ins and daemons without a configuration.
    pub fn start(schedulers: usize, entries: usize, workers: usize) -> Self {
        let log = start_log(LogSettings::default(), 0).expect("a port");
        let (workers, records): (Vec<_>, Vec<_>) = (0..workers).map(worker).unzip();
        let vms = start_vms(records, 0).expect("a port");
        let mut system = System { log, vms, workers, schedulers: Vec::new(), entries: Vec::new() };
        for _ in 0..schedulers {
            let daemon = system.spawn(Role::Scheduler);
            system.schedulers.push(daemon);
        }
        for _ in 0..entries {
            let daemon = system.spawn(Role::Entry);
            system.entries.push(daemon);
        }
        system
    }

    /// Returns the capacity of each worker.
    pub fn capacities(&self) -> BTreeMap<VmId, Resources> {
        let vm = |n| format!("w-{n}").parse().expect("a valid name");
        (0..self.workers.len()).map(|n| (vm(n), capacity())).collect()
    }

    /// Starts another daemon process.
    pub fn spawn(&self, role: Role) -> Daemon {
        let settings = self.settings_file(role);
        let program = match role {
            Role::Entry => env!("CARGO_BIN_EXE_egretlb-entry"),
            Role::Scheduler => env!("CARGO_BIN_EXE_egretlb-scheduler"),
        };
        let mut child = Command::new(program)
            .arg("-q")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stdout = child.stdout.take().expect("a pipe");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("the daemon tells its addresses");
        let field = |name: &str| {
            let prefix = format!("{name}=");
            line.split_whitespace().find_map(|word| word.strip_prefix(&prefix)).map(str::to_owned)
        };
        let addr = |name: &str| field(name).and_then(|text| text.parse().ok());
        Daemon {
            role,
            node: field("node").expect("a node id"),
            callers: addr("callers"),
            operators: addr("operators").expect("an operators' address"),
            child,
            settings,
        }
    }

    fn settings_file(&self, role: Role) -> PathBuf {
        let callers = match role {
            Role::Entry => r#""callers": "127.0.0.1:0","#,
            Role::Scheduler => "",
        };
        let text = format!(
            r#"{{ "name": "test", "data_centre": "dc-0",
                 "listen": {{ {callers} "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" }},
                 "log_service": ["{}"], "vm_list": "{}" }}"#,
            self.log.addr(),
            self.vms.addr(),
        );
        let name = format!("egretlb-test-{}-{}.jsonc", std::process::id(), next_number());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).expect("the temporary folder takes a file");
        path
    }

    /// Returns the operators' address of some daemon.
    pub fn operators(&self) -> SocketAddr {
        let daemon = self.entries.first().or(self.schedulers.first());
        daemon.expect("a daemon").operators
    }

    /// Proposes a class configuration to the first daemon and returns its version.
    pub fn apply(&self, text: &str) -> Offset {
        let answer = propose(self.operators(), text, ProposalId(next_number()));
        match answer {
            ProposeAnswer::Accepted { version } => version,
            other => panic!("expected the proposal to be accepted, got {other:?}"),
        }
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, job: &str, tasks: u32, command: &str) {
        let submit = SubmitJob {
            job: job.parse().expect("a valid name"),
            class: "merge".parse().expect("a valid name"),
            tasks,
            command: command.into(),
            resources: None,
        };
        let answer: SubmitAnswer = eventually("the job is accepted", || {
            let answer = post(self.operators(), JOBS, &submit).ok()?;
            (answer == SubmitAnswer::Accepted).then_some(answer)
        });
        assert_eq!(answer, SubmitAnswer::Accepted);
    }

    /// Waits until the job ends and returns its status.
    pub fn wait_for_end(&self, job: &str) -> JobStatus {
        eventually("the job ends", || match self.job(job)? {
            JobAnswer::Found { job } if job.state != JobState::Active => Some(job),
            _ => None,
        })
    }

    /// Returns the job's status if its owner answers.
    pub fn job(&self, job: &str) -> Option<JobAnswer> {
        get(self.operators(), &job_path(&job.parse().expect("a valid name"))).ok()
    }

    /// Sends a request to an entry.
    pub fn request(
        &self,
        entry: usize,
        class: &str,
        id: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<HttpAnswer, CallFailure> {
        send(self.entries[entry].callers.expect("an entry"), class, id, headers)
    }

    /// Waits until an entry answers requests of the class.
    pub fn wait_for_service(&self, entry: usize, class: &str) {
        eventually("the service answers", || {
            let answer = self.request(entry, class, "warm-up", &[]).ok()?;
            (answer.status == 200).then_some(())
        });
    }
}

/// Sends a request with its id as the body.
pub fn send(
    callers: SocketAddr,
    class: &str,
    id: &str,
    headers: &[(&'static str, &str)],
) -> Result<HttpAnswer, CallFailure> {
    let all = [("x-request-id", id)].into_iter().chain(headers.iter().copied());
    let headers = all.map(|(name, value)| {
        let value = HeaderValue::from_str(value).expect("a header value");
        (HeaderName::from_static(name), value)
    });
    let url = format!("http://{callers}/serve/{class}/x");
    call(Method::POST, url, headers, id.as_bytes().to_vec(), CALL_TIMEOUT)
}

/// Polls until there is a value; panics after the timeout.
pub fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(answer) = poll() {
            return answer;
        }
        assert!(Instant::now() < deadline, "gave up waiting: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns a header of an answer as text.
pub fn header<'a>(answer: &'a HttpAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Proposes a configuration based on the daemon's current version.
pub fn propose(operators: SocketAddr, text: &str, proposal: ProposalId) -> ProposeAnswer {
    let view: ConfigView = get(operators, CONFIG).expect("a configuration view");
    propose_on(operators, text, proposal, view.version)
}

/// Proposes a configuration on a base version and waits for the decision.
pub fn propose_on(
    operators: SocketAddr,
    text: &str,
    proposal: ProposalId,
    base: Option<Offset>,
) -> ProposeAnswer {
    let document = parse_config(text).expect("a configuration without faults");
    let propose = ProposeConfig { proposal, base, document, by: "test".into() };
    eventually("the proposal is decided", || {
        let answer: ProposeAnswer = post(operators, CONFIG, &propose).ok()?;
        (!matches!(answer, ProposeAnswer::Unavailable { .. })).then_some(answer)
    })
}

/// Returns a daemon's status of all nodes.
pub fn status(operators: SocketAddr) -> Status {
    get(operators, STATUS).expect("a status")
}

/// Requests JSON from an operators' address.
pub fn get<T: serde::de::DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
) -> Result<T, CallFailure> {
    let answer =
        call(Method::GET, format!("http://{operators}{path}"), [], Vec::new(), CALL_TIMEOUT)?;
    Ok(serde_json::from_slice(&answer.body).expect("JSON"))
}

fn post<T: serde::de::DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
    message: &impl serde::Serialize,
) -> Result<T, CallFailure> {
    let body = serde_json::to_vec(message).expect("JSON");
    let answer = call(Method::POST, format!("http://{operators}{path}"), [], body, CALL_TIMEOUT)?;
    Ok(serde_json::from_slice(&answer.body).expect("JSON"))
}
