//! Streams are cut at event borders and go on after the last whole event.

use gateway::{EventCursor, EventError};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word-{id}\n\n")
}

#[test]
fn only_whole_events_are_passed_on_however_they_arrive() {
    let stream: String = (1..=5).map(event).collect();
    for size in 1..stream.len() {
        let mut cursor = EventCursor::new(None);
        let mut passed = String::new();
        for chunk in stream.as_bytes().chunks(size) {
            let events = cursor.push(chunk).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.push_str(std::str::from_utf8(&events).unwrap());
        }
        assert_eq!(passed, stream, "in chunks of {size}");
        assert!(cursor.at_boundary());
        assert_eq!(cursor.last(), Some(5));
    }
}

#[test]
fn a_resumed_stream_neither_repeats_nor_skips() {
    let mut cursor = EventCursor::new(None);
    let mut broken = event(1) + &event(2);
    broken.push_str("id: 3\ndata: wo");
    assert_eq!(
        cursor.push(broken.as_bytes()).unwrap(),
        event(1) + &event(2)
    );
    assert!(!cursor.at_boundary());
    cursor.resume();
    let rest = event(2) + &event(3) + &event(4);
    assert_eq!(cursor.push(rest.as_bytes()).unwrap(), event(3) + &event(4));
}

#[test]
fn a_gap_or_an_endless_event_is_a_fault() {
    let mut cursor = EventCursor::new(Some(7));
    assert_eq!(
        cursor.push(event(9).as_bytes()),
        Err(EventError::OutOfOrder)
    );
    let mut cursor = EventCursor::new(None);
    let endless = vec![b'x'; 300 << 10];
    assert_eq!(cursor.push(&endless), Err(EventError::TooLong));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut cursor = EventCursor::new(None);
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    assert_eq!(cursor.push(stream).unwrap().as_ref(), stream);
    assert_eq!(cursor.last(), Some(2));
}
