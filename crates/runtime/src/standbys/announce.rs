//! The leader's side: chooses the standbys and announces them.

use {
    super::{Announcement, KEY},
    crate::{
        node::Node,
        platform::{Append, Topic},
    },
    egretlb_relay::StandbyChoice,
    egretlb_types::Epoch,
    egretlb_workflow::{AppendResult, Record},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which the choice of standbys is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Announces the standbys of a term whenever they change, until it ends.
pub(crate) async fn announce(node: Rc<Node>, epoch: Epoch) {
    let previous = node.core().announcement.clone();
    let mut standbys = previous.map(|announcement| announcement.standbys).unwrap_or_default();
    let own = node.core().leadership.addr();
    standbys.retain(|addr| Some(*addr) != own);
    let mut choice = StandbyChoice::inherited(node.clock().now(), &standbys, node.min_fleet_vms);
    while node.core().leadership.term() == Some(epoch) {
        if let Some(announcement) = next_announcement(&node, epoch, &mut choice) {
            let standbys = announcement.standbys.len();
            let record = Record { key: KEY.to_vec(), value: announcement.to_value() };
            let append = Append { topic: Topic::Terms, records: vec![record], fence: None };
            let result = node.store().append(&append).await;
            log::info!(epoch:%, standbys, result:?; "standbys_announced");
            if result == AppendResult::Done {
                node.core_mut().on_announcement(announcement);
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// The announcement to make; `None` if the last one still holds. Without standbys none is made, unless an earlier one
/// names some.
fn next_announcement(
    node: &Node,
    epoch: Epoch,
    choice: &mut StandbyChoice,
) -> Option<Announcement> {
    let now = node.clock().now();
    // A leader without authority may have a successor, whose announcement it would replace.
    node.core().leadership.authority(now)?;
    let (candidates, vms) = node.relays.candidates(now);
    let core = node.core();
    let leader = core.leadership.addr()?;
    let mut standbys = choice.update(now, &candidates, vms);
    standbys.retain(|addr| *addr != leader);
    let announcement = Announcement { epoch, leader, standbys };
    match &core.announcement {
        Some(current) if *current == announcement => None,
        None if announcement.standbys.is_empty() => None,
        Some(current) if current.standbys.is_empty() && announcement.standbys.is_empty() => None,
        _ => Some(announcement),
    }
}
