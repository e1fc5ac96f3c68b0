//! What this gateway was ordered about versions, kept in a redb file: written before it is acted on, read back after
//! any end of the process.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use cresswheel_protocol::Micros;
use cresswheel_versions::Record;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

/// By function: the record that holds, as JSON.
const HELD: TableDefinition<&str, &[u8]> = TableDefinition::new("held");
/// By function, epoch and id: every record that was taken, as JSON.
const HISTORY: TableDefinition<(&str, u64, u64), &[u8]> = TableDefinition::new("history");
/// The form of what stands in the others.
const FORM: TableDefinition<&str, u64> = TableDefinition::new("form");
const THIS_FORM: u64 = 1;
/// Records of a function that are kept.
const MOST_HISTORY: usize = 200;
/// redb keeps a cache; what is stored here is small.
const CACHE: usize = 1 << 20;

/// What holds for a function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub record: Record,
    /// When its conductor was last heard, as far as that was written down.
    pub heard: Micros,
    /// This gateway went back to the old version by its own figures, and why.
    pub braked: Option<String>,
}

#[derive(Debug)]
pub struct VersionStore {
    /// For errors.
    place: String,
    db: Database,
}

impl VersionStore {
    /// The store of this folder; an error names the file and what is wrong with it.
    pub fn open(folder: &Path) -> Result<Self, String> {
        let path = folder.join("versions.redb");
        let wrong = |error: String| format!("{}: {error}", path.display());
        std::fs::create_dir_all(folder).map_err(|error| wrong(error.to_string()))?;
        if !path.exists() {
            // Made beside and renamed: a kill leaves a whole file or none.
            let beside: PathBuf = path.with_extension("new");
            let _ = std::fs::remove_file(&beside);
            let made = |db| Self::of(db, &beside);
            drop(Database::builder().create(&beside).map_err(|e| wrong(e.to_string())).and_then(made)?);
            std::fs::rename(&beside, &path).map_err(|error| wrong(error.to_string()))?;
            std::fs::File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(|e| wrong(e.to_string()))?;
        }
        Self::opened(&path, || Database::builder().set_cache_size(CACHE).open(&path))
    }

    /// A store on other storage than a file, for tests of what a crash leaves.
    #[cfg(test)]
    pub fn on(backend: impl redb::StorageBackend) -> Result<Self, String> {
        let builder = || Database::builder().set_cache_size(CACHE).create_with_backend(backend);
        Self::opened(Path::new("storage"), builder)
    }

    fn opened(
        path: &Path,
        open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<Self, String> {
        // redb trusts what a clean end left behind, and panics where somebody has changed that since.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut db = open().map_err(|error| error.to_string())?;
            db.check_integrity().map_err(|error| error.to_string())?;
            Self::of(db, path)
        }));
        let damaged = "damaged; move it away to start without what it held";
        opened.unwrap_or_else(|_| Err(damaged.into())).map_err(|error| {
            match error.starts_with(&place(path)) {
                true => error,
                false => format!("{}: {error}", path.display()),
            }
        })
    }

    fn of(db: Database, path: &Path) -> Result<Self, String> {
        let store = Self { place: place(path), db };
        let form = store.wrong(store.make())?;
        match form {
            THIS_FORM => Ok(store),
            other => Err(format!("{}form {other}, this program reads form {THIS_FORM}", store.place)),
        }
    }

    fn wrong<T>(&self, done: Result<T, redb::Error>) -> Result<T, String> {
        done.map_err(|error| format!("{}{error}", self.place))
    }

    /// The tables, and the form that they are in.
    fn make(&self) -> Result<u64, redb::Error> {
        let write = self.db.begin_write()?;
        let form = {
            let mut forms = write.open_table(FORM)?;
            let form = forms.get("form")?.map(|form| form.value());
            if form.is_none() {
                forms.insert("form", THIS_FORM)?;
                write.open_table(HELD)?;
                write.open_table(HISTORY)?;
            }
            form
        };
        match form {
            Some(form) => write.abort().map(|()| form).map_err(Into::into),
            None => write.commit().map(|()| THIS_FORM).map_err(Into::into),
        }
    }

    /// Writes down what holds for a function from now on. When this returns it outlives a kill.
    pub fn put(&self, kept: &Kept) -> Result<(), String> {
        self.wrong(self.write(kept))
    }

    fn write(&self, kept: &Kept) -> Result<(), redb::Error> {
        let record = &kept.record;
        let function = record.plan.function.as_str();
        let json = |error: serde_json::Error| redb::Error::Io(error.into());
        let write = self.db.begin_write()?;
        {
            let mut held = write.open_table(HELD)?;
            held.insert(function, serde_json::to_vec(kept).map_err(json)?.as_slice())?;
            let mut history = write.open_table(HISTORY)?;
            let at = (function, record.epoch, record.id);
            if history.get(at)?.is_none() {
                history.insert(at, serde_json::to_vec(record).map_err(json)?.as_slice())?;
            }
            let of_function = || (function, 0, 0)..=(function, u64::MAX, u64::MAX);
            let count = history.range(of_function())?.count();
            let mut beyond = Vec::new();
            for entry in history.range(of_function())?.take(count.saturating_sub(MOST_HISTORY)) {
                let (_, epoch, id) = entry?.0.value();
                beyond.push((epoch, id));
            }
            for (epoch, id) in beyond {
                history.remove((function, epoch, id))?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// What holds, for all functions.
    pub fn held(&self) -> Result<Vec<Kept>, String> {
        let texts = self.wrong(self.read_held())?;
        let parse = |(function, text): (String, Vec<u8>)| {
            let wrong = |what: String| format!("{}function {function:?}: {what}", self.place);
            let kept: Kept = serde_json::from_slice(&text).map_err(|error| wrong(error.to_string()))?;
            let faults = kept.record.faults();
            if faults.is_empty() { Ok(kept) } else { Err(wrong(faults.join("; "))) }
        };
        texts.into_iter().map(parse).collect()
    }

    fn read_held(&self) -> Result<Vec<(String, Vec<u8>)>, redb::Error> {
        let read = self.db.begin_read()?;
        let held = read.open_table(HELD)?;
        let mut all = Vec::new();
        for entry in held.iter()? {
            let (function, text) = entry?;
            all.push((function.value().to_owned(), text.value().to_vec()));
        }
        Ok(all)
    }

    /// The records of a function that were taken, oldest first.
    pub fn history(&self, function: &str) -> Result<Vec<Record>, String> {
        let texts = self.wrong(self.read_history(function))?;
        let parse = |text: Vec<u8>| serde_json::from_slice(&text).map_err(|e| format!("{}{e}", self.place));
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

fn place(path: &Path) -> String {
    format!("{}: ", path.display())
}

#[cfg(test)]
mod tests;
