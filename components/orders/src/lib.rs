//! Orders that run at most once: pure decisions.
