//! The log queue with a reader that reads slowly or not at all.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use daemon::logging::queue::{LinePriority, LineQueue};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that blocks until it receives a message or the sender is dropped.
struct BlockedWriter {
    unblock_rx: mpsc::Receiver<()>,
    output: SharedBuffer,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.unblock_rx.recv().ok();
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines with long texts of callers, such as request ids, which take up memory while
/// nobody reads the log.
#[test]
fn long_lines_are_bounded_by_their_bytes() {
    const LINE_BYTES: usize = 16 << 10;
    const MAX_BYTES: usize = 4 << 20;
    let (queue, output) = (LineQueue::default(), SharedBuffer::default());
    let (unblock_tx, unblock_rx) = mpsc::channel();
    let writer = queue.write_to(BlockedWriter { unblock_rx, output: output.clone() }).unwrap();
    queue.push(b"first\n".to_vec(), LinePriority::Important);
    // The writer takes the first line and blocks.
    std::thread::sleep(Duration::from_millis(50));
    for priority in [LinePriority::Routine, LinePriority::Important] {
        for _ in 0..1_000 {
            queue.push([&[b'x'; LINE_BYTES - 1][..], b"\n"].concat(), priority);
        }
    }
    drop(unblock_tx);
    writer.close();
    let text = output.text();
    assert!(text.len() < MAX_BYTES + LINE_BYTES, "{} bytes", text.len());
    let kept = text.lines().filter(|line| line.starts_with('x')).count();
    assert_eq!(kept, MAX_BYTES / LINE_BYTES);
    let dropped = "routine=808 kept=936";
    assert!(text.contains(dropped), "{:?}", text.lines().find(|line| line.contains("left_out")));
}

#[test]
fn lines_keep_their_order() {
    let (queue, output) = (LineQueue::default(), SharedBuffer::default());
    let writer = queue.write_to(output.clone()).unwrap();
    for i in 0..100 {
        queue.push(format!("{i}\n").into_bytes(), LinePriority::Routine);
    }
    writer.close();
    let expected: String = (0..100).map(|i| format!("{i}\n")).collect();
    assert_eq!(output.text(), expected);
}

/// Guards against a daemon that blocks because its log isn't read: `push` returns at once, routine
/// lines are dropped first, and a line reports how many were dropped.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (unblock_tx, unblock_rx) = mpsc::channel();
    let (queue, output) = (LineQueue::default(), SharedBuffer::default());
    let writer = queue.write_to(BlockedWriter { unblock_rx, output: output.clone() }).unwrap();
    let started_at = Instant::now();
    for i in 0..20_000 {
        queue.push(format!("routine {i}\n").into_bytes(), LinePriority::Routine);
    }
    for i in 0..500 {
        queue.push(format!("failure {i}\n").into_bytes(), LinePriority::Important);
    }
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    drop(unblock_tx);
    writer.close();
    let text = output.text();
    assert_eq!(text.matches("failure").count(), 500);
    assert!(text.matches("routine ").count() < 8_000);
    assert!(text.contains("event=log_lines_left_out routine="), "{text}");
}

/// Guards against a shutdown that hangs because the log isn't read.
#[test]
fn an_end_does_not_wait_for_a_reader() {
    let (unblock_tx, unblock_rx) = mpsc::channel();
    let queue = LineQueue::default();
    let writer =
        queue.write_to(BlockedWriter { unblock_rx, output: SharedBuffer::default() }).unwrap();
    queue.push(b"line\n".to_vec(), LinePriority::Important);
    let started_at = Instant::now();
    writer.close();
    assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
    drop(unblock_tx);
}
