//! How far a node can rely on the other nodes seeing the same fleet as it does.

use std::time::{Duration, Instant};

use types::NodeId;

use crate::rate_limit::FleetStanding;

/// Time without a word from any node after which a node is out of touch; as long as the
/// others take it for alive.
const SILENCE_MAX: Duration = Duration::from_millis(1600);
/// Time for which a node has to be in touch until the others surely know of it, and it of
/// them: a report and the news of it take up to half a second each, and one of each may be
/// lost.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after its start after which a node that has heard of no other takes itself for the
/// only one; longer than a node that starts waits for the others.
const ALONE_TIME: Duration = Duration::from_secs(5);
/// Pause between two ticks from which a process counts as frozen; they come several times
/// a second.
const FREEZE_TIME: Duration = Duration::from_secs(1);

/// A node's contact with the others, and the fleet that it knew when it was last settled.
#[derive(Debug)]
pub struct FleetContact {
    started_at: Instant,
    ticked_at: Instant,
    heard_at: Option<Instant>,
    /// Since when the node has been in touch and not frozen.
    in_touch_since: Option<Instant>,
    /// The nodes that it knew when it was last settled; empty before.
    settled_nodes: Vec<NodeId>,
}

impl FleetContact {
    /// Creates the state of a node that starts.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            ticked_at: now,
            heard_at: None,
            in_touch_since: None,
            settled_nodes: Vec::new(),
        }
    }

    /// Records that another node was heard.
    pub fn record_heard(&mut self, now: Instant) {
        if !self.is_in_touch(now) {
            self.in_touch_since = Some(now);
        }
        self.heard_at = Some(now);
    }

    /// Returns the nodes among which rates are divided, if `known` are those that this node
    /// knows now, and its standing; called several times a second.
    pub fn tick(&mut self, now: Instant, known: Vec<NodeId>) -> (Vec<NodeId>, FleetStanding) {
        if now.saturating_duration_since(self.ticked_at) > FREEZE_TIME {
            self.in_touch_since = self.in_touch_since.map(|_| now);
        }
        self.ticked_at = now;
        let standing = self.standing(now);
        match standing {
            FleetStanding::Settled => {
                self.settled_nodes.clone_from(&known);
                (known, standing)
            }
            // Dead nodes are no reason to take a larger share while out of touch.
            FleetStanding::Unsure => (self.settled_nodes.clone(), standing),
            FleetStanding::New => (known, standing),
        }
    }

    /// Returns the number of nodes among which what the fleet has in common is divided, if
    /// this node knows of `known` now, dead ones and itself included. Out of touch, it
    /// doesn't take the others for gone.
    #[must_use]
    pub fn sharing_nodes(&self, now: Instant, known: usize) -> usize {
        match self.standing(now) {
            FleetStanding::Settled | FleetStanding::New => known,
            FleetStanding::Unsure => known.max(self.settled_nodes.len()),
        }
    }

    fn is_in_touch(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) <= SILENCE_MAX)
    }

    fn standing(&self, now: Instant) -> FleetStanding {
        let is_settled = self.is_in_touch(now)
            && self
                .in_touch_since
                .is_some_and(|since| now.saturating_duration_since(since) >= SETTLE_TIME);
        let is_alone =
            self.heard_at.is_none() && now.saturating_duration_since(self.started_at) >= ALONE_TIME;
        if is_settled || is_alone {
            FleetStanding::Settled
        } else if self.settled_nodes.is_empty() {
            FleetStanding::New
        } else {
            FleetStanding::Unsure
        }
    }
}
