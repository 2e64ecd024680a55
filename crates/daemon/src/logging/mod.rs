//! Log lines: one event a line, as key=value pairs, on standard output.
//!
//! `docs/OPERATIONS.md` lists the events and how to follow a request through them.

pub mod queue;

use std::{io, time::SystemTime};

use flexi_logger::{
    DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, writers::LogWriter,
};
use log::{
    Level, LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::cli::LogLevel;
use queue::{LinePriority, LineQueue, LineWriter};

/// Keeps logging going. Dropping it writes the last lines and ends it.
pub struct Logging {
    _handle: LoggerHandle,
    _writer: LineWriter,
}

/// Starts logging.
///
/// # Errors
///
/// Where a logger was started before.
pub fn start(level: LogLevel) -> Result<Logging, FlexiLoggerError> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    // Libraries log for their own developers.
    let spec = LogSpecification::builder()
        .default(LevelFilter::Warn)
        .module("daemon", filter)
        .module("platform", filter)
        .module("protocols", filter)
        .module("router", filter)
        .build();
    let queue = LineQueue::default();
    let writer = queue.write_to(io::stdout())?;
    let sink = Sink { queue, max_level: filter };
    let handle = Logger::with(spec).log_to_writer(Box::new(sink)).start()?;
    Ok(Logging { _handle: handle, _writer: writer })
}

/// Events of which there is one or more for each request; the first to be left out.
const ROUTINE: [&str; 5] = ["request", "placed", "refused", "hedged", "reserve"];

struct Sink {
    queue: LineQueue,
    max_level: LevelFilter,
}

impl LogWriter for Sink {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(LINE_BYTES);
        line(&mut bytes, now, record)?;
        bytes.push(b'\n');
        let is_routine = record.level() >= Level::Info
            && record.args().as_str().is_some_and(|event| ROUTINE.contains(&event));
        self.queue
            .push(bytes, if is_routine { LinePriority::Routine } else { LinePriority::Important });
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        self.max_level
    }
}

/// What most lines fit into.
const LINE_BYTES: usize = 256;

fn line(out: &mut dyn io::Write, _: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(out, "time={:.3} level={level} event={}", since.as_secs_f64(), quoted(record.args()))?;
    let mut pairs = Pairs { out, result: Ok(()) };
    // The visitor keeps its own error.
    record.key_values().visit(&mut pairs).ok();
    pairs.result
}

struct Pairs<'a> {
    out: &'a mut dyn io::Write,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.result.is_ok() {
            self.result = write!(self.out, " {key}={}", quoted(&value));
        }
        Ok(())
    }
}

/// The text as it is, or in quotes where a reader couldn't tell where it ends. Values come from
/// callers too, and must not look like further pairs or lines.
fn quoted(value: &impl ToString) -> String {
    let text = value.to_string();
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    match !text.is_empty() && text.chars().all(plain) {
        true => text,
        false => format!("{text:?}"),
    }
}
