//! Timeline of one request, collected from the logs of several processes.

use std::collections::BTreeMap;

use serde::Serialize;

/// A process-wide event belongs to the timeline if it is at most this far from
/// one of the request's lines from the same process.
const CONTEXT_WINDOW_MS: u64 = 2_000;

/// Process-wide events that may explain the outcome of a request.
const CONTEXT_EVENTS: [&str; 10] = [
    "started",
    "stopping",
    "stopped",
    "dependency_lost",
    "dependency_regained",
    "upstream_gone",
    "upstream_leaving",
    "upstream_paused",
    "store_era_changed",
    "log_lines_dropped",
];

/// A parsed log line.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct LogLine {
    /// Wall-clock time in milliseconds since 1970.
    pub time_ms: u64,
    /// Process that wrote the line: the word before the time, or else the name of
    /// the log file.
    pub source: String,
    /// Value of the line's `event` key.
    pub event: String,
    /// All other values, by key.
    pub fields: BTreeMap<String, String>,
}

/// Log lines that concern one request, and its outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct RequestTimeline {
    /// Outcome of the request and its cause, in words; `None` if the lines show no
    /// outcome.
    pub cause: Option<String>,
    /// The request's lines and nearby process-wide events, in order of time.
    pub lines: Vec<LogLine>,
}

/// Parses a line written by the logger of `init_bounded_logs`; returns `None` if
/// it has no valid `time_ms` or no `event`. The last word before the time becomes
/// the source, or `file` if there is none.
#[must_use]
pub fn parse_log_line(file: &str, line: &str) -> Option<LogLine> {
    let start = line.find("time_ms=")?;
    let prefix = line[..start].split_whitespace().last();
    let mut fields = parse_pairs(&line[start..]);
    Some(LogLine {
        time_ms: fields.remove("time_ms")?.parse().ok()?,
        source: prefix.unwrap_or(file).to_owned(),
        event: fields.remove("event")?,
        fields,
    })
}

fn parse_pairs(mut text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    while let Some((name, rest)) = text.trim_start().split_once('=') {
        let (value, remainder) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(' ').unwrap_or((rest, "")),
        };
        pairs.insert(name.to_owned(), value.to_owned());
        text = remainder;
    }
    pairs
}

/// Collects the `lines` of the request `id` and the process-wide events that may
/// explain its outcome. An event that names an upstream is included only if the
/// request's own lines name it too.
#[must_use]
pub fn build_timeline(id: &str, lines: &[LogLine]) -> RequestTimeline {
    let is_of_request = |line: &&LogLine| {
        line.fields
            .get("request")
            .is_some_and(|request| request == id)
    };
    let request_lines: Vec<&LogLine> = lines.iter().filter(is_of_request).collect();
    let is_context = |line: &LogLine| {
        let is_near = |candidate: &&LogLine| {
            candidate.source == line.source
                && candidate.time_ms.abs_diff(line.time_ms) <= CONTEXT_WINDOW_MS
        };
        CONTEXT_EVENTS.contains(&line.event.as_str())
            && line.fields.get("upstream").is_none_or(|affected| {
                let mut used = request_lines
                    .iter()
                    .filter_map(|candidate| candidate.fields.get("upstream"));
                used.any(|upstream| upstream == affected)
            })
            && request_lines.iter().any(is_near)
    };
    let mut timeline: Vec<LogLine> = lines
        .iter()
        .filter(|line| request_lines.contains(line) || is_context(line))
        .cloned()
        .collect();
    timeline.sort_by_key(|line| line.time_ms);
    RequestTimeline {
        cause: determine_cause(&request_lines),
        lines: timeline,
    }
}

fn determine_cause(request_lines: &[&LogLine]) -> Option<String> {
    let find_last = |event: &str| request_lines.iter().rev().find(|line| line.event == event);
    let text = |line: &LogLine, name: &str| line.fields.get(name).cloned().unwrap_or_default();
    if let Some(line) = find_last("given_up") {
        let reason = text(line, "reason");
        let execution = match text(line, "may_have_run").as_str() {
            "true" => "it may have run",
            _ => "it has not run",
        };
        let failures = request_lines
            .iter()
            .filter(|line| line.event == "upstream_failed");
        let failures: Vec<String> = failures
            .map(|line| format!("{}: {}", text(line, "upstream"), text(line, "reason")))
            .collect();
        let earlier_failures = if failures.is_empty() {
            String::new()
        } else {
            format!("; before that {}", failures.join(", "))
        };
        return Some(format!(
            "{}; {execution}{earlier_failures}",
            describe_reason(&reason)
        ));
    }
    if let Some(line) = find_last("rejected") {
        return Some(format!("rejected: {}", text(line, "answer")));
    }
    let broken = find_last("stream_broken").or_else(|| find_last("stream_silent"));
    if let Some(line) = broken {
        return Some(format!(
            "the stream of {} broke off after event {}",
            text(line, "upstream"),
            text(line, "last_event")
        ));
    }
    let stream_summary = find_last("stream_over")
        .map(|line| format!("; longest pause {} ms", text(line, "longest_gap_ms")))
        .unwrap_or_default();
    find_last("answered").map(|line| {
        format!(
            "answered {} after {} ms{stream_summary}",
            text(line, "status"),
            text(line, "age_ms")
        )
    })
}

/// Explains the `reason` value of a `given_up` event; unknown reasons are
/// returned as they are.
fn describe_reason(reason: &str) -> &str {
    match reason {
        "needs_quiet" => "needs_quiet: too few engines could read the prompt in time",
        "full" => "full: no upstream had a place and memory",
        "no_upstream" => "no_upstream: no upstream of the service takes work",
        "too_large" => "too_large: all engines together can't hold the prompt",
        "deadline" => "deadline: no time was left to send it",
        "quarantined" => "quarantined: requests like it broke several upstreams",
        "stopping" => "stopping: the node stops before the request could end",
        "stopped" => "stopped: the node stopped while an upstream had the request",
        "not_repeatable" => {
            "not_repeatable: it could not be sent again, by kind, number of upstreams or budget"
        }
        other => other,
    }
}
