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
mod tests {
    use std::collections::BTreeSet;
    use std::sync::{Arc, Mutex};

    use cresswheel_versions::{Guard, Kind, Plan, Share, Step, Stick};
    use redb::StorageBackend;

    use super::*;

    fn plan() -> Plan {
        let step = |share| Step { share: Share::new(share).unwrap(), hold: 1_000_000 };
        let guard = Guard {
            classes: vec!["c".into()],
            false_alarm: 0.01,
            worse: 1.5,
            least: 1,
            settle: 0,
            compare: None,
        };
        Plan {
            function: "f".into(),
            old: "1".into(),
            new: "2".into(),
            old_digest: String::new(),
            new_digest: String::new(),
            stick: Stick::Account,
            salt: [1, 2],
            steps: vec![step(100), step(10_000)],
            guard,
            lease: 0,
            preload: 0,
            keep_old: 0,
        }
    }

    /// Start, widen, promote, roll back.
    fn history() -> Vec<Kept> {
        let mut records = vec![Record::start(plan(), None, 7, 1, "a", "b").unwrap()];
        for kind in [Kind::Widen, Kind::Promote, Kind::RollBack] {
            let next = records.last().unwrap().then(kind, 8, 2, "a", "b").unwrap();
            records.push(next);
        }
        records.into_iter().map(|record| Kept { record, heard: 3, braked: None }).collect()
    }

    #[derive(Clone, Debug)]
    enum Wrote {
        Bytes(u64, Vec<u8>),
        Length(u64),
    }

    /// Storage in memory that remembers every write in order.
    #[derive(Clone, Debug, Default)]
    struct Recorded {
        bytes: Arc<Mutex<Vec<u8>>>,
        wrote: Arc<Mutex<Vec<Wrote>>>,
    }

    impl StorageBackend for Recorded {
        fn len(&self) -> Result<u64, std::io::Error> {
            Ok(self.bytes.lock().unwrap().len() as u64)
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
            let bytes = self.bytes.lock().unwrap();
            out.copy_from_slice(&bytes[offset as usize..offset as usize + out.len()]);
            Ok(())
        }
        fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
            self.bytes.lock().unwrap().resize(len as usize, 0);
            self.wrote.lock().unwrap().push(Wrote::Length(len));
            Ok(())
        }
        fn sync_data(&self) -> Result<(), std::io::Error> {
            Ok(())
        }
        fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
            let at = offset as usize;
            self.bytes.lock().unwrap()[at..at + data.len()].copy_from_slice(data);
            self.wrote.lock().unwrap().push(Wrote::Bytes(offset, data.to_vec()));
            Ok(())
        }
    }

    fn storage(bytes: Vec<u8>) -> Recorded {
        Recorded { bytes: Arc::new(Mutex::new(bytes)), ..Recorded::default() }
    }

    /// A crash at every byte of every write after the file was made: what is read back is what stood before the
    /// write that was cut, or what stood after it, and it can be written to.
    #[test]
    fn a_history_cut_at_every_byte_is_read_back_whole_up_to_the_cut() {
        let live = Recorded::default();
        let store = VersionStore::on(live.clone()).unwrap();
        let made = live.wrote.lock().unwrap().len();
        let mut counts = Vec::new();
        for kept in history() {
            store.put(&kept).unwrap();
            counts.push(live.wrote.lock().unwrap().len());
        }
        // A kill: nothing is closed in order.
        let wrote = live.wrote.lock().unwrap().clone();
        std::mem::forget(store);
        let mut bytes = Vec::new();
        let (mut cuts, mut seen) = (0, BTreeSet::new());
        for (at, write) in wrote.iter().enumerate() {
            match write {
                Wrote::Length(len) => bytes.resize(*len as usize, 0),
                Wrote::Bytes(offset, data) => {
                    let from = *offset as usize;
                    // Bytes that do not change anything are no place for a cut.
                    let changes = (0..data.len()).filter(|n| at >= made && bytes[from + n] != data[*n]);
                    for cut in changes.collect::<Vec<_>>() {
                        let mut torn = bytes.clone();
                        torn[from..from + cut].copy_from_slice(&data[..cut]);
                        cuts += 1;
                        seen.insert(read_back(torn, &counts, at));
                    }
                    bytes[from..from + data.len()].copy_from_slice(data);
                }
            }
        }
        // The last record is there with the last byte of all, so no cut shows it.
        assert!(cuts > 1_000, "{cuts} cuts");
        assert_eq!(seen, BTreeSet::from([0, 1, 2, 3]), "every state before that was seen after a cut");
        assert_eq!(read_back(bytes, &counts, wrote.len()), 4);
        eprintln!("{cuts} cuts of {} writes", wrote.len() - made);
    }

    /// How many of the history's records are there.
    fn read_back(bytes: Vec<u8>, counts: &[usize], at: usize) -> usize {
        let store = VersionStore::on(storage(bytes)).expect("a torn file opens");
        let held = store.held().expect("what is there can be read");
        let there = held.first().map_or(0, |kept| {
            1 + history().iter().position(|other| other == kept).expect("a record as it was written")
        });
        let whole = counts.iter().filter(|count| **count <= at).count();
        assert!(there == whole || there == whole + 1, "{there} records, {whole} were written whole");
        assert_eq!(store.history("f").unwrap().len(), there);
        there
    }

    #[test]
    fn a_damaged_file_is_an_error_that_names_it_and_is_left_as_it_is() {
        let folder = tempfile::tempdir().unwrap();
        let store = VersionStore::open(folder.path()).unwrap();
        history().iter().for_each(|kept| store.put(kept).unwrap());
        let second = VersionStore::open(folder.path()).unwrap_err();
        assert!(second.contains("versions.redb: ") && second.contains("open"), "{second}");
        drop(store);
        let path = folder.path().join("versions.redb");
        let bytes = std::fs::read(&path).unwrap();
        let store = VersionStore::open(folder.path()).unwrap();
        assert_eq!(store.held().unwrap(), history()[3..]);
        assert_eq!(store.history("f").unwrap().len(), 4);
        drop(store);
        // No damage may do worse than an error that names the file, or go unseen in what is read.
        for at in (0..bytes.len()).step_by(bytes.len() / 199).chain(0..64) {
            let mut damaged = bytes.clone();
            damaged[at] ^= 0xff;
            std::fs::write(&path, &damaged).unwrap();
            match VersionStore::open(folder.path()).and_then(|store| store.held()) {
                Err(error) => assert!(error.contains("versions.redb: "), "at {at}: {error}"),
                Ok(held) => assert!(held.is_empty() || history().contains(&held[0]), "at {at}: {held:?}"),
            }
        }
        std::fs::write(&path, &bytes[..bytes.len() / 3]).unwrap();
        let short = VersionStore::open(folder.path()).unwrap_err();
        assert!(short.contains("versions.redb: "), "{short}");
    }

    #[test]
    fn a_history_is_bounded() {
        let store = VersionStore::on(Recorded::default()).unwrap();
        let mut record = Record::start(plan(), None, 1, 1, "", "").unwrap();
        for number in 0..MOST_HISTORY as u64 + 20 {
            record = record.then(Kind::Pause, number, 1, "", "").unwrap();
            store.put(&Kept { record: record.clone(), heard: 0, braked: None }).unwrap();
        }
        let kept = store.history("f").unwrap();
        assert_eq!((kept.len(), kept.last()), (MOST_HISTORY, Some(&record)));
    }
}
