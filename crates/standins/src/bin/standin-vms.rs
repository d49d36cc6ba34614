//! The VM list's stand-in as a process; the list starts empty.
//!
//! `standin-vms [--port N]`

use {
    egretlb_standins::vms::start_vms,
    pico_args::Arguments,
    std::{error::Error, thread},
};

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    let port = args.opt_value_from_str("--port")?.unwrap_or(0);
    let server = start_vms(Vec::new(), port)?;
    println!("listening addr={}", server.addr());
    loop {
        thread::park();
    }
}
