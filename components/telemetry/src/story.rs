//! The story of one request, from the log lines of several processes.

use std::collections::BTreeMap;

use serde::Serialize;

/// Time before and after a request's own lines in which other events of the
/// same process may explain them.
const CONTEXT_MS: u64 = 2_000;

/// Events that concern a whole process and may explain what happened to its
/// requests.
const CONTEXT_EVENTS: [&str; 8] = [
    "started",
    "stopping",
    "stopped",
    "dependency_lost",
    "dependency_regained",
    "upstream_gone",
    "upstream_leaving",
    "log_lines_dropped",
];

/// One log line.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct LogLine {
    /// Wall-clock time in milliseconds since 1970.
    pub time_ms: u64,
    /// The process that wrote it: a prefix of the line, or the file's name.
    pub source: String,
    /// What happened.
    pub event: String,
    /// Everything else that the line says, by name.
    pub fields: BTreeMap<String, String>,
}

/// What the logs say of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct RequestTimeline {
    /// Why it ended as it did; `None` when no line says so.
    pub cause: Option<String>,
    /// Its own lines and what explains them, by time.
    pub lines: Vec<LogLine>,
}

/// Reads a line of key=value pairs; `None` for anything else. What stands
/// before the time names the process; `file` does where nothing stands there.
#[must_use]
pub fn parse_log_line(file: &str, line: &str) -> Option<LogLine> {
    let start = line.find("time_ms=")?;
    let prefix = line[..start].split_whitespace().last();
    let mut fields = read_pairs(&line[start..]);
    Some(LogLine {
        time_ms: fields.remove("time_ms")?.parse().ok()?,
        source: prefix.unwrap_or(file).to_owned(),
        event: fields.remove("event")?,
        fields,
    })
}

fn read_pairs(mut text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    while let Some((name, rest)) = text.trim_start().split_once('=') {
        let (value, after) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(' ').unwrap_or((rest, "")),
        };
        pairs.insert(name.to_owned(), value.to_owned());
        text = after;
    }
    pairs
}

/// Gathers what `lines` say of the request `id`.
#[must_use]
pub fn build_timeline(id: &str, lines: &[LogLine]) -> RequestTimeline {
    let own = |line: &&LogLine| line.fields.get("request").is_some_and(|one| one == id);
    let own: Vec<&LogLine> = lines.iter().filter(own).collect();
    let explains = |line: &LogLine| {
        let near = |one: &&LogLine| {
            one.source == line.source && one.time_ms.abs_diff(line.time_ms) <= CONTEXT_MS
        };
        CONTEXT_EVENTS.contains(&line.event.as_str())
            && line.fields.get("upstream").is_none_or(|gone| {
                let mut named = own.iter().filter_map(|one| one.fields.get("upstream"));
                named.any(|upstream| upstream == gone)
            })
            && own.iter().any(near)
    };
    let mut told: Vec<LogLine> = lines
        .iter()
        .filter(|line| own.contains(line) || explains(line))
        .cloned()
        .collect();
    told.sort_by_key(|line| line.time_ms);
    RequestTimeline {
        cause: find_cause(&own),
        lines: told,
    }
}

fn find_cause(own: &[&LogLine]) -> Option<String> {
    let last = |event: &str| own.iter().rev().find(|line| line.event == event);
    let text = |line: &LogLine, name: &str| line.fields.get(name).cloned().unwrap_or_default();
    if let Some(line) = last("given_up") {
        let reason = text(line, "reason");
        let ran = match text(line, "may_have_run").as_str() {
            "true" => "it may have run",
            _ => "it has not run",
        };
        let failures = own.iter().filter(|line| line.event == "upstream_failed");
        let failures: Vec<String> = failures
            .map(|line| format!("{}: {}", text(line, "upstream"), text(line, "reason")))
            .collect();
        let after = if failures.is_empty() {
            String::new()
        } else {
            format!("; before that {}", failures.join(", "))
        };
        return Some(format!("{}; {ran}{after}", explain(&reason)));
    }
    if let Some(line) = last("rejected") {
        return Some(format!("rejected: {}", text(line, "answer")));
    }
    if let Some(line) = last("stream_broken") {
        return Some(format!(
            "the stream of {} broke off after event {}",
            text(line, "upstream"),
            text(line, "last_event")
        ));
    }
    let over = last("stream_over")
        .map(|line| format!("; longest pause {} ms", text(line, "longest_gap_ms")))
        .unwrap_or_default();
    last("answered").map(|line| {
        format!(
            "answered {} after {} ms{over}",
            text(line, "status"),
            text(line, "age_ms")
        )
    })
}

/// What a reason of a request that was given up means.
fn explain(reason: &str) -> &str {
    match reason {
        "needs_quiet" => "needs_quiet: too few engines could read the prompt in time",
        "full" => "full: no upstream had a place and memory",
        "no_upstream" => "no_upstream: no upstream of the service takes work",
        "too_large" => "too_large: all engines together can't hold the prompt",
        "deadline" => "deadline: no time was left to send it",
        "quarantined" => "quarantined: requests like it broke several upstreams",
        "not_repeatable" => {
            "not_repeatable: it could not be sent again, by kind, number of upstreams or budget"
        }
        other => other,
    }
}
