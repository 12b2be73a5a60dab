//! Secrets: given in the file or named by a file of their own. Whatever prints one prints a mark in its place.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::borrow::Cow;
use std::fmt;

/// What stands in the place of a secret, wherever one would be printed.
pub const REDACTED: &str = "(secret)";
/// Bytes of a secret's file at most.
pub const MAX_SECRET_BYTES: usize = 4096;

/// A secret as it is written.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Source);

#[derive(Clone, PartialEq, Eq)]
enum Source {
    Inline(String),
    InFile(String),
}

/// Reads the files that secrets are in; a test's keeps them in memory.
pub trait SecretFiles {
    /// The text of a file, or why there is none.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// The files of this machine.
pub struct DiskFiles;

impl SecretFiles for DiskFiles {
    fn read(&self, path: &str) -> Result<String, String> {
        use std::io::Read;
        let file = std::fs::File::open(path).map_err(|problem| problem.to_string())?;
        let mut text = String::new();
        let read = file.take(MAX_SECRET_BYTES as u64 + 1).read_to_string(&mut text);
        read.map_err(|problem| problem.kind().to_string())?;
        if text.len() > MAX_SECRET_BYTES {
            return Err(format!("longer than {MAX_SECRET_BYTES} bytes"));
        }
        Ok(text)
    }
}

impl Secret {
    /// One that stands in the file itself.
    pub fn inline(text: String) -> Secret {
        Secret(Source::Inline(text))
    }

    /// One in a file of its own.
    pub fn in_file(path: String) -> Secret {
        Secret(Source::InFile(path))
    }

    /// The secret itself. A line's end at the end of its file is not part of it.
    pub fn resolve(&self, files: &dyn SecretFiles) -> Result<SecretText, String> {
        let text = match &self.0 {
            Source::Inline(text) => text.clone(),
            Source::InFile(path) => {
                let text = files.read(path).map_err(|problem| format!("{path}: {problem}"))?;
                let text = text.strip_suffix('\n').unwrap_or(&text);
                text.strip_suffix('\r').unwrap_or(text).to_owned()
            }
        };
        if text.is_empty() {
            return Err("the secret is empty".to_owned());
        }
        Ok(SecretText(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        match &self.0 {
            Source::Inline(_) => out.serialize_str(REDACTED),
            Source::InFile(path) => std::collections::BTreeMap::from([("file", path)]).serialize(out),
        }
    }
}

impl JsonSchema for Secret {
    fn schema_name() -> Cow<'static, str> {
        "Secret".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "description": "A secret: its text, or the name of the file that holds it. Printed nowhere.",
            "anyOf": [
                {"type": "string", "minLength": 1},
                {"type": "object", "properties": {"file": {"type": "string"}}, "required": ["file"],
                 "additionalProperties": false}
            ]
        })
    }
}

/// A secret that is in use.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// One made in a test or by the platform.
    pub fn new(text: impl Into<String>) -> SecretText {
        SecretText(text.into())
    }

    /// The secret itself, for the one place that needs it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Whether a candidate text is it, in a time that does not depend on where they differ.
    pub fn matches(&self, candidate: &[u8]) -> bool {
        let digest = |bytes: &[u8]| Sha256::digest(bytes);
        let (one, other) = (digest(candidate), digest(self.0.as_bytes()));
        one.iter().zip(other.iter()).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

/// A digest that tells one from another within an installation, and nothing else: `salt` is known to it alone.
impl SecretText {
    /// As hexadecimal text.
    pub fn digest(&self, salt: &[u8]) -> String {
        hex(&Sha256::new().chain_update(salt).chain_update(self.0.as_bytes()).finalize())
    }
}

/// Bytes as hexadecimal text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
