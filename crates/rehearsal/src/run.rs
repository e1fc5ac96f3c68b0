//! Plays a scene: fleet, clients, events, verdict.

use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use cresswheel_standins::{RecordedEvent, Recorder};
use cresswheel_transport::Clock;

use crate::audit::{AuditLimits, Verdict, audit, read_records};
use crate::fleet::Fleet;
use crate::scene::{Event, Scene};
use crate::traffic::Clients;

/// The result of a rehearsal.
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// Gateways that did not end with 0 when they were asked to stop, with what they did.
    pub bad_ends: Vec<String>,
    /// How long it took.
    pub took: Duration,
}

impl Outcome {
    /// Whether all rules held and all gateways ended as they should.
    pub fn is_passed(&self) -> bool {
        self.verdict.is_passed() && self.bad_ends.is_empty()
    }
}

/// Plays `scene` with processes of `exe`; everything that is left behind goes to `folder`. `progress` hears what
/// happens.
pub fn rehearse(
    exe: &Path,
    folder: &Path,
    scene: &Scene,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<Outcome> {
    let began = Instant::now();
    let faults = scene.faults();
    anyhow::ensure!(faults.is_empty(), "scene {}: {}", scene.name, faults.join("; "));
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("scene.json"), serde_json::to_string_pretty(scene)?)?;
    let records = folder.join("records");
    anyhow::ensure!(!records.exists(), "{} is there already: take another folder", records.display());
    let mut fleet = Fleet::start(exe, folder, scene)?;
    progress(&format!("{} gateways and {} workers run", scene.gateways.len(), scene.workers.len()));
    let mut director =
        Director { clock: Clock::default(), recorder: Recorder::new(Some(&records), "scene")? };
    // Workers register and gateways hear of them before the first call: the list is late by design.
    std::thread::sleep(Duration::from_millis(scene.terms.list_delay_ms + 300));
    let (tell, told) = channel();
    let (theirs, at, to) = (scene.clone(), fleet.gateway_at.clone(), records.clone());
    let clients = std::thread::spawn(move || Clients::new(&theirs, &at, &to)?.run(&told));
    let start = Instant::now();
    let mut events = scene.events.clone();
    events.sort_by_key(|timed| timed.at_ms);
    let mut bad_ends = Vec::new();
    for timed in events {
        let at = Duration::from_millis(timed.at_ms);
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        progress(&format!("{:5.1} s  {}", timed.at_ms as f64 / 1e3, words(&timed.event)));
        // An unreachable peer is part of the scene; the clients go on.
        match director.play(&mut fleet, scene, &timed.event) {
            Ok(bad) => bad_ends.extend(bad),
            Err(error) => progress(&format!("         it could not be played: {error:#}")),
        }
        // Clients hear of all; what does not concern them they pass over.
        let _ = tell.send(timed.event);
    }
    let done = clients.join().map_err(|_| anyhow::anyhow!("the clients panicked"))?;
    done?;
    bad_ends.extend(fleet.end_orders()?);
    for number in 0..scene.gateways.len() {
        bad_ends.extend(director.stop(&mut fleet, number)?);
    }
    drop(director);
    drop(fleet);
    let (found, unreadable) = read_records(&records)?;
    let verdict = Verdict { unreadable, ..audit(&found, &AuditLimits::of(scene)) };
    Ok(Outcome { verdict, bad_ends, took: began.elapsed() })
}

/// An event as text.
fn words(event: &Event) -> String {
    match event {
        Event::KillWorker(n) => format!("worker-{n} is killed"),
        Event::StartWorker(n) => format!("worker-{n} starts, cold"),
        Event::Fault(n, words) => format!("worker-{n}: {words}"),
        Event::KillGateway(n) => format!("gateway-{n} is killed with -9"),
        Event::StopGateway(n) => format!("gateway-{n} is asked to stop"),
        Event::StartGateway(n) => format!("gateway-{n} starts"),
        Event::CutZone(zone, ms) => format!("{zone} is cut off for {ms} ms"),
        Event::List(words) => format!("list: {words}"),
        Event::Versions { order, .. } => format!("an operator: versions {order}"),
        Event::Store(words) => format!("store: {words}"),
        Event::Hot { share, functions, ms } => {
            format!("{:.0}% of the calls go to {functions} new functions a class for {ms} ms", share * 100.0)
        }
        Event::Heavy { class, share, times, ms } => {
            format!("{:.1}% of class {class} take {times:.0} times their work for {ms} ms", share * 100.0)
        }
        Event::Wake { share, ms } => {
            format!("{:.0}% of the idle connections wake within {ms} ms", share * 100.0)
        }
        Event::GiveUp { share, part, ms } => {
            format!("{:.0}% of the clients give up after {part:.2} of their time for {ms} ms", share * 100.0)
        }
    }
}

struct Director {
    clock: Clock,
    recorder: Recorder,
}

impl Director {
    fn note(&mut self, words: String) {
        self.recorder.write(self.clock.now(), RecordedEvent::Scene { words });
        self.recorder.flush();
    }

    /// Plays an event; gives what was wrong with a gateway that ended.
    fn play(&mut self, fleet: &mut Fleet, scene: &Scene, event: &Event) -> anyhow::Result<Option<String>> {
        match event {
            Event::KillWorker(n) => fleet.kill_worker(*n),
            Event::StartWorker(n) => fleet.start_worker(*n)?,
            Event::Fault(n, words) => fleet.fault(*n, words)?,
            Event::KillGateway(n) => {
                self.note(format!("kill {}", Fleet::gateway_name(*n)));
                fleet.kill_gateway(*n);
            }
            Event::StopGateway(n) => return self.stop(fleet, *n),
            Event::StartGateway(n) => {
                self.note(format!("start {}", Fleet::gateway_name(*n)));
                fleet.start_gateway(*n)?;
            }
            Event::CutZone(zone, ms) => {
                for (n, worker) in scene.workers.iter().enumerate() {
                    let others = scene.zones().into_iter().filter(|z| *z != worker.zone);
                    for other in others.filter(|other| worker.zone == *zone || other == zone) {
                        fleet.fault(n, &format!("cut {other} {ms}"))?;
                    }
                }
            }
            Event::List(words) => fleet.tell_list(words)?,
            Event::Versions { order, plan, exits } => {
                self.note(format!("order {order}"));
                fleet.order(order, plan.as_deref(), *exits)?;
            }
            Event::Store(words) => fleet.tell_store(words)?,
            Event::Hot { .. } | Event::Heavy { .. } | Event::Wake { .. } | Event::GiveUp { .. } => {}
        }
        Ok(None)
    }

    fn stop(&mut self, fleet: &mut Fleet, number: usize) -> anyhow::Result<Option<String>> {
        if fleet.gateways[number].is_none() {
            return Ok(None);
        }
        let name = Fleet::gateway_name(number);
        self.note(format!("stop {name}"));
        let code = fleet.stop_gateway(number)?;
        Ok((code != Some(0)).then(|| format!("{name} ended with {code:?} when it was asked to stop")))
    }
}
