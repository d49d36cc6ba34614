//! The daemons' command line.

use {
    crate::Program,
    pico_args::Arguments,
    std::{ffi::OsString, path::PathBuf},
};

/// The requested help text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HelpLength {
    Short,
    Long,
}

/// Arguments to run a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Args {
    pub(crate) settings: PathBuf,
    pub(crate) check: bool,
    pub(crate) verbose: usize,
    pub(crate) quiet: usize,
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Parsed {
    Help(HelpLength),
    Version,
    Run(Args),
}

fn count(args: &mut Arguments, flag: [&'static str; 2]) -> usize {
    std::iter::from_fn(|| args.contains(flag).then_some(())).count()
}

/// Parses the command line; the error is a message for the user.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Parsed, String> {
    let mut args = Arguments::from_vec(args);
    if args.contains("--help") {
        return Ok(Parsed::Help(HelpLength::Long));
    }
    if args.contains("-h") {
        return Ok(Parsed::Help(HelpLength::Short));
    }
    if args.contains("--version") {
        return Ok(Parsed::Version);
    }
    let check = args.contains("--check");
    let verbose = count(&mut args, ["-v", "--verbose"]);
    let quiet = count(&mut args, ["-q", "--quiet"]);
    let mut rest = args.finish().into_iter();
    let Some(settings) = rest.next() else {
        return Err("no settings file is named".into());
    };
    if settings.to_string_lossy().starts_with('-') {
        return Err(format!("unknown option {}", settings.display()));
    }
    if let Some(extra) = rest.next() {
        return Err(format!("unexpected argument {}", extra.display()));
    }
    Ok(Parsed::Run(Args { settings: PathBuf::from(settings), check, verbose, quiet }))
}

/// Returns the help text.
pub(crate) fn help(program: &Program, length: HelpLength) -> String {
    let Program { name, purpose, .. } = program;
    let short = format!("{name}: {purpose}\n\nusage: {name} [-q|-v] [--check] SETTINGS\n");
    match length {
        HelpLength::Short => format!("{short}\n--help says more, with exit codes.\n"),
        HelpLength::Long => format!("{short}{LONG_HELP}"),
    }
}

const LONG_HELP: &str = "
  SETTINGS       The settings file, JSON with comments; see the examples and
                 docs/GUIDE.md.
  --check        Only check the settings; start nothing.
  -q, --quiet    Log less; twice only errors.
  -v, --verbose  Log more; twice everything.
  -h, --help     Short and long help.
  --version      Print the version.

The addresses in use are printed on standard output in one line, once the
daemon listens. Logs go to standard error.

SIGTERM or SIGINT ends the daemon gracefully: nothing new is taken, what is in
progress is finished, at most for the settings' limits.drain. A second signal
ends it at once.

Exit codes.
  0  ended, and nothing was cut off
  1  ended, and some requests were cut off
  2  the command line is wrong
  3  the settings can't be read or have faults
  4  can't start, for example since an address is in use
  5  crashed, which is a fault of egretlb; start it again
";
