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

const NAME: &str = "config.versions";
const NEXT: &str = "config.versions.new";

/// Share of the folder's bytes that versions take: two files at the moment of a change, beside the journal's two.
pub fn bound(disk: u64) -> usize {
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
        let _ = fs::remove_file(folder.join(NEXT));
        let bytes = fs::read(folder.join(NAME)).unwrap_or_default();
        let found = Versions::decode(&bytes, bound(disk));
        // What follows a torn line would never be read: such a file is written anew with the next change.
        let written =
            found.as_ref().filter(|(_, good)| *good == bytes.len()).map(|(versions, _)| versions.clone());
        let store = Store { folder: folder.to_owned(), written, size: bytes.len() as u64 };
        (store, found.map_or_else(|| Versions::new(salt(), bound(disk)), |(versions, _)| versions))
    }

    /// Whether a file is there.
    pub fn exists(folder: &Path) -> bool {
        folder.join(NAME).exists()
    }

    /// Puts these in the place of those before, or nothing of them. The file holds secrets: it is the user's alone.
    pub fn write(&mut self, versions: &Versions, between: impl FnOnce()) -> Result<(), Problem> {
        let lines = self.written.as_ref().map(|written| versions.since(written));
        let fits = |lines: &Vec<u8>| self.size + lines.len() as u64 <= versions.bound() as u64;
        let put = match lines.filter(fits) {
            Some(lines) => self.append(&lines, between),
            None => self.replace(&versions.encode(), between),
        };
        self.written = put.is_ok().then(|| versions.clone());
        put.map_err(|problem| {
            Problem::new(
                "",
                format!("the version cannot be written: {problem}"),
                "free the folder that lasts",
            )
        })
    }

    fn append(&mut self, lines: &[u8], between: impl FnOnce()) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.folder.join(NAME))?;
        between();
        if let Err(problem) = file.write_all_at(lines, self.size) {
            // Some of it may be there: a start must not find it.
            let _ = file.set_len(self.size);
            return Err(problem);
        }
        self.size += lines.len() as u64;
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8], between: impl FnOnce()) -> io::Result<()> {
        let next = self.folder.join(NEXT);
        let put = || {
            let file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&next)?;
            file.write_all_at(bytes, 0)?;
            between();
            fs::rename(&next, self.folder.join(NAME))
        };
        let put = put();
        match &put {
            Ok(()) => self.size = bytes.len() as u64,
            Err(_) => drop(fs::remove_file(&next)),
        }
        put
    }
}

fn salt() -> String {
    let mut bytes = [0; 16];
    // Without it, digests of secrets could be guessed at by who sees them; nothing else depends on it.
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    hex(&bytes)
}
