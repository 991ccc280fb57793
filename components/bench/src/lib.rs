//! Load scenarios that drive the decision components against the engine model.
