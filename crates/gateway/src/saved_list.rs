//! Saves the last worker list in a file, for a gateway that starts while its list service is unreachable.
//!
//! The file is one `List` frame of the main protocol. It is written under a temporary name and renamed, so
//! that a kill leaves the old file or the new one.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use cresswheel_protocol::{Decoder, Limits, ListedWorker, Message, encode};

/// The file with the last worker list.
pub struct SavedList {
    path: PathBuf,
}

/// Maximum size of a file that is read back.
const MAX_BYTES: usize = 64 << 20;

impl SavedList {
    pub fn new(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        Ok(Self { path: folder.join("workers.list") })
    }

    pub fn write<'a>(&self, workers: impl Iterator<Item = &'a ListedWorker>) -> io::Result<()> {
        let message = Message::List { whole: true, version: 0, workers: workers.cloned().collect() };
        let mut bytes = Vec::new();
        encode(&message, &mut bytes);
        let temporary = self.path.with_extension("new");
        let mut file = File::create(&temporary)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.path)
    }

    /// The list, if there is one; an error names the file and what is wrong with it.
    pub fn read(&self) -> Result<Option<Vec<ListedWorker>>, String> {
        let with_path = |what: String| format!("{}: {what}", self.path.display());
        let bytes = match std::fs::metadata(&self.path) {
            Ok(metadata) if metadata.len() > MAX_BYTES as u64 => return Err(with_path("too long".into())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            _ => std::fs::read(&self.path).map_err(|error| with_path(error.to_string()))?,
        };
        let mut decoder = Decoder::new(Limits { frame: MAX_BYTES });
        decoder.push(&bytes);
        match decoder.decode() {
            Ok(Some(Message::List { workers, .. })) => Ok(Some(workers)),
            Ok(Some(other)) => Err(with_path(format!("holds no list but {}", other.kind()))),
            Ok(None) => Err(with_path("cut short".into())),
            Err(error) => Err(with_path(error.to_string())),
        }
    }
}

#[cfg(test)]
mod tests;
