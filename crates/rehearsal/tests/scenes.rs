//! The ready scenes.

use cresswheel_rehearsal::{Event, SCENES, Scene, Timed, scene};

#[test]
fn ready_scenes_are_sound_and_survive_a_file() {
    for (name, _) in SCENES {
        let ready = scene(name, 3).unwrap();
        assert_eq!(ready.faults(), Vec::<String>::new(), "{name}");
        let text = serde_json::to_string(&ready).unwrap();
        assert_eq!(serde_json::from_str::<Scene>(&text).unwrap(), ready);
    }
    let mut wrong = scene("short", 1).unwrap();
    wrong.events.push(Timed { at_ms: 0, event: Event::KillWorker(99) });
    wrong.classes[0].effect = "keyed".into();
    assert_eq!(wrong.faults().len(), 2);
}
