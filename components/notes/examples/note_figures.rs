//! Prints, as JSON, figures for a fleet of 6,100 organisations: the sizes of
//! notes and of the complete state, and the mean time to validate and to apply
//! one more note.

use std::time::{Duration, Instant};

use notes::{
    AcceptedNote, ChainState, ModelEntry, NoteDocument, OrganisationEntry, OrganisationLimits,
    validate,
};
use serde_json::json;
use types::PlanKind;

/// Total number of organisations.
const ORGANISATIONS: usize = 6_100;

/// Organisations that one note adds.
const ORGANISATIONS_PER_NOTE: usize = 500;

/// Total number of models.
const MODELS: usize = 35;

/// Further notes whose validation and application are timed.
const TIMED_NOTES: u32 = 100;

fn main() {
    let mut chain = ChainState::default();
    let mut largest = 0;
    let mut notes = 0;
    for note in initial_notes() {
        validate(&chain.state, &note).expect("the note is valid");
        largest = largest.max(json_bytes(&note));
        notes += 1;
        let note = AcceptedNote::following(&chain.head(), note);
        chain
            .apply(&note)
            .expect("the note is the next of the chain");
    }
    let mut validating = Duration::ZERO;
    let mut applying = Duration::ZERO;
    for number in 0..TIMED_NOTES {
        let note = change_note(number);
        let started = Instant::now();
        validate(&chain.state, &note).expect("the note is valid");
        validating += started.elapsed();
        let note = AcceptedNote::following(&chain.head(), note);
        let started = Instant::now();
        chain
            .apply(&note)
            .expect("the note is the next of the chain");
        applying += started.elapsed();
    }
    let report = json!({
        "organisations": ORGANISATIONS,
        "founding_notes": notes,
        "largest_note_bytes": largest,
        "state_bytes_as_json": json_bytes(&chain),
        "change_note_bytes": json_bytes(&change_note(0)),
        "validate_ms": (validating / TIMED_NOTES).as_secs_f64() * 1_000.0,
        "apply_ms": (applying / TIMED_NOTES).as_secs_f64() * 1_000.0,
    });
    println!("{report:#}");
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

fn initial_notes() -> Vec<NoteDocument> {
    let mut models = NoteDocument::default();
    for index in 0..MODELS {
        let model = ModelEntry {
            version: "1".to_owned(),
            context_tokens: 1_000_000,
            copies: 4,
        };
        models.added.models.insert(model_name(index), model);
    }
    let mut notes = vec![models];
    for first in (0..ORGANISATIONS).step_by(ORGANISATIONS_PER_NOTE) {
        let mut note = NoteDocument::default();
        for index in first..(first + ORGANISATIONS_PER_NOTE).min(ORGANISATIONS) {
            let name = format!("organisation-{index}");
            note.added.organisations.insert(name, organisation(index));
        }
        notes.push(note);
    }
    notes
}

fn change_note(number: u32) -> NoteDocument {
    let mut note = NoteDocument {
        summary: format!("unchanged entry, note {number}"),
        ..NoteDocument::default()
    };
    let index = usize::try_from(number).unwrap_or(0);
    let name = format!("organisation-{index}");
    note.changed.organisations.insert(name, organisation(index));
    note
}

fn organisation(index: usize) -> OrganisationEntry {
    OrganisationEntry {
        plan: if index.is_multiple_of(5) {
            PlanKind::Paying
        } else {
            PlanKind::Trial
        },
        key_digests: vec![format!("{index:064x}")],
        weight: 1,
        limits: OrganisationLimits {
            requests_per_second: 5,
            tokens_per_minute: 1_000_000,
            concurrent_requests: 8,
        },
        models: (0..4)
            .map(|step| model_name((index + step) % MODELS))
            .collect(),
        adapters: Vec::new(),
        services: Vec::new(),
    }
}

fn model_name(index: usize) -> String {
    format!("model-{index}")
}
