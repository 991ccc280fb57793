//! Plans of organisations.

use serde::{Deserialize, Serialize};

/// Plan of an organisation; paying work is served before trial work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanKind {
    /// The organisation pays for the service.
    Paying,
    /// A free trial: it gets the capacity that paying work leaves, but at least the
    /// floor from the settings.
    Trial,
}
