//! Settings in JSON with comments, checked whole before anything starts.
