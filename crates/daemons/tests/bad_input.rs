//! Invalid input to the daemons' processes is refused with a clear error, and valid requests are
//! still served.

mod support;

use {
    egretlb_api::{CONFIG, JOBS, METRICS},
    egretlb_standins::worker::WorkerEventKind,
    std::{
        fs,
        io::{BufRead, BufReader, ErrorKind, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Output, Stdio},
        time::Duration,
    },
    support::{CLASSES, System, header},
};

/// Maximum time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends the bytes and returns the whole answer. A server that closes with unread bytes resets the
/// connection; the answer received before counts.
fn exchange(addr: SocketAddr, bytes: impl AsRef<[u8]>, shutdown_write: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("the daemon listens");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a time-out");
    // The server may refuse and close before it has read everything.
    let _ = stream.write_all(bytes.as_ref());
    if shutdown_write {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("no answer: {e}"),
        _ => String::from_utf8_lossy(&answer).to_ascii_lowercase(),
    }
}

/// Sends one HTTP request with these additional header lines on a new connection.
fn post(addr: SocketAddr, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-Id: bad\r\n\
         Content-Length: {length}\r\n{headers}\r\n{body}"
    );
    exchange(addr, text, false)
}

#[track_caller]
fn assert_answer(answer: &str, status: u16, text: &str) {
    let start = format!("http/1.1 {status} ");
    assert!(answer.starts_with(&start), "expected {status}: {answer:?}");
    assert!(answer.contains(&text.to_ascii_lowercase()), "expected {text:?}: {answer:?}");
}

/// Like `assert_answer`, and the answer must state that the request didn't run.
#[track_caller]
fn assert_refused(answer: &str, status: u16, text: &str) {
    assert_answer(answer, status, text);
    assert!(answer.contains("egretlb-ran: no"), "{answer:?}");
}

/// Asserts that no invalid request reached a backend server and that valid ones still do.
fn assert_still_serving(system: &System) {
    let answer = system.request(0, "check", "good", &[]).expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(header(&answer, "egretlb-ran"), Some("yes"));
    let history = system.workers.iter().flat_map(|worker| worker.history());
    let bad = history
        .filter(|h| matches!(&h.kind, WorkerEventKind::RequestBegan { id, .. } if id == "bad"));
    assert_eq!(bad.count(), 0);
}

#[test]
fn callers() {
    // Invalid names, keys, bodies and heads must neither stop the entry nor reach a service, and
    // the answer must state correctly that the request didn't run.
    let system = System::start(1, 1, 1);
    system.apply(CLASSES);
    system.wait_for_service(0, "check");
    let entry = system.entries[0].callers.expect("an entry");
    let to = |path: &str, headers: &str| post(entry, path, headers, "x");

    assert_refused(&to("/serve/no-such/x", ""), 404, "unknown class");
    assert_refused(&to("/serve/a%20b/x", ""), 404, "isn't allowed");
    assert_refused(&to("/other", ""), 404, "/serve/{class}/{path}");
    assert_refused(&to("/serve/merge/x", ""), 404, "unknown class");
    let long = format!("Idempotency-Key: {}\r\n", "k".repeat(129));
    assert_refused(&to("/serve/filing/x", &long), 400, "at most 128 bytes");
    assert_refused(&to("/serve/filing/x", "Idempotency-Key: a b\r\n"), 400, "isn't allowed");
    assert_refused(&to("/serve/filing/x", "Idempotency-Key:\r\n"), 400, "empty");
    let two = "Idempotency-Key: a\r\nIdempotency-Key: b\r\n";
    assert_refused(&to("/serve/filing/x", two), 400, "send one");
    assert_refused(
        &to("/serve/check/x", "Egretlb-Deadline-Ms: soon\r\n"),
        400,
        "give milliseconds",
    );

    let large = "b".repeat(1_000_001);
    assert_refused(&post(entry, "/serve/check/x", "", &large), 413, "larger than 1000000 bytes");
    let head = "POST /serve/check/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: bad\r\n";
    let short = exchange(entry, format!("{head}Content-Length: 10\r\n\r\nabc"), true);
    assert!(short.is_empty() || !short.starts_with("http/1.1 2"), "{short:?}");
    for bad in ["Content-Length: ten\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n"] {
        let answer = exchange(entry, format!("{head}{bad}\r\nxx"), true);
        assert_answer(&answer, 400, "");
    }
    let endless = format!("{head}X-Padding: {}\r\n\r\n", "p".repeat(9_000));
    let answer = exchange(entry, endless, true);
    assert!(answer.is_empty() || answer.starts_with("http/1.1 400 "), "{answer:?}");
    assert_answer(&exchange(entry, "not HTTP at all\r\n\r\n", true), 400, "");

    assert_still_serving(&system);
    let metrics = get_text(system.operators(), METRICS);
    // Two requests named an unknown class; the others belong to no class.
    for line in [
        "egretlb_refusals_total{reason=\"unknown_class\"} 2",
        "egretlb_refusal_latency_seconds_count",
        "egretlb_requests_total{class=\"check\",outcome=\"answered\"}",
    ] {
        assert!(metrics.contains(line), "{line} isn't in {metrics}");
    }
    assert!(!metrics.contains("no-such"), "a caller's text is no label");
}

fn get_text(addr: SocketAddr, path: &str) -> String {
    exchange(addr, format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), false)
}

