//! Calls between nodes: the desired state for nodes that can't get it from the
//! store, or need not, and connections to upstreams for nodes that are cut off.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use dispatch::VersionSource;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::{
    PlainCall, answer::AnswerBody, assist::accept_tunnel, client::PlainCaller, state::Gateway,
    sync::apply_desired, tunnel::TUNNEL_PATH,
};

/// Timeout of a call that fetches the desired state from another node.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Path under which nodes serve their copy of the desired state to each other.
const DESIRED_PATH: &str = "/peers/desired";

/// The store's row with the desired state, as one node serves it to another.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) struct DesiredRow {
    key: String,
    value: Vec<u8>,
}

/// Fetches a newer desired state from `peer`, unless a fetch is under way.
pub(crate) fn begin_fetch_desired(gateway: &Rc<Gateway>, peer: SocketAddr) {
    if gateway.begin_fetch(gateway.now(), FETCH_TIMEOUT) {
        let fetch = fetch_desired(Rc::clone(gateway), peer);
        gateway.executor.spawn(fetch).detach();
    }
}

async fn fetch_desired(gateway: Rc<Gateway>, peer: SocketAddr) {
    let mut caller = PlainCaller::new(&gateway, peer);
    let call = PlainCall {
        method: Method::GET,
        target: DESIRED_PATH.to_owned(),
        body: Bytes::new(),
    };
    let answer = gateway
        .clock
        .timeout(FETCH_TIMEOUT, caller.call(call))
        .await;
    gateway.end_fetch();
    let body = match answer {
        Some(Ok(answer)) if answer.status() == StatusCode::OK => answer.into_body(),
        other => {
            log::warn!("event=peer_fetch_failed peer={peer} answer={other:?}");
            return;
        }
    };
    match postcard::from_bytes::<DesiredRow>(&body) {
        Ok(row) => apply_desired(&gateway, &row.key, &row.value.into(), VersionSource::Peer),
        Err(error) => log::warn!("event=peer_row_unreadable peer={peer} error=\"{error}\""),
    }
}

/// Answers calls of other nodes.
pub(crate) async fn answer_peer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.uri().path() == TUNNEL_PATH {
        accept_tunnel(&gateway, request).await
    } else {
        answer_desired(&gateway, &request)
    }
}

/// Answers with this node's copy of the desired state.
fn answer_desired(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let row = gateway.desired_row.borrow();
    let found = row
        .as_ref()
        .filter(|_| request.uri().path() == DESIRED_PATH);
    let encoded = found.and_then(|(key, value)| {
        let row = DesiredRow {
            key: key.clone(),
            value: value.to_vec(),
        };
        postcard::to_stdvec(&row).ok()
    });
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    match encoded {
        Some(bytes) => *response.body_mut() = AnswerBody::from(Bytes::from(bytes)),
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
