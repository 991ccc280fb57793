//! Prompts that are suspected of crashing engines.
//!
//! Two suspects run on different engines while there is a choice, so that the
//! next crash identifies one of them.

use std::collections::{BTreeSet, HashMap};

use types::{EngineId, RequestId};

use crate::{SchedulerAction, scheduler::RunningJob};

/// Suspected requests of a node.
#[derive(Debug, Default)]
pub(crate) struct SuspectSet {
    requests: BTreeSet<RequestId>,
}

impl SuspectSet {
    pub(crate) fn insert(&mut self, request: RequestId) {
        self.requests.insert(request);
    }

    pub(crate) fn remove(&mut self, request: &RequestId) {
        self.requests.remove(request);
    }

    /// Removes the requests that `actions` refuse or forward: they no longer
    /// run on this node's engines.
    pub(crate) fn forget_refused_and_forwarded(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            if let SchedulerAction::Refuse { request, .. }
            | SchedulerAction::Forward { request, .. } = action
            {
                self.remove(request);
            }
        }
    }

    /// Engines to avoid for `request`: those that run another suspect, if it is
    /// a suspect itself.
    pub(crate) fn engines_to_avoid(
        &self,
        request: &RequestId,
        running: &HashMap<RequestId, RunningJob>,
    ) -> BTreeSet<EngineId> {
        if !self.requests.contains(request) {
            return BTreeSet::new();
        }
        let others = self.requests.iter().filter(|other| *other != request);
        others
            .filter_map(|other| running.get(other))
            .flat_map(|job| job.engines.iter().cloned())
            .collect()
    }
}
