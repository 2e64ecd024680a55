//! JSON with places: parses each file, refuses what isn't plain JSON, and merges files in name
//! order. Objects merge by member; of anything else the later file's value stands.

use std::{str::FromStr, sync::Arc};

use indexmap::IndexMap;
use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde::{Deserialize, Serialize};

use super::finding::{Findings, SourceLocation};

/// How deep objects and arrays may nest. The configuration needs six levels; the parser recurses,
/// so that unbounded nesting in published content would overflow the stack of every instance.
const MAX_DEPTH: usize = 32;

/// The largest accepted file in bytes. The configuration of 350 endpoints is about 60 KB.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// One file of a configuration folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceFile {
    /// Its name within the folder, as `20-endpoints.json`.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// A JSON value and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Where the value begins; for members of an object, where their name begins.
    pub location: SourceLocation,
    /// The value.
    pub value: Value,
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `null`
    Null,
    /// `true` or `false`
    Bool(bool),
    /// A number.
    Number(serde_json::Number),
    /// A string.
    Text(String),
    /// An array.
    Array(Vec<Node>),
    /// An object; members in order of first appearance.
    Object(IndexMap<String, Node>),
}

impl Node {
    /// The member `name`, if this is an object that has it.
    pub fn member(&self, name: &str) -> Option<&Node> {
        match &self.value {
            Value::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// The members; none if this isn't an object.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Node)> {
        let members = match &self.value {
            Value::Object(members) => Some(members),
            _ => None,
        };
        members.into_iter().flatten().map(|(name, node)| (name.as_str(), node))
    }

    /// The text, if this is a string.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// What kind of value this is, for messages.
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Null => "null",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::Text(_) => "a string",
            Value::Array(_) => "an array",
            Value::Object(_) => "an object",
        }
    }

    /// The value without places.
    pub fn to_json(&self) -> serde_json::Value {
        match &self.value {
            Value::Null => serde_json::Value::Null,
            Value::Bool(value) => (*value).into(),
            Value::Number(number) => number.clone().into(),
            Value::Text(text) => text.clone().into(),
            Value::Array(items) => items.iter().map(Node::to_json).collect(),
            Value::Object(members) => {
                members.iter().map(|(name, node)| (name.clone(), node.to_json())).collect()
            }
        }
    }
}

/// Parses and merges `files` in name order. What can't be read is reported and left out.
pub fn merge(files: &[SourceFile], findings: &mut Findings) -> Option<Node> {
    let mut sorted: Vec<_> = files.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    report_repeated_names(&sorted, findings);
    let mut merged: Option<Node> = None;
    for file in sorted {
        let Some(node) = parse(file, findings) else { continue };
        match &mut merged {
            Some(base) => overlay(base, node),
            None => merged = Some(node),
        }
    }
    merged
}

fn report_repeated_names(sorted: &[&SourceFile], findings: &mut Findings) {
    for pair in sorted.windows(2) {
        if pair[0].name == pair[1].name {
            findings.push(None, "", format!("the file {} is given twice", pair[0].name));
        }
    }
}

fn overlay(base: &mut Node, later: Node) {
    let location = later.location.clone();
    match (&mut base.value, later.value) {
        (Value::Object(members), Value::Object(others)) => {
            for (name, node) in others {
                match members.get_mut(&name) {
                    Some(member) => overlay(member, node),
                    None => {
                        members.insert(name, node);
                    }
                }
            }
        }
        (_, value) => *base = Node { location, value },
    }
}

fn parse(file: &SourceFile, findings: &mut Findings) -> Option<Node> {
    let lines = Lines::new(file);
    if file.text.len() > MAX_FILE_BYTES {
        findings.push(
            Some(&lines.location(0)),
            "",
            format!("the file has {} bytes, more than {MAX_FILE_BYTES}", file.text.len()),
        );
        return None;
    }
    if let Some(at) = too_deep(&file.text) {
        let message = format!("objects and arrays nest deeper than {MAX_DEPTH} levels");
        findings.push(Some(&lines.location(at)), "", message);
        return None;
    }
    let options = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
    };
    let parsed = match parse_to_ast(&file.text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(e) => {
            let location = lines.location(e.range().start);
            findings.push(Some(&location), "", format!("not valid JSON: {}", e.kind()));
            return None;
        }
    };
    match parsed.value {
        Some(value @ ast::Value::Object(_)) => {
            Some(Converter { lines, findings }.convert(value, ""))
        }
        _ => {
            findings.push(Some(&lines.location(0)), "", "expected a file with one JSON object");
            None
        }
    }
}

