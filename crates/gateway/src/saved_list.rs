//! The last worker list, kept in a file: a gateway that starts without its list service begins with it.
//!
//! The file is one `List` frame of the main protocol. It is written beside and renamed, so that a kill leaves the
//! old one or the new one.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use cresswheel_protocol::{Decoder, Limits, Listed, Message, encode};

pub struct SavedList {
    path: PathBuf,
}

/// Longest list that is read back, in bytes.
const MOST: usize = 64 << 20;

impl SavedList {
    pub fn new(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        Ok(Self { path: folder.join("workers.list") })
    }

    pub fn write<'a>(&self, workers: impl Iterator<Item = &'a Listed>) -> io::Result<()> {
        let message = Message::List { whole: true, version: 0, workers: workers.cloned().collect() };
        let mut bytes = Vec::new();
        encode(&message, &mut bytes);
        let beside = self.path.with_extension("new");
        let mut file = File::create(&beside)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)
    }

    /// The list, if there is one; an error names the file and what is wrong with it.
    pub fn read(&self) -> Result<Option<Vec<Listed>>, String> {
        let wrong = |what: String| format!("{}: {what}", self.path.display());
        let bytes = match std::fs::metadata(&self.path) {
            Ok(facts) if facts.len() > MOST as u64 => return Err(wrong("too long".into())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            _ => std::fs::read(&self.path).map_err(|error| wrong(error.to_string()))?,
        };
        let mut decoder = Decoder::new(Limits { frame: MOST });
        decoder.push(&bytes);
        match decoder.decode() {
            Ok(Some(Message::List { workers, .. })) => Ok(Some(workers)),
            Ok(Some(other)) => Err(wrong(format!("holds no list but {}", other.kind()))),
            Ok(None) => Err(wrong("cut short".into())),
            Err(error) => Err(wrong(error.to_string())),
        }
    }
}

#[cfg(test)]
mod tests;
