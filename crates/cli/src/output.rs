//! Printing of results. A reader that closes the pipe early is no error.

use std::{
    fs,
    io::{self, ErrorKind, Write},
    path::Path,
};

use comfy_table::{Table, presets};
use error_stack::{Report, ResultExt};
use serde::Serialize;

use crate::error::{CliError, CliResult};

/// Prints one line or block of text.
pub fn print(text: &str) -> CliResult<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.write_all(b"\n"));
    match written {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        other => other.change_context(CliError::Output),
    }
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) -> CliResult<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|e| Report::new(e))
        .change_context(CliError::Output)?;
    print(&text)
}

/// Writes results to a file.
pub fn write_file(path: &Path, text: &str) -> CliResult<()> {
    fs::write(path, text)
        .change_context(CliError::Output)
        .attach_with(|| path.display().to_string())
}

/// Prints rows below a head.
pub fn print_table<const N: usize>(head: [&str; N], rows: Vec<[String; N]>) -> CliResult<()> {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(head);
    for row in rows {
        table.add_row(row);
    }
    print(&table.trim_fmt())
}
