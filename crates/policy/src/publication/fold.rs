//! Folds the records of the configuration stream into the configuration in force and its audit
//! trail.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use super::diff::{FieldChange, difference};
use crate::{
    Offset,
    config::{Config, Findings, SETTINGS_MEMBER, SourceFile, Version, load},
    replay::{Fold, LogPosition},
};

/// Limit on the audit trail that instances keep in memory. Operators publish a few times a day; the
/// stream itself contains whatever the log's retention allows.
const MAX_AUDIT_ENTRIES: usize = 500;
/// Limit on the changed members, or findings, in one entry of the audit trail.
const MAX_CHANGES_PER_AUDIT_ENTRY: usize = 40;
/// Limit on the id of a change or note, its author's name and the text of an action.
const MAX_NAME_BYTES: usize = 128;

/// A new configuration, as an operator publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the publisher; a change that is appended twice is applied once.
    pub id: String,
    /// The version that the change is based on; zero for the first.
    pub base: Version,
    /// Name of the operator.
    pub by: String,
    /// All files of the new configuration.
    pub files: Vec<SourceFile>,
}

/// An operator's action other than publishing, recorded for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Chosen by the author; a note that is appended twice is applied once.
    pub id: String,
    /// Name of the operator.
    pub by: String,
    /// The action, such as `drain entry-2`.
    pub action: String,
}

/// An entry of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublicationEntry {
    /// A new configuration.
    Change(Change),
    /// An action for the audit trail.
    Note(Note),
}

/// The result of applying a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change was accepted and got this version number.
    Accepted(Version),
    /// The change's base was outdated: this version was already in force.
    Conflict(Version),
    /// The files failed these checks.
    Rejected(Vec<String>),
    /// The entry is a note, which isn't checked.
    Noted,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record in the stream.
    pub offset: Offset,
    /// When the log took the record, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// The id of the change or note.
    pub id: String,
    /// Name of the operator.
    pub by: String,
    /// The base version of a change; for a note, the version in force.
    pub base: Version,
    /// The result of applying the entry.
    pub verdict: Verdict,
    /// Summary of the change, or the text of the note.
    pub action: String,
    /// The first changed members, with long values shortened.
    pub changes: Vec<FieldChange>,
}

/// The state of the stream in a checkpoint, which has a single part.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublicationPart {
    version: Version,
    files: Vec<SourceFile>,
    audit: Vec<AuditEntry>,
}

/// The configuration in force and its audit trail.
#[derive(Debug, Clone)]
pub struct Publication {
    version: Version,
    files: Arc<Vec<SourceFile>>,
    config: Option<Arc<Config>>,
    audit: VecDeque<AuditEntry>,
}

impl Publication {
    /// The version in force; zero if nothing has been published.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The files of the configuration in force.
    pub fn files(&self) -> &Arc<Vec<SourceFile>> {
        &self.files
    }

    /// The parsed configuration in force; none if nothing has been published.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// The audit entry of the change or note `id`, unless it is unknown or was dropped.
    pub fn entry(&self, id: &str) -> Option<&AuditEntry> {
        self.audit.iter().rev().find(|entry| entry.id == id)
    }

    /// The changes accepted after version `base`, to show to the author of a conflicting change.
    pub fn accepted_since(&self, base: Version) -> impl Iterator<Item = &AuditEntry> {
        self.audit.iter().filter(
            move |entry| matches!(entry.verdict, Verdict::Accepted(version) if version > base),
        )
    }

