//! The engines service of a node.
