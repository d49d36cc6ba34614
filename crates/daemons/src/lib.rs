//! Shared code of `egretlb-entry` and `egretlb-scheduler`: the command line, the settings file,
//! signals and exit codes.
//!
//! Each program calls [`run`] with its own start function.

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
    /// One-line description for the help text.
    pub purpose: &'static str,
    /// Starts the daemon.
    pub start: fn(&Settings) -> Result<Running, StartError>,
}

/// The daemons' exit codes. They are stable, since scripts rely on them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// Ended on request; no request was aborted.
    Done = 0,
    /// Ended on request; some requests were aborted.
    CutOff = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings can't be read or have faults.
    Settings = 3,
    /// The daemon can't start, for example because an address is in use.
    CantStart = 4,
    /// Crashed because of a bug in egretlb; the supervisor should restart it.
    Crashed = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Runs a daemon until it ends by a signal or a crash.
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

/// Writes to standard output and ignores errors, such as a closed pipe.
fn print(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes());
    Exit::Done
}

fn run_with(program: &Program, args: &Args) -> Exit {
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_settings_error(program, &error),
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
            print_addresses(&running);
            exit_status(signals::wait_for_end(running))
        }
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            Exit::CantStart
        }
    }
}

fn report_settings_error(program: &Program, error: &SettingsError) -> Exit {
    eprintln!("{}: {error}", program.name);
    Exit::Settings
}

/// Prints the listening addresses, which are unknown to the user if the settings give port 0.
fn print_addresses(running: &Running) {
    let callers = running.callers().map_or_else(String::new, |addr| format!(" callers={addr}"));
    let (operators, peers, node) = (running.operators(), running.peers(), running.node());
    print(&format!("listening node={node}{callers} operators={operators} peers={peers}\n"));
}

fn exit_status(stopped: Stopped) -> Exit {
    let Stopped { cut_off, crashed } = stopped;
    if crashed {
        log::error!(cut_off; "crashed");
        return Exit::Crashed;
    }
    log::info!(cut_off; "ended");
    if cut_off == 0 { Exit::Done } else { Exit::CutOff }
}