    fn apply_change(&mut self, change: Change, position: LogPosition) -> AuditEntry {
        let mut entry = AuditEntry {
            offset: position.offset,
            time_ms: position.time_ms,
            id: change.id,
            by: truncate_name(change.by),
            base: change.base,
            verdict: Verdict::Conflict(self.version),
            action: "publish".to_owned(),
            changes: Vec::new(),
        };
        if change.base != self.version {
            return entry;
        }
        match check_change(self.config.as_deref(), &change.files) {
            Ok(config) => {
                entry.changes = difference(&self.files, &change.files);
                entry.action = format!("publish: {} members changed", entry.changes.len());
                entry.changes.truncate(MAX_CHANGES_PER_AUDIT_ENTRY);
                entry.changes.iter_mut().for_each(FieldChange::shorten);
                self.version = Version(self.version.0 + 1);
                self.files = Arc::new(change.files);
                self.config = Some(Arc::new(config));
                entry.verdict = Verdict::Accepted(self.version);
            }
            Err(findings) => {
                let lines =
                    findings.iter().take(MAX_CHANGES_PER_AUDIT_ENTRY).map(ToString::to_string);
                entry.verdict = Verdict::Rejected(lines.collect());
            }
        }
        entry
    }

    fn push_audit_entry(&mut self, entry: AuditEntry) {
        if self.audit.len() == MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
        self.audit.push_back(entry);
    }
}

/// Checks files that are to replace `current`.
///
/// # Errors
///
/// All findings, including changes of settings that are fixed once published.
pub fn check_change(current: Option<&Config>, files: &[SourceFile]) -> Result<Config, Findings> {
    let loaded = load(files)?;
    let mut findings = Findings::default();
    if let Some(node) = &loaded.settings {
        let message = "the settings of one process aren't published; keep them in its own folder";
        findings.push(Some(&node.location), SETTINGS_MEMBER, message);
    }
    let ledger = loaded.config.ledger;
    if let Some(current) = current {
        // Otherwise instances would look for a key's claim in another stream, or expire it at
        // different times, and the call could run twice.
        if ledger.streams != current.ledger.streams {
            let message = format!("it is {} and can't be changed any more", current.ledger.streams);
            findings.push(None, "ledger.streams", message);
        }
        if ledger.window_minutes != current.ledger.window_minutes {
            let message =
                format!("it is {} and can't be changed any more", current.ledger.window_minutes);
            findings.push(None, "ledger.window_minutes", message);
        }
    }
    findings.into_result(loaded.config)
}

fn truncate_name(mut name: String) -> String {
    let end = (0..=MAX_NAME_BYTES).rev().find(|at| name.is_char_boundary(*at)).unwrap_or(0);
    name.truncate(end);
    name
}

impl Fold for Publication {
    type Entry = PublicationEntry;
    type Part = PublicationPart;
    type Params = ();
    type Change = AuditEntry;

    fn empty((): &()) -> Self {
        Publication {
            version: Version(0),
            files: Arc::default(),
            config: None,
            audit: VecDeque::new(),
        }
    }

    fn restore(params: &(), parts: Vec<PublicationPart>) -> Self {
        let mut publication = Publication::empty(params);
        for part in parts {
            publication.config = load(&part.files).ok().map(|loaded| Arc::new(loaded.config));
            publication.version = part.version;
            publication.files = Arc::new(part.files);
            publication.audit = part.audit.into();
        }
        publication
    }

    fn parts(&self) -> Vec<PublicationPart> {
        vec![PublicationPart {
            version: self.version,
            files: self.files.to_vec(),
            audit: self.audit.iter().cloned().collect(),
        }]
    }

    fn apply(&mut self, entry: PublicationEntry, position: LogPosition) -> Vec<AuditEntry> {
        let id = match &entry {
            PublicationEntry::Change(change) => &change.id,
            PublicationEntry::Note(note) => &note.id,
        };
        if id.is_empty() || id.len() > MAX_NAME_BYTES {
            return Vec::new();
        }
        // The append was repeated because its reply was lost. The first record counts.
        if self.entry(id).is_some() {
            return Vec::new();
        }
        let entry = match entry {
            PublicationEntry::Change(change) => self.apply_change(change, position),
            PublicationEntry::Note(note) => AuditEntry {
                offset: position.offset,
                time_ms: position.time_ms,
                id: note.id,
                by: truncate_name(note.by),
                base: self.version,
                verdict: Verdict::Noted,
                action: truncate_name(note.action),
                changes: Vec::new(),
            },
        };
        self.push_audit_entry(entry.clone());
        vec![entry]
    }
}
