//! The pre-loads that wait for the order gate, kept ranked by their worth. Nothing here decides anything: a
//! change costs by the entries that it concerns, not by all that are kept.

use std::cmp::{Ordering, Reverse};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Micros;
use crate::state::{F, W};

/// An instance wanted before its next call.
pub type Want = (F, W);

/// A worth that is ordered as `f64::total_cmp` does.
#[derive(Clone, Copy, Debug)]
struct Worth(f64);

impl Ord for Worth {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Worth {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Worth {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Worth {}

/// What a worth is measured in: worths are compared within one scale only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// The function's own load time is known, and is in it.
    OwnLoad,
    /// The load time is the one that all such functions are held to have, and is left out.
    CommonLoad,
}

type Ranking = BTreeSet<(Reverse<Worth>, Want)>;

/// The wanted pre-loads.
#[derive(Debug, Default)]
pub struct Wanted {
    /// With the place in a ranking; `None` for one that is new or put aside.
    wants: BTreeMap<Want, Option<(Scale, Worth)>>,
    by_worker: BTreeMap<W, BTreeSet<F>>,
    own_load: Ranking,
    common_load: Ranking,
    /// When what is put aside at a worker is to be looked at again.
    resume: BTreeSet<(Micros, W)>,
    /// Functions of which something has changed since they were last looked at.
    touched: BTreeSet<F>,
    /// When the wanted were last looked at.
    looked: Micros,
    visits: u64,
    asked: u64,
}

impl Wanted {
    /// Adds one, to be looked at.
    pub fn add(&mut self, want: Want) {
        self.asked += 1;
        if let Entry::Vacant(entry) = self.wants.entry(want) {
            self.visits += 1;
            entry.insert(None);
            self.by_worker.entry(want.1).or_default().insert(want.0);
            self.touched.insert(want.0);
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, want: Want) {
        self.unrank(want);
        if self.wants.remove(&want).is_some()
            && let Some(functions) = self.by_worker.get_mut(&want.1)
        {
            functions.remove(&want.0);
            if functions.is_empty() {
                self.by_worker.remove(&want.1);
            }
        }
    }

    /// Gives one its place in a ranking.
    pub fn rank(&mut self, want: Want, scale: Scale, worth: f64) {
        self.unrank(want);
        if let Some(place) = self.wants.get_mut(&want) {
            *place = Some((scale, Worth(worth)));
            self.ranking(scale).insert((Reverse(Worth(worth)), want));
        }
    }

    /// Leaves one out of the rankings until then.
    pub fn put_aside(&mut self, want: Want, until: Micros) {
        self.unrank(want);
        if until < Micros::MAX {
            self.resume.insert((until, want.1));
        }
    }

    /// Has all at a worker looked at again.
    pub fn resume(&mut self, worker: W) {
        let functions = self.by_worker.get(&worker).into_iter().flatten();
        self.touched.extend(functions);
    }

    /// Something of a function changes. What was looked at last when it was no longer wanted, is out.
    pub fn touch(&mut self, function: F, wanted_until: Micros) {
        if self.looked >= wanted_until {
            for want in self.of(function) {
                self.remove(want);
            }
        }
        self.touched.insert(function);
    }

    /// Those to be looked at again: of functions that were touched, and put aside until now.
    pub fn take_changed(&mut self, now: Micros) -> Vec<Want> {
        self.looked = now;
        while let Some((_, worker)) = self.resume.first().copied().filter(|(at, _)| *at <= now) {
            self.resume.pop_first();
            self.resume(worker);
        }
        let touched = std::mem::take(&mut self.touched);
        touched.into_iter().flat_map(|function| self.of(function)).collect()
    }

    /// The first of each ranking.
    pub fn first(&self) -> impl Iterator<Item = Want> {
        [&self.own_load, &self.common_load].into_iter().filter_map(|r| r.first()).map(|(_, want)| *want)
    }

    /// Whether an instance of the function is wanted anywhere.
    pub fn has_function(&self, function: F) -> bool {
        self.range(function).next().is_some()
    }

    /// Whether any instance is wanted there.
    pub fn has_worker(&self, worker: W) -> bool {
        self.by_worker.contains_key(&worker)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.wants.len()
    }

    /// How often one was to be added, those that were there already included.
    pub fn asked(&self) -> u64 {
        self.asked
    }

    /// Entries looked at so far.
    pub fn visits(&self) -> u64 {
        self.visits
    }

    fn range(&self, function: F) -> impl Iterator<Item = Want> {
        self.wants.range((function, 0)..=(function, W::MAX)).map(|(want, _)| *want)
    }

    fn of(&mut self, function: F) -> Vec<Want> {
        let wants: Vec<Want> = self.range(function).collect();
        self.visits += 1 + wants.len() as u64;
        wants
    }

    fn unrank(&mut self, want: Want) {
        self.visits += 1;
        if let Some((scale, worth)) = self.wants.get_mut(&want).and_then(Option::take) {
            self.ranking(scale).remove(&(Reverse(worth), want));
        }
    }

    fn ranking(&mut self, scale: Scale) -> &mut Ranking {
        match scale {
            Scale::OwnLoad => &mut self.own_load,
            Scale::CommonLoad => &mut self.common_load,
        }
    }
}
