//! A model of a model engine: batch, cost and memory on a given clock.
