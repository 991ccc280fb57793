//! Tests of the orders service.

mod history;
mod http;
mod service;
mod support;
