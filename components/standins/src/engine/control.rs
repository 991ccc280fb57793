//! Faults of an engine that are switched over HTTP.

use std::time::Duration;

use http_types::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use stores::fakes::InjectedFaults;
use types::{IncarnationNumber, TokenCount};

use crate::{
    engine::EngineServer,
    reply::{Reply, empty, json, read_json, unknown_path},
};

/// Body of `POST /control/kill`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct KillCall {
    /// Time until it is back, in milliseconds; without, it stays down.
    restart_ms: Option<u64>,
}

/// Answer to `GET /control/state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct EngineFigures {
    incarnation: IncarnationNumber,
    submits: u64,
    kv_used: TokenCount,
}

impl EngineServer {
    pub(crate) async fn control(&self, step: &str, request: &mut Request) -> Reply {
        Ok(match (request.method(), step) {
            (Method::Get, "state") => json(StatusCode::Ok, &self.figures()),
            (Method::Post, "kill") => {
                let call: KillCall = read_json(request).await?;
                let restart_after = call.restart_ms.map(Duration::from_millis);
                self.engine().kill(restart_after);
                empty()
            }
            (Method::Get, "faults") => {
                json(StatusCode::Ok, &self.engine().fault_injector().faults())
            }
            (Method::Post, "faults") => {
                let faults: InjectedFaults = read_json(request).await?;
                self.engine().fault_injector().set(faults);
                empty()
            }
            (Method::Post, "leave") => {
                self.leave().await;
                empty()
            }
            _ => unknown_path(),
        })
    }

    fn figures(&self) -> EngineFigures {
        let engine = self.engine();
        EngineFigures {
            incarnation: engine.incarnation(),
            submits: engine.submits(),
            kv_used: engine.used_tokens(),
        }
    }
}
