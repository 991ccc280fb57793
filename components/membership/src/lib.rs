//! Which nodes are alive, leaving or gone, and what follows from it: pure decisions.

mod rendezvous;

pub use rendezvous::{OwnerCandidate, owner_of};
