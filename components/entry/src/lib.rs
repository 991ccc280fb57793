//! The HTTP edge towards callers and operators.
