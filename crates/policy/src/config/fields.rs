//! Reads the members of an object one by one and reports what doesn't fit, so that one wrong
//! member doesn't hide the next.

use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;

use super::{
    finding::Findings,
    tree::{Node, Value, join},
};

/// The members of one object that is being read.
pub struct Fields<'a> {
    node: &'a Node,
    path: String,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Starts reading `node`, or reports that it is no object.
    pub fn open(node: &'a Node, path: &str, findings: &mut Findings) -> Option<Self> {
        if !matches!(node.value, Value::Object(_)) {
            findings.push(
                Some(&node.location),
                path,
                format!("expected an object, found {}", node.kind()),
            );
            return None;
        }
        Some(Fields { node, path: path.to_owned(), known: Vec::new() })
    }

    /// The node of a member; `null` counts as absent, so that a later file can take a member back.
    pub fn node(&mut self, name: &'static str) -> Option<&'a Node> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        self.node.member(name).filter(|node| node.value != Value::Null)
    }

    /// The path of a member.
    pub fn path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// A member that has to be there. `expected` names the kind of value, as `a number`.
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

    /// A member that may be absent.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let node = self.node(name)?;
        read(node, &self.path(name), expected, findings)
    }

    /// A whole number within `range`, or `default` where it is absent or wrong.
    pub fn whole(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
        findings: &mut Findings,
    ) -> u64 {
        self.optional_whole(name, range, findings).unwrap_or(default)
    }

    /// A whole number within `range`, if it is there.
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

    /// A number within `range`, or `default` where it is absent or wrong.
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

    /// `true` or `false`, or `default` where it is absent or wrong.
    pub fn flag(&mut self, name: &'static str, default: bool, findings: &mut Findings) -> bool {
        self.optional(name, "true or false", findings).unwrap_or(default)
    }

    /// Where a member stands, or the object where the member is absent.
    pub fn location_of(&self, name: &str) -> Option<&'a super::finding::SourceLocation> {
        Some(&self.node.member(name).unwrap_or(self.node).location)
    }

    /// Ends reading and reports members that nobody asked for, which are mostly misspelt.
    pub fn close(self, findings: &mut Findings) {
        for (name, node) in self.node.members() {
            if self.known.contains(&name) {
                continue;
            }
            let message = format!("unknown member; expected one of {}", self.known.join(", "));
            findings.push(Some(&node.location), &join(&self.path, name), message);
        }
    }
}

/// Reads one value, or reports that it isn't `expected`.
pub fn read<T: DeserializeOwned>(
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

/// Reads an identifier that stands as a member's name.
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
