//! What the programs `egretlb-entry` and `egretlb-scheduler` have in common: the command line, the
//! settings file, signals, exit codes.
//!
//! Each program is one call of [`run`]: they differ in what they start and in nothing else.

mod args;
mod signals;

use {
    crate::args::{Args, Parsed, help},
    egretlb_config::{Settings, SettingsError, read_settings},
    egretlb_net::{Running, StartError, Stopped},
    egretlb_telemetry::{LogOptions, init},
    std::{ffi::OsString, io::Write, process::ExitCode},
};

/// One of the daemons.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The program's name.
    pub name: &'static str,
    /// What it does, in one line.
    pub purpose: &'static str,
    /// Starts it.
    pub start: fn(&Settings) -> Result<Running, StartError>,
}

/// The daemons' exit codes. Scripts rely on them: none changes its meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It was asked to end and cut nothing off.
    Done = 0,
    /// It was asked to end, and some requests were cut off.
    CutOff = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings can't be read or have faults.
    Settings = 3,
    /// It can't start, for example since an address is in use.
    CantStart = 4,
    /// It crashed: a fault of egretlb. Whoever supervises it must start it again.
    Crashed = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Runs a daemon until a signal ends it.
pub fn run(program: &Program, args: Vec<OsString>) -> Exit {
    match args::parse(args) {
        Ok(Parsed::Help(length)) => print(&help(program, length)),
        Ok(Parsed::Version) => print(&format!("{} {}\n", program.name, env!("CARGO_PKG_VERSION"))),
        Ok(Parsed::Run(args)) => run_with(program, &args),
        Err(message) => {
            eprintln!("{}: {message}; see {} --help", program.name, program.name);
            Exit::Usage
        }
    }
}

/// Writes to standard output; a reader that has gone is no failure of the daemon.
fn print(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes());
    Exit::Done
}

fn run_with(program: &Program, args: &Args) -> Exit {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_settings(program, &error),
    };
    if args.check {
        return print(&format!("{}: no faults\n", args.settings.display()));
    }
    let options = LogOptions::new(&settings.name).verbosity(args.verbose, args.quiet);
    if let Err(error) = init(options) {
        eprintln!("{}: {error}", program.name);
        return Exit::CantStart;
    }
    match (program.start)(&settings) {
        Ok(running) => {
            announce(&running);
            finish(signals::wait_for_end(running))
        }
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            Exit::CantStart
        }
    }
}

fn report_settings(program: &Program, error: &SettingsError) -> Exit {
    eprintln!("{}: {error}", program.name);
    Exit::Settings
}

/// Tells on standard output where the daemon listens: with port 0 nobody knows it otherwise.
fn announce(running: &Running) {
    let callers = running.callers().map_or_else(String::new, |addr| format!(" callers={addr}"));
    let (operators, peers, node) = (running.operators(), running.peers(), running.node());
    print(&format!("listening node={node}{callers} operators={operators} peers={peers}\n"));
}

fn finish(stopped: Stopped) -> Exit {
    let Stopped { cut_off, crashed } = stopped;
    if crashed {
        log::error!(cut_off; "crashed");
        return Exit::Crashed;
    }
    log::info!(cut_off; "ended");
    if cut_off == 0 { Exit::Done } else { Exit::CutOff }
}
