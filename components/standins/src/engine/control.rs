//! HTTP control endpoints of the engine: kill, fault injection, state and leaving
//! the host list.

use std::time::Duration;

use http_types::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use stores::fakes::InjectedFaults;
use types::{IncarnationNumber, TokenCount};

use crate::{
    engine::EngineServer,
    reply::{Reply, json, no_content, read_json, unknown_path_response},
};

/// Body of `POST /control/kill`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct KillCall {
    /// Delay before the restart, in milliseconds; without it the engine stays down.
    restart_ms: Option<u64>,
}

/// Body of the response to `GET /control/state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct EngineStateBody {
    incarnation: IncarnationNumber,
    submits: u64,
    kv_used: TokenCount,
}

impl EngineServer {
    pub(crate) async fn control(&self, step: &str, request: &mut Request) -> Reply {
        Ok(match (request.method(), step) {
            (Method::Get, "state") => json(StatusCode::Ok, &self.state_body()),
            (Method::Post, "kill") => {
                let call: KillCall = read_json(request).await?;
                let restart_after = call.restart_ms.map(Duration::from_millis);
                self.engine().kill(restart_after);
                no_content()
            }
            (Method::Get, "faults") => {
                json(StatusCode::Ok, &self.engine().fault_injector().faults())
            }
            (Method::Post, "faults") => {
                let faults: InjectedFaults = read_json(request).await?;
                self.engine().fault_injector().set(faults);
                no_content()
            }
            (Method::Post, "leave") => {
                self.leave().await;
                no_content()
            }
            _ => unknown_path_response(),
        })
    }

    fn state_body(&self) -> EngineStateBody {
        let engine = self.engine();
        EngineStateBody {
            incarnation: engine.incarnation(),
            submits: engine.submits(),
            kv_used: engine.used_tokens(),
        }
    }
}
