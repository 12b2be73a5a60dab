//! The file of configuration versions in the state folder. A change appends one line in a single write; a
//! torn line is not a version. Where the file would exceed its size limit, a complete new file is written
//! beside it and renamed over it, so a complete file exists at any time. Like the journal, it is not synced:
//! it survives a crash of the process, but not of the machine. Appending is preferred because renaming over a
//! file makes some file systems flush it, which takes longer than all the rest of a change.

use super::problem::Problem;
use super::secret::hex;
use super::versions::Versions;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "config.versions";
const NEW_FILE_NAME: &str = "config.versions.new";

/// The part of the state folder's size that is available to versions. During a change there are two such
/// files, beside two of the journal.
pub fn max_versions_bytes(disk: u64) -> usize {
    (disk / 25) as usize
}

/// The open file of versions, see the module documentation.
pub struct Store {
    folder: PathBuf,
    /// The contents of the file, if it is valid to its end.
    written: Option<Versions>,
    size: u64,
}

impl Store {
    /// Reads the stored versions; without a file, the history is empty and has a new salt.
    pub fn open(folder: &Path, disk: u64) -> (Store, Versions) {
        let _ = fs::remove_file(folder.join(NEW_FILE_NAME));
        let bytes = fs::read(folder.join(FILE_NAME)).unwrap_or_default();
        let decoded = Versions::decode(&bytes, max_versions_bytes(disk));
        // Lines appended after a torn line would never be read: the next change rewrites such a file.
        let written = decoded
            .as_ref()
            .filter(|(_, valid_bytes)| *valid_bytes == bytes.len())
            .map(|(versions, _)| versions.clone());
        let store = Store { folder: folder.to_owned(), written, size: bytes.len() as u64 };
        (
            store,
            decoded.map_or_else(
                || Versions::new(random_salt(), max_versions_bytes(disk)),
                |(versions, _)| versions,
            ),
        )
    }

    /// Whether the file exists.
    pub fn exists(folder: &Path) -> bool {
        folder.join(FILE_NAME).exists()
    }

    /// Replaces the stored versions, or leaves them unchanged on an error. The file can contain secrets, so
    /// only its owner may read it.
    pub fn write(&mut self, versions: &Versions, before_commit: impl FnOnce()) -> Result<(), Problem> {
        let lines = self.written.as_ref().map(|written| versions.lines_since(written));
        let fits = |lines: &Vec<u8>| self.size + lines.len() as u64 <= versions.bound() as u64;
        let result = match lines.filter(fits) {
            Some(lines) => self.append(&lines, before_commit),
            None => self.replace(&versions.encode(), before_commit),
        };
        self.written = result.is_ok().then(|| versions.clone());
        result.map_err(|problem| {
            Problem::new(
                "",
                format!("the version cannot be written: {problem}"),
                "free space in the state folder",
            )
        })
    }

    fn append(&mut self, lines: &[u8], before_commit: impl FnOnce()) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.folder.join(FILE_NAME))?;
        before_commit();
        if let Err(problem) = file.write_all_at(lines, self.size) {
            // Part of the line may have been written: a start must not read it.
            let _ = file.set_len(self.size);
            return Err(problem);
        }
        self.size += lines.len() as u64;
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8], before_commit: impl FnOnce()) -> io::Result<()> {
        let next = self.folder.join(NEW_FILE_NAME);
        let write_and_rename = || {
            let file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&next)?;
            file.write_all_at(bytes, 0)?;
            before_commit();
            fs::rename(&next, self.folder.join(FILE_NAME))
        };
        let result = write_and_rename();
        match &result {
            Ok(()) => self.size = bytes.len() as u64,
            Err(_) => drop(fs::remove_file(&next)),
        }
        result
    }
}

fn random_salt() -> String {
    let mut bytes = [0; 16];
    // Without a salt, a reader of the digests could guess the secrets; nothing else depends on it.
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    hex(&bytes)
}
