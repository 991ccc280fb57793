//! Ownership of engines, memory holders, stream recovery and crash attribution: pure decisions.
