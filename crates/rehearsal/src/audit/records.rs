//! Records from the files of a run.

use std::path::{Path, PathBuf};

use anyhow::Context;
use cresswheel_standins::Record;

/// Reads all records of a folder, in the order of time. Lines that can't be read are returned with their place; the
/// last line of a killed process may be cut, since it is what the kill cut off.
pub fn read_records(folder: &Path) -> anyhow::Result<(Vec<Record>, Vec<String>)> {
    let (mut records, mut unreadable) = (Vec::new(), Vec::new());
    for file in record_files(folder)? {
        let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
        for (number, line) in text.lines().enumerate() {
            match serde_json::from_str::<Record>(line) {
                Ok(record) => records.push(record),
                Err(error) => unreadable.push(format!("{}:{}: {error}", file.display(), number + 1)),
            }
        }
    }
    records.sort_by_key(|record| record.at);
    Ok((records, unreadable))
}

fn record_files(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut files = entries.map(|entry| entry.map(|e| e.path())).collect::<Result<Vec<_>, _>>()?;
    files.retain(|file| file.extension().is_some_and(|extension| extension == "jsonl"));
    files.sort();
    Ok(files)
}
