//! Tests of validation, differences and chains: a note with errors is refused as
//! a whole and every error is reported.

use std::collections::BTreeSet;

use notes::{
    AcceptedNote, ChainError, ChainState, ChangeKind, FleetState, NoteDocument, NoteError, diff,
    note_id, overlapping_entries, parse_document, validate,
};

const DIGEST: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn organisation(digest: &str, models: &str, adapters: &str) -> String {
    format!(
        r#"{{"plan": "paying", "key_digests": ["{digest}"], "models": {models},
            "adapters": {adapters},
            "limits": {{"requests_per_second": 5, "tokens_per_minute": 100000,
                        "concurrent_requests": 4}}}}"#
    )
}

fn parsed(text: &str) -> NoteDocument {
    parse_document(text).unwrap()
}

fn base() -> FleetState {
    let ash = organisation(DIGEST, r#"["plume"]"#, r#"["notice"]"#);
    let note = parsed(&format!(
        r#"{{"summary": "first",
            "added": {{
                "organisations": {{"ash": {ash}}},
                "models": {{"plume": {{"version": "1", "context_tokens": 200000}},
                            "spare": {{"version": "1", "context_tokens": 8000}}}},
                "adapters": {{"notice": {{"model": "plume", "version": "3"}}}},
                "services": {{"notices": {{"guarantee": "none"}}}}}}}}"#
    ));
    validate(&FleetState::default(), &note).unwrap();
    FleetState::default().with_note(&note)
}

fn errors(text: &str) -> Vec<String> {
    let errors = validate(&base(), &parsed(text)).unwrap_err();
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn every_fault_of_a_note_is_named() {
    let bad = organisation(
        "ABC",
        r#"["plume", "plume", "ghost"]"#,
        r#"["notice", "none"]"#,
    );
    let bad = bad.replace("\"requests_per_second\": 5", "\"requests_per_second\": 0");
    let twin = organisation(DIGEST, r#"["spare"]"#, r#"["notice"]"#);
    let found = errors(&format!(
        r#"{{"added": {{
                "organisations": {{"mast": {bad}, "twin": {twin}}},
                "models": {{"plume": {{"version": "2", "context_tokens": 0}},
                            "": {{"version": "2", "context_tokens": 1, "copies": 0}}}},
                "adapters": {{"lost": {{"model": "nowhere", "version": "1"}}}}}},
            "changed": {{"services": {{"ledger": {{"guarantee": "fenced", "timeout_ms": 0}}}}}},
            "withdrawn": {{"models": ["spare", "spare", "absent"], "services": ["ledger"]}}}}"#
    ));
    insta::assert_snapshot!(found.join("\n"));
}

#[test]
fn one_error_causes_no_further_errors() {
    let cases = [
        ("{}", "the note changes nothing"),
        (
            r#"{"withdrawn": {"adapters": ["notice"]}}"#,
            r#"adapter "notice": withdrawn, but used by organisation "ash""#,
        ),
        (
            r#"{"withdrawn": {"models": ["plume"], "organisations": ["ash"]}}"#,
            r#"model "plume": withdrawn, but used by adapter "notice""#,
        ),
        (
            r#"{"withdrawn": {"services": ["ledger"]}}"#,
            r#"service "ledger": not in force"#,
        ),
    ];
    for (text, error) in cases {
        assert_eq!(errors(text), [error], "{text}");
    }
}

#[test]
fn a_note_that_is_too_long_is_refused() {
    let note = NoteDocument {
        summary: "x".repeat(notes::MAX_NOTE_BYTES),
        ..parsed(r#"{"withdrawn": {"services": ["notices"]}}"#)
    };
    let errors = validate(&base(), &note).unwrap_err();
    assert!(matches!(errors[..], [NoteError::TooLong { .. }]));
}

#[test]
fn duplicate_names_and_unknown_fields_are_parse_errors() {
    let duplicated = r#"{"added": {"models": {
        "a": {"version": "1", "context_tokens": 1},
        "b": {"version": "1", "context_tokens": 1},
        "a": {"version": "2", "context_tokens": 1},
        "b": {"version": "2", "context_tokens": 1}}}}"#;
    let errors = parse_document(duplicated).unwrap_err();
    let found: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        [
            r#"model "a": named more than once"#,
            r#"model "b": named more than once"#
        ]
    );
    let errors = parse_document("{\n  \"add\": {}}").unwrap_err();
    assert!(
        matches!(errors[..], [NoteError::Malformed { line: 2, .. }]),
        "{errors:?}"
    );
}

#[test]
fn an_entry_may_be_withdrawn_together_with_all_its_users() {
    let note = parsed(
        r#"{"withdrawn": {"models": ["plume"], "adapters": ["notice"],
                          "organisations": ["ash"]}}"#,
    );
    assert_eq!(validate(&base(), &note), Ok(()));
}

#[test]
fn diff_lists_the_entries_that_differ() {
    let before = base();
    let note = parsed(
        r#"{"added": {"models": {"big": {"version": "1", "context_tokens": 1000000}}},
            "changed": {"models": {"plume": {"version": "2", "context_tokens": 200000}}},
            "withdrawn": {"models": ["spare"]}}"#,
    );
    let after = before.with_note(&note);
    let changes: Vec<_> = diff(&before, &after)
        .into_iter()
        .map(|change| (change.entry.name, change.change))
        .collect();
    let expected = [
        ("big", ChangeKind::Added),
        ("plume", ChangeKind::Changed),
        ("spare", ChangeKind::Withdrawn),
    ];
    assert_eq!(
        changes,
        expected.map(|(name, change)| (name.to_owned(), change))
    );
    assert!(diff(&before, &before).is_empty());
}

#[test]
fn notes_overlap_when_they_name_the_same_entry() {
    let one = parsed(r#"{"withdrawn": {"models": ["plume", "spare"]}}"#);
    let other =
        parsed(r#"{"changed": {"models": {"spare": {"version": "2", "context_tokens": 1}}}}"#);
    let disjoint = parsed(r#"{"withdrawn": {"services": ["spare"]}}"#);
    let shared = overlapping_entries(&one, &[disjoint.clone(), other]);
    let names: BTreeSet<_> = shared.iter().map(ToString::to_string).collect();
    assert_eq!(names, BTreeSet::from([r#"model "spare""#.to_owned()]));
    assert!(overlapping_entries(&one, &[disjoint]).is_empty());
}

#[test]
fn a_chain_accepts_only_the_next_note() {
    let first = parsed(r#"{"added": {"models": {"a": {"version": "1", "context_tokens": 1}}}}"#);
    let second = parsed(r#"{"withdrawn": {"models": ["a"]}}"#);
    let mut chain = ChainState::default();
    let one = AcceptedNote::following(&chain.head(), first);
    chain.apply(&one).unwrap();
    assert!(matches!(
        chain.apply(&one),
        Err(ChainError::WrongVersion { .. })
    ));
    let two = AcceptedNote::following(&chain.head(), second);
    let fork = AcceptedNote {
        previous: "another".to_owned(),
        ..two.clone()
    };
    assert_eq!(chain.apply(&fork), Err(ChainError::Fork { version: 2 }));
    let wrong_id = AcceptedNote {
        document: NoteDocument::default(),
        ..two.clone()
    };
    assert_eq!(
        chain.apply(&wrong_id),
        Err(ChainError::IdMismatch { version: 2 })
    );
    assert_eq!(chain.state.version, 1);
    chain.apply(&two).unwrap();
    assert_eq!(chain.head().version, 2);
    assert_eq!(two.id, note_id(&two.document));
}
