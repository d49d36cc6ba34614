//! The program `egretlb-quickstart`; it takes no arguments.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    match egretlb_quickstart::run(&mut io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
