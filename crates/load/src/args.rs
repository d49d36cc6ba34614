//! The command line.

use {
    egretlb_types::ClassName,
    pico_args::Arguments,
    std::{ffi::OsString, net::SocketAddr, str::FromStr, time::Duration},
};

/// Maximum number of requests of a run.
const MAX_REQUESTS: u32 = 1_000_000;

/// Maximum number of callers of a run; each is a thread.
const MAX_CALLERS: u32 = 2_000;

/// Parameters of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// Target address, on the loopback interface.
    pub to: SocketAddr,
    /// Class of the requests.
    pub class: ClassName,
    /// Number of requests.
    pub requests: u32,
    /// Number of concurrent callers.
    pub callers: u32,
    /// Requests per second over all callers; without it each caller sends as soon as it can.
    pub rate: Option<u32>,
    /// Service time of a request, in milliseconds; `None` for the service's default.
    pub service_ms: Option<u32>,
    /// Size of each request body, in bytes.
    pub body: u32,
    /// Ids of the processes whose CPU time is measured.
    pub pids: Vec<u32>,
    /// Maximum time without data on one call.
    pub timeout: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parsed {
    /// The help text.
    Help,
    /// A run.
    Run(Load),
}

/// Returns the help text.
pub fn help() -> &'static str {
    "\
egretlb-load: sends a bounded load on loopback and reports what callers saw

usage: egretlb-load --to IP:PORT --class CLASS [OPTIONS]

  --to IP:PORT       An entry's callers' address, or a backend server's.
  --class CLASS      The class; requests go to /serve/CLASS/load.
  --requests N       How many, at most 1000000 (default 10000).
  --callers N        How many at once, at most 2000 (default 16).
  --rate N           Requests a second; without it as fast as answers come.
  --service-ms N     How long the stand-in's service works on each.
  --body N           Bytes of each body (default 64).
  --pid PID          Measure the processor time of this process; repeatable.
  --timeout-ms N     How long one call may be silent (default 15000).
  --json             Print JSON.
  -h, --help         Print this.

Exit codes: 0 sent, 1 sent and nothing answered, 2 wrong command line.
"
}

fn optional<T>(args: &mut Arguments, name: &'static str) -> Result<Option<T>, String>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name).map_err(|e| e.to_string())
}

fn bounded(name: &str, value: u32, max: u32) -> Result<u32, String> {
    if value == 0 || value > max {
        return Err(format!("{name} takes 1 to {max}"));
    }
    Ok(value)
}

/// Parses the command line; the error is a message for the user.
pub fn parse(args: Vec<OsString>) -> Result<Parsed, String> {
    const CALLERS: u32 = 16;
    const REQUESTS: u32 = 10_000;
    const BODY: u32 = 64;
    const TIMEOUT_MS: u64 = 15_000;
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Parsed::Help);
    }
    let to: SocketAddr = args.value_from_str("--to").map_err(|e| e.to_string())?;
    if !to.ip().is_loopback() {
        return Err(format!("{to} isn't on the loopback; only 127.0.0.0/8 and ::1 are loaded"));
    }
    let load = Load {
        to,
        class: args.value_from_str("--class").map_err(|e| e.to_string())?,
        requests: optional(&mut args, "--requests")?.unwrap_or(REQUESTS),
        callers: optional(&mut args, "--callers")?.unwrap_or(CALLERS),
        rate: optional(&mut args, "--rate")?,
        service_ms: optional(&mut args, "--service-ms")?,
        body: optional(&mut args, "--body")?.unwrap_or(BODY),
        pids: args.values_from_str("--pid").map_err(|e| e.to_string())?,
        timeout: Duration::from_millis(optional(&mut args, "--timeout-ms")?.unwrap_or(TIMEOUT_MS)),
        json: args.contains("--json"),
    };
    bounded("--requests", load.requests, MAX_REQUESTS)?;
    bounded("--callers", load.callers, MAX_CALLERS)?;
    if load.rate == Some(0) {
        return Err("--rate takes 1 or more".into());
    }
    match args.finish().first() {
        Some(extra) => Err(format!("unexpected argument {}", extra.display())),
        None => Ok(Parsed::Run(load)),
    }
}
