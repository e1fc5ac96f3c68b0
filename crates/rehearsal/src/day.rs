//! A scene from a bench day's file: the kinds of trouble of that day, scaled to this machine.
//!
//! Sizes shrink to what runs here, shares and times stay. A kind of trouble that can't be played is named in
//! [`Scene::unplayed`], and so is a kind that this file has never heard of.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::scene::{ClassSpec, Event, FleetTerms, GatewaySpec, Scene, Timed, Traffic, WorkerSpec};

/// Most gateways and workers of a scene made from a day: each is a process.
const MOST_GATEWAYS: usize = 4;
const MOST_WORKERS: usize = 10;
/// Most calls a second: beyond it the clients' process, not the gateways, would be what is tried.
const MOST_RATE: f64 = 400.0;

#[derive(Deserialize)]
struct Day {
    site: String,
    kind: String,
    length: f64,
    zones: Vec<String>,
    front_notice: f64,
    traffic: DayTraffic,
    clients: DayClients,
    discovery: Discovery,
    allow: Allow,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    classes: Vec<DayClass>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    troubles: Vec<Trouble>,
    fam: Family,
}

#[derive(Deserialize)]
struct DayTraffic {
    load: f64,
    /// Seconds and factor.
    shape: Vec<(f64, f64)>,
}

#[derive(Deserialize)]
struct DayClients {
    retries: u32,
    try_share: f64,
    impatient: f64,
}

#[derive(Deserialize)]
struct Discovery {
    add: f64,
    notice: f64,
}

#[derive(Deserialize)]
struct Allow {
    max_attempts: usize,
}

#[derive(Deserialize)]
struct DayClass {
    name: String,
    share: f64,
    work: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    effect: String,
    group: String,
    window: f64,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Kind>,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Deserialize)]
struct Kind {
    name: String,
    cores: u32,
}

#[derive(Deserialize)]
struct Server {
    zone: usize,
    kind: usize,
    cell: u64,
}

#[derive(Deserialize)]
struct Balancer {
    zone: usize,
}

#[derive(Deserialize)]
struct Trouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    on: Vec<usize>,
    which: usize,
    #[serde(default)]
    steps: Vec<Step>,
    #[serde(default)]
    how: String,
}

#[derive(Deserialize)]
struct Step {
    at: f64,
    stop: Vec<usize>,
}

#[derive(Deserialize)]
struct Family {
    self_load: bool,
    stated_keep: f64,
    load_window: f64,
    load_free: f64,
    load_share: f64,
    catalog: f64,
    spare: f64,
    zipf: f64,
    sorts: Vec<Sort>,
}

#[derive(Deserialize)]
struct Sort {
    lanes: u32,
    load: f64,
    memory: f64,
}

fn ms(us: f64) -> u64 {
    (us / 1e3).max(0.0) as u64
}

