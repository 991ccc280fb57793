//! Memory on several engines for one prompt: on all of them or on none.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use types::{AttemptId, EngineId, RequestId, TokenCount};
use upstream::{GangMember, KvReservation};

use super::PromptService;
use crate::directory::KnownEngine;

/// A reservation lives this long unless the attempt begins; an engine frees
/// it by itself when the node dies.
const HOLD_LIFETIME: Duration = Duration::from_secs(10);
const RENEW_PAUSE: Duration = Duration::from_secs(3);
const RELEASE_TRIES: u32 = 5;
const RELEASE_PAUSE: Duration = Duration::from_millis(200);

/// Memory held on every engine of a group; released when dropped.
pub(super) struct GangHold {
    service: Arc<PromptService>,
    request: RequestId,
    attempt: AttemptId,
    engines: Vec<KnownEngine>,
    members: Vec<GangMember>,
    renewal: Option<smol::Task<()>>,
}

impl GangHold {
    /// Reserves an even part of `tokens` on each engine, in the order given.
    ///
    /// Fails with the first engine that has too little; what was reserved
    /// until then is released.
    pub(super) async fn reserve(
        service: &Arc<PromptService>,
        request: &RequestId,
        attempt: AttemptId,
        engines: &[EngineId],
        tokens: TokenCount,
    ) -> Result<Self, EngineId> {
        let share = tokens.div_ceil(engines.len() as TokenCount);
        service.holds.fetch_add(1, Ordering::Relaxed);
        let mut hold = Self {
            service: Arc::clone(service),
            request: request.clone(),
            attempt,
            engines: Vec::new(),
            members: Vec::new(),
            renewal: None,
        };
        for engine in engines {
            let Some(known) = service.directory.engine(engine) else {
                return Err(engine.clone());
            };
            // Counted before the call: a lost answer may hide a reservation.
            hold.engines.push(known.clone());
            hold.members.push(GangMember {
                engine: engine.clone(),
                address: known.address.clone(),
                tokens: share,
            });
            let reservation = hold.reservation(share);
            if known.client.reserve(reservation).await.is_err() {
                return Err(engine.clone());
            }
        }
        hold.renewal = Some(hold.start_renewal(share));
        Ok(hold)
    }

    /// The engines in order, with the memory held on each.
    pub(super) fn members(&self) -> &[GangMember] {
        &self.members
    }

    fn reservation(&self, tokens: TokenCount) -> KvReservation {
        KvReservation {
            request: self.request.clone(),
            attempt: self.attempt,
            holder: self.service.node.clone(),
            tokens,
            lifetime: HOLD_LIFETIME,
        }
    }

    fn start_renewal(&self, tokens: TokenCount) -> smol::Task<()> {
        let clock = self.service.clock.clone();
        let engines = self.engines.clone();
        let reservation = self.reservation(tokens);
        smol::spawn(async move {
            loop {
                clock.sleep(RENEW_PAUSE).await;
                for engine in &engines {
                    engine.client.reserve(reservation.clone()).await.ok();
                }
            }
        })
    }
}

impl Drop for GangHold {
    fn drop(&mut self) {
        drop(self.renewal.take());
        let service = Arc::clone(&self.service);
        let engines = std::mem::take(&mut self.engines);
        let request = self.request.clone();
        let attempt = self.attempt;
        smol::spawn(async move {
            for engine in engines {
                release(&service, &engine, &request, attempt).await;
            }
            service.holds.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn release(
    service: &PromptService,
    engine: &KnownEngine,
    request: &RequestId,
    attempt: AttemptId,
) {
    for _ in 0..RELEASE_TRIES {
        match engine.client.release(request, attempt).await {
            Ok(()) => return,
            Err(error) => {
                service.metrics.count_failure("release", &engine.id);
                log::warn!(
                    "event=release_failed request={request} attempt={attempt} engine={} \
                     cause=\"{error}\"",
                    engine.id
                );
            }
        }
        service.clock.sleep(RELEASE_PAUSE).await;
    }
}
