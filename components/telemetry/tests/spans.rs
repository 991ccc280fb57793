//! Tests that spans share one trace across hops and that the store is bounded.

use telemetry::{HopKind, HopTracer};

const CALLER_TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn a_span_continues_the_trace_of_the_caller() {
    let entry = HopTracer::new("duluth-1", 10);
    let owner = HopTracer::new("duluth-2", 10);

    let entry_span = entry.start("entry", HopKind::Server, CALLER_TRACEPARENT, "r1", "caller");
    let owner_span = owner.start(
        "owner",
        HopKind::Server,
        &entry_span.traceparent(),
        "r1",
        "duluth-1",
    );
    owner_span.set_failed("engine lost");
    drop(owner_span);
    drop(entry_span);

    let entry_record = &entry.find("r1")[0];
    let owner_record = &owner.find("0af7651916cd43dd8448eb211c80319c")[0];
    assert_eq!(entry_record.parent, "b7ad6b7169203331");
    assert_eq!(owner_record.parent, entry_record.span);
    assert_eq!(owner_record.trace, entry_record.trace);
    assert_eq!(owner_record.failure.as_deref(), Some("engine lost"));
}

#[test]
fn a_malformed_traceparent_starts_a_new_trace() {
    let tracer = HopTracer::new("duluth-1", 10);

    drop(tracer.start("entry", HopKind::Server, "not a parent", "r1", "caller"));

    assert_eq!(tracer.find("r1")[0].parent, "0000000000000000");
}

#[test]
fn a_full_store_drops_the_oldest_span() {
    let tracer = HopTracer::new("duluth-1", 2);
    for request in ["r1", "r2", "r3"] {
        drop(tracer.start("entry", HopKind::Server, "", request, "caller"));
    }

    assert!(tracer.find("r1").is_empty());
    assert_eq!(tracer.find("r3").len(), 1);
}
