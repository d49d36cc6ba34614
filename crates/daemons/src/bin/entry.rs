//! The program `egretlb-entry`.

use {
    egretlb_daemons::{Program, run},
    egretlb_net::start_entry,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let program = Program {
        name: "egretlb-entry",
        purpose: "takes callers' requests, and admits, queues, routes and answers them",
        start: start_entry,
    };
    run(&program, env::args_os().skip(1).collect()).into()
}
