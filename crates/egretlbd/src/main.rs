//! The daemon that runs on each entry VM.

mod args;

use {
    crate::args::Action,
    egretlb_platform::{
        AdviceService, CloudFleet, JsonFormats, LogStore, RpcWorkers, Settings, SettingsError,
    },
    egretlb_runtime::{Listeners, MIN_FLEET_VMS, Node, NodeOptions, platform::Platform, run},
    egretlb_telemetry::LogOptions,
    egretlb_workflow::{Limits, Policies, PolicyError},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        env, fmt,
        io::{self, Write},
        net::SocketAddr,
        process::ExitCode,
        rc::Rc,
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        task::LocalSet,
    },
};

/// Environment variable with a list of policies, see [`Policies`].
const POLICIES_VARIABLE: &str = "EGRETLB_POLICIES";

/// Why the daemon can't start.
#[derive(Debug)]
enum StartError {
    /// The settings are unreadable or invalid.
    Settings(SettingsError),
    /// The list of policies in [`POLICIES_VARIABLE`] is invalid.
    Policies(PolicyError),
    /// Listening on an address failed.
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the system call.
        error: io::Error,
    },
    /// Creating the runtime or registering a signal handler failed.
    System(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(error) => write!(f, "{error}"),
            StartError::Policies(error) => write!(f, "{POLICIES_VARIABLE}: {error}"),
            StartError::Listen { addr, error } => {
                write!(f, "can't listen on {addr}: {error}; free the address or change it")
            }
            StartError::System(error) => write!(f, "can't start: {error}; check the limits"),
        }
    }
}

/// Exit codes. Scripts rely on them, so their meaning must not change.
mod exit {
    pub(super) const USAGE: u8 = 2;
    pub(super) const SETTINGS: u8 = 3;
    pub(super) const CANT_START: u8 = 4;
}

fn main() -> ExitCode {
    match args::parse(env::args_os().skip(1).collect()) {
        Ok(Action::Help { long }) => print(&args::help(long)),
        Ok(Action::Version) => print(concat!("egretlbd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Action::Check) => report(check()),
        Ok(Action::Run { verbose, quiet }) => report(start(verbose, quiet)),
        Err(message) => {
            eprintln!("egretlbd: {message}; see egretlbd --help");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Writes to standard output and ignores errors such as a closed pipe.
fn print(text: &str) -> ExitCode {
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn report(result: Result<(), StartError>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("egretlbd: {error}");
    let is_settings_error = matches!(error, StartError::Settings(_) | StartError::Policies(_));
    ExitCode::from(if is_settings_error { exit::SETTINGS } else { exit::CANT_START })
}

fn read_policies() -> Result<Policies, StartError> {
    let list = env::var_os(POLICIES_VARIABLE).unwrap_or_default();
    list.to_string_lossy().parse().map_err(StartError::Policies)
}

fn check() -> Result<(), StartError> {
    Settings::read().map_err(StartError::Settings)?;
    read_policies().map(drop)
}

fn start(verbose: usize, quiet: usize) -> Result<(), StartError> {
    let settings = Settings::read().map_err(StartError::Settings)?;
    let policies = read_policies()?;
    let options = LogOptions::new(&settings.node_name).verbosity(verbose, quiet).queued();
    if let Err(error) = egretlb_telemetry::init(options) {
        eprintln!("egretlbd: {error}");
    }
    egretlb_telemetry::exit_on_panic();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::System)?;
    LocalSet::new().block_on(&runtime, serve(settings, policies))
}

async fn serve(settings: Settings, policies: Policies) -> Result<(), StartError> {
    let listeners = Listeners {
        clients: listen(settings.listen.clients).await?,
        ready: listen(settings.listen.ready).await?,
        peers: listen(settings.peer_addr()).await?,
    };
    let limits = Limits {
        lease: Limits::default().lease.min(settings.max_lease()),
        max_lease: settings.max_lease(),
        retention: settings.retention() * 2,
        policies,
        ..Limits::default()
    };
    let options = NodeOptions {
        name: settings.node_name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: SmallRng::from_os_rng().random(),
        cpu_millicores: settings.cpu_millicores(),
        min_fleet_vms: MIN_FLEET_VMS,
        limits,
    };
    let platform = Platform {
        store: Rc::new(LogStore::new(settings.store.addr)),
        workers: Rc::new(RpcWorkers::default()),
        advisor: Rc::new(AdviceService::new(settings.advisor)),
        fleet: Rc::new(CloudFleet::new(settings.fleet.addr)),
        formats: Rc::new(JsonFormats),
    };
    let node = Node::new(options, platform);
    let mut term = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::System)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    tokio::task::spawn_local(async move {
        // The settings are read once at startup, so SIGHUP has no effect.
        while hangup.recv().await.is_some() {
            log::info!("settings_unchanged");
        }
    });
    log::info!(version = env!("CARGO_PKG_VERSION"), policies:%; "started");
    run(node, listeners, async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
    .await;
    Ok(())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|error| StartError::Listen { addr, error })
}
