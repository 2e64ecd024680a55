//! Log lines and readers that don't read.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use daemon::logging::queue::{LinePriority, LineQueue};

#[derive(Clone, Default)]
struct Page(Arc<Mutex<Vec<u8>>>);

impl Page {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Page {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Stands still until it is told to go on.
struct Stuck {
    go_on: mpsc::Receiver<()>,
    page: Page,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go_on.recv().ok();
        self.page.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_keep_their_order() {
    let (queue, page) = (LineQueue::default(), Page::default());
    let writer = queue.write_to(page.clone()).unwrap();
    for i in 0..100 {
        queue.push(format!("{i}\n").into_bytes(), LinePriority::Routine);
    }
    writer.close();
    let expected: String = (0..100).map(|i| format!("{i}\n")).collect();
    assert_eq!(page.text(), expected);
}

/// Whoever collects the logs stops reading. Requests go on without a pause, routine lines are left
/// out first, and afterwards a line says how many.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (tx, go_on) = mpsc::channel();
    let (queue, page) = (LineQueue::default(), Page::default());
    let writer = queue.write_to(Stuck { go_on, page: page.clone() }).unwrap();
    let began = Instant::now();
    for i in 0..20_000 {
        queue.push(format!("routine {i}\n").into_bytes(), LinePriority::Routine);
    }
    for i in 0..500 {
        queue.push(format!("failure {i}\n").into_bytes(), LinePriority::Important);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    drop(tx);
    writer.close();
    let text = page.text();
    assert_eq!(text.matches("failure").count(), 500);
    assert!(text.matches("routine ").count() < 8_000);
    assert!(text.contains("event=log_lines_left_out routine="), "{text}");
}

/// The process ends while nobody reads. The end isn't held up.
#[test]
fn an_end_does_not_wait_for_a_reader() {
    let (tx, go_on) = mpsc::channel();
    let queue = LineQueue::default();
    let writer = queue.write_to(Stuck { go_on, page: Page::default() }).unwrap();
    queue.push(b"line\n".to_vec(), LinePriority::Important);
    let began = Instant::now();
    writer.close();
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    drop(tx);
}
