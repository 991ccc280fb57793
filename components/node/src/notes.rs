//! The notes service of a node.
