//! File format of an acceptor's state: what the voter has promised and accepted. A file that cannot
//! be read is not treated as absent: the voter would forget a promise, so it abstains.

use super::register::Acceptor;
use crate::startup::digest;

/// Name of the file in the state folder.
pub const FILE_NAME: &str = "maintenance.kept";
/// Format and version: the first word of the file.
const FORMAT: &str = "cedarwharf-ledger-1";
/// Longer files are not read.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// Encodes the file. `electorate` identifies the set of voters.
pub fn encode(electorate: u64, acceptor: &Acceptor) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(acceptor, &mut body).expect("an acceptor always serializes");
    let mut file = format!("{FORMAT} {electorate:016x} {:016x} {}\n", digest(&body), body.len()).into_bytes();
    file.extend(body);
    file
}

/// Decodes the file. Returns `None` if it was written for another set of voters.
pub fn decode(file: &[u8], electorate: u64) -> Result<Option<Acceptor>, String> {
    let line = file.iter().position(|&byte| byte == b'\n').ok_or("no first line")?;
    let head = std::str::from_utf8(&file[..line]).map_err(|_| "its first line is not text")?;
    let words: Vec<&str> = head.split(' ').collect();
    let [format, voters, sum, length] = words[..] else {
        return Err("its first line does not have four words".to_owned());
    };
    if format != FORMAT {
        return Err(format!("its format is {format:?}, not {FORMAT}"));
    }
    let body = &file[line + 1..];
    if length.parse() != Ok(body.len()) || u64::from_str_radix(sum, 16) != Ok(digest(body)) {
        return Err("its length or digest does not match".to_owned());
    }
    if u64::from_str_radix(voters, 16) != Ok(electorate) {
        return Ok(None);
    }
    ciborium::from_reader(body).map(Some).map_err(|problem| problem.to_string())
}

#[cfg(test)]
mod tests;
