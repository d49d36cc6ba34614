//! Lines on a leader that may give no orders.

use egretlb_types::{Epoch, Time};

/// The span in which a leader has no authority: the store acknowledged none of its appends for so long that
/// a successor may be at work. Nothing is started meanwhile, whatever room there is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Suspension(Option<(Epoch, Time)>);

impl Suspension {
    /// Writes a line where the span begins, and where it ends within the same term.
    pub(super) fn note(&mut self, now: Time, term: Option<Epoch>, authority: bool) {
        let Some(epoch) = term else {
            self.0 = None;
            return;
        };
        match (self.0.filter(|(known, _)| *known == epoch), authority) {
            (None, false) => {
                log::warn!(epoch:%; "orders_suspended");
                self.0 = Some((epoch, now));
            }
            (Some((_, since)), true) => {
                let after_ms = now.since(since).as_millis() as u64;
                log::info!(epoch:%, after_ms; "orders_resumed");
                self.0 = None;
            }
            (None, true) => self.0 = None,
            (Some(_), false) => {}
        }
    }
}
