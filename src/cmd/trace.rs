//! `gentiantally trace`: prints what nodes or logs recorded of one request.

use std::fs;

use node::api::FleetStatus;
use telemetry::{SpanRecord, build_timeline, parse_log_line};

use super::client::{NodeClient, write_json, write_line};
use crate::{cli::TraceCommand, launch::ProgramError};

/// Prints the spans of one request from every node, ordered by start time, or
/// with `--log` its timeline from log files.
///
/// # Errors
/// `ProgramError::Failed` when a call, a file or the output fails, when neither
/// `--node` nor `--log` is given, and, without `--json`, when nothing is recorded
/// under the id.
pub fn run(command: &TraceCommand) -> Result<(), ProgramError> {
    if !command.log.is_empty() {
        return print_log_timeline(command);
    }
    if command.node.is_empty() {
        return Err(ProgramError::failed(
            "trace",
            "the command line",
            "neither --node nor --log is given",
            "name a node to ask, or log files to read",
        ));
    }
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let spans = smol::block_on(collect_spans(&client, &command.id))?;
    if command.json {
        return write_json(&spans);
    }
    if spans.is_empty() {
        return Err(ProgramError::failed(
            "trace",
            &command.node,
            format!("no node that answered has spans of {}", command.id),
            "check the id; nodes keep only the newest spans",
        ));
    }
    let start = spans.iter().map(|span| span.start_us).min().unwrap_or(0);
    for span in &spans {
        write_line(&span_line(span, start))?;
    }
    Ok(())
}

/// Prints the timeline of a request from log files, preceded by the cause of
/// its outcome.
fn print_log_timeline(command: &TraceCommand) -> Result<(), ProgramError> {
    let mut lines = Vec::new();
    for path in &command.log {
        let name = path.display().to_string();
        let bytes = fs::read(path).map_err(|error| {
            ProgramError::failed(
                "trace",
                &name,
                error.to_string(),
                "check the path of the file",
            )
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| parse_log_line(&name, line)));
    }
    let timeline = build_timeline(&command.id, &lines);
    if command.json {
        return write_json(&timeline);
    }
    let Some(start) = timeline.lines.first().map(|line| line.time_ms) else {
        return Err(ProgramError::failed(
            "trace",
            "the log files",
            format!("no log line contains {}", command.id),
            "check the id and pass the logs of all nodes",
        ));
    };
    let cause = timeline
        .cause
        .as_deref()
        .unwrap_or("no log line records how the request ended");
    write_line(&format!("cause: {cause}"))?;
    for line in &timeline.lines {
        let fields = line.fields.iter().filter(|(name, _)| *name != "module");
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        write_line(&format!(
            "+{:>6} ms  {}  {} {}",
            line.time_ms - start,
            line.source,
            line.event,
            fields.join(" ")
        ))?;
    }
    Ok(())
}

async fn collect_spans(client: &NodeClient, id: &str) -> Result<Vec<SpanRecord>, ProgramError> {
    let status: FleetStatus = client.get("status", "/v1/operator/status").await?;
    let path = format!("/v1/operator/traces/{id}");
    let mut spans: Vec<SpanRecord> = Vec::new();
    for member in &status.members {
        // A node whose call fails is skipped; the spans of the others are still shown.
        if let Ok(found) = client
            .with_address(&member.callers)
            .get::<Vec<SpanRecord>>("trace", &path)
            .await
        {
            spans.extend(found);
        }
    }
    spans.sort_by_key(|span| span.start_us);
    Ok(spans)
}

fn span_line(span: &SpanRecord, start: u64) -> String {
    let outcome = span.failure.as_deref().unwrap_or("ok");
    format!(
        "+{:>9.3} ms {:>9.3} ms  {} {} {} [{}] {outcome}",
        milliseconds(span.start_us - start),
        milliseconds(span.duration_us),
        span.node,
        span.name,
        span.request,
        span.attributes.join(" ")
    )
}

#[allow(clippy::cast_precision_loss)]
fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}
