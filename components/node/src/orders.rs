//! The orders service of a node.
