//! All faults of a settings document are reported together, with line and column.

use errors::SettingsError;
use settings::parse_node_settings;

/// Valid once `valid` has replaced the placeholders SECRET and DIGEST, which are
/// themselves an invalid secret and an invalid digest.
const VALID: &str = r#"{
  // identity
  "node": {"id": "duluth-1", "zone": "duluth", "region": "lakes"},
  "addresses": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {
    "table": "127.0.0.1:1", "objects": "127.0.0.1:2",
    "weights": "127.0.0.1:3", "hosts": "127.0.0.1:4",
  },
  "cluster_keys": [{"id": 1, "secret": "SECRET"}],
  "operator_key_digests": ["DIGEST"],
}"#;

fn valid() -> String {
    VALID
        .replace("SECRET", &"ab".repeat(32))
        .replace("DIGEST", &"0f".repeat(32))
}

fn fault_lines(text: &str) -> String {
    parse_node_settings("node.jsonc", text)
        .unwrap_err()
        .to_string()
}

#[test]
fn a_valid_document_is_accepted() {
    let settings = parse_node_settings("node.jsonc", &valid()).unwrap();

    assert_eq!(settings.node.zone, "duluth");
    assert_eq!(settings.limits.body_bytes, 16 * 1024 * 1024);
}

#[test]
fn faults_of_type_and_spelling_are_listed_together() {
    let text = valid()
        .replace(r#""zone": "duluth""#, r#""zone": 7"#)
        .replace(r#""hosts": "127.0.0.1:4""#, r#""host": "127.0.0.1:4""#)
        .replace(r#""id": 1"#, r#""id": "one""#)
        .replace(
            r#""operator_key_digests""#,
            r#""limits": {"body_byte": 5}, "operator_key_digests""#,
        );

    insta::assert_snapshot!(fault_lines(&text));
}

#[test]
fn faults_of_meaning_are_listed_together() {
    let text = VALID
        .replace("127.0.0.1:1", "table.example")
        .replace("duluth-1", "duluth 1")
        .replace(
            r#""operator_key_digests""#,
            r#""timeouts": {"drain_ms": 1}, "operator_key_digests""#,
        );

    insta::assert_snapshot!(fault_lines(&text));
}

#[test]
fn knobs_out_of_their_ranges_are_faults() {
    let text = valid().replace(
        r#""operator_key_digests""#,
        r#""scheduling": {"trial_floor": 2, "wait_margin": 0.5, "attempt_limit": 0,
          "queue": {"requests": 0}}, "operator_key_digests""#,
    );

    insta::assert_snapshot!(fault_lines(&text));
}

#[test]
fn a_doubled_field_is_a_fault() {
    let text = valid().replace(
        r#""zone": "duluth""#,
        r#""zone": "duluth", "zone": "sault""#,
    );

    insta::assert_snapshot!(fault_lines(&text));
}

#[test]
fn broken_syntax_names_line_and_column() {
    insta::assert_snapshot!(fault_lines("{\n  \"node\": [1,\n"));
}

#[test]
fn an_unreadable_file_is_reported_as_unreadable() {
    let error = settings::load_node_settings("does-not-exist.jsonc").unwrap_err();

    assert!(matches!(error, SettingsError::Unreadable { .. }));
}

#[test]
fn debug_output_does_not_contain_keys() {
    let settings = parse_node_settings("node.jsonc", &valid()).unwrap();

    assert!(!format!("{settings:?}").contains("abab"));
}
