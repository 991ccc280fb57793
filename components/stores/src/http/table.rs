//! HTTP client of the table service.

use std::time::Duration;

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use transport::{HttpClient, HttpResponse};
use types::RowVersion;

use crate::{
    ReadMode, RowWrite, TableRow, TableService,
    http::{
        answer::decode_body,
        wire::{
            ConflictResponse, ReadRequest, ReadResponse, ScanRequest, ScanResponse,
            TransactRequest, TransactResponse,
        },
    },
};

const STATUS_CONFLICT: u16 = 409;

/// Client of the table service at one address.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: HttpClient,
}

impl HttpTable {
    /// Creates a client for `address`, an IP address and port, with at most `timeout`
    /// for each call.
    #[must_use]
    pub fn new(address: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, clock, timeout),
        }
    }

    fn conflict_error(&self, step: &str, response: &HttpResponse) -> PlatformError {
        match self.client.decode::<ConflictResponse>(step, response) {
            Ok(conflict) => PlatformError::Conflict {
                step: step.to_owned(),
                peer: self.client.peer().to_owned(),
                key: conflict.key,
                found: conflict.found,
            },
            Err(error) => error.into(),
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
        let read: ReadResponse = decode_body(&self.client, step, response)?;
        Ok(read.row)
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
        let scanned: ScanResponse = decode_body(&self.client, step, response)?;
        Ok(scanned.rows)
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let step = "table transact";
        let write_count = writes.len();
        let body = TransactRequest { writes };
        let request = self.client.post(step, "/table/transact", &body)?;
        let response = self.client.call(step, request).await?;
        if response.status() == STATUS_CONFLICT {
            return Err(self.conflict_error(step, &response));
        }
        let applied: TransactResponse = decode_body(&self.client, step, response)?;
        if applied.versions.len() != write_count {
            let cause = format!(
                "{} versions returned for {write_count} writes",
                applied.versions.len()
            );
            return Err(self.client.malformed(step, cause).into());
        }
        Ok(applied.versions)
    }
}
