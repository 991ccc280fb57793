//! Regions that a request may not leave.

use std::collections::{BTreeSet, HashMap};

use types::{RegionId, ZoneId};

/// Region of each availability zone, from the settings.
#[derive(Clone, Debug, Default)]
pub struct RegionMap {
    regions: HashMap<ZoneId, RegionId>,
}

impl RegionMap {
    /// Makes a map of all known zones.
    #[must_use]
    pub fn new(regions: HashMap<ZoneId, RegionId>) -> Self {
        Self { regions }
    }

    /// Whether `zone` lies in one of `homes`. A zone of unknown region lies in none.
    #[must_use]
    pub fn is_home(&self, homes: &HomeRegions, zone: &str) -> bool {
        match homes {
            HomeRegions::Anywhere => true,
            HomeRegions::Only(homes) => self
                .regions
                .get(zone)
                .is_some_and(|region| homes.contains(region)),
        }
    }

    /// Whether a caller in `caller_region` may be sent to a node in `zone`: it is in one
    /// of `homes` or in the caller's own region.
    #[must_use]
    pub fn may_receive(
        &self,
        homes: &HomeRegions,
        caller_region: Option<&str>,
        zone: &str,
    ) -> bool {
        let is_callers =
            caller_region.is_some() && self.regions.get(zone).map(String::as_str) == caller_region;
        is_callers || self.is_home(homes, zone)
    }
}

/// Regions in which a request may be passed on and answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum HomeRegions {
    /// No region is excluded.
    #[default]
    Anywhere,
    /// Only these, maybe none.
    Only(BTreeSet<RegionId>),
}

impl HomeRegions {
    /// Homes that the operator lists; an empty list excludes no region.
    #[must_use]
    pub fn from_list(regions: Vec<RegionId>) -> Self {
        if regions.is_empty() {
            Self::Anywhere
        } else {
            Self::Only(regions.into_iter().collect())
        }
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, homes) | (homes, Self::Anywhere) => homes.clone(),
            (Self::Only(one), Self::Only(other)) => {
                Self::Only(one.intersection(other).cloned().collect())
            }
        }
    }
}
