//! The engine service of a node: desired state of the engines it owns.

mod fencing;
mod owner;

pub use fencing::FencingAllocator;
pub use owner::{EngineReconciler, ReconcilerDependencies};
