//! Bodies of the platform's HTTP calls.

use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, ModelId, ModelVersion, RowVersion, UpstreamId};

use crate::{ReadMode, RowWrite, TableRow};

/// Body of `POST /table/read`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadRequest {
    /// Table of the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// How fresh the read must be.
    pub mode: ReadMode,
}

/// Answer to `POST /table/read`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadResponse {
    /// The row, if there is one.
    pub row: Option<TableRow>,
}

/// Body of `POST /table/scan`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanRequest {
    /// Table of the rows.
    pub table: String,
    /// What the keys start with.
    pub prefix: String,
    /// The key after which to begin.
    pub after: Option<String>,
    /// Most rows to answer.
    pub limit: usize,
    /// How fresh the read must be.
    pub mode: ReadMode,
}

/// Answer to `POST /table/scan`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanResponse {
    /// The rows, in key order.
    pub rows: Vec<TableRow>,
}

/// Body of `POST /table/transact`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactRequest {
    /// The writes; all take effect or none.
    pub writes: Vec<RowWrite>,
}

/// Answer to `POST /table/transact` with status 200.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactResponse {
    /// New versions in the order of the writes; 0 for a deleted row.
    pub versions: Vec<RowVersion>,
}

/// Answer to `POST /table/transact` with status 409.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConflictResponse {
    /// Key of the first row that differed.
    pub key: String,
    /// Version the row has; `null` when it is absent.
    pub found: Option<RowVersion>,
}

/// Body of `POST /weights/slot`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRequest {
    /// Model to load.
    pub model: ModelId,
    /// Version of its weights.
    pub version: ModelVersion,
}

/// Body of `POST /hosts/leaving` and `POST /hosts/deregister`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostDeparture {
    /// The host.
    pub id: UpstreamId,
    /// Life of the process that departs; an older one than listed is ignored.
    pub incarnation: IncarnationNumber,
}
