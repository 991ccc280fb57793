//! `gentiantally trace`.

use std::fs;

use node::api::FleetStatus;
use telemetry::{SpanRecord, build_timeline, parse_log_line};

use super::client::{NodeClient, write_json, write_line};
use crate::{cli::TraceCommand, launch::LaunchError};

/// Gathers the spans of one request from every node and prints them in the
/// order of their starts.
///
/// # Errors
/// `LaunchError::Failed`, also when no node knows the id.
pub fn run(command: &TraceCommand) -> Result<(), LaunchError> {
    if !command.log.is_empty() {
        return tell_from_logs(command);
    }
    if command.node.is_empty() {
        return Err(LaunchError::failed(
            "trace",
            "the command line",
            "neither --node nor --log is given",
            "name a node to ask, or log files to read",
        ));
    }
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let spans = smol::block_on(gather(&client, &command.id))?;
    if command.json {
        return write_json(&spans);
    }
    if spans.is_empty() {
        return Err(LaunchError::failed(
            "trace",
            &command.node,
            format!("no node keeps spans of {}", command.id),
            "check the id; nodes keep the newest spans only",
        ));
    }
    let start = spans.iter().map(|span| span.start_us).min().unwrap_or(0);
    for span in &spans {
        write_line(&span_line(span, start))?;
    }
    Ok(())
}

/// Tells the story of a request from log files, its cause first.
fn tell_from_logs(command: &TraceCommand) -> Result<(), LaunchError> {
    let mut lines = Vec::new();
    for path in &command.log {
        let name = path.display().to_string();
        let bytes = fs::read(path).map_err(|error| {
            LaunchError::failed("trace", &name, error.to_string(), "check the file's name")
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| parse_log_line(&name, line)));
    }
    let story = build_timeline(&command.id, &lines);
    if command.json {
        return write_json(&story);
    }
    let Some(start) = story.lines.first().map(|line| line.time_ms) else {
        return Err(LaunchError::failed(
            "trace",
            "the log files",
            format!("no line names {}", command.id),
            "check the id and give the logs of all nodes",
        ));
    };
    let cause = story
        .cause
        .as_deref()
        .unwrap_or("no line tells how it ended");
    write_line(&format!("cause: {cause}"))?;
    for line in &story.lines {
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

async fn gather(client: &NodeClient, id: &str) -> Result<Vec<SpanRecord>, LaunchError> {
    let status: FleetStatus = client.get("status", "/v1/operator/status").await?;
    let path = format!("/v1/operator/traces/{id}");
    let mut spans: Vec<SpanRecord> = Vec::new();
    for member in &status.members {
        // A node that is gone keeps nothing; the others still tell.
        if let Ok(found) = client
            .at(&member.callers)
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
