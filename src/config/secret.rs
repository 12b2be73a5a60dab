//! Secrets, written in the operators' file or in a separate file. `Debug` and serialization print a
//! placeholder.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::borrow::Cow;
use std::fmt;

/// Placeholder that is printed instead of a secret.
pub const REDACTED: &str = "(secret)";
/// Maximum size of a secret's file in bytes.
pub const MAX_SECRET_BYTES: usize = 4096;

/// A secret as configured: its text, or the path of its file.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Source);

#[derive(Clone, PartialEq, Eq)]
enum Source {
    Inline(String),
    InFile(String),
}

/// Reads the files of secrets; tests have an implementation in memory.
pub trait SecretFiles {
    /// Returns the text of a file, or a message why it cannot be read.
    fn read(&self, path: &str) -> Result<String, String>;
}

/// Reads secrets from the local file system.
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
    /// A secret written in the operators' file itself.
    pub fn inline(text: String) -> Secret {
        Secret(Source::Inline(text))
    }

    /// A secret in a separate file.
    pub fn in_file(path: String) -> Secret {
        Secret(Source::InFile(path))
    }

    /// Returns the secret, reading its file if it has one. A line ending at the end of that file is not part
    /// of it.
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
            "description": "A secret: its text, or the name of the file that contains it. It is never printed.",
            "anyOf": [
                {"type": "string", "minLength": 1},
                {"type": "object", "properties": {"file": {"type": "string"}}, "required": ["file"],
                 "additionalProperties": false}
            ]
        })
    }
}

/// The text of a secret. `Debug` prints a placeholder.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a text, for tests and for secrets from the platform.
    pub fn new(text: impl Into<String>) -> SecretText {
        SecretText(text.into())
    }

    /// The secret in clear, for the caller that has to send or check it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Compares a candidate with the secret, in a time that does not depend on where they differ.
    pub fn matches(&self, candidate: &[u8]) -> bool {
        let digest = |bytes: &[u8]| Sha256::digest(bytes);
        let (given, expected) = (digest(candidate), digest(self.0.as_bytes()));
        given.iter().zip(expected.iter()).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl SecretText {
    /// A digest as hexadecimal text, by which secrets are compared within one installation. It is useless
    /// elsewhere, since only that installation knows `salt`.
    pub fn digest(&self, salt: &[u8]) -> String {
        hex(&Sha256::new().chain_update(salt).chain_update(self.0.as_bytes()).finalize())
    }
}

/// Formats bytes as hexadecimal text.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
