//! What is done and told, step by step.

use {
    crate::{
        client::{Answered, get, post, request, wait},
        error::QuickstartError,
        system::{NODES, System},
    },
    egretlb_api::{
        CONFIG, ConfigView, JOBS, JobAnswer, JobState, JobStatus, ProposalId, ProposeAnswer,
        ProposeConfig, STATUS, Status, SubmitAnswer, SubmitJob, job_path,
    },
    egretlb_config::parse_config,
    egretlb_standins::{
        checker::{Answer, History, Told},
        worker::{What, body_hash},
    },
    egretlb_types::{Offset, Ran},
    std::{
        collections::BTreeSet,
        io::Write,
        time::{Duration, Instant},
    },
};

/// The configuration that is applied.
const CLASSES: &str = include_str!("../../../examples/classes-bogota.jsonc");

/// Requests that are sent.
const REQUESTS: usize = 20;

/// The batch job.
const JOB: &str = "reconciliation-2026-01-31";
const TASKS: u32 = 24;

/// Prints lines with the time since the start.
struct Teller<'a> {
    out: &'a mut dyn Write,
    start: Instant,
}

impl Teller<'_> {
    fn say(&mut self, line: &str) -> Result<(), QuickstartError> {
        let secs = self.start.elapsed().as_secs_f64();
        writeln!(self.out, "{secs:7.2} s  {line}")?;
        Ok(self.out.flush()?)
    }
}

/// Runs the quick start, writing what happens to `out`.
pub fn run(out: &mut impl Write) -> Result<(), QuickstartError> {
    let mut teller = Teller { out, start: Instant::now() };
    let system = System::start()?;
    teller.say(&format!(
        "started {NODES} entries, {NODES} schedulers, and stand-ins for the log, the VM list and {} \
         workers",
        system.workers.len()
    ))?;
    configure(&system, &mut teller)?;
    let mut told = checks(&system, &mut teller)?;
    told.extend(filing(&system, &mut teller)?);
    batch(&system, &mut teller)?;
    verify(&system, told, &mut teller)?;
    let cut_off = system.stop();
    teller.say(&format!("all daemons ended gracefully, {cut_off} requests cut off"))
}

fn configure(system: &System, teller: &mut Teller<'_>) -> Result<(), QuickstartError> {
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
    teller.say(&format!("applied examples/classes-bogota.jsonc: version {version} ({classes})"))?;
    wait("the configuration is in force everywhere", || in_force(system, version))?;
    teller.say("the configuration is in force in every daemon")
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

/// Boundary checks through both entries.
fn checks(system: &System, teller: &mut Teller<'_>) -> Result<Vec<Told>, QuickstartError> {
    let first = request(system.callers(0), "boundary-check", "early", None)?;
    let mut told = vec![note("early", true, &first)];
    if first.status != 200 {
        let after = first.retry_after.as_deref().unwrap_or("-");
        teller.say(&format!(
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
    teller.say("boundary-check is served: a replica was started where its target needs one")?;
    let mut times = Vec::new();
    let mut servers = BTreeSet::new();
    for n in 0..REQUESTS {
        let id = format!("check-{n}");
        let answer = request(system.callers(n % NODES), "boundary-check", &id, None)?;
        told.push(note(&id, true, &answer));
        servers.extend(answer.served.map(|served| served.vm));
        times.push(answer.took);
    }
    times.sort();
    teller.say(&format!(
        "{REQUESTS} boundary checks through {NODES} entries: {} answered, median {:.1} ms, slowest \
         {:.1} ms, by {} backend servers",
        told.iter().skip(1).filter(|told| matches!(told.answer, Answer::Whole(_))).count(),
        millis(times[REQUESTS / 2]),
        millis(times[REQUESTS - 1]),
        servers.len()
    ))?;
    Ok(told)
}

/// A filing, sent twice under one key through different entries.
fn filing(system: &System, teller: &mut Teller<'_>) -> Result<Vec<Told>, QuickstartError> {
    let mut told = Vec::new();
    for entry in 0..NODES {
        let answer = wait("the filing is answered", || {
            let key = Some("filing-8841");
            let answer = request(system.callers(entry), "claim-filing", "filing", key)?;
            Ok((answer.status == 200).then_some(answer))
        })?;
        told.push(note("filing", false, &answer));
        teller.say(&format!(
            "claim filing with key filing-8841 through entry {entry}: status {}, Egretlb-Ran: {}",
            answer.status, answer.ran
        ))?;
    }
    let ran = ran_at_workers(system, "filing");
    teller.say(&format!("the workers ran that filing {ran} time(s)"))?;
    Ok(told)
}

fn ran_at_workers(system: &System, id: &str) -> usize {
    let began = |what: &What| matches!(what, What::RequestBegan { id: of, .. } if of == id);
    system.history().happenings.iter().filter(|h| began(&h.what)).count()
}

/// A night's reconciliation.
fn batch(system: &System, teller: &mut Teller<'_>) -> Result<(), QuickstartError> {
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
    teller.say(&format!("submitted {JOB}: {TASKS} tasks, recorded in the log"))?;
    let mut shown = None;
    let job = wait("the job ends", || {
        let Some(job) = job(system)? else { return Ok(None) };
        let now = (job.tasks.running, job.tasks.done);
        if shown != Some(now) {
            shown = Some(now);
            teller.say(&format!(
                "{JOB}: {} queued, {} running, {} done",
                job.tasks.queued + job.tasks.starting,
                job.tasks.running,
                job.tasks.done
            ))?;
        }
        Ok((job.state != JobState::Active).then_some(job))
    })?;
    teller.say(&format!("{JOB} ended: {} of {TASKS} tasks done", job.tasks.done))
}

fn job(system: &System) -> Result<Option<JobStatus>, QuickstartError> {
    let path = job_path(&JOB.parse().expect("a valid name"));
    match get(system.operators(), &path)? {
        JobAnswer::Found { job } => Ok(Some(job)),
        _ => Ok(None),
    }
}

/// Compares what callers were told with what the workers saw.
fn verify(
    system: &System,
    told: Vec<Told>,
    teller: &mut Teller<'_>,
) -> Result<(), QuickstartError> {
    let history = History { told, ..system.history() };
    let found = history.check();
    if let Some(first) = found.first() {
        return Err(QuickstartError::Broken { found: first.to_string() });
    }
    teller.say(&format!(
        "checked against what the workers saw ({} events): no task in two places, no VM over its \
         capacity, the filing ran once, each caller got its own whole answer",
        history.happenings.len()
    ))?;
    let stats = system.log.stats();
    let appends: u64 = stats.streams.values().map(|stream| stream.appends).sum();
    let streams = stats.streams.len();
    teller.say(&format!("the log holds {appends} records in {streams} streams"))
}

/// What a caller was told, for the checker.
fn note(id: &str, idempotent: bool, answer: &Answered) -> Told {
    let ran = answer.ran.parse::<Ran>().unwrap_or(Ran::Unknown);
    let told = match (&answer.served, answer.status) {
        (Some(served), 200) => Answer::Whole(served.clone()),
        _ => Answer::Error(ran),
    };
    Told { id: id.into(), idempotent, hash: body_hash(b"a polygon"), answer: told }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
