//! Parses the flags and words of the command line, without checking their combination.

use {
    crate::error::CliError,
    compact_str::{CompactString, format_compact},
    egretlb_config::{Period, nearest},
    egretlb_types::{Accelerators, ClassName, JobId, Megabytes, MilliCores, Offset},
    pico_args::{Arguments, Error},
    std::{ffi::OsString, fmt::Display, str::FromStr},
};

/// Flags of all commands, and the other words.
#[derive(Debug, Default)]
pub(super) struct LowArgs {
    pub(super) short_help: bool,
    pub(super) long_help: bool,
    pub(super) version: bool,
    pub(super) json: bool,
    pub(super) quiet: usize,
    pub(super) verbose: usize,
    pub(super) server: Option<String>,
    pub(super) timeout: Option<Period>,
    pub(super) wait: Option<Period>,
    pub(super) base: Option<Offset>,
    pub(super) by: Option<CompactString>,
    pub(super) job: Option<JobId>,
    pub(super) class: Option<ClassName>,
    pub(super) tasks: Option<u32>,
    pub(super) command: Option<CompactString>,
    pub(super) cpu: Option<MilliCores>,
    pub(super) memory: Option<Megabytes>,
    pub(super) accelerators: Option<Accelerators>,
    /// Words that belong to no flag.
    pub(super) words: Vec<OsString>,
}

/// All long flags, for suggestions on a misspelt one.
const FLAGS: &[&str] = &[
    "--help",
    "--version",
    "--json",
    "--quiet",
    "--verbose",
    "--server",
    "--timeout",
    "--wait",
    "--base",
    "--by",
    "--job",
    "--class",
    "--tasks",
    "--command",
    "--cpu",
    "--memory",
    "--accelerators",
];

impl LowArgs {
    pub(super) fn read(args: Vec<OsString>) -> Result<Self, CliError> {
        let mut args = Arguments::from_vec(args);
        // Flags with values come first, so that `--command --json` takes `--json` as the value.
        let mut low = LowArgs {
            server: value(&mut args, "--server")?,
            timeout: value(&mut args, "--timeout")?,
            wait: value(&mut args, "--wait")?,
            base: value(&mut args, "--base")?,
            by: value(&mut args, "--by")?,
            job: value(&mut args, "--job")?,
            class: value(&mut args, "--class")?,
            tasks: value(&mut args, "--tasks")?,
            command: value(&mut args, "--command")?,
            cpu: value(&mut args, "--cpu")?,
            memory: value(&mut args, "--memory")?,
            accelerators: value(&mut args, "--accelerators")?,
            ..LowArgs::default()
        };
        low.short_help = args.contains("-h");
        low.long_help = args.contains("--help");
        low.version = args.contains("--version");
        low.json = args.contains("--json");
        low.quiet = count(&mut args, ["-q", "--quiet"]);
        low.verbose = count(&mut args, ["-v", "--verbose"]);
        low.words = args.finish();
        low.words.iter().try_for_each(check_word)?;
        Ok(low)
    }
}

fn value<T: FromStr<Err: Display>>(
    args: &mut Arguments,
    flag: &'static str,
) -> Result<Option<T>, CliError> {
    args.opt_value_from_str(flag).map_err(|e| {
        CliError::Usage(match e {
            Error::OptionWithoutAValue(_) => format_compact!("{flag} needs a value"),
            Error::Utf8ArgumentParsingFailed { value, cause } => {
                format_compact!("{flag} {value:?}: {cause}")
            }
            other => format_compact!("{flag}: {other}"),
        })
    })
}

fn count(args: &mut Arguments, flag: [&'static str; 2]) -> usize {
    std::iter::from_fn(|| args.contains(flag).then_some(())).count()
}

/// Reports a remaining word that looks like a flag: an unknown, repeated or `--flag=value` one.
fn check_word(word: &OsString) -> Result<(), CliError> {
    let word = word.to_string_lossy();
    if !word.starts_with('-') {
        return Ok(());
    }
    if FLAGS.contains(&&*word) {
        return Err(CliError::Usage(format_compact!("{word} is given twice; give it once")));
    }
    let name = word.split('=').next().unwrap_or_default();
    if FLAGS.contains(&name) {
        let message = format_compact!("write the value of {name} as a word of its own, without =");
        return Err(CliError::Usage(message));
    }
    let suggestion = nearest(name, FLAGS.iter().copied());
    let hint = suggestion.map(|flag| format_compact!(", did you mean {flag}?")).unwrap_or_default();
    Err(CliError::Usage(format_compact!("there is no flag {word:?}{hint}")))
}
