//! The settings of one daemon.

use {
    crate::{
        fault::{FaultKind, Faults},
        reader::{CountRange, Reader, read_text},
        units::{ByteSize, Period},
    },
    compact_str::{CompactString, ToCompactString},
    egretlb_types::DataCentre,
    jsonc_parser::{
        ast::{Object, Value},
        common::Ranged,
    },
    smallvec::SmallVec,
    std::{fmt, io, net::SocketAddr, path::Path, path::PathBuf, str::FromStr},
};

/// What one daemon, entry or scheduler, is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The process's name in logs and dumps. It identifies nothing: a restarted process of the same
    /// name is a new node.
    pub name: CompactString,
    /// The data centre that the process's VM stands in.
    pub data_centre: DataCentre,
    /// Where the process listens.
    pub listen: Listen,
    /// The addresses of the log service, tried in turn. At least one.
    pub log_service: SmallVec<[SocketAddr; 4]>,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Addresses of other processes for peers, which a process that starts while the log is out of
    /// reach asks for the configuration. The rest of the time peers are found through the log, so
    /// the list may be empty, and may name processes that are gone.
    pub known_peers: SmallVec<[SocketAddr; 4]>,
    /// What the process may use.
    pub limits: Limits,
}

/// The addresses that a daemon listens on; port 0 takes any free port.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers' requests; an entry needs it, a scheduler has none.
    pub callers: Option<SocketAddr>,
    /// For operators: configuration, jobs, metrics and dumps. Apart from the callers' address, so
    /// that no caller can change a configuration.
    pub operators: SocketAddr,
    /// For egretlb's other processes.
    pub peers: SocketAddr,
}

/// What a daemon may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The longest body of a request that is read; a longer one is refused before it is read.
    pub max_body: ByteSize,
    /// The most connections open at the callers' address; one more waits to be accepted.
    pub max_connections: u32,
    /// How long a caller may take to send a request or to read its answer.
    pub caller_timeout: Period,
    /// How long a graceful shutdown waits for requests in progress before it cuts them off.
    pub drain: Period,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body: ByteSize(1_000_000),
            max_connections: 1_024,
            caller_timeout: Period::from_millis(30_000),
            drain: Period::from_millis(30_000),
        }
    }
}

const ROOT_FIELDS: &[&str] =
    &["name", "data_centre", "listen", "log_service", "vm_list", "known_peers", "limits"];
const LISTEN_FIELDS: &[&str] = &["callers", "operators", "peers"];
const LIMIT_FIELDS: &[&str] = &["max_body", "max_connections", "caller_timeout", "drain"];

const NAME_EXPECTED: &str = r#"a name of letters, digits, "-", "_" and ".", like "entry-1""#;
const ADDRESS_EXPECTED: &str = r#"an IP number and port in quotes, like "10.0.0.4:8080""#;

const ADDRESSES_EXPECTED: &str = r#"a list of addresses, like ["10.0.0.9:9000"]"#;

/// A thread serves each connection; more than this and their stacks no longer fit a small VM.
const MAX_CONNECTIONS: CountRange = CountRange {
    least: 1,
    most: 20_000,
    expected: "a whole number of connections, like 1024",
    reason: "each connection has a thread of its own",
};

/// A body is held in memory while the request waits.
const BODY_SIZES: (ByteSize, ByteSize) = (ByteSize(1_000), ByteSize(64_000_000));

const CALLER_TIMEOUTS: (Period, Period) = (Period::from_millis(100), Period::from_millis(600_000));

const DRAINS: (Period, Period) = (Period::from_millis(0), Period::from_millis(3_600_000));

/// Reads and checks a daemon's settings.
///
/// # Errors
///
/// All faults of the text, each with its place.
pub fn parse_settings(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::new(text);
    let settings = reader.parse_root().and_then(|root| settings(&mut reader, &root));
    match (settings, Faults::new(reader.into_faults())) {
        (Some(settings), None) => Ok(settings),
        (_, Some(faults)) => Err(faults),
        (None, None) => unreachable!("a field that can't be read leaves a fault"),
    }
}

