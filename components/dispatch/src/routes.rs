//! Looks up the route of a request and the organisation of an API key.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::Arc,
    time::Duration,
};

use types::ServiceName;

use crate::{DesiredState, ForwardRoute, HomeRegions, OrganisationEntry};

/// A desired state, indexed by host and path prefix, and by API key.
#[derive(Debug, Default)]
pub struct RouteTable {
    state: DesiredState,
    hosts: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<String, usize>,
    /// Shortest event gap that any route of a service sets.
    shortest_gaps: HashMap<ServiceName, Duration>,
    /// Regions that no request of a host may leave.
    host_homes: HashMap<String, HomeRegions>,
}

/// Result of looking up a request's route and organisation.
#[derive(Clone, Copy, Debug)]
pub enum RouteMatch<'a> {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a valid API key, and the request has none.
    NoKey,
    /// The route and, where a valid key was given, the key's organisation.
    Found(&'a Arc<ForwardRoute>, Option<&'a OrganisationEntry>),
}

impl RouteTable {
    /// Builds the index of `state`.
    #[must_use]
    pub fn new(state: DesiredState) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut host_homes: HashMap<String, HomeRegions> = HashMap::new();
        for (index, route) in state.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let homes = host_homes.entry(host.clone()).or_default();
            *homes = homes.intersect(&route.homes);
            hosts
                .entry(host)
                .or_default()
                .insert(route.prefix.clone(), index);
        }
        let mut keys = HashMap::new();
        for (index, organisation) in state.organisations.iter().flatten().enumerate() {
            for key in &organisation.keys {
                keys.insert(key.clone(), index);
            }
        }
        let mut shortest_gaps: HashMap<ServiceName, Duration> = HashMap::new();
        for route in &state.routes {
            let Some(gap) = route.event_gap else {
                continue;
            };
            for share in &route.weighted_services {
                let current_min = shortest_gaps.entry(share.service.clone()).or_insert(gap);
                *current_min = gap.min(*current_min);
            }
        }
        Self {
            state,
            hosts,
            keys,
            shortest_gaps,
            host_homes,
        }
    }

    /// Regions in which every request to `host` may be handled; callers are sent to
    /// nodes there. A port in `host` is ignored.
    #[must_use]
    pub fn host_homes(&self, host: &str) -> HomeRegions {
        let homes = self.host_homes.get(&host_name(host));
        homes.cloned().unwrap_or_default()
    }

    /// Shortest event gap that any route of `service` sets; `None` when none of its
    /// routes sets one.
    #[must_use]
    pub fn shortest_event_gap(&self, service: &str) -> Option<Duration> {
        self.shortest_gaps.get(service).copied()
    }

    /// The desired state from which the index was built.
    #[must_use]
    pub fn state(&self) -> &DesiredState {
        &self.state
    }

    /// Finds the route of `host` with the longest prefix of `path`, and the
    /// organisation that holds `key`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let Some(route) = self.route(host, path) else {
            return RouteMatch::NoRoute;
        };
        let Some(organisations) = &self.state.organisations else {
            return RouteMatch::Found(route, None);
        };
        let holder = key
            .and_then(|key| self.keys.get(key))
            .and_then(|index| organisations.get(*index));
        match holder {
            None if !route.anonymous => RouteMatch::NoKey,
            holder => RouteMatch::Found(route, holder),
        }
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let prefixes = self.hosts.get(&host_name(host))?;
        let slashes = path
            .char_indices()
            .filter(|(_, character)| *character == '/');
        let index = slashes
            .map(|(end, _)| &path[..=end])
            .filter_map(|prefix| prefixes.get(prefix))
            .next_back()?;
        self.state.routes.get(*index)
    }
}

/// Name of a host without a port, in lower case.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

impl ForwardRoute {
    /// Picks a service for the attempt id `attempt`, in proportion to the
    /// weights: the first service when all weights are 0, and `None` without
    /// services. The same attempt gets the same service with the same `hasher`.
    #[must_use]
    pub fn pick_service(&self, attempt: &str, hasher: &RandomState) -> Option<&str> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|entry| u64::from(entry.weight))
            .sum();
        if total == 0 {
            return self
                .weighted_services
                .first()
                .map(|entry| entry.service.as_str());
        }
        let mut point = hasher.hash_one(attempt) % total;
        for entry in &self.weighted_services {
            let weight = u64::from(entry.weight);
            if point < weight {
                return Some(&entry.service);
            }
            point -= weight;
        }
        None
    }
}
