//! The program `egretlb-load`.

use {
    egretlb_load::{Exit, Parsed, help, parse, report, run},
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let exit = match parse(env::args_os().skip(1).collect()) {
        Ok(Parsed::Help) => {
            print!("{}", help());
            Exit::Done
        }
        Ok(Parsed::Run(load)) => {
            let result = run(&load);
            print!("{}", report(&result, load.json));
            if result.answered == 0 { Exit::NothingAnswered } else { Exit::Done }
        }
        Err(message) => {
            eprintln!("egretlb-load: {message}; see egretlb-load --help");
            Exit::Usage
        }
    };
    exit.into()
}
