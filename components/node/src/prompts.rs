//! The prompts service of a node.