/// Why a settings file can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// The file has faults.
    Faults {
        /// The file.
        path: PathBuf,
        /// The faults.
        faults: Faults,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read { path, error } => {
                write!(f, "{}: {error}; give the path of a readable file", path.display())
            }
            SettingsError::Faults { path, faults } => {
                for (i, fault) in faults.as_slice().iter().enumerate() {
                    let separator = if i == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}:{fault}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads a daemon's settings from a file.
///
/// # Errors
///
/// The file can't be read, or has faults.
pub fn read_settings(path: impl AsRef<Path>) -> Result<Settings, SettingsError> {
    let path = path.as_ref();
    let text =
        read_text(path).map_err(|error| SettingsError::Read { path: path.to_path_buf(), error })?;
    parse_settings(&text)
        .map_err(|faults| SettingsError::Faults { path: path.to_path_buf(), faults })
}

fn settings<'t>(reader: &mut Reader<'t>, root: &Object<'t>) -> Option<Settings> {
    const DATA_CENTRE: &str = r#"the data centre's name, like "bog-a""#;
    reader.check_fields(root, ROOT_FIELDS);
    let name = reader.text::<DataCentre>(root, "name", NAME_EXPECTED);
    let data_centre = reader.text(root, "data_centre", DATA_CENTRE);
    let listen = listen(reader, root);
    let log_service = log_service(reader, root);
    let vm_list = remote(reader, root, "vm_list");
    let known_peers = match root.get("known_peers") {
        Some(_) => remotes(reader, root, "known_peers"),
        None => Some(SmallVec::new()),
    };
    let limits = limits(reader, root);
    Some(Settings {
        name: name?.to_compact_string(),
        data_centre: data_centre?,
        listen: listen?,
        log_service: log_service?,
        vm_list: vm_list?,
        known_peers: known_peers?,
        limits: limits?,
    })
}

fn listen<'t>(reader: &mut Reader<'t>, root: &Object<'t>) -> Option<Listen> {
    const EXPECTED: &str =
        r#"an object like {"operators": "10.0.0.4:8081", "peers": "10.0.0.4:7070"}"#;
    let object = reader.object(root, "listen", EXPECTED)?;
    reader.check_fields(object, LISTEN_FIELDS);
    let callers = match object.get("callers") {
        Some(prop) => reader.as_text(&prop.value, ADDRESS_EXPECTED).map(Some),
        None => Some(None),
    };
    let operators = reader.text(object, "operators", ADDRESS_EXPECTED);
    let peers = reader.text(object, "peers", ADDRESS_EXPECTED);
    let listen = Listen { callers: callers?, operators: operators?, peers: peers? };
    check_distinct(reader, object, &listen);
    check_callable(reader, object, &listen);
    Some(listen)
}

/// The operators' and peers' addresses are told to the other processes as they stand here. One that
/// means "any interface" would send each of them to itself, and the process would look dead.
fn check_callable<'t>(reader: &mut Reader<'t>, object: &Object<'t>, listen: &Listen) {
    for (field, address) in [("operators", listen.operators), ("peers", listen.peers)] {
        if let Some(prop) = object.get(field).filter(|_| address.ip().is_unspecified()) {
            let address = address.to_compact_string();
            reader.push(prop.value.range(), FaultKind::AnyInterface { address });
        }
    }
}

/// Two listeners on one address: the second fails at the start, by when the operator has left.
fn check_distinct<'t>(reader: &mut Reader<'t>, object: &Object<'t>, listen: &Listen) {
    let named = [
        ("callers", listen.callers),
        ("operators", Some(listen.operators)),
        ("peers", Some(listen.peers)),
    ];
    for (i, (field, address)) in named.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else { continue };
        let seen = named[..i].iter().any(|(_, earlier)| *earlier == Some(address));
        if let Some(prop) = object.get(field).filter(|_| seen) {
            let address = address.to_compact_string();
            reader.push(prop.value.range(), FaultKind::SameAddress { address });
        }
    }
}

