//! Lists orders for operators, and settles orders in doubt by hand.

use errors::PlatformError;
use orders::{ManualSettleError, OrderName, OrderVerdict, settle_manually};
use types::OrganisationId;

use super::{
    OrderListing, OrderService,
    ledger::{DOUBTS_TABLE, ORDERS_TABLE, parse_order},
};

impl OrderService {
    /// Reads one order; `None` when it is not recorded.
    ///
    /// # Errors
    /// `PlatformError` when the table service can't be read.
    pub async fn show(&self, name: &OrderName) -> Result<Option<OrderListing>, PlatformError> {
        let found = self.context.ledger.order(&name.row_key()).await?;
        Ok(found.map(|found| OrderListing {
            name: name.clone(),
            row: found.row,
        }))
    }

    /// At most `limit` orders in doubt after `after`, ordered by row key.
    ///
    /// # Errors
    /// `PlatformError` when the table service can't be read.
    pub async fn list_in_doubt(
        &self,
        after: Option<&OrderName>,
        limit: usize,
    ) -> Result<Vec<OrderListing>, PlatformError> {
        let after = after.map(OrderName::row_key);
        let ledger = &self.context.ledger;
        let doubts = ledger
            .scan(DOUBTS_TABLE, "", after.as_deref(), limit)
            .await?;
        let mut listings = Vec::new();
        for doubt in doubts {
            let found = ledger.order(&doubt.key).await?;
            let found = found.filter(|found| found.row.in_doubt());
            let name = OrderName::from_row_key(&doubt.key);
            if let (Some(found), Some(name)) = (found, name) {
                let row = found.row;
                listings.push(OrderListing { name, row });
            }
        }
        Ok(listings)
    }

    /// At most `limit` orders of one organisation after `after`, ordered by
    /// row key. Rows that can't be parsed are left out.
    ///
    /// # Errors
    /// `PlatformError` when the table service can't be read.
    pub async fn list(
        &self,
        organisation: &OrganisationId,
        after: Option<&OrderName>,
        limit: usize,
    ) -> Result<Vec<OrderListing>, PlatformError> {
        let after = after.map(OrderName::row_key);
        let prefix = OrderName::row_key_prefix(organisation);
        let ledger = &self.context.ledger;
        let rows = ledger
            .scan(ORDERS_TABLE, &prefix, after.as_deref(), limit)
            .await?;
        let listings = rows.iter().filter_map(|row| {
            let name = OrderName::from_row_key(&row.key)?;
            let found = parse_order(row).ok()?;
            Some(OrderListing {
                name,
                row: found.row,
            })
        });
        Ok(listings.collect())
    }

    /// Settles an order in doubt with an operator's verdict.
    ///
    /// # Errors
    /// `ManualSettleError` when the order was not settled; after `StoreUnavailable`
    /// it may have been settled.
    pub async fn settle(
        &self,
        name: &OrderName,
        verdict: &OrderVerdict,
    ) -> Result<(), ManualSettleError> {
        let row_key = name.row_key();
        let found = self.context.ledger.order(&row_key).await;
        let found = found.map_err(|_| ManualSettleError::StoreUnavailable)?;
        let write = settle_manually(found.as_ref(), verdict, self.context.wall.now())?;
        match self.context.writer.write(row_key.clone(), write).await {
            Ok(_) => {
                log::info!("event=order_settled_by_hand order={row_key}");
                Ok(())
            }
            Err(PlatformError::Conflict { .. }) => Err(ManualSettleError::Changed),
            Err(_) => Err(ManualSettleError::StoreUnavailable),
        }
    }
}
