//! The hosts that there are and were, as numbered events.

use std::sync::{Mutex, PoisonError};

use cresswheel_protocol::{ListedWorker, MemberState, Micros};

/// A host's standing has changed.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// The host.
    pub host: ListedWorker,
}

/// The events, numbered from 1.
#[derive(Clone, Debug, Default)]
pub struct Events(pub Vec<Event>);

impl Events {
    /// The list as of an event.
    pub fn list(&self, number: usize) -> Vec<ListedWorker> {
        let mut hosts: Vec<ListedWorker> = Vec::new();
        for event in self.0.iter().take(number) {
            hosts.retain(|host| host.id != event.host.id);
            if event.host.standing != MemberState::Removed {
                hosts.push(event.host.clone());
            }
        }
        hosts
    }

    /// The number of the last event by that time.
    pub fn last_by(&self, at: Micros) -> usize {
        self.0.iter().take_while(|event| event.at <= at).count()
    }
}

/// The events while they happen.
#[derive(Debug, Default)]
pub struct Roster(Mutex<Events>);

impl Roster {
    /// Something has changed.
    pub fn add(&self, at: Micros, host: ListedWorker) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).0.push(Event { at, host });
    }

    /// All events so far.
    pub fn events(&self) -> Events {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
