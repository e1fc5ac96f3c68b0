//! Typed reading of a section's fields, with every fault kept.

use std::net::SocketAddr;

use crate::Fault;
use crate::raw::{Place, Raw, Section};
use crate::scale::Quantity;

pub struct Fields<'a> {
    kind: String,
    place: Place,
    fields: Vec<(String, Raw, Place)>,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    pub fn new(section: Section, faults: &'a mut Vec<Fault>) -> Self {
        let Section { kind, place, fields } = section;
        Self { kind, place, fields, known: Vec::new(), faults }
    }

    fn take(&mut self, name: &'static str) -> Option<(Raw, Place)> {
        self.known.push(name);
        let at = self.fields.iter().position(|(key, ..)| key == name)?;
        let (_, value, place) = self.fields.remove(at);
        (value != Raw::None).then_some((value, place))
    }

    pub fn fault(&mut self, place: Place, what: String) {
        self.faults.push(Fault { place, what });
    }

    /// A contradiction between fields of the section.
    pub fn must(&mut self, holds: bool, what: &str) {
        if !holds {
            self.fault(self.place.clone(), format!("{}: {what}", self.kind));
        }
    }

    /// A field of another kind, with words for what is wanted.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        wanted: &str,
        read: impl Fn(&Raw) -> Option<T>,
    ) -> Option<(T, Place)> {
        let (value, place) = self.take(name)?;
        match read(&value) {
            Some(read) => Some((read, place)),
            None => {
                self.fault(place, format!("{name} = {value}: {wanted} is wanted"));
                None
            }
        }
    }

    fn needed<T: Default>(&mut self, name: &'static str, value: Option<T>, was_there: bool) -> T {
        if value.is_none() && !was_there {
            self.fault(self.place.clone(), format!("{}: {name} is missing", self.kind));
        }
        value.unwrap_or_default()
    }

    /// Whether the script names it.
    pub fn there(&self, name: &str) -> bool {
        self.fields.iter().any(|(key, value, _)| key == name && *value != Raw::None)
    }

    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let text = |raw: &Raw| if let Raw::Text(text) = raw { Some(text.clone()) } else { None };
        self.read(name, "a text", text).map(|(text, _)| text)
    }

    pub fn needed_text(&mut self, name: &'static str) -> String {
        let there = self.there(name);
        let text = self.text(name);
        self.must(text.as_deref() != Some(""), &format!("{name} is empty"));
        self.needed(name, text, there)
    }

    /// One of some words.
    pub fn word<T: Copy>(&mut self, name: &'static str, words: &[(&str, T)]) -> Option<T> {
        let all: Vec<_> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
        let find = |raw: &Raw| match raw {
            Raw::Text(text) => words.iter().find(|(word, _)| word == text).map(|(_, value)| *value),
            _ => None,
        };
        self.read(name, &all.join(" or "), find).map(|(value, _)| value)
    }

    pub fn flag(&mut self, name: &'static str, absent: bool) -> bool {
        let flag = |raw: &Raw| if let Raw::Bool(flag) = raw { Some(*flag) } else { None };
        self.read(name, "True or False", flag).map_or(absent, |(flag, _)| flag)
    }

    /// A time; a bare number is a fault.
    pub fn time(&mut self, name: &'static str, absent: u64) -> u64 {
        self.time_if(name).unwrap_or(absent)
    }

    pub fn time_if(&mut self, name: &'static str) -> Option<u64> {
        let time = |raw: &Raw| if let Raw::Time(us) = raw { Some(*us) } else { None };
        self.read(name, "a time such as ms(600) or s(5)", time).map(|(us, _)| us)
    }

    pub fn needed_time(&mut self, name: &'static str) -> u64 {
        let there = self.there(name);
        let time = self.time_if(name);
        self.needed(name, time, there)
    }

    /// A size in bytes; a bare number is a fault.
    pub fn size(&mut self, name: &'static str, absent: usize) -> usize {
        let size = |raw: &Raw| if let Raw::Size(bytes) = raw { Some(*bytes as usize) } else { None };
        self.read(name, "a size such as kb(64) or mb(4)", size).map_or(absent, |(bytes, _)| bytes)
    }

    /// A whole number within a range.
    pub fn count(&mut self, name: &'static str, absent: usize, range: (usize, usize)) -> usize {
        self.optional_count(name, range).unwrap_or(absent)
    }

    /// A whole number within a range, or nothing.
    pub fn optional_count(&mut self, name: &'static str, (least, most): (usize, usize)) -> Option<usize> {
        let count = |raw: &Raw| match raw {
            Raw::Int(n) => usize::try_from(*n).ok().filter(|n| (least..=most).contains(n)),
            _ => None,
        };
        let wanted = format!("a whole number from {least} to {most}");
        self.read(name, &wanted, count).map(|(n, _)| n)
    }

    /// A number within a range.
    pub fn number(&mut self, name: &'static str, absent: f64, (least, most): (f64, f64)) -> f64 {
        let number = |raw: &Raw| match raw {
            Raw::Int(n) => Some(*n as f64),
            Raw::Float(x) => Some(*x),
            _ => None,
        };
        let number = |raw: &Raw| number(raw).filter(|n| (least..=most).contains(n));
        let wanted = format!("a number from {least} to {most}");
        self.read(name, &wanted, number).map_or(absent, |(n, _)| n)
    }

    /// A quantity of a scale scenario, within its range.
    pub fn quantity(&mut self, quantity: Quantity) -> Option<f64> {
        let Quantity { name, least, most, is_whole } = quantity;
        let number = |raw: &Raw| match raw {
            Raw::Int(n) => Some(*n as f64),
            Raw::Float(x) if !is_whole => Some(*x),
            _ => None,
        };
        let number = |raw: &Raw| number(raw).filter(|n| (least..=most).contains(n));
        let kind = if is_whole { "a whole number" } else { "a number" };
        self.read(name, &format!("{kind} from {least} to {most}"), number).map(|(n, _)| n)
    }

    pub fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let address = |raw: &Raw| if let Raw::Text(text) = raw { text.parse().ok() } else { None };
        self.read(name, "an address such as \"127.0.0.1:7100\"", address).map(|(at, _)| at)
    }

    pub fn needed_address(&mut self, name: &'static str) -> SocketAddr {
        let there = self.there(name);
        let at = self.address(name);
        self.needed(name, at.map(Some), there).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let address = |raw: &Raw| if let Raw::Text(text) = raw { text.parse().ok() } else { None };
        let all = |raw: &Raw| match raw {
            Raw::List(items) => items.iter().map(address).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        self.read(name, "a list of addresses such as [\"127.0.0.1:7000\"]", all)
            .map_or(Vec::new(), |(v, _)| v)
    }

    /// Sizes by name, in MB.
    pub fn memories(&mut self, name: &'static str) -> Vec<(String, f64)> {
        let memory = |(name, raw): &(String, Raw)| match raw {
            Raw::Size(bytes) => Some((name.clone(), *bytes as f64 / 1_048_576.0)),
            _ => None,
        };
        let all = |raw: &Raw| match raw {
            Raw::Dict(items) => items.iter().map(memory).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        self.read(name, "a dict such as {\"std\": mb(16000)}", all).map_or(Vec::new(), |(v, _)| v)
    }

    pub fn any(&mut self, name: &'static str) -> Option<(Raw, Place)> {
        self.take(name)
    }

    /// What is left is unknown.
    pub fn end(self) {
        for (key, value, place) in self.fields {
            let near = self.known.iter().min_by_key(|known| distance(known, &key));
            let near = near.filter(|known| distance(known, &key) <= 1 + key.len() / 3);
            let hint = near.map_or(String::new(), |known| format!("; did you mean {known}?"));
            let what = format!("{}: unknown name {key} = {value}{hint}", self.kind);
            self.faults.push(Fault { place, what });
        }
    }
}

/// Levenshtein's.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, a) in a.chars().enumerate() {
        let mut before = row[0];
        row[0] = i + 1;
        for j in 0..b.len() {
            let cost = before + usize::from(a != b[j]);
            before = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(before + 1);
        }
    }
    row[b.len()]
}
