//! A bounded queue of log lines, written by a separate thread.
//!
//! Guards against a daemon that blocks because its standard output isn't read. When the queue fills
//! up, routine lines are dropped first, and a log line reports how many of each priority were
//! dropped.

use std::{
    collections::VecDeque,
    io::Write,
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Capacity of the queue. At peak load an instance logs a few hundred lines a second, so a reader
/// may fall behind by several seconds.
const MAX_LINES: usize = 4_096;

/// Queue length from which routine lines are dropped. The rest of the capacity is reserved for
/// important lines.
const MAX_LINES_FOR_ROUTINE: usize = 3_072;

/// Maximum size of all queued lines in bytes, and of those up to which routine lines are queued.
/// Lines hold texts of callers, such as request ids.
const MAX_BYTES: usize = 4 << 20;
const MAX_BYTES_FOR_ROUTINE: usize = MAX_BYTES / 4 * 3;

/// How long closing the writer waits until the queued lines are written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Priority of a line; it decides which lines are dropped when the queue fills up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// One of many similar lines, such as one for each request.
    Routine,
    /// A failure, or a change of the instance's state or of its view of others.
    Important,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    dropped_routine: u64,
    dropped_important: u64,
    is_waiting: bool,
    is_writing: bool,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct SharedQueue {
    state: Mutex<State>,
    changed: Condvar,
}

/// A queue whose [`LineQueue::push`] never waits for the writer. Clones share the same queue.
#[derive(Debug, Clone, Default)]
pub struct LineQueue(Arc<SharedQueue>);

/// Owns the thread that writes a queue's lines. Dropping it closes the queue, as
/// [`LineWriter::close`] does.
#[derive(Debug)]
pub struct LineWriter {
    queue: LineQueue,
    thread: Option<JoinHandle<()>>,
}

impl LineQueue {
    /// Adds a line, or drops and counts it if the queue is too full for its priority.
    pub fn push(&self, line: Vec<u8>, priority: LinePriority) {
        let mut state = self.state();
        let (max_lines, max_bytes) = match priority {
            LinePriority::Routine => (MAX_LINES_FOR_ROUTINE, MAX_BYTES_FOR_ROUTINE),
            LinePriority::Important => (MAX_LINES, MAX_BYTES),
        };
        if state.lines.len() >= max_lines || state.queued_bytes + line.len() > max_bytes {
            match priority {
                LinePriority::Routine => state.dropped_routine += 1,
                LinePriority::Important => state.dropped_important += 1,
            }
            return;
        }
        state.queued_bytes += line.len();
        state.lines.push_back(line);
        // A writer that isn't waiting checks the queue again by itself.
        if mem::take(&mut state.is_waiting) {
            self.0.changed.notify_one();
        }
    }

    /// Starts a thread that writes this queue's lines to `sink`.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn write_to(&self, sink: impl Write + Send + 'static) -> std::io::Result<LineWriter> {
        let queue = self.clone();
        let builder = thread::Builder::new().name("trefoilhall-log".to_owned());
        let thread = builder.spawn(move || queue.write_lines(sink))?;
        Ok(LineWriter { queue: self.clone(), thread: Some(thread) })
    }

    fn write_lines(&self, mut sink: impl Write) {
        while let Some(bytes) = self.next_bytes() {
            // An error is ignored: there is no other place to report it.
            sink.write_all(&bytes).and_then(|()| sink.flush()).ok();
        }
    }

    /// Waits for lines and returns all that are queued; `None` once the queue is closed and empty.
    fn next_bytes(&self) -> Option<Vec<u8>> {
        let mut state = self.state();
        state.is_writing = false;
        while state.lines.is_empty() {
            if state.is_closed {
                self.0.changed.notify_all();
                return None;
            }
            state.is_waiting = true;
            state = self.0.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        state.queued_bytes = 0;
        let lines: Vec<Vec<u8>> = state.lines.drain(..).collect();
        let mut bytes = lines.concat();
        let routine = mem::take(&mut state.dropped_routine);
        let important = mem::take(&mut state.dropped_important);
        if routine + important > 0 {
            let line =
                format!("level=warn event=log_lines_left_out routine={routine} kept={important}\n");
            bytes.extend(line.into_bytes());
        }
        Some(bytes)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LineWriter {
    /// Closes the queue and waits until the remaining lines are written. The wait is limited, so
    /// that a reader that doesn't read can't block it.
    pub fn close(mut self) {
        self.wait_and_join();
    }

    fn wait_and_join(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut state = self.queue.state();
        state.is_closed = true;
        self.queue.0.changed.notify_all();
        while !state.lines.is_empty() || state.is_writing {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return;
            }
            let result = self.queue.0.changed.wait_timeout(state, time_left);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
        drop(state);
        thread.join().ok();
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.wait_and_join();
    }
}
