//! The log service's stand-in as a process.
//!
//! `standin-log [--port N] [--rate APPENDS_PER_S] [--retain-records N] [--retain-ms N]`

use {
    egretlb_standins::log::{LogSettings, start_log},
    pico_args::Arguments,
    std::{error::Error, thread, time::Duration},
};

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = Arguments::from_env();
    let mut settings = LogSettings::default();
    let port = args.opt_value_from_str("--port")?.unwrap_or(0);
    settings.appends_per_s = args.opt_value_from_str("--rate")?.unwrap_or(settings.appends_per_s);
    settings.retain_records =
        args.opt_value_from_str("--retain-records")?.unwrap_or(settings.retain_records);
    if let Some(millis) = args.opt_value_from_str("--retain-ms")? {
        settings.retain_age = Duration::from_millis(millis);
    }
    let server = start_log(settings, port)?;
    println!("listening addr={}", server.addr());
    loop {
        thread::park();
    }
}
