//! A worker's stand-in as a process.
//!
//! `standin-worker --vm ID [--port N] [--cpu 30000m] [--memory 125000MB] [--accelerators N]
//! [--slots N] [--service-ms N] [--report-lag-ms N] [--seed N]`

use {
    egretlb_standins::worker::{WorkerSettings, start_worker},
    egretlb_types::{Accelerators, Megabytes, MilliCores, Resources},
    pico_args::Arguments,
    std::{error::Error, thread, time::Duration},
};

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    let port = args.opt_value_from_str("--port")?.unwrap_or(0);
    let capacity = Resources {
        cpu: args.opt_value_from_str("--cpu")?.unwrap_or(MilliCores(30_000)),
        memory: args.opt_value_from_str("--memory")?.unwrap_or(Megabytes(125_000)),
        accelerators: args.opt_value_from_str("--accelerators")?.unwrap_or(Accelerators(0)),
    };
    let mut settings = WorkerSettings::new(args.value_from_str("--vm")?, capacity);
    settings.slots = args.opt_value_from_str("--slots")?.unwrap_or(settings.slots);
    settings.seed = args.opt_value_from_str("--seed")?.unwrap_or(settings.seed);
    if let Some(millis) = args.opt_value_from_str("--service-ms")? {
        settings.service_time = Duration::from_millis(millis);
    }
    if let Some(millis) = args.opt_value_from_str("--report-lag-ms")? {
        settings.report_lag = Duration::from_millis(millis);
    }
    let server = start_worker(settings, port)?;
    println!("listening addr={}", server.addr());
    loop {
        thread::park();
    }
}
