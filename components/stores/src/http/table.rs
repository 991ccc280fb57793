//! The table service over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use transport::{HttpClient, HttpResponse};
use types::RowVersion;

use crate::{
    ReadMode, RowWrite, TableRow, TableService,
    http::{
        answer::decode,
        wire::{
            ConflictResponse, ReadRequest, ReadResponse, ScanRequest, ScanResponse,
            TransactRequest, TransactResponse,
        },
    },
};

const STATUS_CONFLICT: u16 = 409;

/// The table service at one address.
#[derive(Clone, Debug)]
pub struct HttpTable {
    caller: HttpClient,
}

impl HttpTable {
    /// The service at `address`, an IP number and port, with at most `limit`
    /// a call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            caller: HttpClient::new(address, clock, limit),
        }
    }

    fn conflict(&self, step: &str, answer: &HttpResponse) -> PlatformError {
        match self.caller.decode::<ConflictResponse>(step, answer) {
            Ok(conflict) => PlatformError::Conflict {
                step: step.to_owned(),
                peer: self.caller.peer().to_owned(),
                key: conflict.key,
                found: conflict.found,
            },
            Err(fault) => fault.into(),
        }
    }
}

#[async_trait]
impl TableService for HttpTable {
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError> {
        let step = "table read";
        let body = ReadRequest {
            table: table.to_owned(),
            key: key.to_owned(),
            mode,
        };
        let request = self.caller.post(step, "/table/read", &body)?;
        let answer = self.caller.call(step, request).await?;
        let found: ReadResponse = decode(&self.caller, step, answer)?;
        Ok(found.row)
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let step = "table scan";
        let body = ScanRequest {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
            limit,
            mode,
        };
        let request = self.caller.post(step, "/table/scan", &body)?;
        let answer = self.caller.call(step, request).await?;
        let found: ScanResponse = decode(&self.caller, step, answer)?;
        Ok(found.rows)
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let step = "table transact";
        let count = writes.len();
        let body = TransactRequest { writes };
        let request = self.caller.post(step, "/table/transact", &body)?;
        let answer = self.caller.call(step, request).await?;
        if answer.status() == STATUS_CONFLICT {
            return Err(self.conflict(step, &answer));
        }
        let applied: TransactResponse = decode(&self.caller, step, answer)?;
        if applied.versions.len() != count {
            let cause = format!("{} versions for {count} writes", applied.versions.len());
            return Err(self.caller.malformed(step, cause).into());
        }
        Ok(applied.versions)
    }
}
