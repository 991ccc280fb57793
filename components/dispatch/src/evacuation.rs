//! Availability zones that the operator has evacuated. Their upstreams get nothing
//! new until the operator takes the zone back.
//!
//! The state of each zone carries the store's version of the change, so news of
//! different age can arrive in any order and by any way.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::ZoneId;

/// Time for which an evacuation that a store back from a copy doesn't know is kept. The
/// operator writes it again if it was lost, as upstreams do their rows.
const REWRITE_GRACE: Duration = Duration::from_millis(2200);
/// Most zones that are remembered after they were taken back; those whose change is
/// oldest are forgotten first.
const TAKEN_BACK_MAX: usize = 64;

/// What is known of one zone, as nodes tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EvacuationNotice {
    /// The zone.
    pub zone: ZoneId,
    /// Store version of the change; a higher one is newer.
    pub version: u64,
    /// Whether the zone is evacuated; otherwise it has been taken back.
    pub evacuated: bool,
}

#[derive(Clone, Copy, Debug)]
struct ZoneState {
    version: u64,
    evacuated: bool,
    /// When the evacuation lapses unless the operator writes it again.
    lapses_at: Option<Instant>,
}

/// The zones that are evacuated, or were.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeMap<ZoneId, ZoneState>,
}

impl EvacuationTable {
    /// Takes over a notice unless a newer change of the zone is known; returns whether
    /// the zone was evacuated or taken back by it.
    pub fn apply(&mut self, notice: &EvacuationNotice) -> bool {
        let known = self.zones.get(&notice.zone);
        if known.is_some_and(|known| known.version >= notice.version) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.evacuated);
        let state = ZoneState {
            version: notice.version,
            evacuated: notice.evacuated,
            lapses_at: None,
        };
        self.zones.insert(notice.zone.clone(), state);
        self.forget_oldest();
        was_evacuated != notice.evacuated
    }

    /// Updates the table to a complete listing as of `version`: zones that are not in
    /// it have been taken back. If the store came back from a copy, `is_copy`, their
    /// evacuations may only be lost, and are kept for [`REWRITE_GRACE`]. Returns the
    /// changes.
    pub fn replace(
        &mut self,
        now: Instant,
        listed: &[EvacuationNotice],
        version: u64,
        is_copy: bool,
    ) -> Vec<EvacuationNotice> {
        let mut changes: Vec<EvacuationNotice> = listed
            .iter()
            .filter(|notice| self.apply(notice))
            .cloned()
            .collect();
        let is_listed = |zone: &ZoneId| listed.iter().any(|notice| notice.zone == *zone);
        for (zone, state) in &mut self.zones {
            if !state.evacuated || state.version >= version || is_listed(zone) {
                continue;
            }
            if is_copy {
                state.lapses_at = Some(now + REWRITE_GRACE);
            } else if state.lapses_at.is_none() {
                state.version = version;
                state.evacuated = false;
                changes.push(EvacuationNotice {
                    zone: zone.clone(),
                    version,
                    evacuated: false,
                });
            }
        }
        changes
    }

    /// Ends the evacuations that the operator has not written again in time, as of
    /// `version` of the store; returns their zones.
    pub fn expire(&mut self, now: Instant, version: u64) -> Vec<ZoneId> {
        let mut lapsed = Vec::new();
        for (zone, state) in &mut self.zones {
            if state.lapses_at.is_some_and(|at| at <= now) {
                state.lapses_at = None;
                state.evacuated = false;
                state.version = state.version.max(version);
                lapsed.push(zone.clone());
            }
        }
        lapsed
    }

    /// Whether the upstreams of `zone` get nothing new.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.evacuated)
    }

    /// The zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneId> {
        let evacuated = self.zones.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(zone, _)| zone)
    }

    /// All that is known, for other nodes.
    pub fn notices(&self) -> impl Iterator<Item = EvacuationNotice> {
        self.zones.iter().map(|(zone, state)| EvacuationNotice {
            zone: zone.clone(),
            version: state.version,
            evacuated: state.evacuated,
        })
    }

    fn forget_oldest(&mut self) {
        let taken_back = self.zones.iter().filter(|(_, state)| !state.evacuated);
        if taken_back.clone().count() <= TAKEN_BACK_MAX {
            return;
        }
        let oldest = taken_back.min_by_key(|(_, state)| state.version);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}
