//! The versions' file in the folder that lasts. A new one is written whole beside the old one and renamed over it, so
//! that at any moment there is one whole file. As the journal, it is not synced: it outlives the process, not the
//! machine.

use super::problem::Problem;
use super::secret::hex;
use super::versions::Versions;
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
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
}

impl Store {
    /// Reads what is kept; nothing is an empty history with a new salt.
    pub fn open(folder: &Path, disk: u64) -> (Store, Versions) {
        let store = Store { folder: folder.to_owned() };
        let _ = fs::remove_file(folder.join(NEXT));
        let bytes = fs::read(folder.join(NAME)).unwrap_or_default();
        let versions = Versions::decode(&bytes, bound(disk));
        (store, versions.unwrap_or_else(|| Versions::new(salt(), bound(disk))))
    }

    /// Whether a file is there.
    pub fn exists(folder: &Path) -> bool {
        folder.join(NAME).exists()
    }

    /// Puts these in the place of those before. The file holds secrets: it is the user's alone.
    pub fn write(&self, versions: &Versions, between: impl FnOnce()) -> Result<(), Problem> {
        let next = self.folder.join(NEXT);
        let put = || {
            let mut file =
                OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&next)?;
            file.write_all(&versions.encode())?;
            drop(file);
            between();
            fs::rename(&next, self.folder.join(NAME))
        };
        put().map_err(|problem: std::io::Error| {
            let _ = fs::remove_file(&next);
            Problem::new(
                "",
                format!("the version cannot be written: {problem}"),
                "free the folder that lasts",
            )
        })
    }
}

fn salt() -> String {
    let mut bytes = [0; 16];
    // Without it, digests of secrets could be guessed at by who sees them; nothing else depends on it.
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    hex(&bytes)
}
