//! Tests of the orders service.

mod history;
mod service;
mod support;
