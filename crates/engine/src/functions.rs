//! The function names that the dispatcher remembers: how many there may be, and which it may lose first.
//!
//! A name takes a place until the dispatcher forgets it. The last places are for connections that have brought less
//! than an equal share. Once only they are left, names without an open call are offered to the dispatcher to be forgotten: those
//! that no client was ever served with first, the longest unused first among equals. The dispatcher keeps a name that
//! it still needs.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashMap;

/// The last part of the places, one in so many, is for connections that have brought less than an equal share of all.
const SHARED_PART: usize = 8;
/// Names offered for each new one, so that the table shrinks although some are still needed.
const OFFERED_AT_ONCE: usize = 2;

/// The order in which names are offered: never served before served, then by their last call.
type OfferOrder = (bool, u64);

#[derive(Debug)]
struct Entry {
    /// The connection whose call brought the name.
    brought_by: u64,
    open_calls: u32,
    was_served: bool,
    /// Its place among the names without an open call.
    idle: Option<OfferOrder>,
}

/// The names, by which connections they were brought, and those without an open call.
#[derive(Debug, Default)]
pub struct FunctionTable {
    entries: HashMap<Arc<str>, Entry>,
    brought: HashMap<u64, usize>,
    idle: BTreeMap<OfferOrder, Arc<str>>,
    last_use: u64,
}

impl FunctionTable {
    /// A call of a connection begins; false: there is no place for its function's name.
    pub fn begin_call(&mut self, name: &str, connection: u64, limit: usize) -> bool {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.open_calls += 1;
            entry.idle.take().into_iter().for_each(|order| _ = self.idle.remove(&order));
            return true;
        }
        if !self.has_place(connection, limit) {
            return false;
        }
        let entry = Entry { brought_by: connection, open_calls: 1, was_served: false, idle: None };
        self.entries.insert(name.into(), entry);
        *self.brought.entry(connection).or_insert(0) += 1;
        true
    }

    fn has_place(&self, connection: u64, limit: usize) -> bool {
        if self.entries.len() < Self::unshared(limit) {
            return true;
        }
        let brought = self.brought.get(&connection).copied().unwrap_or(0);
        let connections = self.brought.len() + usize::from(brought == 0);
        self.entries.len() < limit && brought < (limit / connections).max(1)
    }

    fn unshared(limit: usize) -> usize {
        limit - limit / SHARED_PART
    }

    /// A call ended; `served`: its client got the function's answer.
    pub fn end_call(&mut self, name: &str, served: bool) {
        let Some((name, entry)) = self.entries.get_key_value(name) else { return };
        let name = name.clone();
        let (open_calls, was_served) = (entry.open_calls.saturating_sub(1), entry.was_served || served);
        self.last_use += 1;
        let idle = (open_calls == 0).then_some((was_served, self.last_use));
        idle.into_iter().for_each(|order| _ = self.idle.insert(order, name.clone()));
        let brought_by = entry.brought_by;
        self.entries.insert(name, Entry { brought_by, open_calls, was_served, idle });
    }

    /// The names to offer to the dispatcher now, if only the last places are left. Each goes to the end of the order, in
    /// case that it is kept.
    pub fn offer(&mut self, limit: usize) -> Vec<Arc<str>> {
        if self.entries.len() < Self::unshared(limit) {
            return Vec::new();
        }
        let mut offered = Vec::new();
        while offered.len() < OFFERED_AT_ONCE
            && let Some((_, name)) = self.idle.pop_first()
        {
            offered.push(name);
        }
        for name in &offered {
            self.last_use += 1;
            if let Some(entry) = self.entries.get_mut(name) {
                let order = (entry.was_served, self.last_use);
                entry.idle = Some(order);
                self.idle.insert(order, name.clone());
            }
        }
        offered
    }

    /// The dispatcher no longer remembers a name.
    pub fn forget(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else { return };
        entry.idle.into_iter().for_each(|order| _ = self.idle.remove(&order));
        if let Some(brought) = self.brought.get_mut(&entry.brought_by) {
            *brought -= 1;
            if *brought == 0 {
                self.brought.remove(&entry.brought_by);
            }
        }
    }
}

#[cfg(test)]
mod tests;
