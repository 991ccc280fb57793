//! Reservations of KV cache memory for a prompt that no engine can hold alone.
//!
//! Reservations have a short lifetime and are renewed, so that the engines soon have
//! their memory back if this node dies. They are released when the request has ended.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use dispatch::{
    EngineSign, ORDER_TIMEOUT, ProbeOutcome, RenewalPlan, RenewalStep, ReservationTerms,
};
use futures_lite::StreamExt;
use http::StatusCode;
use smol::{Task, stream};
use types::{TokenCount, UpstreamId};

use crate::{
    EngineCall,
    connect::{ConnectTarget, connect_upstream},
    probe::probe_address,
    reach::find_outcome,
    state::Gateway,
};

/// Number of attempts to release a reservation, [`ORDER_TIMEOUT`] apart; after the last
/// one it is left to lapse.
const RELEASE_ATTEMPTS: u32 = 3;
/// Time after a release after which it is sent once more if an earlier order was not
/// answered: such an order may be carried out after the release.
const LATE_ORDER_TIME: Duration = Duration::from_secs(1);

/// Reservations of one request; dropping the set releases them.
pub(crate) struct ReservationSet {
    gateway: Rc<Gateway>,
    reservations: Vec<EngineReservation>,
    renewal: Option<Task<()>>,
    plan: Rc<RefCell<RenewalPlan>>,
}

/// The engine that answers the request.
#[derive(Clone, Debug)]
pub(crate) struct AnsweringEngine {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Start of its process, in Unix milliseconds, if it publishes it.
    pub(crate) started_ms: Option<u64>,
}

/// What became of the last order of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderState {
    /// None was sent, or the engine has refused it.
    NotHeld,
    /// It was sent and not answered; the engine may carry it out.
    Unanswered,
    /// The engine has confirmed it.
    Held,
}

#[derive(Clone, Debug)]
struct EngineReservation {
    id: String,
    engine: UpstreamId,
    target: ConnectTarget,
    tokens: TokenCount,
    order: Rc<Cell<OrderState>>,
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
        answering: AnsweringEngine,
        shares: &[(UpstreamId, TokenCount)],
    ) -> Result<Self, UpstreamId> {
        let plan = RenewalPlan::new(gateway.now(), terms(gateway));
        let mut set = Self {
            gateway: Rc::clone(gateway),
            reservations: Vec::new(),
            renewal: None,
            plan: Rc::new(RefCell::new(plan)),
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
                order: Rc::new(Cell::new(OrderState::NotHeld)),
            });
        }
        let answers = reserve_all(gateway, &set.reservations).await;
        let mut refused = None;
        for (reservation, granted) in set.reservations.iter().zip(answers) {
            if !granted {
                refused = Some(reservation.engine.clone());
            }
        }
        if let Some(engine) = refused {
            return Err(engine);
        }
        let renewal = renew_periodically(
            Rc::clone(gateway),
            answering,
            set.reservations.clone(),
            Rc::clone(&set.plan),
        );
        set.renewal = Some(gateway.executor.spawn(renewal));
        Ok(set)
    }

    /// Records that data of the answer has arrived.
    pub(crate) fn record_data(&self) {
        let now = self.gateway.now();
        self.plan.borrow_mut().record_data(now);
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
            spawn_release(&self.gateway, reservation);
        }
    }
}

fn terms(gateway: &Gateway) -> ReservationTerms {
    let settings = &gateway.settings;
    ReservationTerms::new(settings.memory_free_time, settings.reservation_lifetime_max)
}

/// Makes or renews all reservations in parallel; returns which engines confirm it.
async fn reserve_all(gateway: &Rc<Gateway>, reservations: &[EngineReservation]) -> Vec<bool> {
    let orders = reservations.iter().map(|reservation| {
        let order = reserve_on_engine(Rc::clone(gateway), reservation.clone());
        gateway.executor.spawn(order)
    });
    let mut orders: Vec<_> = orders.collect();
    stream::iter(orders.drain(..))
        .then(|order| order)
        .collect()
        .await
}

