//! Reserves KV cache memory for one prompt on all engines of a gang (engines that
//! run one prompt together) or on none.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use types::{AttemptId, EngineId, RequestId, TokenCount};
use upstream::{GangMember, KvReservation};

use super::PromptService;
use crate::directory::KnownEngine;

/// Lifetime of a reservation that is not renewed. If the node dies, the engine
/// frees the memory after this time.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(10);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
const MAX_RELEASE_ATTEMPTS: u32 = 5;
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// KV cache memory reserved on every engine of a gang; released when dropped.
pub(super) struct GangReservation {
    service: Arc<PromptService>,
    request: RequestId,
    attempt: AttemptId,
    engines: Vec<KnownEngine>,
    members: Vec<GangMember>,
    renewal: Option<smol::Task<()>>,
}

impl GangReservation {
    /// Reserves an equal share of `tokens` on each engine, in the order given.
    ///
    /// Fails with the first engine that does not grant its share; the shares
    /// reserved before are released.
    pub(super) async fn reserve(
        service: &Arc<PromptService>,
        request: &RequestId,
        attempt: AttemptId,
        engines: &[EngineId],
        tokens: TokenCount,
    ) -> Result<Self, EngineId> {
        let tokens_per_engine = tokens.div_ceil(engines.len() as TokenCount);
        service.gang_reservations.fetch_add(1, Ordering::Relaxed);
        let mut reservation = Self {
            service: Arc::clone(service),
            request: request.clone(),
            attempt,
            engines: Vec::new(),
            members: Vec::new(),
            renewal: None,
        };
        for engine in engines {
            let Some(known_engine) = service.directory.engine(engine) else {
                return Err(engine.clone());
            };
            // Added before the call, because the engine may have reserved memory
            // even if its answer is lost.
            reservation.engines.push(known_engine.clone());
            reservation.members.push(GangMember {
                engine: engine.clone(),
                address: known_engine.address.clone(),
                tokens: tokens_per_engine,
            });
            let kv_reservation = reservation.kv_reservation(tokens_per_engine);
            if known_engine.client.reserve(kv_reservation).await.is_err() {
                return Err(engine.clone());
            }
        }
        reservation.renewal = Some(reservation.start_renewal(tokens_per_engine));
        Ok(reservation)
    }

    /// Returns the engines in order with the memory reserved on each, in tokens.
    pub(super) fn members(&self) -> &[GangMember] {
        &self.members
    }

    fn kv_reservation(&self, tokens: TokenCount) -> KvReservation {
        KvReservation {
            request: self.request.clone(),
            attempt: self.attempt,
            holder: self.service.node.clone(),
            tokens,
            lifetime: RESERVATION_LIFETIME,
        }
    }

    fn start_renewal(&self, tokens: TokenCount) -> smol::Task<()> {
        let clock = self.service.clock.clone();
        let engines = self.engines.clone();
        let kv_reservation = self.kv_reservation(tokens);
        smol::spawn(async move {
            loop {
                clock.sleep(RENEWAL_INTERVAL).await;
                for engine in &engines {
                    engine.client.reserve(kv_reservation.clone()).await.ok();
                }
            }
        })
    }
}

impl Drop for GangReservation {
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
            service.gang_reservations.fetch_sub(1, Ordering::Relaxed);
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
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        match engine.client.release(request, attempt).await {
            Ok(()) => return,
            Err(error) => {
                service.metrics.count_peer_failure("release", &engine.id);
                log::warn!(
                    "event=release_failed request={request} attempt={attempt} engine={} \
                     cause=\"{error}\"",
                    engine.id
                );
            }
        }
        service.clock.sleep(RELEASE_RETRY_INTERVAL).await;
    }
}
