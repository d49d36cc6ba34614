//! Alarms, reported when they are raised and cleared.

use {
    crate::event::{Alarm, ControlEffect},
    std::collections::BTreeSet,
};

#[derive(Clone, Debug, Default)]
pub(crate) struct Alarms {
    raised: BTreeSet<Alarm>,
}

impl Alarms {
    pub(crate) fn set(&mut self, alarm: Alarm, raised: bool, out: &mut Vec<ControlEffect>) {
        let changed = if raised { self.raised.insert(alarm) } else { self.raised.remove(&alarm) };
        if changed {
            out.push(ControlEffect::Alarm { alarm, raised });
        }
    }

    pub(crate) fn raised(&self) -> impl Iterator<Item = Alarm> {
        self.raised.iter().copied()
    }
}
