//! The program `egretlb`.

use {
    egretlb_cli::{Env, Streams, run},
    std::{env, io, process::ExitCode},
};

fn main() -> ExitCode {
    let args = env::args_os().skip(1).collect();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    run(args, &Env::of_process(), &mut Streams { out: &mut out, err: &mut err }).into()
}
