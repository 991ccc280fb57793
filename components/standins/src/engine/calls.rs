//! Implements [`ModelEngine`] for the stand-in, for calls within the process.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use model::{AttemptSpec, HoldSpec, KvImportSpec};
use smol::channel::unbounded;
use transport::HttpClient;
use types::{AttemptId, EngineOrder, EngineReport, RequestId, estimate_tokens, prefix_hashes};
use upstream::{
    CacheBatch, EngineCall, KvExport, KvImport, KvReservation, ModelEngine, TokenStream,
};

use crate::engine::{
    StandinEngine,
    attempts::{AttemptStream, RunningAttempt},
    standin::STATUS_NOT_FOUND,
};

const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

#[async_trait]
impl ModelEngine for StandinEngine {
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError> {
        let step = "engine submit";
        self.check_alive(step)?;
        self.check_loaded(&call)?;
        log::debug!(
            "event=standin_attempt engine={} request={} attempt={} traceparent={}",
            self.settings.id,
            call.request,
            call.attempt,
            call.traceparent
        );
        let (sender, events) = unbounded();
        let crashes_engine = self.settings.crashes_on(&call.prompt);
        let running = RunningAttempt::new(&call, crashes_engine, sender);
        let spec = attempt_spec(&call);
        // If the response is lost, the stream is dropped, which cancels the attempt.
        let stream = self.run_write(step, |state, now| {
            let sequence = state.simulation.submit(now, spec)?;
            let key = state.attempt_key(sequence);
            state.attempts.insert(key, running);
            state.submits += 1;
            Ok(AttemptStream {
                engine: self.weak_self.clone(),
                key,
                events: Box::pin(events),
            })
        });
        Ok(Box::pin(stream.await?))
    }

    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.run_write("engine cancel", |state, now| {
            state.fail_stream(request, attempt, "cancelled");
            state.simulation.cancel(now, request, attempt);
            Ok(())
        })
        .await
    }

    async fn report(&self) -> Result<EngineReport, UpstreamError> {
        let delay = Duration::from_millis(self.settings.report_delay_ms);
        let report = self.run_read("engine report", |state, now| {
            let simulated_now = self.scale.to_simulated(now);
            let latest = state.reports.latest_visible(now, delay);
            latest.unwrap_or_else(|| state.simulation.report(simulated_now))
        });
        Ok(self.scale.report_to_clock(report.await?))
    }

    async fn cache_events(&self, after: u64) -> Result<CacheBatch, UpstreamError> {
        self.run_read("engine cache events", |state, now| {
            state.cache.batch(after, now)
        })
        .await
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        let ready = self.clock.now() + Duration::from_millis(self.settings.load_ms);
        self.run_write("engine order", |state, _| {
            state.simulation.apply_order(&order)?;
            let kept = state.loads.replace(&order, &state.loaded_models, ready);
            state.set_loaded_models(kept);
            Ok(())
        })
        .await
    }

    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError> {
        let spec = self.reservation_spec(&reservation);
        self.run_write("engine reserve", |state, now| {
            state.simulation.reserve(now, &spec)
        })
        .await
    }

    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.run_write("engine release", |state, now| {
            state.simulation.release(now, request, attempt);
            Ok(())
        })
        .await
    }

    async fn export_kv(
        &self,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExport, UpstreamError> {
        let lifetime = self.scale.to_simulated_duration(lifetime);
        let export = self.run_write("engine export", |state, now| {
            let export = state
                .simulation
                .export_kv(now, request, attempt, lifetime)?;
            state.fail_stream(request, attempt, "exported");
            Ok(export)
        });
        let export = export.await?;
        Ok(KvExport {
            export: export.export,
            tokens: export.tokens,
        })
    }

    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError> {
        let step = "engine import";
        self.check_alive(step)?;
        let export = self.fetch_export(&import).await?;
        let spec = KvImportSpec {
            hold: HoldSpec {
                request: import.request,
                attempt: import.attempt,
                holder: import.holder,
                tokens: export.tokens,
                lifetime: self.scale.to_simulated_duration(import.lifetime),
            },
            filled: export.tokens,
        };
        self.run_write(step, |state, now| state.simulation.import_kv(now, &spec))
            .await?;
        Ok(())
    }
}

impl StandinEngine {
    fn check_loaded(&self, call: &EngineCall) -> Result<(), UpstreamError> {
        let loaded = self.with_state(|state| {
            let now = self.clock.now();
            state.apply_finished_loads(now);
            state.holds_model(call)
        });
        if loaded {
            return Ok(());
        }
        let cause = format!("{} {} is not loaded", call.model, call.version);
        Err(self.refused_error("engine submit", STATUS_NOT_FOUND, cause))
    }

    fn reservation_spec(&self, reservation: &KvReservation) -> HoldSpec {
        HoldSpec {
            request: reservation.request.clone(),
            attempt: reservation.attempt,
            holder: reservation.holder.clone(),
            tokens: reservation.tokens,
            lifetime: self.scale.to_simulated_duration(reservation.lifetime),
        }
    }

    /// Fetches the size of a KV export from the engine that holds it.
    async fn fetch_export(&self, import: &KvImport) -> Result<KvExport, UpstreamError> {
        let step = "engine import";
        let caller = HttpClient::new(import.source.clone(), self.clock.clone(), FETCH_TIMEOUT);
        let request = caller.post(step, "/engine/fetch", &import.export)?;
        let answer = caller.call(step, request).await?;
        if answer.status() == STATUS_NOT_FOUND {
            let cause = format!("no export {} on {}", import.export, import.source);
            return Err(self.refused_error(step, STATUS_NOT_FOUND, cause));
        }
        Ok(caller.decode(step, &answer)?)
    }
}

fn attempt_spec(call: &EngineCall) -> AttemptSpec {
    AttemptSpec {
        request: call.request.clone(),
        attempt: call.attempt,
        priority: call.priority,
        prompt_tokens: estimate_tokens(&call.prompt),
        resume_at: call.resume_at,
        output_tokens: call.output_tokens,
        answer_tokens: call.output_tokens,
        prefixes: prefix_hashes(
            &call.model,
            &call.version,
            call.adapter.as_ref(),
            &call.prompt,
        ),
        members: u32::try_from(call.members.len()).unwrap_or(u32::MAX),
        member_tokens: call.members.iter().map(|member| member.tokens).sum(),
    }
}
