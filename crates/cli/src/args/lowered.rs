//! Checks the parsed command line and converts it into a command.

use {
    super::{Env, low::LowArgs},
    crate::{error::CliError, help},
    compact_str::{CompactString, ToCompactString, format_compact},
    egretlb_api::SubmitJob,
    egretlb_config::Period,
    egretlb_types::{JobId, Offset, Resources},
    smallvec::SmallVec,
    std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration},
};

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Action {
    /// Print a help or version text.
    Print(&'static str),
    /// Run a command.
    Run(Box<Args>),
}

/// A checked command line.
#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) command: Command,
    pub(crate) json: bool,
    pub(crate) quiet: usize,
    pub(crate) verbose: usize,
    /// Timeout of the connect and of each read and write of a call.
    pub(crate) timeout: Duration,
    /// How long a change is retried.
    pub(crate) wait: Duration,
}

/// A command with its arguments.
#[derive(Debug)]
pub(crate) enum Command {
    ConfigCheck {
        path: PathBuf,
    },
    ConfigDiff {
        path: PathBuf,
        servers: Servers,
    },
    ConfigApply {
        path: PathBuf,
        base: Option<Offset>,
        by: CompactString,
        servers: Servers,
    },
    ConfigShow {
        servers: Servers,
    },
    JobSubmit {
        source: JobSource,
        servers: Servers,
    },
    JobStatus {
        job: JobId,
        servers: Servers,
    },
    JobCancel {
        job: JobId,
        servers: Servers,
    },
    Status {
        servers: Servers,
    },
    Dump {
        addr: SocketAddr,
    },
    /// Reads standard input if `files` is empty.
    Explain {
        workflow: CompactString,
        files: Vec<PathBuf>,
    },
}

/// Source of the description of a job to submit.
#[derive(Debug)]
pub(crate) enum JobSource {
    File(PathBuf),
    Flags(SubmitJob),
}

/// Addresses of servers to try in turn; at least one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Servers(SmallVec<[SocketAddr; 4]>);

impl Servers {
    pub(crate) fn one(addr: SocketAddr) -> Self {
        Servers(std::iter::once(addr).collect())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddr> + Clone + '_ {
        self.0.iter().copied()
    }
}

const DEFAULT_TIMEOUT: Period = Period::from_millis(5_000);
const DEFAULT_WAIT: Period = Period::from_millis(30_000);

/// Parses and checks the command line.
pub(crate) fn parse(args: Vec<OsString>, env: &Env) -> Result<Action, CliError> {
    let low = LowArgs::read(args)?;
    if low.long_help {
        return Ok(Action::Print(help::LONG));
    }
    if low.short_help {
        return Ok(Action::Print(help::SHORT));
    }
    if low.version {
        return Ok(Action::Print(help::VERSION));
    }
    Lowering { low, env }.args().map(|args| Action::Run(Box::new(args)))
}

struct Lowering<'e> {
    low: LowArgs,
    env: &'e Env,
}

