//! The records of the configuration stream and what they mean.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use super::diff::{FieldChange, difference};
use crate::{
    Offset,
    config::{Config, Findings, SETTINGS, SourceFile, Version, load},
    replay::{Fold, LogPosition},
};

/// Entries of the audit trail that instances keep at hand. Operators publish a few times a day;
/// the stream itself holds whatever the log's retention allows.
const MAX_AUDIT_ENTRIES: usize = 500;
/// The most differing members that an entry of the audit trail keeps.
const MAX_CHANGES_PER_AUDIT_ENTRY: usize = 40;
/// The longest name of who changed something, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A change to the configuration, as an operator publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the publisher, so that a change appended twice is taken once.
    pub id: String,
    /// The version that the files were made from; zero for the first.
    pub base: Version,
    /// Who publishes.
    pub by: String,
    /// The whole folder.
    pub files: Vec<SourceFile>,
}

/// Something that an operator did besides publishing, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Chosen by the author, so that a note appended twice is taken once.
    pub id: String,
    /// Who did it.
    pub by: String,
    /// What, as `drain entry-2`.
    pub action: String,
}

/// What the stream's records hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublicationEntry {
    /// A change.
    Change(Change),
    /// A note.
    Note(Note),
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is, or was, in force as this version.
    Accepted(Version),
    /// Another change came first; this version was in force by then.
    Conflict(Version),
    /// It fails these checks.
    Rejected(Vec<String>),
    /// A note, which needs no verdict.
    Noted,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Its place in the stream.
    pub offset: Offset,
    /// When, on the log's clock, in milliseconds.
    pub time_ms: u64,
    /// The change's or note's own name.
    pub id: String,
    /// Who.
    pub by: String,
    /// From which version.
    pub base: Version,
    /// What became of it.
    pub verdict: Verdict,
    /// What it changed, or what was done.
    pub action: String,
    /// The members that it changed, as far as kept.
    pub changes: Vec<FieldChange>,
}

/// A checkpoint of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublicationPart {
    version: Version,
    files: Vec<SourceFile>,
    audit: Vec<AuditEntry>,
}

/// The configuration in force, and how it came to be.
#[derive(Debug, Clone)]
pub struct Publication {
    version: Version,
    files: Arc<Vec<SourceFile>>,
    config: Option<Arc<Config>>,
    audit: VecDeque<AuditEntry>,
}

impl Publication {
    /// The version in force; zero where nothing was published yet.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The files in force.
    pub fn files(&self) -> &Arc<Vec<SourceFile>> {
        &self.files
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// What became of the change or note named `id`, if it is known.
    pub fn entry(&self, id: &str) -> Option<&AuditEntry> {
        self.audit.iter().rev().find(|entry| entry.id == id)
    }

    /// The accepted changes after version `base`, for the author of a change made from it.
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

/// Checks files that are to follow `current`.
///
/// # Errors
///
/// All findings.
pub fn check_change(current: Option<&Config>, files: &[SourceFile]) -> Result<Config, Findings> {
    let loaded = load(files)?;
    let mut findings = Findings::default();
    if let Some(node) = &loaded.settings {
        let message = "the settings of one process aren't published; keep them in its own folder";
        findings.push(Some(&node.place), SETTINGS, message);
    }
    let ledger = loaded.config.ledger;
    if let Some(current) = current {
        // A key's claim would be looked for in another stream, or forgotten at another time on
        // each instance, and the call could run twice.
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

    fn restore(setup: &(), parts: Vec<PublicationPart>) -> Self {
        let mut publication = Publication::empty(setup);
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
        // An append that was repeated because its answer was lost. The first one stands.
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
