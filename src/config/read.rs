//! Reads a tree into typed sections. A section is declared once, with `section!`: from its keys with their
//! types, bounds and descriptions the macro generates the struct, the reader, the names that an unknown key
//! is compared with, and the JSON Schema.

use super::problem::{Problem, Problems};
use super::secret::Secret;
use super::tree::{Node, Raw};
use std::net::SocketAddr;

/// Maximum number of items in a list.
pub const MAX_LIST_ITEMS: usize = 10_000;
/// Maximum length of a text in bytes.
pub const MAX_TEXT_BYTES: usize = 1024;
/// Least Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_KEY_SIMILARITY: f64 = 0.75;

/// The location of a value in the document. It borrows the parent's location; a path is only formatted for a
/// problem.
#[derive(Clone, Copy)]
pub enum Location<'a> {
    /// The whole document.
    Root,
    /// A key of a section.
    Key(&'a Location<'a>, &'a str),
    /// An item of a list.
    Item(&'a Location<'a>, usize),
}

impl Location<'_> {
    /// The location as text, for example `amqp.brokers[2].hostPort`.
    pub fn path(&self) -> String {
        match self {
            Location::Root => String::new(),
            Location::Key(Location::Root, key) => (*key).to_owned(),
            Location::Key(parent, key) => format!("{}.{key}", parent.path()),
            Location::Item(parent, index) => format!("{}[{index}]", parent.path()),
        }
    }

    /// Creates a problem at this location; line 0 stands for an unknown line.
    pub fn problem(&self, line: u64, what: impl Into<String>, remedy: impl Into<String>) -> Problem {
        let line = (line > 0).then_some(line);
        Problem { line, ..Problem::new(self.path(), what, remedy) }
    }
}

/// A type that can be read from a node of the tree.
pub trait Value: Sized {
    /// Reads the value; where that fails, adds to `problems` and returns `None`.
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self>;

    /// The value as a number, for types that can have bounds.
    fn as_number(&self) -> Option<f64> {
        None
    }
}

/// A key of a section: optional if its type is an `Option`, otherwise required.
pub trait Field: Sized {
    /// Reads the field; `None` where there is no usable value. `line` is that of the section.
    fn read_field(node: Option<&Node>, at: Location, line: u64, problems: &mut Problems) -> Option<Self>;

    /// The value as a number, where it is present and of a type that can have bounds.
    fn bounded_number(&self) -> Option<f64>;
}

impl<T: Value> Field for Option<T> {
    fn read_field(node: Option<&Node>, at: Location, _: u64, problems: &mut Problems) -> Option<Self> {
        match node {
            None | Some(Node { value: Raw::Null, .. }) => Some(None),
            Some(node) => T::read(node, at, problems).map(Some),
        }
    }

    fn bounded_number(&self) -> Option<f64> {
        self.as_ref().and_then(Value::as_number)
    }
}

impl<T: Value> Field for T {
    fn read_field(node: Option<&Node>, at: Location, line: u64, problems: &mut Problems) -> Option<Self> {
        match node {
            Some(node) => T::read(node, at, problems),
            None => {
                problems.add(at.problem(line, "missing", "add it"));
                None
            }
        }
    }

    fn bounded_number(&self) -> Option<f64> {
        self.as_number()
    }
}

fn wrong_type<T>(node: &Node, at: Location, problems: &mut Problems, wanted: &str) -> Option<T> {
    let quotes = wanted.contains("text") && !matches!(node.value, Raw::List(_) | Raw::Map(_) | Raw::Null);
    let remedy = if quotes { "put it in quotes".to_owned() } else { format!("write {wanted}") };
    problems.add(at.problem(node.line, format!("{} where {wanted} is needed", node.value.kind()), remedy));
    None
}

macro_rules! integer {
    ($($type:ty),*) => {$(
        impl Value for $type {
            fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
                let whole = match node.value {
                    Raw::Integer(whole) => Some(whole),
                    Raw::Number(number) if number.fract() == 0.0 && number.abs() < 9e15 => Some(number as i128),
                    _ => return wrong_type(node, at, problems, "a whole number"),
                };
                let value = whole.and_then(|whole| Self::try_from(whole).ok());
                if value.is_none() {
                    let remedy = format!("stay within {} to {}", Self::MIN, Self::MAX);
                    problems.add(at.problem(node.line, "out of range", remedy));
                }
                value
            }

            fn as_number(&self) -> Option<f64> {
                Some(*self as f64)
            }
        }
    )*};
}

integer!(u16, u32, u64);

impl Value for f64 {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        match node.value {
            Raw::Integer(whole) => Some(whole as f64),
            Raw::Number(number) if number.is_finite() => Some(number),
            _ => wrong_type(node, at, problems, "a finite number"),
        }
    }

    fn as_number(&self) -> Option<f64> {
        Some(*self)
    }
}

impl Value for bool {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        match node.value {
            Raw::Bool(flag) => Some(flag),
            _ => wrong_type(node, at, problems, "true or false"),
        }
    }
}

impl Value for String {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        let Raw::Text(text) = &node.value else { return wrong_type(node, at, problems, "text") };
        if text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
            let what = "text that is too long or holds control characters";
            problems.add(at.problem(node.line, what, format!("keep it within {MAX_TEXT_BYTES} plain bytes")));
            return None;
        }
        Some(text.clone())
    }
}