/// Reads a day's file.
pub fn read(text: &str, seed: u64) -> Result<Scene, String> {
    let day: Day = serde_json::from_str(text).map_err(|error| format!("no bench day: {error}"))?;
    let tier = day.tiers.first().ok_or("no bench day: no tier of servers")?;
    let missing = |what: &str| format!("no bench day: {what} that is not there");
    let share = |count: usize, most: usize| count.clamp(1, most);
    let workers = share(day.servers.len(), MOST_WORKERS);
    let gateways = share(day.balancers.len(), MOST_GATEWAYS);
    let zone = |n: usize| day.zones.get(n).cloned().ok_or_else(|| missing("a zone"));
    let picked = |n: usize, of: usize, all: usize| n * all / of;
    let mut scene_workers = Vec::new();
    for n in 0..workers {
        let server =
            day.servers.get(picked(n, workers, day.servers.len())).ok_or("no bench day: no servers")?;
        let kind = tier.kinds.get(server.kind).ok_or_else(|| missing("a kind"))?;
        scene_workers.push(WorkerSpec {
            zone: zone(server.zone)?,
            kind: kind.name.clone(),
            cell: server.cell,
            cores: kind.cores,
            memory_mb: (day.fam.spare * f64::from(kind.cores)).max(1_000.0) as u32,
        });
    }
    let mut scene_gateways = Vec::new();
    for n in 0..gateways {
        let balancer = day.balancers.get(picked(n, gateways, day.balancers.len()));
        scene_gateways.push(GatewaySpec { zone: zone(balancer.map_or(0, |b| b.zone))?, holders: 0 });
    }
    let cores: f64 = scene_workers.iter().map(|w| f64::from(w.cores)).sum();
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    let work = day.classes.iter().map(|c| c.share * c.work).sum::<f64>() / shares.max(1e-9);
    let rate = (day.traffic.load * cores / (work / 1e6).max(1e-4)).min(MOST_RATE);
    let memory = day.fam.sorts.iter().map(|s| s.memory).sum::<f64>() / day.fam.sorts.len().max(1) as f64;
    let spare: f64 = scene_workers.iter().map(|w| f64::from(w.memory_mb)).sum();
    let functions = (day.fam.catalog * spare / memory.max(1.0) / day.classes.len().max(1) as f64) as usize;
    let mut classes = Vec::new();
    for (n, class) in day.classes.iter().enumerate() {
        let sort =
            day.fam.sorts.get(n).or(day.fam.sorts.last()).ok_or_else(|| missing("a sort of functions"))?;
        classes.push(ClassSpec {
            name: class.name.clone(),
            share: class.share,
            effect: match class.effect.as_str() {
                "safe" | "unsafe" => class.effect.clone(),
                "keyed" => format!("keyed {} {}", class.group, ms(class.window)),
                other => return Err(format!("no bench day: the effect {other:?} of {}", class.name)),
            },
            aim_ms: ms(class.aim),
            give_up_ms: ms(class.deadline),
            worth: class.worth,
            work_ms: class.work / 1e3,
            functions: functions.max(4),
            memory_mb: sort.memory as u32,
            lanes: sort.lanes,
            load_ms: ms(sort.load),
        });
    }
    let ration = day.fam.load_free > 0.0 || day.fam.load_share > 0.0;
    let mut scene = Scene {
        name: format!("{} {}", day.site, day.kind),
        about: format!("a bench day of {} servers and {} gateways", day.servers.len(), day.balancers.len()),
        seed,
        length_ms: ms(day.length).max(1),
        gateways: scene_gateways,
        workers: scene_workers,
        classes,
        terms: FleetTerms {
            miss: !day.fam.self_load,
            keep_alive_ms: ms(day.fam.stated_keep),
            drain_grace_ms: ms(day.drain_grace),
            cold_from: tier.stated_cold_from,
            warm_up_ms: ms(tier.stated_cold),
            fall_multiple: day.fall_multiple,
            fall_window_ms: ms(day.fall_for),
            ration: (if ration { ms(day.fam.load_window) } else { 0 }, day.fam.load_free, day.fam.load_share),
            max_attempts: day.allow.max_attempts,
            list_delay_ms: ms(day.discovery.add),
            list_notice_ms: ms(day.discovery.notice),
            store: (workers * 2, workers * 8),
        },
        traffic: Traffic {
            crowd: 0,
            rate,
            curve: day.traffic.shape.iter().map(|(at, factor)| ((at * 1e3) as u64, *factor)).collect(),
            deferred: 0.1,
            zipf: day.fam.zipf,
            hasty: day.clients.impatient,
            retries: day.clients.retries,
            try_share: day.clients.try_share,
            front_notice_ms: ms(day.front_notice),
        },
        events: Vec::new(),
        unplayed: Vec::new(),
    };
    for trouble in &day.troubles {
        let sizes = (day.servers.len(), day.balancers.len());
        if let Err(why) = play(&mut scene, trouble, &day.zones, sizes) {
            scene.unplayed.push(format!("{}: {why}", trouble.kind));
        }
    }
    scene.events.sort_by_key(|timed| timed.at_ms);
    let faults = scene.faults();
    if faults.is_empty() { Ok(scene) } else { Err(faults.join("; ")) }
}

/// Positions scaled from one size to another, as many as the share asks for and one at least.
fn scaled(on: &[usize], from: usize, to: usize) -> Vec<usize> {
    let count = (on.len() * to).div_ceil(from.max(1)).max(usize::from(!on.is_empty()));
    let at: BTreeSet<usize> = on.iter().map(|n| n * to / from.max(1)).filter(|n| *n < to).collect();
    at.into_iter().take(count).collect()
}

