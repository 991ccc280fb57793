//! Passes the limits of the release note in force to the scheduler.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use admission::LimitSettings;
use kernel::{CancellationToken, ClockSource};
use notes::FleetState;
use routing::SchedulerEvent;
use types::OrganisationId;

use crate::{notes::NoteService, prompts::PromptService};

/// Interval between checks for a new release note in force.
const NOTE_POLL_PAUSE: Duration = Duration::from_millis(200);

/// Polls the release notes in force and sends changed limits to the scheduler.
pub struct LimitUpdater {
    /// Clock that times the polls.
    pub clock: ClockSource,
    /// Release notes, whose limits are read.
    pub notes: Arc<NoteService>,
    /// Service of the scheduler, which receives the limits.
    pub prompts: Arc<PromptService>,
}

impl LimitUpdater {
    /// Sends changed limits to the scheduler until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let mut applied: Arc<FleetState> = Arc::default();
        while !token.is_cancelled() {
            let current = self.notes.current();
            if !Arc::ptr_eq(&applied, &current) {
                for (organisation, limits) in changed_limits(&applied, &current) {
                    self.prompts.handle(SchedulerEvent::LimitsChanged {
                        organisation,
                        limits,
                    });
                }
                applied = current;
            }
            smol::future::or(self.clock.sleep(NOTE_POLL_PAUSE), token.cancelled()).await;
        }
    }
}

/// Organisations whose limits differ, with their limits in `after`; `None` for
/// organisations that `after` no longer contains.
fn changed_limits(
    before: &FleetState,
    after: &FleetState,
) -> BTreeMap<OrganisationId, Option<LimitSettings>> {
    let mut changed = BTreeMap::new();
    for (organisation, entry) in &after.organisations {
        let same = before
            .organisations
            .get(organisation)
            .is_some_and(|known| known.limits == entry.limits);
        if !same {
            let limits = LimitSettings {
                requests_per_second: entry.limits.requests_per_second,
                tokens_per_minute: entry.limits.tokens_per_minute,
                concurrent_requests: entry.limits.concurrent_requests,
            };
            changed.insert(organisation.clone(), Some(limits));
        }
    }
    for organisation in before.organisations.keys() {
        if !after.organisations.contains_key(organisation) {
            changed.insert(organisation.clone(), None);
        }
    }
    changed
}
