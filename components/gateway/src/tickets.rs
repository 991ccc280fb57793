//! Memory that engines set aside for a prompt no engine can hold alone.
//!
//! Reservations are short and renewed, so that memory comes back soon when
//! this node dies; they are released when the request has ended.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use futures_lite::StreamExt;
use http::StatusCode;
use smol::{Task, stream};
use types::{TokenCount, UpstreamId};

use crate::{EngineCall, client::PlainCaller, state::Gateway};

/// Life of a reservation. An engine must have its memory back four seconds
/// after the request, also when this node died right after a renewal.
const HOLD_TIME: Duration = Duration::from_millis(3200);
/// Pause between two renewals: two may be lost.
const RENEW_PAUSE: Duration = Duration::from_secs(1);
/// Time for an engine's answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(400);
/// Attempts to release a reservation before it is left to lapse.
const RELEASE_TRIES: u32 = 3;

/// Reservations of one request; dropping it gives them back.
pub(crate) struct TicketSet {
    gateway: Rc<Gateway>,
    tickets: Vec<EngineTicket>,
    renewal: Option<Task<()>>,
}

#[derive(Clone, Debug)]
struct EngineTicket {
    name: String,
    engine: UpstreamId,
    address: SocketAddr,
    tokens: TokenCount,
}

thread_local! {
    static TICKET_COUNT: Cell<u64> = const { Cell::new(0) };
}

impl TicketSet {
    /// Reserves all of `shares` at once; on failure, returns the engine that
    /// had no memory and gives the rest back.
    pub(crate) async fn reserve(
        gateway: &Rc<Gateway>,
        request: &str,
        shares: &[(UpstreamId, TokenCount)],
    ) -> Result<Self, UpstreamId> {
        let mut set = Self {
            gateway: Rc::clone(gateway),
            tickets: Vec::new(),
            renewal: None,
        };
        for (engine, tokens) in shares {
            let upstreams = gateway.upstreams.borrow();
            let Some(view) = upstreams.get(engine) else {
                return Err(engine.clone());
            };
            let number = TICKET_COUNT.get();
            TICKET_COUNT.set(number + 1);
            set.tickets.push(EngineTicket {
                name: format!("{request}-{:x}-{number}", gateway.life),
                engine: engine.clone(),
                address: view.entry.address,
                tokens: *tokens,
            });
        }
        let orders = set.tickets.iter().map(|ticket| {
            let order = reserve_one(Rc::clone(gateway), ticket.clone());
            gateway.executor.spawn(order)
        });
        let mut orders: Vec<_> = orders.collect();
        let mut refused = None;
        let answers: Vec<bool> = stream::iter(orders.drain(..))
            .then(|order| order)
            .collect()
            .await;
        for (ticket, granted) in set.tickets.iter().zip(answers) {
            if !granted {
                refused = Some(ticket.engine.clone());
            }
        }
        if let Some(engine) = refused {
            return Err(engine);
        }
        let renewal = renew(Rc::clone(gateway), set.tickets.clone());
        set.renewal = Some(gateway.executor.spawn(renewal));
        Ok(set)
    }

    /// Addresses and names, in the order in which memory is filled.
    pub(crate) fn holders(&self) -> Vec<(SocketAddr, Option<String>)> {
        let holders = self.tickets.iter();
        holders
            .map(|ticket| (ticket.address, Some(ticket.name.clone())))
            .collect()
    }
}

impl Drop for TicketSet {
    fn drop(&mut self) {
        for ticket in self.tickets.drain(..) {
            let release = release(Rc::clone(&self.gateway), ticket);
            self.gateway.executor.spawn(release).detach();
        }
    }
}

async fn reserve_one(gateway: Rc<Gateway>, ticket: EngineTicket) -> bool {
    let call = EngineCall::Reserve {
        ticket: &ticket.name,
        tokens: ticket.tokens,
        hold: HOLD_TIME.min(gateway.settings.reserve_time),
    };
    matches!(order(&gateway, &ticket, &call).await, Ok(status) if status == StatusCode::OK)
}

async fn renew(gateway: Rc<Gateway>, tickets: Vec<EngineTicket>) {
    loop {
        gateway.clock.sleep(RENEW_PAUSE).await;
        for ticket in &tickets {
            if !reserve_one(Rc::clone(&gateway), ticket.clone()).await {
                log::warn!(
                    "event=ticket_not_renewed ticket={} upstream={}",
                    ticket.name,
                    ticket.engine
                );
            }
        }
    }
}

async fn release(gateway: Rc<Gateway>, ticket: EngineTicket) {
    let call = EngineCall::Release {
        ticket: &ticket.name,
    };
    for _ in 0..RELEASE_TRIES {
        match order(&gateway, &ticket, &call).await {
            Ok(status) if status != StatusCode::SERVICE_UNAVAILABLE => return,
            other => log::warn!(
                "event=ticket_not_released ticket={} upstream={} answer={other:?}",
                ticket.name,
                ticket.engine
            ),
        }
        gateway.clock.sleep(ORDER_TIME).await;
    }
}

async fn order(
    gateway: &Rc<Gateway>,
    ticket: &EngineTicket,
    call: &EngineCall<'_>,
) -> Result<StatusCode, String> {
    let mut caller = PlainCaller::new(Rc::clone(&gateway.executor), ticket.address);
    let call = gateway.dialect.engine_call(call);
    match gateway.clock.timeout(ORDER_TIME, caller.call(call)).await {
        Some(Ok((status, _))) => Ok(status),
        Some(Err(error)) => Err(error.to_string()),
        None => Err("no answer in time".to_owned()),
    }
}
