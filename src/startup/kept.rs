//! File format of the cached endpoint list in the state folder: a header line, then the list in
//! discovery's format. A file that is not complete and intact is rejected.

use super::{digest, Edition};
use crate::Micros;

/// Name of the file in the state folder.
pub const FILE_NAME: &str = "list.kept";
/// Format and version: the first word of the header line.
const FORMAT: &str = "cedarwharf-list-1";
/// A start serves at once from a list that discovery confirmed less than this long ago. Changes in
/// discovery count as announced 6 s later.
pub const FRESH_FOR: Micros = Micros(6_000_000);
/// Longer files are not read.
pub const MAX_FILE_BYTES: usize = 8 << 20;

/// The cached endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedList {
    /// Version of the list.
    pub edition: Edition,
    /// Time at which discovery last confirmed the list.
    pub confirmed: Micros,
    /// The list in discovery's format.
    pub bytes: Vec<u8>,
}

impl CachedList {
    /// Encodes the file.
    pub fn encode(&self) -> Vec<u8> {
        let Edition { epoch, generation } = self.edition;
        let (sum, confirmed) = (digest(&self.bytes), self.confirmed.0);
        let mut file = format!("{FORMAT} {epoch} {generation} {confirmed} {} {sum:016x}\n", self.bytes.len())
            .into_bytes();
        file.extend_from_slice(&self.bytes);
        file
    }

    /// Decodes a file, or returns the reason for which it is rejected.
    pub fn decode(file: &[u8]) -> Result<CachedList, String> {
        let end = file.iter().take(200).position(|&byte| byte == b'\n').ok_or("it has no header line")?;
        let head = std::str::from_utf8(&file[..end]).map_err(|_| "its header line is not text")?;
        let fields: Vec<&str> = head.split(' ').collect();
        let [format, epoch, generation, confirmed, length, sum] = fields[..] else {
            return Err(format!("its header line has {} words", fields.len()));
        };
        if format != FORMAT {
            return Err(format!("its format is {format}, not {FORMAT}"));
        }
        let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text} is not a number"));
        let bytes = &file[end + 1..];
        if number(length)? != bytes.len() as u64 {
            return Err(format!("it has {} of {length} bytes", bytes.len()));
        }
        if u64::from_str_radix(sum, 16) != Ok(digest(bytes)) {
            return Err("its digest does not match".to_owned());
        }
        let epoch = u32::try_from(number(epoch)?).map_err(|_| "its epoch is too high")?;
        let edition = Edition { epoch, generation: number(generation)? };
        Ok(CachedList { edition, confirmed: Micros(number(confirmed)?), bytes: bytes.to_vec() })
    }

    /// Whether a start may serve from this list at once.
    pub fn is_fresh(&self, now: Micros) -> bool {
        // A time in the future was written under another clock: the age of the list is unknown.
        self.confirmed <= now && now.minus(self.confirmed) < FRESH_FOR
    }
}

#[cfg(test)]
mod tests;
