//! Spans of one request share a trace across hops and stay bounded.

use telemetry::{HopKind, HopTracer};

const CALLER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn a_hop_continues_the_callers_trace() {
    let entry = HopTracer::new("duluth-1", 10);
    let owner = HopTracer::new("duluth-2", 10);

    let outer = entry.start("entry", HopKind::Server, CALLER, "r1", "caller");
    let inner = owner.start(
        "owner",
        HopKind::Server,
        &outer.traceparent(),
        "r1",
        "duluth-1",
    );
    inner.set_failed("engine lost");
    drop(inner);
    drop(outer);

    let first = &entry.find("r1")[0];
    let second = &owner.find("0af7651916cd43dd8448eb211c80319c")[0];
    assert_eq!(first.parent, "b7ad6b7169203331");
    assert_eq!(second.parent, first.span);
    assert_eq!(second.trace, first.trace);
    assert_eq!(second.failure.as_deref(), Some("engine lost"));
}

#[test]
fn a_malformed_parent_starts_a_new_trace() {
    let tracer = HopTracer::new("duluth-1", 10);

    drop(tracer.start("entry", HopKind::Server, "not a parent", "r1", "caller"));

    assert_eq!(tracer.find("r1")[0].parent, "0000000000000000");
}

#[test]
fn only_the_newest_spans_are_kept() {
    let tracer = HopTracer::new("duluth-1", 2);
    for request in ["r1", "r2", "r3"] {
        drop(tracer.start("entry", HopKind::Server, "", request, "caller"));
    }

    assert!(tracer.find("r1").is_empty());
    assert_eq!(tracer.find("r3").len(), 1);
}
