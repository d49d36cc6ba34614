//! The configuration in force in this process.

use {
    crate::{
        event::{Alarm, ControlEffect},
        gossip::Heartbeat,
        options::Protections,
        record::ConfigVersion,
        reducer::alarms::Alarms,
        state::Validator,
    },
    egretlb_types::{ConfigDocument, NodeId, Time},
    std::{sync::Arc, time::Duration},
};

/// Time between two requests for a peer's configuration, made while the log can't be read.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its version; zero for no configuration.
    pub version: ConfigVersion,
    /// Its text.
    pub text: Arc<str>,
    /// The parsed document.
    pub document: Arc<ConfigDocument>,
}

/// The configuration in force, and which peer has a newer one while the log can't be read.
#[derive(Clone, Debug)]
pub(crate) struct ConfigHolder {
    protections: Protections,
    in_force: InForce,
    newer_peer_version: Option<(NodeId, ConfigVersion)>,
    fetch_at: Time,
}

impl ConfigHolder {
    pub(crate) fn new(protections: Protections) -> Self {
        ConfigHolder {
            protections,
            in_force: InForce::default(),
            newer_peer_version: None,
            fetch_at: Time::ZERO,
        }
    }

    pub(crate) fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Puts a version in force if it is higher. A restarted process reads the log from its
    /// beginning, and a peer may lag behind: both show old versions.
    pub(crate) fn adopt(
        &mut self,
        version: ConfigVersion,
        text: &str,
        validator: &Validator,
        alarms: &mut Alarms,
        out: &mut Vec<ControlEffect>,
    ) {
        let newer = version > self.in_force.version;
        let downgrade = !self.protections.monotonic_versions && version != self.in_force.version;
        if !newer && !downgrade {
            return;
        }
        let Ok(document) = validator(text) else {
            alarms.set(Alarm::ConfigNotUnderstood, true, out);
            return;
        };
        alarms.set(Alarm::ConfigNotUnderstood, false, out);
        let document = Arc::new(document);
        let text: Arc<str> = text.into();
        self.in_force = InForce { version, text: text.clone(), document: document.clone() };
        out.push(ControlEffect::ConfigInForce { version, text, document });
    }

    pub(crate) fn record_peer_version(&mut self, heartbeat: &Heartbeat) {
        let newest = self.newer_peer_version.map_or(self.in_force.version, |(_, version)| version);
        if heartbeat.config > newest {
            self.newer_peer_version = Some((heartbeat.from, heartbeat.config));
        }
    }

    /// The peer to request a configuration from now, while the log can't be read: the one with the
    /// newest version, or all peers in the settings (`Some(None)`) if there is no configuration
    /// yet.
    pub(crate) fn due_fetch(&mut self, now: Time) -> Option<Option<NodeId>> {
        self.newer_peer_version =
            self.newer_peer_version.filter(|(_, version)| *version > self.in_force.version);
        let no_config = self.in_force.version == ConfigVersion::NONE;
        if now < self.fetch_at || (self.newer_peer_version.is_none() && !no_config) {
            return None;
        }
        self.fetch_at = now + FETCH_INTERVAL;
        Some(self.newer_peer_version.map(|(node, _)| node))
    }
}
