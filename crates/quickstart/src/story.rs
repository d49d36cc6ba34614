//! The steps of the quick start.

use {
    crate::{
        client::{RequestOutcome, get, post, request, wait},
        error::QuickstartError,
        system::{NODES, System},
    },
    egretlb_api::{
        CONFIG, ConfigView, JOBS, JobAnswer, JobState, JobStatus, ProposalId, ProposeAnswer,
        ProposeConfig, STATUS, Status, SubmitAnswer, SubmitJob, job_path,
    },
    egretlb_config::parse_config,
    egretlb_standins::{
        checker::{Answer, CallerRecord, History},
        worker::{WorkerEventKind, body_hash},
    },
    egretlb_types::{Offset, Ran},
    std::{
        collections::BTreeSet,
        io::Write,
        time::{Duration, Instant},
    },
};

/// The applied configuration.
const CLASSES: &str = include_str!("../../../examples/classes-bogota.jsonc");

/// Number of boundary checks.
const REQUESTS: usize = 20;

/// The batch job and its number of tasks.
const JOB: &str = "reconciliation-2026-01-31";
const TASKS: u32 = 24;

/// Prints lines with the time since the start.
struct ProgressWriter<'a> {
    out: &'a mut dyn Write,
    start: Instant,
}

impl ProgressWriter<'_> {
    fn print(&mut self, line: &str) -> Result<(), QuickstartError> {
        let secs = self.start.elapsed().as_secs_f64();
        writeln!(self.out, "{secs:7.2} s  {line}")?;
        Ok(self.out.flush()?)
    }
}

/// Runs the quick start and writes its progress to `out`.
pub fn run(out: &mut impl Write) -> Result<(), QuickstartError> {
    let mut progress = ProgressWriter { out, start: Instant::now() };
    let system = System::start()?;
    progress.print(&format!(
        "started {NODES} entries, {NODES} schedulers, and stand-ins for the log, the VM list and {} \
         workers",
        system.workers.len()
    ))?;
    configure(&system, &mut progress)?;
    let mut caller_records = send_boundary_checks(&system, &mut progress)?;
    caller_records.extend(send_filing(&system, &mut progress)?);
    run_batch(&system, &mut progress)?;
    verify(&system, caller_records, &mut progress)?;
    let cut_off = system.stop();
    progress.print(&format!("all daemons ended gracefully, {cut_off} requests cut off"))
}

fn configure(system: &System, progress: &mut ProgressWriter<'_>) -> Result<(), QuickstartError> {
    let document = parse_config(CLASSES).expect("the example has no faults");
    let classes: Vec<_> = document.classes.iter().map(|class| class.name.as_str()).collect();
    let classes = classes.join(", ");
    let view: ConfigView =
        wait("an entry answers operators", || get(system.operators(), CONFIG).map(Some))?;
    let propose = ProposeConfig {
        proposal: ProposalId(1),
        base: view.version,
        document,
        by: "quickstart".into(),
    };
    let version = wait("the configuration is accepted", || {
        match post(system.operators(), CONFIG, &propose)? {
            ProposeAnswer::Accepted { version } => Ok(Some(version)),
            _ => Ok(None),
        }
    })?;
    progress
        .print(&format!("applied examples/classes-bogota.jsonc: version {version} ({classes})"))?;
    wait("the configuration is in force everywhere", || in_force(system, version))?;
    progress.print("the configuration is in force in every daemon")
}

fn in_force(system: &System, version: Offset) -> Result<Option<()>, QuickstartError> {
    for daemon in system.entries.iter().chain(&system.schedulers) {
        let status: Status = get(daemon.operators(), STATUS)?;
        let own = status.nodes.iter().find(|node| node.node == status.asked);
        if own.is_none_or(|own| own.config_version != Some(version)) {
            return Ok(None);
        }
    }
    Ok(Some(()))
}

/// Sends boundary checks through both entries.
fn send_boundary_checks(
    system: &System,
    progress: &mut ProgressWriter<'_>,
) -> Result<Vec<CallerRecord>, QuickstartError> {
    let first = request(system.callers(0), "boundary-check", "early", None)?;
    let mut caller_records = vec![record_answer("early", true, &first)];
    if first.status != 200 {
        let after = first.retry_after.as_deref().unwrap_or("-");
        progress.print(&format!(
            "a boundary check sent at once: status {}, Egretlb-Ran: {}, Retry-After: {after}; the \
             service isn't running yet",
            first.status, first.ran
        ))?;
    }
    for entry in 0..NODES {
        wait("the services answer", || {
            let answer = request(system.callers(entry), "boundary-check", "warm-up", None)?;
            Ok((answer.status == 200).then_some(()))
        })?;
    }
    progress.print("boundary-check is served: a replica was started where its target needs one")?;
    let mut times = Vec::new();
    let mut servers = BTreeSet::new();
    for n in 0..REQUESTS {
        let id = format!("check-{n}");
        let answer = request(system.callers(n % NODES), "boundary-check", &id, None)?;
        caller_records.push(record_answer(&id, true, &answer));
        servers.extend(answer.served.map(|served| served.vm));
        times.push(answer.elapsed);
    }
    times.sort();
    progress.print(&format!(
        "{REQUESTS} boundary checks through {NODES} entries: {} answered, median {:.1} ms, slowest \
         {:.1} ms, by {} backend servers",
        caller_records
            .iter()
            .skip(1)
            .filter(|record| matches!(record.answer, Answer::Whole(_)))
            .count(),
        to_millis(times[REQUESTS / 2]),
        to_millis(times[REQUESTS - 1]),
        servers.len()
    ))?;
    Ok(caller_records)
}

