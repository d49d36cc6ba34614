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

/// Settings of one daemon, an entry or a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The process's name in logs and dumps. Not an identity: a restarted process with the same
    /// name is a new node.
    pub name: CompactString,
    /// The data centre of the process's VM.
    pub data_centre: DataCentre,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// Addresses of the log service, tried in order; at least one.
    pub log_service: SmallVec<[SocketAddr; 4]>,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Peer addresses of other processes, requested for the configuration if the log is unreachable
    /// at start. Otherwise peers are found through the log, so the list may be empty or outdated.
    pub known_peers: SmallVec<[SocketAddr; 4]>,
    /// Resource limits of the process.
    pub limits: Limits,
}

/// The addresses that a daemon listens on; port 0 takes any free port.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers' requests; required for an entry, absent for a scheduler.
    pub callers: Option<SocketAddr>,
    /// For operators: configuration, jobs, metrics and dumps. Separate from the callers' address,
    /// so that callers can't change the configuration.
    pub operators: SocketAddr,
    /// For other egretlb processes.
    pub peers: SocketAddr,
}

/// Resource limits of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body; a larger one is refused before it is read.
    pub max_body: ByteSize,
    /// Maximum number of open caller connections; further ones wait to be accepted.
    pub max_connections: u32,
    /// Maximum time for a caller to send a request or to read its answer.
    pub caller_timeout: Period,
    /// Maximum time a graceful shutdown waits for requests in progress before it aborts them.
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

/// Each connection has a thread; the maximum keeps their stacks within the memory of a small VM.
const CONNECTION_COUNT_RANGE: CountRange = CountRange {
    min: 1,
    max: 20_000,
    expected: "a whole number of connections, like 1024",
    reason: "each connection has a thread of its own",
};

/// Bodies are held in memory while their requests wait.
const BODY_SIZE_RANGE: (ByteSize, ByteSize) = (ByteSize(1_000), ByteSize(64_000_000));

const CALLER_TIMEOUT_RANGE: (Period, Period) =
    (Period::from_millis(100), Period::from_millis(600_000));

const DRAIN_RANGE: (Period, Period) = (Period::from_millis(0), Period::from_millis(3_600_000));

/// Parses and checks a daemon's settings.
///
/// # Errors
///
/// All faults of the text, each with its position.
pub fn parse_settings(text: &str) -> Result<Settings, Faults> {
    let mut reader = Reader::new(text);
    let settings = reader.parse_root().and_then(|root| settings(&mut reader, &root));
    match (settings, Faults::new(reader.into_faults())) {
        (Some(settings), None) => Ok(settings),
        (_, Some(faults)) => Err(faults),
        (None, None) => unreachable!("a field that can't be read leaves a fault"),
    }
}

/// An unreadable or faulty settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
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
    let vm_list = remote_address(reader, root, "vm_list");
    let known_peers = match root.get("known_peers") {
        Some(_) => remote_addresses(reader, root, "known_peers"),
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
    check_specified(reader, object, &listen);
    Some(listen)
}

/// Refuses unspecified operators' and peers' addresses: they are published as given, and other
/// processes would connect to themselves.
fn check_specified<'t>(reader: &mut Reader<'t>, object: &Object<'t>, listen: &Listen) {
    for (field, address) in [("operators", listen.operators), ("peers", listen.peers)] {
        if let Some(prop) = object.get(field).filter(|_| address.ip().is_unspecified()) {
            let address = address.to_compact_string();
            reader.push(prop.value.range(), FaultKind::UnspecifiedAddress { address });
        }
    }
}

/// Refuses one address for two listeners, which would fail only at start.
fn check_distinct<'t>(reader: &mut Reader<'t>, object: &Object<'t>, listen: &Listen) {
    let listeners = [
        ("callers", listen.callers),
        ("operators", Some(listen.operators)),
        ("peers", Some(listen.peers)),
    ];
    for (i, (field, address)) in listeners.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else { continue };
        let duplicate = listeners[..i].iter().any(|(_, earlier)| *earlier == Some(address));
        if let Some(prop) = object.get(field).filter(|_| duplicate) {
            let address = address.to_compact_string();
            reader.push(prop.value.range(), FaultKind::DuplicateAddress { address });
        }
    }
}

fn log_service<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
) -> Option<SmallVec<[SocketAddr; 4]>> {
    let addresses = remote_addresses(reader, root, "log_service")?;
    if addresses.is_empty() {
        let kind = FaultKind::MissingField { name: "log_service", expected: ADDRESSES_EXPECTED };
        reader.push(root.get("log_service")?.value.range(), kind);
        return None;
    }
    Some(addresses)
}

fn remote_addresses<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
    name: &'static str,
) -> Option<SmallVec<[SocketAddr; 4]>> {
    let array = reader.array(root, name, ADDRESSES_EXPECTED)?;
    let addresses: SmallVec<[Option<SocketAddr>; 4]> =
        array.elements.iter().map(|value| as_remote_address(reader, value)).collect();
    addresses.into_iter().collect()
}

fn remote_address<'t>(
    reader: &mut Reader<'t>,
    root: &Object<'t>,
    name: &'static str,
) -> Option<SocketAddr> {
    let value = reader.field(root, name, ADDRESS_EXPECTED)?;
    as_remote_address(reader, value)
}

/// Reads an address to connect to; port 0 is a fault.
fn as_remote_address<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<SocketAddr> {
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
    let max_body = value_in_range(
        reader,
        object,
        "max_body",
        (defaults.max_body, BODY_SIZE_RANGE),
        "a body is held in memory while its request waits",
    );
    let max_connections = match object.get("max_connections") {
        Some(prop) => reader.as_count(&prop.value, CONNECTION_COUNT_RANGE),
        None => Some(defaults.max_connections),
    };
    let caller_timeout = value_in_range(
        reader,
        object,
        "caller_timeout",
        (defaults.caller_timeout, CALLER_TIMEOUT_RANGE),
        "a slow caller occupies a connection for this time",
    );
    let drain = value_in_range(
        reader,
        object,
        "drain",
        (defaults.drain, DRAIN_RANGE),
        "a shutdown waits at most this time for requests in progress",
    );
    Some(Limits {
        max_body: max_body?,
        max_connections: max_connections?,
        caller_timeout: caller_timeout?,
        drain: drain?,
    })
}

/// Reads a value with its unit within `(min, max)`; a missing field gives the default.
fn value_in_range<'t, T>(
    reader: &mut Reader<'t>,
    object: &Object<'t>,
    name: &'static str,
    (default, (min, max)): (T, (T, T)),
    reason: &'static str,
) -> Option<T>
where
    T: FromStr<Err: fmt::Display> + fmt::Display + PartialOrd + Copy,
{
    let Some(prop) = object.get(name) else { return Some(default) };
    let value: T = reader.as_text(&prop.value, "a value with its unit, in quotes")?;
    if value < min || value > max {
        let (found, min, max) = (value.to_string(), min.to_string(), max.to_string());
        out_of_range(reader, &prop.value, &found, &min, &max, reason);
        return None;
    }
    Some(value)
}

fn out_of_range<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    found: &str,
    min: &str,
    max: &str,
    reason: &'static str,
) {
    let kind = FaultKind::OutOfRange {
        found: CompactString::new(found),
        min: CompactString::new(min),
        max: CompactString::new(max),
        reason,
    };
    reader.push(value.range(), kind);
}
