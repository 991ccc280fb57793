//! Reconciles the engines that this node owns with their desired state.

mod fencing;
mod owner;

pub use fencing::FencingAllocator;
pub use owner::{EngineReconciler, ReconcilerDependencies};