impl Lowering<'_> {
    fn args(mut self) -> Result<Args, CliError> {
        let words = std::mem::take(&mut self.low.words);
        let lossy_words: Vec<_> = words.iter().map(|word| word.to_string_lossy()).collect();
        let word_texts: Vec<&str> = lossy_words.iter().map(|word| &**word).collect();
        let command = match word_texts.as_slice() {
            ["config", "check", _] => Command::ConfigCheck { path: PathBuf::from(&words[2]) },
            ["config", "diff", _] => {
                Command::ConfigDiff { path: PathBuf::from(&words[2]), servers: self.servers()? }
            }
            ["config", "apply", _] => self.config_apply(PathBuf::from(&words[2]))?,
            ["config", "show"] => Command::ConfigShow { servers: self.servers()? },
            ["job", "submit"] => self.submit_flags()?,
            ["job", "submit", _] => Command::JobSubmit {
                source: JobSource::File(PathBuf::from(&words[2])),
                servers: self.servers()?,
            },
            ["job", "status", job] => {
                Command::JobStatus { job: job.parse()?, servers: self.servers()? }
            }
            ["job", "cancel", job] => {
                Command::JobCancel { job: job.parse()?, servers: self.servers()? }
            }
            ["status"] => Command::Status { servers: self.servers()? },
            ["dump", addr] => Command::Dump { addr: address(addr)? },
            ["explain", workflow, ..] => Command::Explain {
                workflow: subject_id(workflow)?,
                files: words[2..].iter().map(PathBuf::from).collect(),
            },
            other => return Err(unknown_command(other)),
        };
        self.check_unused()?;
        Ok(Args {
            command,
            json: self.low.json,
            quiet: self.low.quiet,
            verbose: self.low.verbose,
            timeout: self.low.timeout.unwrap_or(DEFAULT_TIMEOUT).as_duration(),
            wait: self.low.wait.unwrap_or(DEFAULT_WAIT).as_duration(),
        })
    }

    fn servers(&mut self) -> Result<Servers, CliError> {
        let from_env = || self.env.server.as_ref().map(|text| text.to_string_lossy().into_owned());
        let text = self.low.server.take().or_else(from_env);
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return Err(CliError::Usage(CompactString::const_new(
                "no server is named; give --server ip:port, or set EGRETLB_SERVER",
            )));
        };
        text.split(',').map(address).collect::<Result<_, _>>().map(Servers)
    }

    fn config_apply(&mut self, path: PathBuf) -> Result<Command, CliError> {
        let user = self.env.user.as_ref().map(|user| user.to_string_lossy().to_compact_string());
        let by = self.low.by.take().or(user).unwrap_or(CompactString::const_new("unknown"));
        let base = self.low.base.take();
        Ok(Command::ConfigApply { path, base, by, servers: self.servers()? })
    }

    fn submit_flags(&mut self) -> Result<Command, CliError> {
        let resources = self.resources()?;
        let submit = SubmitJob {
            job: required(self.low.job.take(), "--job")?,
            class: required(self.low.class.take(), "--class")?,
            tasks: required(self.low.tasks.take(), "--tasks")?,
            command: required(self.low.command.take(), "--command")?,
            resources,
        };
        Ok(Command::JobSubmit { source: JobSource::Flags(submit), servers: self.servers()? })
    }

    fn resources(&mut self) -> Result<Option<Resources>, CliError> {
        let (cpu, memory) = (self.low.cpu.take(), self.low.memory.take());
        let accelerators = self.low.accelerators.take();
        if cpu.is_none() && memory.is_none() && accelerators.is_none() {
            return Ok(None);
        }
        Ok(Some(Resources {
            cpu: required(cpu, "--cpu")?,
            memory: required(memory, "--memory")?,
            accelerators: accelerators.unwrap_or_default(),
        }))
    }

    /// Reports a flag that the command doesn't use, such as `--base` of `config diff`.
    fn check_unused(&self) -> Result<(), CliError> {
        let low = &self.low;
        let unused = [
            ("--server", low.server.is_some()),
            ("--base", low.base.is_some()),
            ("--by", low.by.is_some()),
            ("--job", low.job.is_some()),
            ("--class", low.class.is_some()),
            ("--tasks", low.tasks.is_some()),
            ("--command", low.command.is_some()),
            ("--cpu", low.cpu.is_some()),
            ("--memory", low.memory.is_some()),
            ("--accelerators", low.accelerators.is_some()),
        ];
        match unused.iter().find(|(_, given)| *given) {
            Some((flag, _)) => {
                Err(CliError::Usage(format_compact!("{flag} has no meaning here; leave it out")))
            }
            None => Ok(()),
        }
    }
}

fn required<T>(value: Option<T>, flag: &str) -> Result<T, CliError> {
    value.ok_or_else(|| {
        CliError::Usage(format_compact!(
            "{flag} is missing; give it, or describe the job in a FILE"
        ))
    })
}

/// Parses the id of a workflow, or of one of its tasks.
fn subject_id(text: &str) -> Result<CompactString, CliError> {
    let is_hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    let (workflow, task) = text.split_once('.').unwrap_or((text, "0.0.0"));
    let numbers = task.split('.').filter(|number| number.parse::<u32>().is_ok()).count();
    let is_task = numbers == 3 && task.split('.').count() == 3;
    if workflow.len() == 16 && workflow.bytes().all(is_hex) && is_task {
        return Ok(CompactString::new(text));
    }
    Err(CliError::Usage(format_compact!(
        "{text:?} is no workflow's id; give its 16 hexadecimal digits, for one of its tasks with \
         .OCCURRENCE.STEP.INDEX after them"
    )))
}

fn address(text: &str) -> Result<SocketAddr, CliError> {
    text.trim().parse().map_err(|_| {
        let text: String = text.chars().take(60).collect();
        CliError::Usage(format_compact!(
            "{text:?} is no address; give an IP number and port, like 10.0.0.4:8081"
        ))
    })
}

fn unknown_command(words: &[&str]) -> CliError {
    CliError::Usage(match words {
        [] => CompactString::const_new("no command is given"),
        ["config", "check" | "diff" | "apply"] => {
            format_compact!("{} needs a FILE", words.join(" "))
        }
        ["job", "status" | "cancel"] => format_compact!("{} needs a job's ID", words.join(" ")),
        ["explain"] => CompactString::const_new("explain needs a workflow's ID"),
        ["dump"] => CompactString::const_new("dump needs the ADDR of a process"),
        ["config" | "job"] => format_compact!("{} needs a further word", words[0]),
        _ => format_compact!("there is no command {:?}", words.join(" ")),
    })
}
