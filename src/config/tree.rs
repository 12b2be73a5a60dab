//! Parses the operators' file into a tree of values, each with its line. The format is YAML, of which JSON is
//! a subset. serde-saphyr reads it with a fixed budget: time and memory are bounded by the size of the file,
//! whatever its contents.

use super::problem::{Problem, Problems};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;

/// Maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Maximum nesting depth; the model needs five levels.
const MAX_DEPTH: usize = 32;
/// Maximum number of values, including those repeated by aliases.
const MAX_VALUES: usize = 100_000;

/// A value and the line on which it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Line number from 1; 0 where it is unknown.
    pub line: u64,
    /// The value as parsed.
    pub value: Raw,
}

/// A value before its type is checked.
#[derive(Clone, Debug, PartialEq)]
pub enum Raw {
    /// Null or absent.
    Null,
    /// A Boolean.
    Bool(bool),
    /// An integer.
    Integer(i128),
    /// Any other number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// Entries: key, line of the key, value.
    Map(Vec<(String, u64, Node)>),
}

impl Raw {
    /// The type of the value, for an error message. The value itself may be a misplaced secret and is never
    /// shown.
    pub fn kind(&self) -> &'static str {
        match self {
            Raw::Null => "nothing",
            Raw::Bool(_) => "true or false",
            Raw::Integer(_) | Raw::Number(_) => "a number",
            Raw::Text(_) => "text",
            Raw::List(_) => "a list",
            Raw::Map(_) => "a section",
        }
    }
}

/// Parses a document. An empty document is an empty section.
pub fn read(bytes: &[u8]) -> Result<Node, Problems> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let what = format!("{} bytes are too many", bytes.len());
        return Err(Problem::new("", what, format!("keep the file within {MAX_DOCUMENT_BYTES} bytes")).into());
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let line = 1 + bytes[..error.valid_up_to()].iter().filter(|&&byte| byte == b'\n').count() as u64;
        let problem = Problem::new("", "not UTF-8", "write the file as UTF-8");
        Problem { line: Some(line), ..problem }
    })?;
    let mut budget = serde_saphyr::Budget::default();
    budget.max_depth = MAX_DEPTH;
    budget.flow_nesting_limit = MAX_DEPTH;
    budget.max_nodes = MAX_VALUES;
    budget.max_events = 4 * MAX_VALUES;
    budget.max_total_scalar_bytes = MAX_DOCUMENT_BYTES;
    budget.max_documents = 1;
    let mut options = serde_saphyr::Options::default();
    options.budget = Some(budget);
    // Duplicate keys are reported by the reader of sections, with both lines.
    options.duplicate_keys = serde_saphyr::DuplicateKeyPolicy::PassThrough;
    options.alias_limits.max_total_replayed_events = MAX_VALUES;
    // A snippet shows the text around the error, and the file can contain secrets.
    options.with_snippet = false;
    match serde_saphyr::from_str_with_options::<Node>(text, options) {
        Ok(Node { value: Raw::Null, line }) => Ok(Node { line, value: Raw::Map(Vec::new()) }),
        Ok(node) => Ok(node),
        Err(error) => {
            let line = error.location().map(|at| at.line()).filter(|&line| line > 0);
            let problem = Problem::new("", error_text(&error), "write YAML 1.2, or JSON");
            Err(Problem { line, ..problem }.into())
        }
    }
}

/// The parser's message, without its quotations from the file.
fn error_text(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    let plain = first.split(['`', '"', '\'']).next().unwrap_or_default().trim_end_matches([' ', ':']);
    format!("cannot be read: {}", if plain.is_empty() { "malformed" } else { plain })
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Node, D::Error> {
        let spanned = Spanned::<Raw>::deserialize(source)?;
        Ok(Node { line: spanned.referenced.line(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Raw {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Raw, D::Error> {
        source.deserialize_any(RawVisitor)
    }
}

struct RawVisitor;

impl<'de> Visitor<'de> for RawVisitor {
    type Value = Raw;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_none<E>(self) -> Result<Raw, E> {
        Ok(Raw::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, source: D) -> Result<Raw, D::Error> {
        Raw::deserialize(source)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Raw, E> {
        Ok(Raw::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Raw, E> {
        Ok(Raw::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Raw, E> {
        Ok(Raw::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Raw, E> {
        Ok(Raw::Integer(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Raw, E> {
        Ok(i128::try_from(value).map_or(Raw::Number(value as f64), Raw::Integer))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Raw, E> {
        Ok(Raw::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Raw, E> {
        Ok(Raw::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<Raw, E> {
        Ok(Raw::Text(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Raw, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element::<Node>()? {
            list.push(item);
        }
        Ok(Raw::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut pairs: A) -> Result<Raw, A::Error> {
        let mut map = Vec::new();
        while let Some(key) = pairs.next_key::<Spanned<String>>()? {
            let line = key.referenced.line();
            map.push((key.value, line, pairs.next_value::<Node>()?));
        }
        Ok(Raw::Map(map))
    }
}

#[cfg(test)]
mod tests;
