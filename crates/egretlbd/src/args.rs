//! Parsing of the command line.

use {pico_args::Arguments, std::ffi::OsString};

/// The action that the command line selects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Print the help.
    Help {
        /// Whether to print the long form.
        long: bool,
    },
    /// Print the version.
    Version,
    /// Check the settings and exit.
    Check,
    /// Run the daemon.
    Run {
        /// Number of `-v` flags.
        verbose: usize,
        /// Number of `-q` flags.
        quiet: usize,
    },
}

/// Parses the command line, without the program name; returns a message if it is invalid.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Action, String> {
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
        (true, ..) => Action::Help { long },
        (_, true, _) => Action::Version,
        (_, _, true) => Action::Check,
        _ => Action::Run { verbose, quiet },
    })
}

/// The short or long help text.
pub(crate) fn help(long: bool) -> String {
    format!("{SHORT}{}", if long { LONG } else { "\n--help says more, with exit codes.\n" })
}

const SHORT: &str = "egretlbd: takes clients' workflows, and schedules them while it leads

usage: egretlbd [-q|-v] [--check]
";

const LONG: &str = "
  --check        Only check settings and policies; start nothing.
  -q, --quiet    Log less; twice only errors.
  -v, --verbose  Log each start and end of a task.
  -h, --help     Short and long help.
  --version      Print the version.

The variable EGRETLB_NODE_FILE names the settings file, which the platform
places; without it /etc/egretlb/settings.json is read. Logs go to standard
output, one line of key=value pairs for each event.

The variable EGRETLB_POLICIES switches scheduling policies, as in
\"admission=on,load-forecast=off\"; the line \"started\" lists all of them.

SIGTERM or SIGINT ends the daemon gracefully: it hands its term over, tells the
balancer that it isn't ready, goes on serving for 2.6 s, and then finishes what
is in progress, for 2.4 s at most. SIGHUP changes nothing.

Exit codes.
  0  ended by a signal, or settings and policies have no faults
  2  the command line is wrong
  3  the settings or the policies can't be read or have faults
  4  can't start, for example since an address is in use
";
