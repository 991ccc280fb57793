//! Guards the splitting of server-sent events: callers must never get a part of an
//! event, nor a repeated or skipped one after a change of upstream.

use gateway::{EventBatch, EventCursor, EventError};

/// Returns the events of a batch without an error.
fn events(batch: &EventBatch) -> String {
    assert_eq!(batch.error, None, "{batch:?}");
    String::from_utf8(batch.events.to_vec()).unwrap()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word-{id}\n\n")
}

#[test]
fn events_split_across_chunks_are_returned_whole() {
    let stream: String = (1..=5).map(event).collect();
    for size in 1..stream.len() {
        let mut cursor = EventCursor::new(None);
        let mut returned = String::new();
        for chunk in stream.as_bytes().chunks(size) {
            let events = events(&cursor.push(chunk));
            assert!(events.is_empty() || events.ends_with("\n\n"));
            returned.push_str(&events);
        }
        assert_eq!(returned, stream, "in chunks of {size}");
        assert!(cursor.at_boundary());
        assert_eq!(cursor.last(), Some(5));
    }
}

#[test]
fn a_resumed_stream_repeats_and_skips_no_event() {
    let mut cursor = EventCursor::new(None);
    let mut broken = event(1) + &event(2);
    broken.push_str("id: 3\ndata: wo");
    assert_eq!(
        events(&cursor.push(broken.as_bytes())),
        event(1) + &event(2)
    );
    assert!(!cursor.at_boundary());
    cursor.resume();
    let rest = event(2) + &event(3) + &event(4);
    assert_eq!(events(&cursor.push(rest.as_bytes())), event(3) + &event(4));
}

#[test]
fn an_id_gap_or_an_oversized_event_is_an_error() {
    let mut cursor = EventCursor::new(Some(7));
    let gap = cursor.push(event(9).as_bytes());
    assert_eq!(gap.error, Some(EventError::OutOfOrder));
    assert!(gap.events.is_empty());
    let mut cursor = EventCursor::new(None);
    let oversized = vec![b'x'; 300 << 10];
    let batch = cursor.push(&oversized);
    assert_eq!(batch.error, Some(EventError::TooLong));
    assert!(batch.events.is_empty());
}

#[test]
fn events_may_use_crlf_line_ends() {
    let mut cursor = EventCursor::new(None);
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    assert_eq!(events(&cursor.push(stream)).as_bytes(), stream);
    assert_eq!(cursor.last(), Some(2));
}

/// Guards against the text of an error that is passed on in the middle of a stream.
#[test]
fn what_is_no_event_is_an_error() {
    for text in [
        "HTTP/1.1 500 error\r\ncontent-length: 5\r\n\r\nerror",
        "error\n\n",
        "{\"error\": \"busy\"}\n\n",
        "id: 2\n<p>error</p>\n\n",
    ] {
        let mut cursor = EventCursor::new(None);
        events(&cursor.push(event(1).as_bytes()));
        let batch = cursor.push(text.as_bytes());
        assert_eq!(batch.error, Some(EventError::NotAnEvent), "{text:?}");
        assert!(batch.events.is_empty(), "{text:?}");
    }
    let mut cursor = EventCursor::new(None);
    let fields = ": wait\n\nevent: token\nx-weight-versions: 3\nid: 1\ndata\ndata: a b: c\n\n";
    assert_eq!(events(&cursor.push(fields.as_bytes())), fields);
}

/// Guards against a stream that goes on at another upstream with a piece missing: the cursor
/// had moved past events that arrived in one read with malformed bytes, and were dropped.
#[test]
fn events_in_front_of_malformed_bytes_are_returned() {
    let oversized = "x".repeat(300 << 10);
    for (rest, error) in [
        ("HTTP/1.1 500 error\r\n\r\n", EventError::NotAnEvent),
        ("id: 4\ndata: word-4\n\n", EventError::OutOfOrder),
        (&oversized, EventError::TooLong),
    ] {
        let mut cursor = EventCursor::new(None);
        let batch = cursor.push((event(1) + &event(2) + rest).as_bytes());
        assert_eq!(batch.error, Some(error));
        assert_eq!(batch.events, event(1) + &event(2));
        assert_eq!(cursor.last(), Some(2));
        cursor.resume();
        assert_eq!(events(&cursor.push(event(3).as_bytes())), event(3));
    }
}