async fn reserve_on_engine(gateway: Rc<Gateway>, reservation: EngineReservation) -> bool {
    let call = EngineCall::Reserve {
        reservation_id: &reservation.id,
        tokens: reservation.tokens,
        lifetime: terms(&gateway).lifetime,
    };
    reservation.order.set(OrderState::Unanswered);
    let answer = send_order(&gateway, &reservation, &call).await;
    match answer {
        Ok(StatusCode::OK) => reservation.order.set(OrderState::Held),
        Ok(status) if status.is_client_error() => reservation.order.set(OrderState::NotHeld),
        _ => {}
    }
    reservation.order.get() == OrderState::Held
}

/// Renews the reservations while the engine that answers the request is seen, until this
/// is dropped or the reservations are released.
async fn renew_periodically(
    gateway: Rc<Gateway>,
    answering: AnsweringEngine,
    reservations: Vec<EngineReservation>,
    plan: Rc<RefCell<RenewalPlan>>,
) {
    loop {
        let pause = plan.borrow().pause();
        gateway.clock.sleep(pause).await;
        let checked_at = gateway.now();
        let is_heard = plan.borrow().is_heard(checked_at);
        let sign = if is_heard {
            EngineSign::Seen
        } else {
            find_sign(&gateway, &answering).await
        };
        let now = gateway.now();
        let step = plan.borrow().step(now, checked_at, sign);
        match step {
            RenewalStep::Renew => {
                let answers = reserve_all(&gateway, &reservations).await;
                for (reservation, renewed) in reservations.iter().zip(&answers) {
                    if !renewed {
                        log::warn!(
                            "event=ticket_not_renewed ticket={} upstream={}",
                            reservation.id,
                            reservation.engine
                        );
                    }
                }
                if answers.iter().all(|renewed| *renewed) {
                    plan.borrow_mut().record_renewal(now);
                }
            }
            RenewalStep::Wait => log::warn!(
                "event=tickets_not_renewed upstream={} sign={sign:?} tickets={}",
                answering.upstream,
                reservations.len()
            ),
            RenewalStep::Release => {
                log::warn!(
                    "event=tickets_given_up upstream={} sign={sign:?} tickets={}",
                    answering.upstream,
                    reservations.len()
                );
                for reservation in reservations {
                    spawn_release(&gateway, reservation);
                }
                return;
            }
        }
    }
}

/// Finds out whether the engine that answers still runs: from this node, and from others
/// if this one doesn't reach it. One that leaves may be unlisted and still answer.
async fn find_sign(gateway: &Rc<Gateway>, answering: &AnsweringEngine) -> EngineSign {
    let listed = {
        let upstreams = gateway.upstreams.borrow();
        let health = upstreams.get(&answering.upstream);
        health.map(|health| (health.entry.address, health.entry.started_ms))
    };
    if listed.is_some_and(|listed| listed != (answering.address, answering.started_ms)) {
        return EngineSign::Ended;
    }
    let outcome = if listed.is_some() {
        find_outcome(gateway, &answering.upstream).await
    } else {
        probe_address(gateway, answering.address).await
    };
    match outcome {
        ProbeOutcome::Reached => EngineSign::Seen,
        ProbeOutcome::Refused if listed.is_some() => EngineSign::Ended,
        ProbeOutcome::Refused | ProbeOutcome::Unknown => EngineSign::Unseen,
    }
}

/// Releases a reservation, unless its engine holds none. A stopping node waits for it.
fn spawn_release(gateway: &Rc<Gateway>, reservation: EngineReservation) {
    if reservation.order.get() == OrderState::NotHeld {
        return;
    }
    let order = reservation.order.replace(OrderState::NotHeld);
    let releasing = release_with_retries(Rc::clone(gateway), reservation, order);
    gateway.executor.spawn(releasing).detach();
}

async fn release_with_retries(
    gateway: Rc<Gateway>,
    reservation: EngineReservation,
    last_order: OrderState,
) {
    let open = &gateway.open_releases;
    open.set(open.get() + 1);
    release_once(&gateway, &reservation).await;
    open.set(open.get() - 1);
    if last_order == OrderState::Unanswered {
        gateway.clock.sleep(LATE_ORDER_TIME).await;
        release_once(&gateway, &reservation).await;
    }
}

/// Releases a reservation; tries again while its engine doesn't answer.
async fn release_once(gateway: &Rc<Gateway>, reservation: &EngineReservation) {
    let call = EngineCall::Release {
        reservation_id: &reservation.id,
    };
    for _ in 0..RELEASE_ATTEMPTS {
        match send_order(gateway, reservation, &call).await {
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
