//! JSON bodies of calls to the platform's services and of their responses.

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
    /// Consistency of the read.
    pub mode: ReadMode,
}

/// Body of the response to `POST /table/read`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadResponse {
    /// The row; `null` when it does not exist.
    pub row: Option<TableRow>,
}

/// Body of `POST /table/scan`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanRequest {
    /// Table of the rows.
    pub table: String,
    /// Prefix that the keys must have.
    pub prefix: String,
    /// Key after which the scan starts; `null` to start at the first key.
    pub after: Option<String>,
    /// Maximum number of rows in the response.
    pub limit: usize,
    /// Consistency of the read.
    pub mode: ReadMode,
}

/// Body of the response to `POST /table/scan`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanResponse {
    /// Matching rows in key order.
    pub rows: Vec<TableRow>,
}

/// Body of `POST /table/transact`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactRequest {
    /// Writes to apply atomically.
    pub writes: Vec<RowWrite>,
}

/// Body of the 200 response to `POST /table/transact`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactResponse {
    /// New versions in the order of the writes, with 0 for a deleted row.
    pub versions: Vec<RowVersion>,
}

/// Body of the 409 response to `POST /table/transact`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConflictResponse {
    /// Key of the first row whose precondition failed.
    pub key: String,
    /// Current version of the row; `null` when it does not exist.
    pub found: Option<RowVersion>,
}

/// Body of `POST /weights/slot`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRequest {
    /// Model whose weights are to be loaded.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: ModelVersion,
}

/// Body of `POST /hosts/leaving` and `POST /hosts/deregister`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostDeparture {
    /// Id of the listed host.
    pub id: UpstreamId,
    /// Incarnation of the process; the call is ignored when it is older than the
    /// listed one.
    pub incarnation: IncarnationNumber,
}