impl Value for SocketAddr {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        let text = match &node.value {
            Raw::Text(text) => text,
            _ => return wrong_type(node, at, problems, "text: an address and a port"),
        };
        let address = text.parse().ok();
        if address.is_none() {
            let remedy = "write an IP address and a port, as 127.0.0.1:7070 or [::1]:7070";
            problems.add(at.problem(node.line, "not an address", remedy));
        }
        address
    }
}

impl Value for Secret {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        match &node.value {
            Raw::Text(text) if text.is_empty() => {
                problems.add(at.problem(
                    node.line,
                    "an empty secret would give access to everyone",
                    "write one",
                ));
                None
            }
            Raw::Text(_) => String::read(node, at, problems).map(Secret::inline),
            Raw::Map(map) => match &map[..] {
                [(key, _, file)] if key == "file" => {
                    String::read(file, Location::Key(&at, "file"), problems).map(Secret::in_file)
                }
                _ => wrong_type(node, at, problems, "text, or a section with the one key file"),
            },
            _ => wrong_type(node, at, problems, "text, or a section with the one key file"),
        }
    }
}

impl<T: Value> Value for Vec<T> {
    fn read(node: &Node, at: Location, problems: &mut Problems) -> Option<Self> {
        let Raw::List(list) = &node.value else { return wrong_type(node, at, problems, "a list") };
        if list.len() > MAX_LIST_ITEMS {
            problems.add(at.problem(node.line, "too many items", format!("keep it within {MAX_LIST_ITEMS}")));
            return None;
        }
        // All items are read before a failure is returned, so that the problems of each are reported.
        let read =
            list.iter().enumerate().map(|(index, item)| T::read(item, Location::Item(&at, index), problems));
        let read: Vec<Option<T>> = read.collect();
        read.into_iter().collect()
    }
}

/// The known keys of a section with their values. Reports a node that is not a section, duplicate keys and
/// unknown keys.
pub fn section_keys<'a>(
    node: &'a Node,
    at: Location,
    known: &[&str],
    problems: &mut Problems,
) -> Option<Vec<(&'a str, &'a Node)>> {
    let Raw::Map(map) = &node.value else { return wrong_type(node, at, problems, "a section") };
    let mut found: Vec<(&str, &Node)> = Vec::new();
    let mut lines = std::collections::HashMap::new();
    for (key, line, value) in map {
        if let Some(first) = lines.insert(key.as_str(), *line) {
            let what = format!("also defined on line {first}");
            problems.add(Location::Key(&at, key).problem(*line, what, "keep one of them"));
        } else if known.contains(&key.as_str()) {
            found.push((key, value));
        } else {
            let nearest = known.iter().map(|name| (strsim::jaro_winkler(key, name), *name));
            let nearest = nearest
                .filter(|(similarity, _)| *similarity >= MIN_KEY_SIMILARITY)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let remedy = match nearest {
                Some((_, name)) => format!("did you mean {name}?"),
                None => format!("known keys: {}", known.join(", ")),
            };
            // A key can be a misplaced secret: at most 40 printable characters of it are shown.
            let shown: String = key.chars().filter(|c| c.is_ascii_graphic()).take(40).collect();
            problems.add(Location::Key(&at, &shown).problem(*line, "unknown key", remedy));
        }
    }
    Some(found)
}

/// Whether a number is within its bounds, if there is one; reports it otherwise.
pub fn check_bounds(
    number: Option<f64>,
    (low, high): (f64, f64),
    at: Location,
    line: u64,
    problems: &mut Problems,
) -> bool {
    let is_within = number.is_none_or(|number| (low..=high).contains(&number));
    if !is_within {
        problems.add(at.problem(line, "out of bounds", format!("stay within {low} to {high}")));
    }
    is_within
}

/// Declares a section, see the module documentation.
macro_rules! section {
    ($(#[$doc:meta])* $name:ident {
        $($(#[$meaning:meta])* $key:ident : $type:ty $(= $low:literal ..= $high:literal)?;)*
    }) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, schemars::JsonSchema)]
        #[schemars(deny_unknown_fields)]
        $(#[$doc])*
        pub struct $name {
            $(
                $(#[$meaning])*
                $(#[schemars(range(min = $low, max = $high))])?
                #[serde(skip_serializing_if = "crate::config::read::is_null")]
                pub $key: $type,
            )*
        }

        impl crate::config::read::Value for $name {
            fn read(
                node: &crate::config::tree::Node,
                at: crate::config::read::Location,
                problems: &mut crate::config::problem::Problems,
            ) -> Option<Self> {
                use crate::config::read::{section_keys, Location, Field};
                let found = section_keys(node, at, &[$(stringify!($key)),*], problems)?;
                $(
                    let name = stringify!($key);
                    let value = found.iter().find(|(key, _)| *key == name).map(|(_, node)| *node);
                    let here = Location::Key(&at, name);
                    let $key: Option<$type> = Field::read_field(value, here, node.line, problems);
                    $(
                        let line = value.map_or(node.line, |node| node.line);
                        let number = $key.as_ref().and_then(Field::bounded_number);
                        let bounds = (f64::from($low), f64::from($high));
                        let is_within = crate::config::read::check_bounds(number, bounds, here, line, problems);
                        let $key = $key.filter(|_| is_within);
                    )?
                )*
                Some($name { $($key: $key?),* })
            }
        }
    };
}

/// Whether a value is omitted from the output.
pub fn is_null<T: serde::Serialize>(value: &T) -> bool {
    // Only an absent option is serialized as null.
    serde_json::to_value(value).is_ok_and(|value| value.is_null())
}
