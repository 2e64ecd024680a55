//! JSON values with their source locations. Parses each file, rejects extensions of JSON, and
//! merges the files in the order of their names: objects are merged by member, any other value is
//! replaced by that of the later file.

use std::{str::FromStr, sync::Arc};

use indexmap::IndexMap;
use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde::{Deserialize, Serialize};

use super::finding::{Findings, SourceLocation};

/// Maximum nesting of objects and arrays. The configuration needs six levels; the parser is
/// recursive, so that unbounded nesting in published content would overflow the stack of every
/// instance.
const MAX_NESTING_LEVELS: usize = 32;

/// Maximum size of one file. The configuration of 350 endpoints takes about 60 KB.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// One file of a configuration folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceFile {
    /// Name of the file within the folder, such as `20-endpoints.json`.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// A JSON value and its source location.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Start of the value; for members of an object, start of the member's name.
    pub location: SourceLocation,
    /// The JSON value at this location.
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
    /// An object, with its members in the order of their first appearance.
    Object(IndexMap<String, Node>),
}

impl Node {
    /// The member `name`, or `None` if this isn't an object or has no such member.
    pub fn member(&self, name: &str) -> Option<&Node> {
        match &self.value {
            Value::Object(members) => members.get(name),
            _ => None,
        }
    }

    /// The members of an object; empty for other values.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Node)> {
        let members = match &self.value {
            Value::Object(members) => Some(members),
            _ => None,
        };
        members.into_iter().flatten().map(|(name, node)| (name.as_str(), node))
    }

    /// The content of a string; `None` for other values.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The type of the value, as findings name it.
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

    /// The value without source locations.
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

/// Parses `files` and merges them in the order of their names. Files that can't be parsed are
/// reported and left out.
pub fn merge(files: &[SourceFile], findings: &mut Findings) -> Option<Node> {
    let mut sorted: Vec<_> = files.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    report_duplicate_file_names(&sorted, findings);
    let mut merged: Option<Node> = None;
    for file in sorted {
        let Some(node) = parse(file, findings) else { continue };
        match &mut merged {
            Some(base) => merge_into(base, node),
            None => merged = Some(node),
        }
    }
    merged
}

fn report_duplicate_file_names(sorted: &[&SourceFile], findings: &mut Findings) {
    for pair in sorted.windows(2) {
        if pair[0].name == pair[1].name {
            findings.push(None, "", format!("the file {} is given twice", pair[0].name));
        }
    }
}

fn merge_into(base: &mut Node, later: Node) {
    let location = later.location.clone();
    match (&mut base.value, later.value) {
        (Value::Object(members), Value::Object(later_members)) => {
            for (name, node) in later_members {
                match members.get_mut(&name) {
                    Some(member) => merge_into(member, node),
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
    let lines = LineIndex::new(file);
    if file.text.len() > MAX_FILE_BYTES {
        findings.push(
            Some(&lines.location(0)),
            "",
            format!("the file has {} bytes, more than {MAX_FILE_BYTES}", file.text.len()),
        );
        return None;
    }
    if let Some(offset) = find_excessive_nesting(&file.text) {
        let message = format!("objects and arrays nest deeper than {MAX_NESTING_LEVELS} levels");
        findings.push(Some(&lines.location(offset)), "", message);
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

/// The offset of the first bracket that exceeds [`MAX_NESTING_LEVELS`], if any. Brackets outside
/// strings are counted before parsing, because a stack overflow in the parser would abort the
/// process and can't be caught.
fn find_excessive_nesting(text: &str) -> Option<usize> {
    let mut depth = 0_usize;
    let mut quote = None;
    let mut escaped = false;
    for (offset, c) in text.bytes().enumerate() {
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
        if depth > MAX_NESTING_LEVELS {
            return Some(offset);
        }
    }
    None
}

/// Converts byte offsets into lines and columns.
struct LineIndex<'a> {
    name: Arc<str>,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(file: &'a SourceFile) -> Self {
        let breaks = file.text.bytes().enumerate().filter(|(_, c)| *c == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1)).collect();
        LineIndex { name: file.name.as_str().into(), text: &file.text, line_starts }
    }

    fn location(&self, offset: usize) -> SourceLocation {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset.min(self.text.len())).unwrap_or_default();
        SourceLocation { file: self.name.clone(), line, column: before.chars().count() + 1 }
    }
}

struct Converter<'a, 'f> {
    lines: LineIndex<'a>,
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
                self.reject_single_quotes(lit.range.start, path);
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
            let offset = property.range.start;
            self.reject_single_quotes(offset, path);
            let name = property.name.into_string();
            let path = join(path, &name);
            let mut node = self.convert(property.value, &path);
            node.location = self.lines.location(offset);
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

    /// Reports a single-quoted string. The parser accepts them, but JSON and other tools that read
    /// the same files don't.
    fn reject_single_quotes(&mut self, offset: usize, path: &str) {
        if self.lines.text.as_bytes().get(offset) == Some(&b'\'') {
            let location = self.lines.location(offset);
            self.findings.push(Some(&location), path, "expected a string in double quotes");
        }
    }
}

/// The path of the member `name` of the object at `path`.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
