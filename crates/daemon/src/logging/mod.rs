//! Logging to standard output: one event per line, as key=value pairs.
//!
//! `docs/OPERATIONS.md` lists the events and describes how to trace a request by them.

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

/// Keeps the logger and its writing thread alive. Dropping it writes the remaining lines and stops
/// logging.
pub struct Logging {
    _handle: LoggerHandle,
    _writer: LineWriter,
}

/// Starts logging events of `level` and above.
///
/// # Errors
///
/// If a logger was started before, or the writing thread can't be started.
pub fn start(level: LogLevel) -> Result<Logging, FlexiLoggerError> {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    // Libraries log details for their own developers; only their warnings and errors are included.
    let spec = LogSpecification::builder()
        .default(LevelFilter::Warn)
        .module("daemon", filter)
        .module("platform", filter)
        .module("protocols", filter)
        .module("router", filter)
        .build();
    let queue = LineQueue::default();
    let writer = queue.write_to(io::stdout())?;
    let log_writer = QueueLogWriter { queue, level_filter: filter };
    let handle = Logger::with(spec).log_to_writer(Box::new(log_writer)).start()?;
    Ok(Logging { _handle: handle, _writer: writer })
}

/// Events that may occur with each request. Their lines are the first to be dropped when the
/// queue fills up.
const ROUTINE_EVENTS: [&str; 12] = [
    "request",
    "placed",
    "refused",
    "hedged",
    "retry_denied",
    "reserve",
    "forwarded",
    "forward_declined",
    "forward_failed",
    "quarantined",
    "parts_ignored",
    "no_death_seen",
];

struct QueueLogWriter {
    queue: LineQueue,
    level_filter: LevelFilter,
}

impl LogWriter for QueueLogWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(LINE_CAPACITY_BYTES);
        format_line(&mut bytes, now, record)?;
        bytes.push(b'\n');
        let is_routine = record.level() >= Level::Info
            && record.args().as_str().is_some_and(|event| ROUTINE_EVENTS.contains(&event));
        self.queue
            .push(bytes, if is_routine { LinePriority::Routine } else { LinePriority::Important });
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        self.level_filter
    }
}

/// Initial capacity of a line's buffer; most lines are shorter.
const LINE_CAPACITY_BYTES: usize = 256;

fn format_line(
    out: &mut dyn io::Write,
    _: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        out,
        "time={:.3} level={level} event={}",
        since_epoch.as_secs_f64(),
        quote_if_needed(record.args())
    )?;
    let mut pairs = PairFormatter { out, result: Ok(()) };
    // Errors are returned in `pairs.result`.
    record.key_values().visit(&mut pairs).ok();
    pairs.result
}

struct PairFormatter<'a> {
    out: &'a mut dyn io::Write,
    result: io::Result<()>,
}

impl<'kvs> VisitSource<'kvs> for PairFormatter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.result.is_ok() {
            self.result = write!(self.out, " {key}={}", quote_if_needed(&value));
        }
        Ok(())
    }
}

/// Quotes and escapes a value unless it consists of printable ASCII without blanks, quotes and `=`.
/// Some values come from callers and mustn't be readable as further pairs or lines.
fn quote_if_needed(value: &impl ToString) -> String {
    let text = value.to_string();
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    match !text.is_empty() && text.chars().all(is_plain) {
        true => text,
        false => format!("{text:?}"),
    }
}
