//! Log lines: one event a line, as key=value pairs, on standard error.

use std::{io, time::SystemTime};

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};

use crate::cli::LogLevel;

/// Starts logging. Dropping the result ends it.
///
/// # Errors
///
/// Where a logger was started before.
pub fn start(level: LogLevel) -> Result<LoggerHandle, FlexiLoggerError> {
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
        .module("protocols", filter)
        .module("router", filter)
        .build();
    Logger::with(spec).log_to_stderr().format(line).start()
}

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
