//! The operator's command `egretlb` as a library, which takes arguments and returns an exit code.
//!
//! Changes are idempotent, since proposals and jobs have ids. They are retried when no answer
//! arrives.

mod args;
mod calls;
mod commands;
mod error;
mod help;
mod retry;

pub use crate::{
    args::Env,
    error::{CliError, Exit},
};

use {
    crate::args::{Action, parse},
    std::{ffi::OsString, io::Write},
};

/// Output streams of the command.
pub struct Streams<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress messages and errors.
    pub err: &'a mut dyn Write,
}

/// Runs a command. `args` doesn't include the program's name.
pub fn run(args: Vec<OsString>, env: &Env, streams: &mut Streams<'_>) -> Exit {
    let result = parse(args, env).and_then(|action| match action {
        Action::Print(text) => Ok(write!(streams.out, "{text}")?),
        Action::Run(args) => commands::run(&args, streams),
    });
    match result {
        Ok(()) => Exit::Done,
        // The reader closed the pipe, as `head` does.
        Err(CliError::OutputClosed) => Exit::Done,
        Err(e) => {
            let exit = e.exit();
            // A failure to print the error can't be reported.
            let _ = writeln!(streams.err, "egretlb: {e}");
            exit
        }
    }
}
