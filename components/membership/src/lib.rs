//! Which nodes are alive, leaving or gone: pure decisions.
