//! What is wrong with a configuration, and where.
//!
//! Operators see all findings of a folder at once, so that one round of mending is enough.

use std::{fmt, sync::Arc};

/// The most findings that are kept. A file of another format yields one finding a member; nobody
/// reads thousands, and content published by strangers must not cost unbounded memory.
const MAX_FINDINGS: usize = 500;

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SourceLocation {
    /// The file's name.
    pub file: Arc<str>,
    /// Counts from 1.
    pub line: usize,
    /// Counts characters from 1.
    pub column: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where; absent where the folder as a whole is meant.
    pub location: Option<SourceLocation>,
    /// The member, as `deployments.redactare.routes[0].path`; empty for a whole file.
    pub path: String,
    /// A sentence that says what was expected.
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
    dropped: usize,
}

impl Findings {
    /// Adds a finding, unless there are too many already.
    pub fn push(
        &mut self,
        location: Option<&SourceLocation>,
        path: &str,
        message: impl Into<String>,
    ) {
        if self.list.len() == MAX_FINDINGS {
            self.dropped += 1;
            return;
        }
        self.list.push(Finding {
            location: location.cloned(),
            path: path.to_owned(),
            message: message.into(),
        });
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The findings in the order in which the folder is read.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// How many there are, those beyond the kept ones included.
    pub fn count(&self) -> usize {
        self.list.len() + self.dropped
    }

    /// `value` where nothing is wrong; otherwise the findings.
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
        if self.dropped > 0 {
            write!(f, "\n{} more findings", self.dropped)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