#[test]
fn operators() {
    let system = System::start(1, 1, 0);
    let operators = system.operators();
    let to = |path: &str, body: &str| post(operators, path, "", body);
    assert_answer(&to(JOBS, "{\"job\": "), 400, "the body isn't what this call takes");
    assert_answer(&to(JOBS, "{\"job\": \"a b\"}"), 400, "isn't allowed");
    let job = |extra: &str, tasks: u32, command: &str| {
        format!(
            "{{\"job\": \"j\", \"class\": \"merge\", \"tasks\": {tasks}, \"command\": \
             \"{command}\"{extra}}}"
        )
    };
    assert_answer(&to(JOBS, &job(", \"priority\": 9", 1, "x")), 400, "priority");
    assert_answer(&to(JOBS, &job("", 0, "x")), 422, "a job has 1 to 10000 tasks");
    assert_answer(&to(JOBS, &job("", 1, &"c".repeat(2_000))), 422, "at most 1024 bytes");
    assert_answer(&to("/jobs/a%20b", ""), 400, "the job id");
    assert_answer(&to("/no-such", ""), 404, "no such call");
    assert_answer(&to(CONFIG, "[]"), 400, "the body isn't what this call takes");

    // A proposal that bypasses the command's check refers to an unknown team.
    let faulty = r#"{"proposal": "0000000000000001", "base": null, "by": "x", "document":
        {"teams": [], "classes": [{"name": "c", "member": "m", "team": "t", "kind":
        {"Batch": {"amount": 1, "period": {"secs": 60, "nanos": 0}, "task": {"cpu": 1, "memory": 1},
        "run_time": {"secs": 1, "nanos": 0}, "urgent": false}}}]}}"#;
    assert_answer(&to(CONFIG, faulty), 422, "classes[0].team: no team is named t");
}

/// A daemon's process that is killed when the test ends.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn slow_callers() {
    // Unfinished requests occupy connections until the caller timeout. Other callers must be
    // answered meanwhile, and the connections must be freed.
    let text = r#"{ "name": "n", "data_centre": "d", "log_service": ["127.0.0.1:1"],
        "vm_list": "127.0.0.1:1", "limits": { "caller_timeout": "300ms", "max_connections": 50 },
        "listen": { "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0" } }"#;
    let mut command = Command::new(env!("CARGO_BIN_EXE_egretlb-entry"));
    command.args(["-q", "-q"]).arg(settings("slow.jsonc", text)).stdout(Stdio::piped());
    let mut entry = ChildGuard(command.spawn().expect("the daemon's program starts"));
    let stdout = entry.0.stdout.take().expect("a pipe");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("the daemon tells its addresses");
    let callers = line.split_whitespace().find_map(|word| word.strip_prefix("callers="));
    let callers: SocketAddr = callers.and_then(|text| text.parse().ok()).expect("an address");

    let head = "POST /serve/check/x HTTP/1.1\r\nHost: x\r\n";
    let starts = [head.to_owned(), format!("{head}Content-Length: 10\r\n\r\na")];
    let slow = starts.iter().cycle().take(40).map(|start| {
        let mut stream = TcpStream::connect(callers).expect("the daemon listens");
        stream.write_all(start.as_bytes()).expect("a connection");
        stream
    });
    let slow: Vec<TcpStream> = slow.collect();
    // Exceeds the maximum number of connections: some wait until slow ones are closed.
    for _ in 0..20 {
        assert_refused(&post(callers, "/serve/check/x", "", "x"), 404, "unknown class");
    }
    for mut stream in slow {
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a time-out");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer:?}");
    }
}

/// Writes a settings file.
fn settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the target folder takes a file");
    path
}

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("the daemon's program starts")
}

#[track_caller]
fn assert_exit(output: &Output, code: i32, text: &str) {
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{err}");
    assert!(err.contains(text), "expected {text:?}: {err:?}");
}

#[test]
fn start_failures() {
    // A wrong command line, invalid settings or an address in use must end the daemon at once with
    // an error that states the remedy.
    let entry = env!("CARGO_BIN_EXE_egretlb-entry");
    let scheduler = env!("CARGO_BIN_EXE_egretlb-scheduler");
    assert_exit(&run(entry, &[]), 2, "no settings file is named");
    assert_exit(&run(entry, &["--sttings", "x"]), 2, "unknown option --sttings");
    assert_exit(&run(entry, &["a", "b"]), 2, "unexpected argument b");
    assert_exit(&run(scheduler, &["no-such.jsonc"]), 3, "no-such.jsonc: No such file");

    let faulty = settings("faulty.jsonc", "{\n  \"name\": 7,\n  \"datacentre\": \"a\"\n}");
    let output = run(scheduler, &["--check", faulty.to_str().expect("text")]);
    assert_exit(&output, 3, "faulty.jsonc:2:11: found a number");
    assert_exit(&output, 3, "faulty.jsonc:3:3: unknown field \"datacentre\"; did you mean");

    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = taken.local_addr().expect("an address");
    let good = |callers: &str| {
        format!(
            r#"{{ "name": "n", "data_centre": "d", "log_service": ["127.0.0.1:1"],
                 "vm_list": "127.0.0.1:1", "listen": {{ {callers}
                 "operators": "{addr}", "peers": "127.0.0.1:0" }} }}"#
        )
    };
    let path = settings("taken.jsonc", &good(""));
    let path = path.to_str().expect("text");
    assert_eq!(run(scheduler, &["--check", path]).status.code(), Some(0));
    assert_exit(&run(scheduler, &[path]), 4, &format!("can't listen on {addr} (listen.operators)"));
    assert_exit(&run(entry, &[path]), 4, "add listen.callers");
}
