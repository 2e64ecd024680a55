//! Errors found by the configuration check, with their locations.
//!
//! All findings of a folder are reported at once, so that operators can correct them in one pass.

use std::{fmt, sync::Arc};

/// Maximum number of findings that are kept. A file of a different format yields one finding per
/// member; nobody reads thousands, and untrusted content must not take unbounded memory.
const MAX_FINDINGS: usize = 500;

/// A position in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SourceLocation {
    /// Name of the file within the folder.
    pub file: Arc<str>,
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The position of the error; `None` if it concerns the folder as a whole.
    pub location: Option<SourceLocation>,
    /// The path of the member, such as `deployments.redactare.routes[0].path`; empty if the error
    /// concerns a whole file.
    pub path: String,
    /// What was expected, and what was found instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All findings of one check.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Findings {
    list: Vec<Finding>,
    /// Number of findings beyond [`MAX_FINDINGS`].
    omitted: usize,
}

impl Findings {
    /// Adds a finding; beyond the maximum it is only counted.
    pub fn push(
        &mut self,
        location: Option<&SourceLocation>,
        path: &str,
        message: impl Into<String>,
    ) {
        if self.list.len() == MAX_FINDINGS {
            self.omitted += 1;
            return;
        }
        self.list.push(Finding {
            location: location.cloned(),
            path: path.to_owned(),
            message: message.into(),
        });
    }

    /// Whether the check found no errors.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The kept findings, in the order in which the folder was read.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// Total number of findings, including those that weren't kept.
    pub fn count(&self) -> usize {
        self.list.len() + self.omitted
    }

    /// `value` if there are no findings, otherwise the findings as the error.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        if self.omitted > 0 {
            write!(f, "\n{} more findings", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
