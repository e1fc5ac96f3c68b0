use super::*;
use cresswheel_protocol::MemberState;

#[test]
fn a_list_is_read_back_and_a_damaged_file_gives_an_error_with_its_path() {
    let folder = tempfile::tempdir().unwrap();
    let saved = SavedList::new(&folder.path().join("state")).unwrap();
    assert_eq!(saved.read(), Ok(None));
    let worker = ListedWorker {
        id: "w".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        kind: String::new(),
        cell: 3,
        standing: MemberState::Draining,
        started: 5,
    };
    saved.write([&worker].into_iter()).unwrap();
    assert_eq!(saved.read(), Ok(Some(vec![worker])));
    let bytes = std::fs::read(&saved.path).unwrap();
    for cut in 0..bytes.len() {
        std::fs::write(&saved.path, &bytes[..cut]).unwrap();
        assert!(saved.read().unwrap_err().ends_with("workers.list: cut short"), "cut at {cut}");
    }
    std::fs::write(&saved.path, [255; 40]).unwrap();
    assert!(saved.read().unwrap_err().contains("protocol version 255"));
}