/// Sends a claim filing twice with the same key, through different entries.
fn send_filing(
    system: &System,
    progress: &mut ProgressWriter<'_>,
) -> Result<Vec<CallerRecord>, QuickstartError> {
    let mut caller_records = Vec::new();
    for entry in 0..NODES {
        let answer = wait("the filing is answered", || {
            let key = Some("filing-8841");
            let answer = request(system.callers(entry), "claim-filing", "filing", key)?;
            Ok((answer.status == 200).then_some(answer))
        })?;
        caller_records.push(record_answer("filing", false, &answer));
        progress.print(&format!(
            "claim filing with key filing-8841 through entry {entry}: status {}, Egretlb-Ran: {}",
            answer.status, answer.ran
        ))?;
    }
    let ran = count_runs(system, "filing");
    progress.print(&format!("the workers ran that filing {ran} time(s)"))?;
    Ok(caller_records)
}

fn count_runs(system: &System, id: &str) -> usize {
    let is_begin = |kind: &WorkerEventKind| {
        matches!(
            kind,
            WorkerEventKind::RequestBegan { id: of, .. } if of == id
        )
    };
    system.history().worker_events.iter().filter(|event| is_begin(&event.kind)).count()
}

/// Runs a batch job.
fn run_batch(system: &System, progress: &mut ProgressWriter<'_>) -> Result<(), QuickstartError> {
    let submit = SubmitJob {
        job: JOB.parse().expect("a valid name"),
        class: "title-reconciliation".parse().expect("a valid name"),
        tasks: TASKS,
        command: "reconcile run=1500ms use=2500m mem=9000MB checkpoint=100ms".into(),
        resources: None,
    };
    wait("the job is accepted", || {
        let answer: SubmitAnswer = post(system.operators(), JOBS, &submit)?;
        Ok((answer == SubmitAnswer::Accepted).then_some(()))
    })?;
    progress.print(&format!("submitted {JOB}: {TASKS} tasks, recorded in the log"))?;
    let mut last_counts = None;
    let job = wait("the job ends", || {
        let Some(job) = job(system)? else { return Ok(None) };
        let counts = (job.tasks.running, job.tasks.done);
        if last_counts != Some(counts) {
            last_counts = Some(counts);
            progress.print(&format!(
                "{JOB}: {} queued, {} running, {} done",
                job.tasks.queued + job.tasks.starting,
                job.tasks.running,
                job.tasks.done
            ))?;
        }
        Ok((job.state != JobState::Active).then_some(job))
    })?;
    progress.print(&format!("{JOB} ended: {} of {TASKS} tasks done", job.tasks.done))
}

fn job(system: &System) -> Result<Option<JobStatus>, QuickstartError> {
    let path = job_path(&JOB.parse().expect("a valid name"));
    match get(system.operators(), &path)? {
        JobAnswer::Found { job } => Ok(Some(job)),
        _ => Ok(None),
    }
}

/// Checks the callers' answers against the workers' histories.
fn verify(
    system: &System,
    caller_records: Vec<CallerRecord>,
    progress: &mut ProgressWriter<'_>,
) -> Result<(), QuickstartError> {
    let history = History { caller_records, ..system.history() };
    let violations = history.check();
    if let Some(first) = violations.first() {
        return Err(QuickstartError::Violation { violation: first.to_string() });
    }
    progress.print(&format!(
        "checked against what the workers saw ({} events): no task in two places, no VM over its \
         capacity, the filing ran once, each caller got its own whole answer",
        history.worker_events.len()
    ))?;
    let stats = system.log.stats();
    let appends: u64 = stats.streams.values().map(|stream| stream.appends).sum();
    let streams = stats.streams.len();
    progress.print(&format!("the log holds {appends} records in {streams} streams"))
}

/// Records a caller's answer for the checker.
fn record_answer(id: &str, idempotent: bool, answer: &RequestOutcome) -> CallerRecord {
    let ran = answer.ran.parse::<Ran>().unwrap_or(Ran::Unknown);
    let reported = match (&answer.served, answer.status) {
        (Some(served), 200) => Answer::Whole(served.clone()),
        _ => Answer::Error(ran),
    };
    CallerRecord { id: id.into(), idempotent, hash: body_hash(b"a polygon"), answer: reported }
}

fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
