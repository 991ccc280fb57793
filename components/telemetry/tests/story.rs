//! Tests of parsing log lines and of building the timeline of a request.

use telemetry::{LogLine, build_timeline, parse_log_line};

const SAMPLE_LOG: &str = r#"
time_ms=1000 level=INFO module=gateway::daemon event=started node=a zone=duluth
time_ms=9000 level=INFO module=gateway::attempt event=sent request=r1 upstream=i-7 tokens=0
time_ms=9500 level=WARN module=gateway::sync event=dependency_lost dependency=store reason="no answer in time"
time_ms=9600 level=WARN module=gateway::leg event=upstream_failed request=r1 upstream=i-7 reason="connection reset" age_ms=600
time_ms=9601 level=INFO module=gateway::attempt event=given_up request=r1 reason=not_repeatable may_have_run=true age_ms=601
time_ms=9602 level=INFO module=gateway::forward event=answered request=r1 status=502 own=true age_ms=602
time_ms=9603 level=INFO module=gateway::forward event=answered request=r2 status=200 own=false age_ms=9
time_ms=9700 level=INFO module=gateway::sync event=upstream_gone upstream=i-9 lapsed=false
time_ms=9800 level=INFO module=gateway::sync event=upstream_gone upstream=i-7 lapsed=false
not a line of the gateway
"#;

fn lines() -> Vec<LogLine> {
    SAMPLE_LOG
        .lines()
        .filter_map(|line| parse_log_line("a.log", line))
        .collect()
}

#[test]
fn quoted_values_and_a_source_prefix_are_parsed() {
    let line =
        r#"  0.25 node-b time_ms=7 level=WARN event=upstream_failed reason="two words" age_ms=3"#;
    let parsed = parse_log_line("file", line).unwrap();
    assert_eq!(
        (
            parsed.time_ms,
            parsed.source.as_str(),
            parsed.event.as_str()
        ),
        (7, "node-b", "upstream_failed")
    );
    assert_eq!(parsed.fields["reason"], "two words");
    assert_eq!(parsed.fields["age_ms"], "3");
    assert_eq!(lines()[0].source, "a.log");
}

#[test]
fn the_cause_of_a_failed_request_starts_with_the_given_up_reason() {
    let timeline = build_timeline("r1", &lines());
    let cause = timeline.cause.unwrap();
    assert!(cause.starts_with("not_repeatable: "), "{cause}");
    assert!(cause.contains("it may have run"), "{cause}");
    assert!(cause.ends_with("i-7: connection reset"), "{cause}");
}

#[test]
fn a_timeline_has_the_requests_lines_and_nearby_process_events() {
    let timeline = build_timeline("r1", &lines());
    let events: Vec<&str> = timeline
        .lines
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    let expected = [
        "sent",
        "dependency_lost",
        "upstream_failed",
        "given_up",
        "answered",
        "upstream_gone",
    ];
    assert_eq!(events, expected);
    assert_eq!(timeline.lines[5].fields["upstream"], "i-7");
}

#[test]
fn an_answered_request_has_its_duration_and_an_unknown_one_no_cause() {
    let answered = build_timeline("r2", &lines()).cause.unwrap();
    assert_eq!(answered, "answered 200 after 9 ms");
    assert_eq!(build_timeline("r3", &lines()).cause, None);
}
