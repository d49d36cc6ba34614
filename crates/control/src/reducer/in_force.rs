//! The configuration that is in force in this process.

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

/// How often a process that can't read the log asks a peer for a configuration.
const FETCH_EVERY: Duration = Duration::from_secs(1);

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its version; zero if there is none yet.
    pub version: ConfigVersion,
    /// Its text.
    pub text: Arc<str>,
    /// What it says.
    pub document: Arc<ConfigDocument>,
}

/// What is in force, and where something newer may be had while the log is out of reach.
#[derive(Clone, Debug)]
pub(crate) struct ConfigHolder {
    protections: Protections,
    in_force: InForce,
    newer_at: Option<(NodeId, ConfigVersion)>,
    fetch_at: Time,
}

impl ConfigHolder {
    pub(crate) fn new(protections: Protections) -> Self {
        ConfigHolder {
            protections,
            in_force: InForce::default(),
            newer_at: None,
            fetch_at: Time::ZERO,
        }
    }

    pub(crate) fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Puts a version in force if it is higher. The log is read from its beginning after a
    /// restart, and a peer may be behind: both show versions that were superseded long ago.
    pub(crate) fn adopt(
        &mut self,
        version: ConfigVersion,
        text: &str,
        validator: &Validator,
        alarms: &mut Alarms,
        out: &mut Vec<ControlEffect>,
    ) {
        let newer = version > self.in_force.version;
        let other = !self.protections.monotonic_versions && version != self.in_force.version;
        if !newer && !other {
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

    pub(crate) fn heard(&mut self, heartbeat: &Heartbeat) {
        let best = self.newer_at.map_or(self.in_force.version, |(_, version)| version);
        if heartbeat.config > best {
            self.newer_at = Some((heartbeat.from, heartbeat.config));
        }
    }

    /// Whom to ask now, if the log is out of reach: the peer with the newest version; without
    /// any configuration, all peers that the settings name (`Some(None)`).
    pub(crate) fn fetch(&mut self, now: Time) -> Option<Option<NodeId>> {
        self.newer_at = self.newer_at.filter(|(_, version)| *version > self.in_force.version);
        let nothing = self.in_force.version == ConfigVersion::NONE;
        if now < self.fetch_at || (self.newer_at.is_none() && !nothing) {
            return None;
        }
        self.fetch_at = now + FETCH_EVERY;
        Some(self.newer_at.map(|(node, _)| node))
    }
}
