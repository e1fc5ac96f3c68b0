use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use cresswheel_versions::{Affinity, Guard, OrderKind, Plan, Share, Step};
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
        stick: Affinity::Account,
        salt: [1, 2],
        steps: vec![step(100), step(10_000)],
        guard,
        lease: 0,
        preload: 0,
        keep_old: 0,
    }
}

/// Start, widen, promote, roll back.
fn history() -> Vec<FunctionState> {
    let mut records = vec![Record::start(plan(), None, 7, 1, "a", "b").unwrap()];
    for kind in [OrderKind::Widen, OrderKind::Promote, OrderKind::RollBack] {
        let next = records.last().unwrap().next(kind, 8, 2, "a", "b").unwrap();
        records.push(next);
    }
    records.into_iter().map(|record| FunctionState { record, heard: 3, braked: None }).collect()
}

#[derive(Clone, Debug)]
enum Write {
    Bytes(u64, Vec<u8>),
    Length(u64),
}

/// A backend in memory that records every write in order.
#[derive(Clone, Debug, Default)]
struct RecordingBackend {
    bytes: Arc<Mutex<Vec<u8>>>,
    writes: Arc<Mutex<Vec<Write>>>,
}

impl StorageBackend for RecordingBackend {
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
        self.writes.lock().unwrap().push(Write::Length(len));
        Ok(())
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        let at = offset as usize;
        self.bytes.lock().unwrap()[at..at + data.len()].copy_from_slice(data);
        self.writes.lock().unwrap().push(Write::Bytes(offset, data.to_vec()));
        Ok(())
    }
}

fn storage(bytes: Vec<u8>) -> RecordingBackend {
    RecordingBackend { bytes: Arc::new(Mutex::new(bytes)), ..RecordingBackend::default() }
}

/// Simulates a crash at every byte of every write after the file was created: the store opens with the state
/// from before the interrupted write or the one from after it.
#[test]
fn a_write_cut_at_any_byte_leaves_the_state_before_or_after_it() {
    let backend = RecordingBackend::default();
    let store = VersionStore::with_backend(backend.clone()).unwrap();
    let created = backend.writes.lock().unwrap().len();
    let mut counts = Vec::new();
    for state in history() {
        store.put(&state).unwrap();
        counts.push(backend.writes.lock().unwrap().len());
    }
    // Simulates a kill: the store is not closed.
    let writes = backend.writes.lock().unwrap().clone();
    std::mem::forget(store);
    let mut bytes = Vec::new();
    let (mut cuts, mut seen) = (0, BTreeSet::new());
    for (at, write) in writes.iter().enumerate() {
        match write {
            Write::Length(len) => bytes.resize(*len as usize, 0),
            Write::Bytes(offset, data) => {
                let from = *offset as usize;
                // A cut after a byte that changes nothing gives no new state.
                let changes = (0..data.len()).filter(|n| at >= created && bytes[from + n] != data[*n]);
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
    // The last record becomes visible with the last byte of all, so no cut shows it.
    assert!(cuts > 1_000, "{cuts} cuts");
    assert_eq!(seen, BTreeSet::from([0, 1, 2, 3]), "every state before that was seen after a cut");
    assert_eq!(read_back(bytes, &counts, writes.len()), 4);
    eprintln!("{cuts} cuts of {} writes", writes.len() - created);
}

/// How many records of the history are read back.
fn read_back(bytes: Vec<u8>, counts: &[usize], at: usize) -> usize {
    let store = VersionStore::with_backend(storage(bytes)).expect("a torn file opens");
    let held = store.load().expect("what is there can be read");
    let found = held.first().map_or(0, |state| {
        1 + history().iter().position(|other| other == state).expect("a record as it was written")
    });
    let whole = counts.iter().filter(|count| **count <= at).count();
    assert!(found == whole || found == whole + 1, "{found} records, {whole} were written whole");
    assert_eq!(store.history("f").unwrap().len(), found);
    found
}

#[test]
fn a_damaged_file_gives_an_error_with_its_path() {
    let folder = tempfile::tempdir().unwrap();
    let store = VersionStore::open(folder.path()).unwrap();
    history().iter().for_each(|state| store.put(state).unwrap());
    let second = VersionStore::open(folder.path()).unwrap_err();
    assert!(second.contains("versions.redb: ") && second.contains("open"), "{second}");
    drop(store);
    let path = folder.path().join("versions.redb");
    let bytes = std::fs::read(&path).unwrap();
    let store = VersionStore::open(folder.path()).unwrap();
    assert_eq!(store.load().unwrap(), history()[3..]);
    assert_eq!(store.history("f").unwrap().len(), 4);
    drop(store);
    // Damage either gives an error that names the file, or doesn't change what is read.
    for at in (0..bytes.len()).step_by(bytes.len() / 199).chain(0..64) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0xff;
        std::fs::write(&path, &damaged).unwrap();
        match VersionStore::open(folder.path()).and_then(|store| store.load()) {
            Err(error) => assert!(error.contains("versions.redb: "), "at {at}: {error}"),
            Ok(held) => assert!(held.is_empty() || history().contains(&held[0]), "at {at}: {held:?}"),
        }
    }
    std::fs::write(&path, &bytes[..bytes.len() / 3]).unwrap();
    let short = VersionStore::open(folder.path()).unwrap_err();
    assert!(short.contains("versions.redb: "), "{short}");
}

#[test]
fn history_is_bounded() {
    let store = VersionStore::with_backend(RecordingBackend::default()).unwrap();
    let mut record = Record::start(plan(), None, 1, 1, "", "").unwrap();
    for number in 0..MAX_HISTORY as u64 + 20 {
        record = record.next(OrderKind::Pause, number, 1, "", "").unwrap();
        store.put(&FunctionState { record: record.clone(), heard: 0, braked: None }).unwrap();
    }
    let kept = store.history("f").unwrap();
    assert_eq!((kept.len(), kept.last()), (MAX_HISTORY, Some(&record)));
}
