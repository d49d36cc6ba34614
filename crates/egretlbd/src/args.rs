//! The command line: raw flags, lowered into what the daemon is asked for.

use {pico_args::Arguments, std::ffi::OsString};

/// What the command line asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Asked {
    /// The short or the long help.
    Help {
        /// Whether the long one.
        long: bool,
    },
    /// The version.
    Version,
    /// Check the settings and end.
    Check,
    /// Run.
    Run {
        /// How often `-v` is given.
        verbose: usize,
        /// How often `-q` is given.
        quiet: usize,
    },
}

/// Reads the command line; the error says what is wrong with it.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Asked, String> {
    let mut args = Arguments::from_vec(args);
    let long = args.contains("--help");
    let short = args.contains("-h");
    let version = args.contains("--version");
    let check = args.contains("--check");
    let mut count =
        |flag: [&'static str; 2]| std::iter::from_fn(|| args.contains(flag).then_some(())).count();
    let verbose = count(["-v", "--verbose"]);
    let quiet = count(["-q", "--quiet"]);
    if let Some(rest) = args.finish().first() {
        return Err(format!("unexpected argument {}", rest.display()));
    }
    Ok(match (long || short, version, check) {
        (true, ..) => Asked::Help { long },
        (_, true, _) => Asked::Version,
        (_, _, true) => Asked::Check,
        _ => Asked::Run { verbose, quiet },
    })
}

/// The help text.
pub(crate) fn help(long: bool) -> String {
    format!("{SHORT}{}", if long { LONG } else { "\n--help says more, with exit codes.\n" })
}

const SHORT: &str = "egretlbd: takes clients' workflows, and schedules them while it leads

usage: egretlbd [-q|-v] [--check]
";

const LONG: &str = "
  --check        Only check the settings; start nothing.
  -q, --quiet    Log less; twice only errors.
  -v, --verbose  Log each start and end of a task.
  -h, --help     Short and long help.
  --version      Print the version.

The variable EGRETLB_NODE_FILE names the settings file, which the platform
places; without it /etc/egretlb/settings.json is read. Logs go to standard
output, one line of key=value pairs for each event.

SIGTERM or SIGINT ends the daemon gracefully: it hands its term over, tells the
balancer that it isn't ready, goes on serving for 2.6 s, and then finishes what
is in progress, for 2.4 s at most. SIGHUP changes nothing.

Exit codes.
  0  ended by a signal, or the settings have no faults
  2  the command line is wrong
  3  the settings can't be read or have faults
  4  can't start, for example since an address is in use
";
