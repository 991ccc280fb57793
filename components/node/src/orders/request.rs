//! Requests, targets and settings of the orders service.

use std::{sync::Arc, time::Duration};

use notes::ServiceGuarantee;
use orders::{GuardSet, OrderName, OrderRow};
use serde::Serialize;
use types::{NodeId, UpstreamId};
use upstream::PlainService;

/// One submission of an order by a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderRequest {
    /// Organisation, service and order key of the caller.
    pub name: OrderName,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Media type of `body`.
    pub content_type: String,
    /// Body to send to the service.
    pub body: String,
    /// Time left until the deadline, after which nothing is sent.
    pub deadline_in: Duration,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// One process of a plain service.
#[derive(Clone)]
pub struct ServicePeer {
    /// Id of the process in the host list.
    pub id: UpstreamId,
    /// Client for calls to the process.
    pub client: Arc<dyn PlainService>,
}

/// A plain service, from the release note in force and the host list.
#[derive(Clone)]
pub struct ServiceTarget {
    /// Guarantee of the service for repeated orders.
    pub guarantee: ServiceGuarantee,
    /// Time limit of one call.
    pub timeout: Duration,
    /// Live processes of the service, the preferred one first.
    pub peers: Vec<ServicePeer>,
}

/// Settings of the orders service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// Id of this node, written to the rows of its attempts.
    pub node: NodeId,
    /// Time limit of one call to the table service.
    pub store_limit: Duration,
    /// Time after a service's timeout in which its answer still settles an
    /// order.
    pub late_answer_limit: Duration,
    /// Maximum number of orders in one transaction; 1 turns batching off.
    pub batch_orders: usize,
    /// Maximum number of concurrent transactions.
    pub concurrent_commits: usize,
    /// Guards of the state machine. Only tests of the history checker turn any
    /// of them off.
    pub guards: GuardSet,
}

impl OrderSettings {
    /// Default settings for `node`.
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

/// One order with its row, as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct OrderListing {
    /// Organisation, service and order key.
    pub name: OrderName,
    /// Row in the table service.
    pub row: OrderRow,
}
