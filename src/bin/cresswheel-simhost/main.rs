//! Adapter between the simulator and the decision module.
//!
//! Reads batches of lines (`FRAME` ... `GO`) from standard input, passes each event to the instance of the
//! module that it names, and writes the resulting actions, ended by `YIELD`, to standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use cresswheel::{Action, Dispatcher, Event};
use wire::{Line, NameIndex};

/// One simulated gateway.
struct Instance {
    dispatcher: Dispatcher,
    indices: NameIndex,
}

fn main() -> ExitCode {
    match serve(&mut std::io::stdin().lock(), &mut std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cresswheel-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Handles batches until the end of the input. Fails on malformed input.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut worker_lists = BTreeMap::new();
    let mut text = String::new();
    let mut reply = String::new();
    loop {
        if !read_line(input, &mut text)? {
            return Ok(());
        }
        let frame = Line::parse(&text);
        if frame.name != "FRAME" {
            if frame.name.is_empty() {
                continue;
            }
            return Err(format!("{}: expected FRAME", frame.name));
        }
        let now = frame.number("clock")?;
        reply.clear();
        loop {
            if !read_line(input, &mut text)? {
                return Err("FRAME: the input ended within a batch".into());
            }
            let line = Line::parse(&text);
            match line.name {
                "GO" => break,
                "CENSUS" => {
                    let (list_id, rows) = (line.number("ref")?, line.number("rows")?);
                    let mut entries = Vec::new();
                    for _ in 0..rows {
                        if !read_line(input, &mut text)? {
                            return Err("CENSUS: the input ended within rows".into());
                        }
                        let entry = Line::parse(&text);
                        if entry.name != "ENTRY" {
                            return Err("CENSUS: rows announces more entries than follow".into());
                        }
                        entries.push(wire::entry(&entry)?);
                    }
                    worker_lists.insert(list_id, entries);
                }
                "ATTACH" => {
                    let instance_id = line.number("i")? as u32;
                    let settings = wire::settings(&line)?;
                    let indices = NameIndex::of(&settings);
                    match Dispatcher::new(settings, line.number("entropy")?) {
                        Ok(dispatcher) => {
                            instances.insert(instance_id, Instance { dispatcher, indices });
                        }
                        Err(error) => wire::write_failure(&mut reply, instance_id, &error.to_string()),
                    }
                }
                "CRASH_NOW" => {
                    instances.remove(&(line.number("i")? as u32));
                }
                _ => {
                    let Some(instance_id) = line.get("i") else { continue };
                    let instance_id: u32 =
                        instance_id.parse().map_err(|_| format!("{}: bad i", line.name))?;
                    let Some(instance) = instances.get_mut(&instance_id) else { continue };
                    if let Some(event) = wire::event(&line, &instance.indices, &worker_lists)? {
                        handle_event(now, instance_id, instance, event, &mut reply);
                    }
                }
            }
        }
        reply.push_str("YIELD\n");
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

/// Passes an event to an instance and writes its actions. A panic of the module is reported as a `BROKEN`
/// line.
fn handle_event(now: u64, instance_id: u32, instance: &mut Instance, event: Event, reply: &mut String) {
    let mut actions: Vec<Action> = Vec::new();
    let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, &mut actions)));
    match handled {
        Ok(()) => actions.iter().for_each(|action| wire::write_action(reply, instance_id, action)),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            wire::write_failure(reply, instance_id, text);
        }
    }
}

/// Reads one line without its line end; false at the end of the input.
fn read_line(input: &mut impl BufRead, text: &mut String) -> Result<bool, String> {
    text.clear();
    let read = input.read_line(text).map_err(|error| format!("input: {error}"))?;
    while text.ends_with(['\n', '\r']) {
        text.pop();
    }
    Ok(read > 0)
}
