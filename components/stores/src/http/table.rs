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
    client: HttpClient,
}

impl HttpTable {
    /// The service at `address`, an IP number and port, with at most `limit`
    /// a call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, limit: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, limit),
        }
    }

    fn conflict(&self, step: &str, response: &HttpResponse) -> PlatformError {
        match self.client.decode::<ConflictResponse>(step, response) {
            Ok(conflict) => PlatformError::Conflict {
                step: step.to_owned(),
                peer: self.client.peer().to_owned(),
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
        let request = self.client.post(step, "/table/read", &body)?;
        let response = self.client.call(step, request).await?;
        let found: ReadResponse = decode(&self.client, step, response)?;
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
        let request = self.client.post(step, "/table/scan", &body)?;
        let response = self.client.call(step, request).await?;
        let found: ScanResponse = decode(&self.client, step, response)?;
        Ok(found.rows)
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let step = "table transact";
        let count = writes.len();
        let body = TransactRequest { writes };
        let request = self.client.post(step, "/table/transact", &body)?;
        let response = self.client.call(step, request).await?;
        if response.status() == STATUS_CONFLICT {
            return Err(self.conflict(step, &response));
        }
        let applied: TransactResponse = decode(&self.client, step, response)?;
        if applied.versions.len() != count {
            let cause = format!("{} versions for {count} writes", applied.versions.len());
            return Err(self.client.malformed(step, cause).into());
        }
        Ok(applied.versions)
    }
}
