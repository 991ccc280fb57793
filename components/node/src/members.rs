//! The members service of a node.
