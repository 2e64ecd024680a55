//! Log lines on their way to a reader that may not read.
//!
//! Guards against a daemon that stands still because nobody empties its standard output: lines go
//! into a bounded queue, and a thread of its own writes them. When the queue fills, routine lines
//! are left out first, and how many of each kind were left out is itself a line.

use std::{
    collections::VecDeque,
    io::Write,
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// The most lines that wait. At the sites' peaks an instance writes a few hundred a second, so a
/// reader may fall behind by several seconds.
const MAX_LINES: usize = 4_096;

/// Lines up to which routine ones are taken. The rest is kept for failures and changes of belief.
const MAX_ROUTINE: usize = 3_072;

/// How long a close waits for the reader.
const CLOSE_WITHIN: Duration = Duration::from_millis(200);

/// How much a line matters when there is no room for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinePriority {
    /// One of many of its kind.
    Routine,
    /// A failure, or a change of what the instance believes.
    Important,
}

#[derive(Debug, Default)]
struct State {
    lines: VecDeque<Vec<u8>>,
    left_out_routine: u64,
    left_out_kept: u64,
    is_waiting: bool,
    is_writing: bool,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Takes lines without ever waiting.
#[derive(Debug, Clone, Default)]
pub struct LineQueue(Arc<Shared>);

/// The thread that writes a queue's lines.
#[derive(Debug)]
pub struct LineWriter {
    queue: LineQueue,
    thread: Option<JoinHandle<()>>,
}

impl LineQueue {
    /// Adds a line, or counts it as left out.
    pub fn push(&self, line: Vec<u8>, rank: LinePriority) {
        let mut state = self.state();
        let limit = if rank == LinePriority::Routine { MAX_ROUTINE } else { MAX_LINES };
        if state.lines.len() >= limit {
            match rank {
                LinePriority::Routine => state.left_out_routine += 1,
                LinePriority::Important => state.left_out_kept += 1,
            }
            return;
        }
        state.lines.push_back(line);
        // A writer that is at work looks again by itself.
        if mem::take(&mut state.is_waiting) {
            self.0.changed.notify_one();
        }
    }

    /// Writes this queue's lines to `sink` from a thread of its own.
    ///
    /// # Errors
    ///
    /// Where the thread can't be started.
    pub fn write_to(&self, sink: impl Write + Send + 'static) -> std::io::Result<LineWriter> {
        let queue = self.clone();
        let named = thread::Builder::new().name("trefoilhall-log".to_owned());
        let thread = named.spawn(move || queue.run(sink))?;
        Ok(LineWriter { queue: self.clone(), thread: Some(thread) })
    }

    fn run(&self, mut sink: impl Write) {
        while let Some(bytes) = self.next_bytes() {
            // A reader that is gone can't be told.
            sink.write_all(&bytes).and_then(|()| sink.flush()).ok();
        }
    }

    /// All lines that wait, together; none once the queue is closed and empty.
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
        let mut bytes: Vec<u8> = state.lines.drain(..).flatten().collect();
        let routine = mem::take(&mut state.left_out_routine);
        let kept = mem::take(&mut state.left_out_kept);
        if routine + kept > 0 {
            let line =
                format!("level=warn event=log_lines_left_out routine={routine} kept={kept}\n");
            bytes.extend(line.into_bytes());
        }
        Some(bytes)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LineWriter {
    /// Waits a moment for the last lines to be written. A reader that doesn't read holds nobody up.
    pub fn close(mut self) {
        self.finish();
    }

    fn finish(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        let end = Instant::now() + CLOSE_WITHIN;
        let mut state = self.queue.state();
        state.is_closed = true;
        self.queue.0.changed.notify_all();
        while !state.lines.is_empty() || state.is_writing {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.queue.0.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        drop(state);
        thread.join().ok();
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.finish();
    }
}
