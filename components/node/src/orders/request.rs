//! What callers, settings and the directory hand to the orders service.

use std::{sync::Arc, time::Duration};

use notes::ServiceGuarantee;
use orders::{GuardSet, OrderName, OrderRow};
use serde::Serialize;
use types::{NodeId, UpstreamId};
use upstream::PlainService;

/// One submission of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRequest {
    /// Organisation, service and the caller's key.
    pub name: OrderName,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: String,
    /// Nothing is sent after this time.
    pub deadline_in: Duration,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// One process of a plain service.
#[derive(Clone)]
pub struct ServicePeer {
    /// Its id.
    pub id: UpstreamId,
    /// The process.
    pub client: Arc<dyn PlainService>,
}

/// A plain service as the release note and the host list give it.
#[derive(Clone)]
pub struct ServiceTarget {
    /// What it promises about repeated orders.
    pub guarantee: ServiceGuarantee,
    /// Time limit of one call.
    pub timeout: Duration,
    /// Its live processes, best first.
    pub peers: Vec<ServicePeer>,
}

/// Settings of the orders service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// This node.
    pub node: NodeId,
    /// Time limit of one call to the table service.
    pub store_limit: Duration,
    /// How long after a service's timeout its answer still settles an order.
    pub late_answer_limit: Duration,
    /// Most orders that one transaction writes; 1 turns batching off.
    pub batch_orders: usize,
    /// Most transactions under way at once.
    pub concurrent_commits: usize,
    /// Guards of the state machine; all, but in tests of the checker.
    pub guards: GuardSet,
}

impl OrderSettings {
    /// The settings of a node that sets nothing itself.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            store_limit: Duration::from_secs(1),
            late_answer_limit: Duration::from_secs(30),
            batch_orders: 32,
            concurrent_commits: 4,
            guards: GuardSet::default(),
        }
    }
}

/// One order as an operator sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct OrderListing {
    /// Its name.
    pub name: OrderName,
    /// Its row.
    pub row: OrderRow,
}