fn log_service<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
) -> Option<SmallVec<[SocketAddr; 4]>> {
    let addresses = remotes(reader, root, "log_service")?;
    if addresses.is_empty() {
        let kind = FaultKind::MissingField { name: "log_service", expected: ADDRESSES_EXPECTED };
        reader.push(root.get("log_service")?.value.range(), kind);
        return None;
    }
    Some(addresses)
}

fn remotes<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
    name: &'static str,
) -> Option<SmallVec<[SocketAddr; 4]>> {
    let array = reader.array(root, name, ADDRESSES_EXPECTED)?;
    let addresses: SmallVec<[Option<SocketAddr>; 4]> =
        array.elements.iter().map(|value| as_remote(reader, value)).collect();
    addresses.into_iter().collect()
}

fn remote<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
    name: &'static str,
) -> Option<SocketAddr> {
    let value = reader.field(root, name, ADDRESS_EXPECTED)?;
    as_remote(reader, value)
}

/// An address to connect to, which needs a port.
fn as_remote<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<SocketAddr> {
    let address: SocketAddr = reader.as_text(value, ADDRESS_EXPECTED)?;
    if address.port() == 0 {
        out_of_range(reader, value, "port 0", "port 1", "port 65535", "nothing answers on port 0");
        return None;
    }
    Some(address)
}

fn limits<'t>(reader: &mut Reader<'t>, root: &Object<'t>) -> Option<Limits> {
    let defaults = Limits::default();
    let Some(prop) = root.get("limits") else { return Some(defaults) };
    let object = reader.as_object(&prop.value, r#"an object like {"max_body": "1MB"}"#)?;
    reader.check_fields(object, LIMIT_FIELDS);
    let max_body = ranged(
        reader,
        object,
        "max_body",
        (defaults.max_body, BODY_SIZES),
        "a body is held in memory while its request waits",
    );
    let max_connections = match object.get("max_connections") {
        Some(prop) => reader.as_count(&prop.value, MAX_CONNECTIONS),
        None => Some(defaults.max_connections),
    };
    let caller_timeout = ranged(
        reader,
        object,
        "caller_timeout",
        (defaults.caller_timeout, CALLER_TIMEOUTS),
        "a slow caller holds a connection for so long",
    );
    let drain = ranged(
        reader,
        object,
        "drain",
        (defaults.drain, DRAINS),
        "a shutdown waits for requests in progress for so long",
    );
    Some(Limits {
        max_body: max_body?,
        max_connections: max_connections?,
        caller_timeout: caller_timeout?,
        drain: drain?,
    })
}

/// A value with its unit, the default if it isn't given.
fn ranged<'t, T>(
    reader: &mut Reader<'t>,
    object: &Object<'t>,
    name: &'static str,
    (default, (least, most)): (T, (T, T)),
    reason: &'static str,
) -> Option<T>
where
    T: FromStr<Err: fmt::Display> + fmt::Display + PartialOrd + Copy,
{
    let Some(prop) = object.get(name) else { return Some(default) };
    let value: T = reader.as_text(&prop.value, "a value with its unit, in quotes")?;
    if value < least || value > most {
        let (found, least, most) = (value.to_string(), least.to_string(), most.to_string());
        out_of_range(reader, &prop.value, &found, &least, &most, reason);
        return None;
    }
    Some(value)
}

fn out_of_range<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    found: &str,
    least: &str,
    most: &str,
    reason: &'static str,
) {
    let kind = FaultKind::OutOfRange {
        found: CompactString::new(found),
        least: CompactString::new(least),
        most: CompactString::new(most),
        reason,
    };
    reader.push(value.range(), kind);
}
