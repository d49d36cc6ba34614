//! The operator's command, as a library: arguments in, text and an exit code out.
//!
//! It can be driven without a process of its own, which the quick start does; the program
//! `egretlb` only passes on its arguments, environment and streams.
//!
//! Every change it asks for may be asked for twice: a proposal carries an id and a job its name. So
//! when an answer is lost the command asks again instead of leaving the operator to guess.

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

/// Where the command writes.
pub struct Streams<'a> {
    /// What was asked for.
    pub out: &'a mut dyn Write,
    /// Everything else: progress, errors.
    pub err: &'a mut dyn Write,
}

/// Runs the command of these arguments, without the program's name.
pub fn run(args: Vec<OsString>, env: &Env, streams: &mut Streams<'_>) -> Exit {
    let result = parse(args, env).and_then(|action| match action {
        Action::Print(text) => Ok(write!(streams.out, "{text}")?),
        Action::Run(args) => commands::run(&args, streams),
    });
    match result {
        Ok(()) => Exit::Done,
        // Whoever reads the output has seen enough of it, as `head` does.
        Err(CliError::OutputClosed) => Exit::Done,
        Err(e) => {
            let exit = e.exit();
            // Nobody is left to be told if this fails.
            let _ = writeln!(streams.err, "egretlb: {e}");
            exit
        }
    }
}
