//! Sends the scheduler periodic ticks.

use std::{sync::Arc, time::Duration};

use kernel::CancellationToken;
use routing::SchedulerEvent;

use super::PromptService;

impl PromptService {
    /// Sends the scheduler a `Tick` event every `interval` until `token` is cancelled.
    pub async fn run_ticker(self: Arc<Self>, interval: Duration, token: CancellationToken) {
        while !token.is_cancelled() {
            smol::future::or(self.clock.sleep(interval), token.cancelled()).await;
            self.handle(SchedulerEvent::Tick);
        }
    }
}
