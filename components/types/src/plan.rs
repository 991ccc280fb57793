//! The plan an organisation is on.

use serde::{Deserialize, Serialize};

/// Whether an organisation pays; paying work goes before trial work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanKind {
    /// A paying organisation.
    Paying,
    /// A free trial: it gets what paying work leaves, down to a settable floor.
    Trial,
}
