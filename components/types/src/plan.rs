//! Plans of organisations.

use serde::{Deserialize, Serialize};

/// Plan of an organisation; paying work is served before trial work, except for
/// the share of engine time that is guaranteed to trial work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanKind {
    /// The organisation pays for the service.
    Paying,
    /// A free trial: it gets the capacity that paying work leaves, but at least the
    /// fraction of engine time set as the trial floor in the settings.
    Trial,
}