/// Where brackets nest too deep, if they do. Guards against a stack overflow in the parser, which
/// would end the process and can't be caught: brackets outside strings are counted before parsing.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0_usize;
    let mut quote = None;
    let mut escaped = false;
    for (at, c) in text.bytes().enumerate() {
        match (quote, c) {
            (Some(_), _) if escaped => escaped = false,
            (Some(_), b'\\') => escaped = true,
            (Some(open), _) if open == c => quote = None,
            (Some(_), _) => {}
            (None, b'"' | b'\'') => quote = Some(c),
            (None, b'{' | b'[') => depth += 1,
            (None, b'}' | b']') => depth = depth.saturating_sub(1),
            (None, _) => {}
        }
        if depth > MAX_DEPTH {
            return Some(at);
        }
    }
    None
}

/// Finds lines and columns by byte position.
struct Lines<'a> {
    name: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &'a SourceFile) -> Self {
        let breaks = file.text.bytes().enumerate().filter(|(_, c)| *c == b'\n');
        let starts = std::iter::once(0).chain(breaks.map(|(at, _)| at + 1)).collect();
        Lines { name: file.name.as_str().into(), text: &file.text, starts }
    }

    fn location(&self, at: usize) -> SourceLocation {
        let line = self.starts.partition_point(|start| *start <= at);
        let start = self.starts[line - 1];
        let before = self.text.get(start..at.min(self.text.len())).unwrap_or_default();
        SourceLocation { file: self.name.clone(), line, column: before.chars().count() + 1 }
    }
}

struct Converter<'a, 'f> {
    lines: Lines<'a>,
    findings: &'f mut Findings,
}

impl Converter<'_, '_> {
    fn convert(&mut self, value: ast::Value<'_>, path: &str) -> Node {
        let location = self.lines.location(jsonc_parser::common::Ranged::start(&value));
        let value = match value {
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::BooleanLit(lit) => Value::Bool(lit.value),
            ast::Value::NumberLit(lit) => self.number(lit.value, &location, path),
            ast::Value::StringLit(lit) => {
                self.refuse_single_quotes(lit.range.start, path);
                Value::Text(lit.value.into_owned())
            }
            ast::Value::Array(array) => Value::Array(
                array
                    .elements
                    .into_iter()
                    .enumerate()
                    .map(|(i, item)| self.convert(item, &format!("{path}[{i}]")))
                    .collect(),
            ),
            ast::Value::Object(object) => self.object(object, path),
        };
        Node { location, value }
    }

    fn object(&mut self, object: ast::Object<'_>, path: &str) -> Value {
        let mut members = IndexMap::new();
        for property in object.properties {
            let at = property.range.start;
            self.refuse_single_quotes(at, path);
            let name = property.name.into_string();
            let path = join(path, &name);
            let mut node = self.convert(property.value, &path);
            node.location = self.lines.location(at);
            if members.contains_key(&name) {
                let message = "this member stands twice in one file";
                self.findings.push(Some(&node.location), &path, message);
                continue;
            }
            members.insert(name, node);
        }
        Value::Object(members)
    }

    fn number(&mut self, text: &str, location: &SourceLocation, path: &str) -> Value {
        match serde_json::Number::from_str(text) {
            Ok(number) => Value::Number(number),
            Err(_) => {
                self.findings.push(Some(location), path, format!("{text} is no JSON number"));
                Value::Null
            }
        }
    }

    /// The parser takes single-quoted strings; JSON doesn't, and neither would other tools that
    /// read the same files.
    fn refuse_single_quotes(&mut self, at: usize, path: &str) {
        if self.lines.text.as_bytes().get(at) == Some(&b'\'') {
            let location = self.lines.location(at);
            self.findings.push(Some(&location), path, "expected a string in double quotes");
        }
    }
}

/// The path of the member `name` of what stands at `path`.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
