//! Parsing of server-sent events and their content, also with arbitrary input.

#![allow(clippy::unwrap_used)]

use futures_lite::io::BufReader;
use protocols::engine::{
    piece::Piece,
    sse::{MAX_LINE_BYTES, SseError, SseEvent, SseReader},
};
use quickcheck::quickcheck;

/// Reads all events of `text` with a buffer of `step` bytes.
fn events(text: &[u8], step: usize) -> Result<Vec<SseEvent>, SseError> {
    smol::block_on(async {
        let mut reader = SseReader::new(BufReader::with_capacity(step.max(1), text));
        let mut events = Vec::new();
        while let Some(event) = reader.next().await? {
            events.push(event);
        }
        Ok(events)
    })
}

quickcheck! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>, step: u8) -> bool {
        events(&bytes, step.into()).is_ok() || std::str::from_utf8(&bytes).is_err()
    }

    fn any_data_comes_back(data: Vec<String>, step: u8) -> bool {
        let is_no_line_end = |c: &char| !matches!(c, '\n' | '\r');
        let data: Vec<String> = data.iter().map(|d| d.chars().filter(is_no_line_end).collect()).collect();
        let text: String = data.iter().map(|d| format!("id: 7\ndata: {d}\n\n")).collect();
        let read = events(text.as_bytes(), step.into()).unwrap();
        read.len() == data.len()
            && read.iter().zip(&data).all(|(event, d)| event.data == d.as_bytes() && event.id == "7")
    }

    fn any_bytes_are_a_piece_or_not(bytes: Vec<u8>) -> bool {
        let _ = Piece::read(&bytes);
        true
    }

    fn any_text_is_a_piece(text: String, chat: bool) -> bool {
        let text_json = serde_json::to_string(&text).unwrap();
        let data = match chat {
            true => format!(r#"{{"choices":[{{"index":0,"delta":{{"content":{text_json}}}}}]}}"#),
            false => format!(r#"{{"choices":[{{"index":0,"text":{text_json}}}]}}"#),
        };
        Piece::read(data.as_bytes()).unwrap().text == text
    }
}

#[test]
fn comments_and_unknown_fields_are_skipped() {
    let read = events(b": ping\n\nretry: 5\nevent: x\ndata: a\r\ndata: b\r\n\r\n", 64).unwrap();
    let expected =
        SseEvent { event: "x".to_owned(), id: String::new(), data: "a\nb".as_bytes().into() };
    assert_eq!(read, [expected]);
}

#[test]
fn a_line_without_end_is_refused() {
    let text = vec![b'a'; MAX_LINE_BYTES + 1];
    assert_eq!(events(&text, 8_192), Err(SseError::Malformed));
}
