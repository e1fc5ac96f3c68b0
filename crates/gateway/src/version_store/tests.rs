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
