//! The program `egretlb-scheduler`.

use {
    egretlb_daemons::{Program, run},
    egretlb_net::start_scheduler,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let program = Program {
        name: "egretlb-scheduler",
        purpose: "owns shards: places tasks, grants shares of backend servers, remembers keys",
        start: start_scheduler,
    };
    run(&program, env::args_os().skip(1).collect()).into()
}
