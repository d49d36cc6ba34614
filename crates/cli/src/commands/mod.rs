//! Implementations of the commands.

mod config;
mod explain;
mod job;
mod look;

use {
    crate::{
        Streams,
        args::{Args, Command},
        error::CliError,
    },
    egretlb_config::read_text,
    egretlb_telemetry::LogOptions,
    serde::Serialize,
    std::path::{Path, PathBuf},
};

pub(crate) fn run(args: &Args, streams: &mut Streams<'_>) -> Result<(), CliError> {
    if args.verbose > 0 {
        // Fails if a user of the library has set a logger, which is then kept.
        let options = LogOptions::new("egretlb");
        let _ = egretlb_telemetry::init(options.verbosity(args.verbose, 0));
    }
    let mut cx = Cx { args, streams };
    match &args.command {
        Command::ConfigCheck { path } => config::check(&mut cx, path),
        Command::ConfigDiff { path, servers } => config::diff(&mut cx, path, servers),
        Command::ConfigApply { path, base, by, servers } => {
            config::apply(&mut cx, path, *base, by, servers)
        }
        Command::ConfigShow { servers } => config::show(&mut cx, servers),
        Command::JobSubmit { source, servers } => job::submit(&mut cx, source, servers),
        Command::JobStatus { job, servers } => job::status(&mut cx, job, servers),
        Command::JobCancel { job, servers } => job::cancel(&mut cx, job, servers),
        Command::Status { servers } => look::status(&mut cx, servers),
        Command::Dump { addr } => look::dump(&mut cx, *addr),
        Command::Explain { workflow, files } => explain::explain(&mut cx, workflow, files),
    }
}

/// Arguments and output streams of a command.
struct Cx<'a, 's> {
    args: &'a Args,
    streams: &'a mut Streams<'s>,
}

impl Cx<'_, '_> {
    /// Prints a result to standard output.
    fn print(&mut self, text: impl AsRef<str>) -> Result<(), CliError> {
        Ok(self.streams.out.write_all(text.as_ref().as_bytes())?)
    }

    /// Prints JSON on one line.
    fn print_json(&mut self, value: &impl Serialize) -> Result<(), CliError> {
        serde_json::to_writer(&mut *self.streams.out, value).map_err(std::io::Error::from)?;
        self.print("\n")
    }

    /// Prints a progress message to standard error unless `--quiet`.
    fn report_progress(&mut self, text: impl AsRef<str>) -> Result<(), CliError> {
        if self.args.quiet == 0 {
            writeln!(self.streams.err, "{}", text.as_ref())?;
        }
        Ok(())
    }
}

fn read_file(path: &Path) -> Result<String, CliError> {
    read_text(path).map_err(|error| CliError::ReadFile { path: PathBuf::from(path), error })
}
