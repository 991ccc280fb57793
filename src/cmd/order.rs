//! `gentiantally order`: lists, shows and settles orders.

use serde_json::{Value, json};

use super::client::{NodeClient, write_json, write_line};
use crate::{
    cli::{OrderAction, OrderList, OrderSettle, OrderShow},
    launch::ProgramError,
};

/// Runs one of the actions on orders.
///
/// # Errors
/// `ProgramError::Usage` for invalid arguments, `ProgramError::Failed` when the
/// call to the node or the output fails.
pub fn run(action: OrderAction) -> Result<(), ProgramError> {
    match action {
        OrderAction::List(command) => list(&command),
        OrderAction::Show(command) => show(&command),
        OrderAction::Settle(command) => settle(&command),
    }
}

fn list(command: &OrderList) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let path = match &command.organisation {
        Some(organisation) => format!("/v1/operator/orders?organisation={organisation}"),
        None => "/v1/operator/orders".to_owned(),
    };
    let listings: Vec<Value> = smol::block_on(client.get("order list", &path))?;
    if command.json {
        return write_json(&listings);
    }
    for listing in &listings {
        write_line(&order_line(listing))?;
    }
    write_line(&format!("{} orders", listings.len()))
}

fn show(command: &OrderShow) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let listing: Value = smol::block_on(client.get("order show", &order_path(&command.name)))?;
    if command.json {
        return write_json(&listing);
    }
    write_line(&order_line(&listing))
}

fn settle(command: &OrderSettle) -> Result<(), ProgramError> {
    let verdict = match (command.done, command.not_run) {
        (Some(status), false) => json!({
            "verdict": "done",
            "answer": {
                "status": status,
                "content_type": "application/json",
                "body": command.body,
                "truncated": false,
            },
        }),
        (None, true) => json!({"verdict": "not_run", "cause": {"code": "settled_by_hand"}}),
        _ => {
            return Err(ProgramError::Usage(
                "give exactly one of --done STATUS and --not-run to settle an order".to_owned(),
            ));
        }
    };
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let path = order_path(&command.name);
    let listing: Value = smol::block_on(client.post("order settle", &path, verdict.to_string()))?;
    if command.json {
        return write_json(&listing);
    }
    write_line(&order_line(&listing))
}

fn order_path(name: &str) -> String {
    format!("/v1/operator/orders/{name}")
}

fn order_line(listing: &Value) -> String {
    let field = |name: &str| {
        listing["name"][name]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    format!(
        "{}/{}/{}: {}",
        field("organisation"),
        field("service"),
        field("key"),
        listing["row"]["phase"]
    )
}
