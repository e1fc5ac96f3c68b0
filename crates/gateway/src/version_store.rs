//! Stores the version orders of this gateway in a redb file. An order is written before it is applied and
//! read back at the next start, however the process ended.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use cresswheel_protocol::Micros;
use cresswheel_versions::Record;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

/// By function: its current state, as JSON.
const CURRENT: TableDefinition<&str, &[u8]> = TableDefinition::new("held");
/// By function, epoch and id: every accepted record, as JSON.
const HISTORY: TableDefinition<(&str, u64, u64), &[u8]> = TableDefinition::new("history");
/// The format version of the other tables.
const FORMAT: TableDefinition<&str, u64> = TableDefinition::new("form");
const FORMAT_VERSION: u64 = 1;
/// Maximum number of records kept for a function.
const MAX_HISTORY: usize = 200;
/// Small, since little is stored; redb's own default is much larger.
const CACHE_BYTES: usize = 1 << 20;

/// The current version state of a function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FunctionState {
    pub record: Record,
    /// When its conductor last sent something, as far as that was stored.
    pub heard: Micros,
    /// Why this gateway returned to the old version by its own counts, if it did.
    pub braked: Option<String>,
}

#[derive(Debug)]
pub struct VersionStore {
    /// The path, as the beginning of error messages.
    error_prefix: String,
    db: Database,
}

impl VersionStore {
    /// Opens or creates the store of this folder; an error names the file and what is wrong with it.
    pub fn open(folder: &Path) -> Result<Self, String> {
        let path = folder.join("versions.redb");
        let with_path = |error: String| format!("{}: {error}", path.display());
        std::fs::create_dir_all(folder).map_err(|error| with_path(error.to_string()))?;
        if !path.exists() {
            // Created under a temporary name and renamed: a kill leaves a whole file or none.
            let temporary: PathBuf = path.with_extension("new");
            let _ = std::fs::remove_file(&temporary);
            let create = |db| Self::from_database(db, &temporary);
            drop(
                Database::builder()
                    .create(&temporary)
                    .map_err(|e| with_path(e.to_string()))
                    .and_then(create)?,
            );
            std::fs::rename(&temporary, &path).map_err(|error| with_path(error.to_string()))?;
            std::fs::File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(|e| with_path(e.to_string()))?;
        }
        Self::open_with(&path, || Database::builder().set_cache_size(CACHE_BYTES).open(&path))
    }

    /// Opens a store on a backend other than a file, for tests of what a crash leaves.
    #[cfg(test)]
    pub fn with_backend(backend: impl redb::StorageBackend) -> Result<Self, String> {
        let builder = || Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
        Self::open_with(Path::new("storage"), builder)
    }

    fn open_with(
        path: &Path,
        open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<Self, String> {
        // redb trusts the contents of a file that was closed cleanly, and panics if they were changed
        // afterwards.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut db = open().map_err(|error| error.to_string())?;
            db.check_integrity().map_err(|error| error.to_string())?;
            Self::from_database(db, path)
        }));
        let damaged = "damaged; move it away to start without what it held";
        opened.unwrap_or_else(|_| Err(damaged.into())).map_err(|error| {
            match error.starts_with(&error_prefix(path)) {
                true => error,
                false => format!("{}: {error}", path.display()),
            }
        })
    }

    fn from_database(db: Database, path: &Path) -> Result<Self, String> {
        let store = Self { error_prefix: error_prefix(path), db };
        let format = store.with_prefix(store.create_tables())?;
        match format {
            FORMAT_VERSION => Ok(store),
            other => {
                Err(format!("{}form {other}, this program reads form {FORMAT_VERSION}", store.error_prefix))
            }
        }
    }

    fn with_prefix<T>(&self, result: Result<T, redb::Error>) -> Result<T, String> {
        result.map_err(|error| format!("{}{error}", self.error_prefix))
    }

    /// Creates the tables if they are missing, and returns their format version.
    fn create_tables(&self) -> Result<u64, redb::Error> {
        let write = self.db.begin_write()?;
        let format = {
            let mut formats = write.open_table(FORMAT)?;
            let format = formats.get("form")?.map(|format| format.value());
            if format.is_none() {
                formats.insert("form", FORMAT_VERSION)?;
                write.open_table(CURRENT)?;
                write.open_table(HISTORY)?;
            }
            format
        };
        match format {
            Some(format) => write.abort().map(|()| format).map_err(Into::into),
            None => write.commit().map(|()| FORMAT_VERSION).map_err(Into::into),
        }
    }

    /// Stores the current state of a function. When this returns, the state survives a kill of the process.
    pub fn put(&self, state: &FunctionState) -> Result<(), String> {
        self.with_prefix(self.write(state))
    }

    fn write(&self, state: &FunctionState) -> Result<(), redb::Error> {
        let record = &state.record;
        let function = record.plan.function.as_str();
        let json = |error: serde_json::Error| redb::Error::Io(error.into());
        let write = self.db.begin_write()?;
        {
            let mut current = write.open_table(CURRENT)?;
            current.insert(function, serde_json::to_vec(state).map_err(json)?.as_slice())?;
            let mut history = write.open_table(HISTORY)?;
            let key = (function, record.epoch, record.id);
            if history.get(key)?.is_none() {
                history.insert(key, serde_json::to_vec(record).map_err(json)?.as_slice())?;
            }
            let range = || (function, 0, 0)..=(function, u64::MAX, u64::MAX);
            let count = history.range(range())?.count();
            let mut expired = Vec::new();
            for entry in history.range(range())?.take(count.saturating_sub(MAX_HISTORY)) {
                let (_, epoch, id) = entry?.0.value();
                expired.push((epoch, id));
            }
            for (epoch, id) in expired {
                history.remove((function, epoch, id))?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// The current state of all functions.
    pub fn load(&self) -> Result<Vec<FunctionState>, String> {
        let texts = self.with_prefix(self.read_current())?;
        let parse = |(function, text): (String, Vec<u8>)| {
            let with_path = |what: String| format!("{}function {function:?}: {what}", self.error_prefix);
            let state: FunctionState =
                serde_json::from_slice(&text).map_err(|error| with_path(error.to_string()))?;
            let faults = state.record.faults();
            if faults.is_empty() { Ok(state) } else { Err(with_path(faults.join("; "))) }
        };
        texts.into_iter().map(parse).collect()
    }

    fn read_current(&self) -> Result<Vec<(String, Vec<u8>)>, redb::Error> {
        let read = self.db.begin_read()?;
        let current = read.open_table(CURRENT)?;
        let mut all = Vec::new();
        for entry in current.iter()? {
            let (function, text) = entry?;
            all.push((function.value().to_owned(), text.value().to_vec()));
        }
        Ok(all)
    }

    /// The accepted records of a function, oldest first.
    pub fn history(&self, function: &str) -> Result<Vec<Record>, String> {
        let texts = self.with_prefix(self.read_history(function))?;
        let parse =
            |text: Vec<u8>| serde_json::from_slice(&text).map_err(|e| format!("{}{e}", self.error_prefix));
        texts.into_iter().map(parse).collect()
    }

    fn read_history(&self, function: &str) -> Result<Vec<Vec<u8>>, redb::Error> {
        let read = self.db.begin_read()?;
        let history = read.open_table(HISTORY)?;
        let mut all = Vec::new();
        for entry in history.range((function, 0, 0)..=(function, u64::MAX, u64::MAX))? {
            all.push(entry?.1.value().to_vec());
        }
        Ok(all)
    }
}

fn error_prefix(path: &Path) -> String {
    format!("{}: ", path.display())
}

#[cfg(test)]
mod tests;
