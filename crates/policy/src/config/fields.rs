//! Reads the members of a JSON object one by one and reports each invalid member, so that one
//! error doesn't hide the next.

use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;

use super::{
    finding::Findings,
    tree::{Node, Value, join},
};

/// Reader of the members of one object. It records which members were requested, so that
/// [`Fields::close`] can report unknown ones.
pub struct Fields<'a> {
    node: &'a Node,
    path: String,
    requested: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Starts reading `node`, or reports that it isn't an object.
    pub fn open(node: &'a Node, path: &str, findings: &mut Findings) -> Option<Self> {
        if !matches!(node.value, Value::Object(_)) {
            findings.push(
                Some(&node.location),
                path,
                format!("expected an object, found {}", node.kind()),
            );
            return None;
        }
        Some(Fields { node, path: path.to_owned(), requested: Vec::new() })
    }

    /// The node of a member. `null` counts as absent, so that a later file can remove a member.
    pub fn node(&mut self, name: &'static str) -> Option<&'a Node> {
        if !self.requested.contains(&name) {
            self.requested.push(name);
        }
        self.node.member(name).filter(|node| node.value != Value::Null)
    }

    /// The path of a member, for findings.
    pub fn path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// A mandatory member; its absence is reported. `expected` describes the value in findings,
    /// such as `a number`.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        if self.node(name).is_none() {
            let message = format!("the member {name} is missing; expected {expected}");
            findings.push(Some(&self.node.location), &self.path, message);
            return None;
        }
        self.optional(name, expected, findings)
    }

    /// An optional member. `expected` describes the value in findings.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let node = self.node(name)?;
        read_value(node, &self.path(name), expected, findings)
    }

    /// A whole number within `range`, or `default` if it is absent or invalid.
    pub fn whole(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        findings: &mut Findings,
    ) -> u64 {
        self.optional_whole(name, range, findings).unwrap_or(default)
    }

    /// A whole number within `range`, or `None` if it is absent or invalid.
    pub fn optional_whole(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.optional::<u64>(name, &expected, findings)?;
        if !range.contains(&number) {
            let message = format!("expected {expected}, found {number}");
            findings.push(self.location_of(name), &self.path(name), message);
            return None;
        }
        Some(number)
    }

    /// A number within `range`, or `default` if it is absent or invalid.
    pub fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
        findings: &mut Findings,
    ) -> f64 {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let Some(number) = self.optional::<f64>(name, &expected, findings) else { return default };
        if !range.contains(&number) {
            let message = format!("expected {expected}, found {number}");
            findings.push(self.location_of(name), &self.path(name), message);
            return default;
        }
        number
    }

    /// A Boolean, or `default` if it is absent or invalid.
    pub fn flag(&mut self, name: &'static str, default: bool, findings: &mut Findings) -> bool {
        self.optional(name, "true or false", findings).unwrap_or(default)
    }

    /// The source location of a member, or of the object if the member is absent.
    pub fn location_of(&self, name: &str) -> Option<&'a super::finding::SourceLocation> {
        Some(&self.node.member(name).unwrap_or(self.node).location)
    }

    /// Ends reading and reports members that weren't requested, which are mostly misspelt.
    pub fn close(self, findings: &mut Findings) {
        for (name, node) in self.node.members() {
            if self.requested.contains(&name) {
                continue;
            }
            let message = format!("unknown member; expected one of {}", self.requested.join(", "));
            findings.push(Some(&node.location), &join(&self.path, name), message);
        }
    }
}

/// Deserializes one value, or reports that it isn't what `expected` describes.
pub fn read_value<T: DeserializeOwned>(
    node: &Node,
    path: &str,
    expected: &str,
    findings: &mut Findings,
) -> Option<T> {
    match serde_json::from_value(node.to_json()) {
        Ok(value) => Some(value),
        Err(e) => {
            let message = match &node.value {
                Value::Text(text) => format!("expected {expected}, found {text:?}: {e}"),
                Value::Object(_) => format!("expected {expected}: {e}"),
                Value::Number(number) => format!("expected {expected}, found {number}"),
                _ => format!("expected {expected}, found {}", node.kind()),
            };
            findings.push(Some(&node.location), path, message);
            None
        }
    }
}

/// Parses a member's name as an identifier, or reports why it isn't one.
pub fn read_name<T: std::str::FromStr<Err = crate::ids::IdError>>(
    name: &str,
    node: &Node,
    path: &str,
    findings: &mut Findings,
) -> Option<T> {
    match name.parse() {
        Ok(id) => Some(id),
        Err(e) => {
            findings.push(Some(&node.location), path, format!("expected a name: {e}"));
            None
        }
    }
}