fn play(scene: &mut Scene, t: &Trouble, zones: &[String], sizes: (usize, usize)) -> Result<(), String> {
    let (from, to) = (ms(t.at), ms(t.at + t.len));
    let span = ms(t.len);
    let workers = scaled(&t.on, sizes.0, scene.workers.len());
    let gateways = scaled(&t.on, sizes.1, scene.gateways.len());
    let mut add = |at_ms: u64, event: Event| scene.events.push(Timed { at_ms, event });
    let mut fault = |words: String| {
        workers.iter().for_each(|n| add(from, Event::Fault(*n, words.clone())));
        Ok(())
    };
    match t.kind.as_str() {
        "hang" => fault(format!("hang {span}")),
        "fast_errors" => fault(format!("fail {} {span}", t.size.min(1.0))),
        "answer_lost" if t.how == "reset" => fault(format!("reset {} {span}", t.size.min(1.0))),
        "answer_lost" => fault(format!("lose {} {span}", t.size.min(1.0))),
        "class_fail" if t.how == "silence" => {
            let class =
                scene.classes.get(t.which).map(|c| c.name.clone()).ok_or("a class that is not there")?;
            let words = format!("lose-class {class} {} {span}", t.size.min(1.0));
            workers.iter().for_each(|n| {
                scene.events.push(Timed { at_ms: from, event: Event::Fault(*n, words.clone()) })
            });
            Ok(())
        }
        "pauses" => {
            let every = ((t.extra * 1e3) as u64).max(t.size as u64 + 100);
            for at in (from..to).step_by(every as usize) {
                workers.iter().for_each(|n| add(at, Event::Fault(*n, format!("pause {}", t.size as u64))));
            }
            Ok(())
        }
        "crash" | "mass_restart" => {
            workers.iter().for_each(|n| add(from, Event::KillWorker(*n)));
            workers.iter().for_each(|n| add(to, Event::StartWorker(*n)));
            Ok(())
        }
        "preempt" => {
            for n in &workers {
                add(from, Event::Fault(*n, "drain".into()));
                add(from + 800, Event::KillWorker(*n));
                add(to.max(from + 1_000), Event::StartWorker(*n));
            }
            Ok(())
        }
        "deploy" => {
            let drain = ((t.extra * 1e3) as u64).max(500);
            for step in &t.steps {
                for n in scaled(&step.stop, sizes.0, scene.workers.len()) {
                    let at = ms(step.at);
                    scene.events.extend([
                        Timed { at_ms: at, event: Event::Fault(n, "drain".into()) },
                        Timed { at_ms: at + drain, event: Event::KillWorker(n) },
                        Timed { at_ms: at + drain + 200, event: Event::StartWorker(n) },
                    ]);
                }
            }
            Ok(())
        }
        "balancer_crash" => {
            gateways.iter().for_each(|n| add(from, Event::KillGateway(*n)));
            gateways.iter().for_each(|n| add(to, Event::StartGateway(*n)));
            Ok(())
        }
        "balancer_roll" => {
            let down = ((t.extra * 1e3) as u64).max(100);
            let mut last = 0;
            for step in &t.steps {
                // One gateway here stands for many: it rolls once in its turn.
                let n = (last % scene.gateways.len(), last + 1);
                last = n.1;
                if last > scene.gateways.len() {
                    break;
                }
                add(ms(step.at), Event::StopGateway(n.0));
                add(ms(step.at) + down, Event::StartGateway(n.0));
            }
            Ok(())
        }
        "zone_cut" => {
            let zone = zones.get(t.which).cloned().ok_or("a zone that is not there")?;
            add(from, Event::CutZone(zone, span));
            Ok(())
        }
        "hot_key" => {
            let functions = (t.extra as usize).max(1);
            add(from, Event::Hot { share: t.size.min(1.0), functions, ms: span });
            Ok(())
        }
        "heavy_tail" => {
            add(from, Event::Heavy { class: t.which, share: t.extra.min(1.0), times: t.size, ms: span });
            Ok(())
        }
        "give_up" if t.how == "short" => {
            add(from, Event::GiveUp { share: t.size.min(1.0), part: t.extra, ms: span });
            Ok(())
        }
        "flush" => {
            (0..scene.workers.len()).for_each(|n| {
                scene.events.push(Timed { at_ms: from, event: Event::Fault(n, "flush".into()) })
            });
            Ok(())
        }
        "report_late" => Err("this gateway takes no load reports".into()),
        _ => Err(format!("no such trouble can be played here {}", t.how).trim_end().into()),
    }
}

#[cfg(test)]
mod tests;
