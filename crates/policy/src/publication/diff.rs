//! Compares two configuration folders member by member.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::{
    Findings, SourceFile,
    tree::{Node, Value, join, merge},
};

/// Limit on the listed changes. A larger difference means that a folder was mistaken for another
/// site's, and the first few hundred changes show that.
const MAX_LISTED_CHANGES: usize = 400;

/// A configuration member that was added, removed or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path of the member, such as `workspaces.a.weight`.
    pub path: String,
    /// The previous value; absent if the member is new.
    #[serde(default)]
    pub before: Option<serde_json::Value>,
    /// The new value; absent if the member was removed.
    #[serde(default)]
    pub after: Option<serde_json::Value>,
}

/// Longer values are replaced by their size in the audit trail. The trail is a part of every
/// checkpoint, which has to fit into one record.
const MAX_AUDITED_VALUE_BYTES: usize = 300;

impl FieldChange {
    /// Replaces values longer than the audit trail's limit by their size.
    pub fn shorten(&mut self) {
        for value in [&mut self.before, &mut self.after].into_iter().flatten() {
            let len = value.to_string().len();
            if len > MAX_AUDITED_VALUE_BYTES {
                *value = format!("({len} bytes)").into();
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists the changes from `before` to `after`, in the order of the members.
pub fn difference(before: &[SourceFile], after: &[SourceFile]) -> Vec<FieldChange> {
    let mut findings = Findings::default();
    let before = merge(before, &mut findings);
    let after = merge(after, &mut findings);
    let mut changes = Vec::new();
    compare(before.as_ref(), after.as_ref(), "", &mut changes);
    changes.truncate(MAX_LISTED_CHANGES);
    changes
}

fn compare(before: Option<&Node>, after: Option<&Node>, path: &str, out: &mut Vec<FieldChange>) {
    if out.len() > MAX_LISTED_CHANGES {
        return;
    }
    let is_object = |node: &&Node| matches!(node.value, Value::Object(_));
    let before_object = before.filter(is_object);
    let after_object = after.filter(is_object);
    let descend = match (before, after) {
        (Some(_), Some(_)) => before_object.is_some() && after_object.is_some(),
        // A folder that is new or removed as a whole is listed by its sections.
        _ => path.is_empty(),
    };
    if descend {
        let old = before_object.into_iter().flat_map(Node::members);
        for (name, node) in old {
            let other = after_object.and_then(|after| after.member(name));
            compare(Some(node), other, &join(path, name), out);
        }
        let new = after_object.into_iter().flat_map(Node::members);
        for (name, node) in new {
            if before_object.is_none_or(|before| before.member(name).is_none()) {
                compare(None, Some(node), &join(path, name), out);
            }
        }
        return;
    }
    let before = before.map(Node::to_json);
    let after = after.map(Node::to_json);
    if before != after {
        out.push(FieldChange { path: path.to_owned(), before, after });
    }
}
