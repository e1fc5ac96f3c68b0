//! Typed access to a section's fields. Errors are collected, so that one run reports all of them.

use std::net::SocketAddr;

use crate::SettingsError;
use crate::raw::{Location, RawValue, Section};
use crate::scale::Quantity;

/// The fields of one section that were not read yet.
pub struct Fields<'a> {
    kind: String,
    location: Location,
    fields: Vec<(String, RawValue, Location)>,
    /// Names that were asked for, for hints about misspelt names.
    known: Vec<&'static str>,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> Fields<'a> {
    pub fn new(section: Section, errors: &'a mut Vec<SettingsError>) -> Self {
        let Section { kind, place: location, fields } = section;
        Self { kind, location, fields, known: Vec::new(), errors }
    }

    fn take(&mut self, name: &'static str) -> Option<(RawValue, Location)> {
        self.known.push(name);
        let position = self.fields.iter().position(|(key, ..)| key == name)?;
        let (_, value, location) = self.fields.remove(position);
        (value != RawValue::None).then_some((value, location))
    }

    pub fn add_error(&mut self, location: Location, message: String) {
        self.errors.push(SettingsError { location, message });
    }

    /// Reports an error of the whole section unless `holds`.
    pub fn require(&mut self, holds: bool, message: &str) {
        if !holds {
            self.add_error(self.location.clone(), format!("{}: {message}", self.kind));
        }
    }

    /// Reads a field with `parse`; `expected` describes valid values in the error.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        expected: &str,
        parse: impl Fn(&RawValue) -> Option<T>,
    ) -> Option<(T, Location)> {
        let (value, location) = self.take(name)?;
        match parse(&value) {
            Some(parsed) => Some((parsed, location)),
            None => {
                self.add_error(location, format!("{name} = {value}: {expected} is wanted"));
                None
            }
        }
    }

    fn required<T: Default>(&mut self, name: &'static str, value: Option<T>, was_set: bool) -> T {
        if value.is_none() && !was_set {
            self.add_error(self.location.clone(), format!("{}: {name} is missing", self.kind));
        }
        value.unwrap_or_default()
    }

    /// Whether the script sets this field and it was not read yet.
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.iter().any(|(key, value, _)| key == name && *value != RawValue::None)
    }

    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let text = |raw: &RawValue| if let RawValue::Text(text) = raw { Some(text.clone()) } else { None };
        self.read(name, "a text", text).map(|(text, _)| text)
    }

    pub fn required_text(&mut self, name: &'static str) -> String {
        let is_set = self.is_set(name);
        let text = self.text(name);
        self.require(text.as_deref() != Some(""), &format!("{name} is empty"));
        self.required(name, text, is_set)
    }

    /// One of the given keywords.
    pub fn keyword<T: Copy>(&mut self, name: &'static str, keywords: &[(&str, T)]) -> Option<T> {
        let quoted: Vec<_> = keywords.iter().map(|(keyword, _)| format!("{keyword:?}")).collect();
        let parse = |raw: &RawValue| match raw {
            RawValue::Text(text) => {
                keywords.iter().find(|(keyword, _)| keyword == text).map(|(_, value)| *value)
            }
            _ => None,
        };
        self.read(name, &quoted.join(" or "), parse).map(|(value, _)| value)
    }

    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let flag = |raw: &RawValue| if let RawValue::Bool(flag) = raw { Some(*flag) } else { None };
        self.read(name, "True or False", flag).map_or(default, |(flag, _)| flag)
    }

    /// A time in microseconds; a number without a unit is an error.
    pub fn time(&mut self, name: &'static str, default: u64) -> u64 {
        self.optional_time(name).unwrap_or(default)
    }

    pub fn optional_time(&mut self, name: &'static str) -> Option<u64> {
        let time = |raw: &RawValue| if let RawValue::Time(us) = raw { Some(*us) } else { None };
        self.read(name, "a time such as ms(600) or s(5)", time).map(|(us, _)| us)
    }

    pub fn required_time(&mut self, name: &'static str) -> u64 {
        let is_set = self.is_set(name);
        let time = self.optional_time(name);
        self.required(name, time, is_set)
    }

    /// A size in bytes; a number without a unit is an error.
    pub fn size(&mut self, name: &'static str, default: usize) -> usize {
        let size =
            |raw: &RawValue| if let RawValue::Size(bytes) = raw { Some(*bytes as usize) } else { None };
        self.read(name, "a size such as kb(64) or mb(4)", size).map_or(default, |(bytes, _)| bytes)
    }

    /// An integer within a range.
    pub fn count(&mut self, name: &'static str, default: usize, range: (usize, usize)) -> usize {
        self.optional_count(name, range).unwrap_or(default)
    }

    /// An integer within a range, or `None` if it is not set.
    pub fn optional_count(&mut self, name: &'static str, (min, max): (usize, usize)) -> Option<usize> {
        let count = |raw: &RawValue| match raw {
            RawValue::Int(n) => usize::try_from(*n).ok().filter(|n| (min..=max).contains(n)),
            _ => None,
        };
        let expected = format!("a whole number from {min} to {max}");
        self.read(name, &expected, count).map(|(n, _)| n)
    }

    /// A number within a range.
    pub fn number(&mut self, name: &'static str, default: f64, (min, max): (f64, f64)) -> f64 {
        let number = |raw: &RawValue| match raw {
            RawValue::Int(n) => Some(*n as f64),
            RawValue::Float(x) => Some(*x),
            _ => None,
        };
        let number = |raw: &RawValue| number(raw).filter(|n| (min..=max).contains(n));
        let expected = format!("a number from {min} to {max}");
        self.read(name, &expected, number).map_or(default, |(n, _)| n)
    }

    /// A quantity of a scale scenario, within its range.
    pub fn quantity(&mut self, quantity: Quantity) -> Option<f64> {
        let Quantity { name, min, max, is_integer } = quantity;
        let number = |raw: &RawValue| match raw {
            RawValue::Int(n) => Some(*n as f64),
            RawValue::Float(x) if !is_integer => Some(*x),
            _ => None,
        };
        let number = |raw: &RawValue| number(raw).filter(|n| (min..=max).contains(n));
        let kind = if is_integer { "a whole number" } else { "a number" };
        self.read(name, &format!("{kind} from {min} to {max}"), number).map(|(n, _)| n)
    }

    pub fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let address = |raw: &RawValue| if let RawValue::Text(text) = raw { text.parse().ok() } else { None };
        self.read(name, "an address such as \"127.0.0.1:7100\"", address).map(|(address, _)| address)
    }

    pub fn required_address(&mut self, name: &'static str) -> SocketAddr {
        let is_set = self.is_set(name);
        let address = self.address(name);
        self.required(name, address.map(Some), is_set).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let address = |raw: &RawValue| if let RawValue::Text(text) = raw { text.parse().ok() } else { None };
        let addresses = |raw: &RawValue| match raw {
            RawValue::List(items) => items.iter().map(address).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        self.read(name, "a list of addresses such as [\"127.0.0.1:7000\"]", addresses)
            .map_or(Vec::new(), |(v, _)| v)
    }

    /// Sizes by name, in MB.
    pub fn sizes_in_mb(&mut self, name: &'static str) -> Vec<(String, f64)> {
        let size = |(name, raw): &(String, RawValue)| match raw {
            RawValue::Size(bytes) => Some((name.clone(), *bytes as f64 / 1_048_576.0)),
            _ => None,
        };
        let sizes = |raw: &RawValue| match raw {
            RawValue::Dict(items) => items.iter().map(size).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        self.read(name, "a dict such as {\"std\": mb(16000)}", sizes).map_or(Vec::new(), |(v, _)| v)
    }

    pub fn raw_value(&mut self, name: &'static str) -> Option<(RawValue, Location)> {
        self.take(name)
    }

    /// Reports all fields that were not read as unknown names.
    pub fn finish(self) {
        for (key, value, location) in self.fields {
            let nearest = self.known.iter().min_by_key(|known| edit_distance(known, &key));
            let nearest = nearest.filter(|known| edit_distance(known, &key) <= 1 + key.len() / 3);
            let hint = nearest.map_or(String::new(), |known| format!("; did you mean {known}?"));
            let message = format!("{}: unknown name {key} = {value}{hint}", self.kind);
            self.errors.push(SettingsError { location, message });
        }
    }
}

/// Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
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
