//! Reservations of KV cache memory for a prompt that no engine can hold alone.
//!
//! Reservations have a short lifetime and are renewed, so that the engines soon have
//! their memory back if this node dies. They are released when the request has ended.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use futures_lite::StreamExt;
use http::StatusCode;
use smol::{Task, stream};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineCall,
    connect::{ConnectTarget, connect_upstream},
    state::Gateway,
};

/// Lifetime of a reservation after each renewal. An engine must have its memory back
/// four seconds after the request, even if this node dies right after a renewal.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(3200);
/// Pause between renewals: short enough that a reservation outlives two successive
/// renewals that fail without delay, or one that times out. Engines are renewed one after the
/// other, so their timeouts add up.
const RENEWAL_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of an order to an engine, and pause between attempts to release a
/// reservation.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of attempts to release a reservation; after the last one it is left to
/// lapse.
const RELEASE_ATTEMPTS: u32 = 3;

/// Reservations of one request; dropping the set releases them.
pub(crate) struct ReservationSet {
    gateway: Rc<Gateway>,
    reservations: Vec<EngineReservation>,
    renewal: Option<Task<()>>,
}

#[derive(Clone, Debug)]
struct EngineReservation {
    id: String,
    engine: UpstreamId,
    target: ConnectTarget,
    tokens: TokenCount,
}

thread_local! {
    /// Makes the ids of this process's reservations unique.
    static NEXT_RESERVATION_NUMBER: Cell<u64> = const { Cell::new(0) };
}

impl ReservationSet {
    /// Reserves memory for all of `shares` in parallel. If engines refuse, don't
    /// answer or are no longer known, returns the id of one of them and releases all.
    pub(crate) async fn reserve(
        gateway: &Rc<Gateway>,
        request: &str,
        shares: &[(UpstreamId, TokenCount)],
    ) -> Result<Self, UpstreamId> {
        let mut set = Self {
            gateway: Rc::clone(gateway),
            reservations: Vec::new(),
            renewal: None,
        };
        for (engine, tokens) in shares {
            let upstreams = gateway.upstreams.borrow();
            let Some(view) = upstreams.get(engine) else {
                return Err(engine.clone());
            };
            let number = NEXT_RESERVATION_NUMBER.get();
            NEXT_RESERVATION_NUMBER.set(number + 1);
            set.reservations.push(EngineReservation {
                id: format!("{request}-{:x}-{number}", gateway.incarnation),
                engine: engine.clone(),
                target: ConnectTarget::from(&view.entry),
                tokens: *tokens,
            });
        }
        let orders = set.reservations.iter().map(|reservation| {
            let order = reserve_on_engine(Rc::clone(gateway), reservation.clone());
            gateway.executor.spawn(order)
        });
        let mut orders: Vec<_> = orders.collect();
        let mut refused = None;
        let answers: Vec<bool> = stream::iter(orders.drain(..))
            .then(|order| order)
            .collect()
            .await;
        for (reservation, granted) in set.reservations.iter().zip(answers) {
            if !granted {
                refused = Some(reservation.engine.clone());
            }
        }
        if let Some(engine) = refused {
            return Err(engine);
        }
        let renewal = renew_periodically(Rc::clone(gateway), set.reservations.clone());
        set.renewal = Some(gateway.executor.spawn(renewal));
        Ok(set)
    }

    /// Returns each engine's address and reservation id, in the order in which their
    /// memory is filled.
    pub(crate) fn helper_targets(&self) -> Vec<(SocketAddr, Option<String>)> {
        let reservations = self.reservations.iter();
        reservations
            .map(|reservation| (reservation.target.address, Some(reservation.id.clone())))
            .collect()
    }
}

impl Drop for ReservationSet {
    fn drop(&mut self) {
        for reservation in self.reservations.drain(..) {
            let releasing = release_with_retries(Rc::clone(&self.gateway), reservation);
            self.gateway.executor.spawn(releasing).detach();
        }
    }
}

async fn reserve_on_engine(gateway: Rc<Gateway>, reservation: EngineReservation) -> bool {
    let call = EngineCall::Reserve {
        reservation_id: &reservation.id,
        tokens: reservation.tokens,
        lifetime: RESERVATION_LIFETIME.min(gateway.settings.reservation_lifetime_max),
    };
    matches!(send_order(&gateway, &reservation, &call).await, Ok(status) if status == StatusCode::OK)
}

async fn renew_periodically(gateway: Rc<Gateway>, reservations: Vec<EngineReservation>) {
    loop {
        gateway.clock.sleep(RENEWAL_PAUSE).await;
        for reservation in &reservations {
            if !reserve_on_engine(Rc::clone(&gateway), reservation.clone()).await {
                log::warn!(
                    "event=ticket_not_renewed ticket={} upstream={}",
                    reservation.id,
                    reservation.engine
                );
            }
        }
    }
}

async fn release_with_retries(gateway: Rc<Gateway>, reservation: EngineReservation) {
    let call = EngineCall::Release {
        reservation_id: &reservation.id,
    };
    for _ in 0..RELEASE_ATTEMPTS {
        match send_order(&gateway, &reservation, &call).await {
            Ok(status) if status != StatusCode::SERVICE_UNAVAILABLE => return,
            other => log::warn!(
                "event=ticket_not_released ticket={} upstream={} answer={other:?}",
                reservation.id,
                reservation.engine
            ),
        }
        gateway.clock.sleep(ORDER_TIMEOUT).await;
    }
}

async fn send_order(
    gateway: &Rc<Gateway>,
    reservation: &EngineReservation,
    call: &EngineCall<'_>,
) -> Result<StatusCode, String> {
    let call = gateway.dialect.engine_call(call);
    let exchange = async {
        let connecting = connect_upstream(gateway, &reservation.target, ORDER_TIMEOUT);
        let mut connection = connecting.await.map_err(|error| error.to_string())?;
        let answer = connection.call(call).await;
        answer
            .map(|answer| answer.status())
            .map_err(|error| error.to_string())
    };
    let answer = gateway.clock.timeout(ORDER_TIMEOUT, exchange).await;
    answer.unwrap_or_else(|| Err("no answer in time".to_owned()))
}
