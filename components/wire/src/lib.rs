//! Typed messages between nodes and their codec.
