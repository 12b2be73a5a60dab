//! The versions' file in the folder that lasts. A change is one line at its end, written at once; a torn line is no
//! version. Where the file grows beyond its bound, a new one is written whole beside it and renamed over it, so that at any
//! moment there is one whole file. As the journal, it is not synced: it outlives the process, not the machine. Appending
//! matters: to rename over a file makes some file systems write it out, which takes longer than all else of a change.

use super::problem::Problem;
use super::secret::hex;
use super::versions::Versions;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "config.versions";
const NEW_FILE_NAME: &str = "config.versions.new";

/// Share of the folder's bytes that versions take: two files at the moment of a change, beside the journal's two.
pub fn max_versions_bytes(disk: u64) -> usize {
    (disk / 25) as usize
}

/// See the module's text.
pub struct Store {
    folder: PathBuf,
    /// What the file says, where it is good to its end.
    written: Option<Versions>,
    size: u64,
}

impl Store {
    /// Reads what is kept; nothing is an empty history with a new salt.
    pub fn open(folder: &Path, disk: u64) -> (Store, Versions) {
        let _ = fs::remove_file(folder.join(NEW_FILE_NAME));
        let bytes = fs::read(folder.join(FILE_NAME)).unwrap_or_default();
        let decoded = Versions::decode(&bytes, max_versions_bytes(disk));
        // What follows a torn line would never be read: such a file is written anew with the next change.
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

    /// Whether a file is there.
    pub fn exists(folder: &Path) -> bool {
        folder.join(FILE_NAME).exists()
    }

    /// Puts these in the place of those before, or nothing of them. The file holds secrets: it is the user's alone.
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
                "free the folder that lasts",
            )
        })
    }

    fn append(&mut self, lines: &[u8], before_commit: impl FnOnce()) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.folder.join(FILE_NAME))?;
        before_commit();
        if let Err(problem) = file.write_all_at(lines, self.size) {
            // Some of it may be there: a start must not find it.
            let _ = file.set_len(self.size);
            return Err(problem);
        }
        self.size += lines.len() as u64;
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8], before_commit: impl FnOnce()) -> io::Result<()> {
        let next = self.folder.join(NEW_FILE_NAME);
        let result = || {
            let file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&next)?;
            file.write_all_at(bytes, 0)?;
            before_commit();
            fs::rename(&next, self.folder.join(FILE_NAME))
        };
        let result = result();
        match &result {
            Ok(()) => self.size = bytes.len() as u64,
            Err(_) => drop(fs::remove_file(&next)),
        }
        result
    }
}

fn random_salt() -> String {
    let mut bytes = [0; 16];
    // Without it, digests of secrets could be guessed at by who sees them; nothing else depends on it.
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    hex(&bytes)
}
