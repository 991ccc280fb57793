//! Scheduler states that decision times are measured on.

use bench::{DecisionState, StateSize};

const SEED: u64 = 1;

#[test]
fn a_state_reaches_its_queue_length_and_keeps_it() {
    let size = StateSize {
        queued: 300,
        owned: 10,
        remote: 0,
        organisations: 40,
    };
    let mut state = DecisionState::with_size(SEED, size);
    assert_eq!(state.queued(), 300);
    for _ in 0..100 {
        state.replace_prompt();
    }
    assert_eq!(state.queued(), 300);
}

#[test]
fn a_busy_node_forwards_prompts_to_the_rest_of_the_fleet() {
    let size = StateSize {
        queued: 300,
        owned: 4,
        remote: 100,
        organisations: 10,
    };
    let mut state = DecisionState::with_size(SEED, size);
    assert!(state.queued() < 300, "{}", state.queued());
    for _ in 0..100 {
        state.replace_prompt();
    }
    assert!(state.queued() < 300, "{}", state.queued());
}
