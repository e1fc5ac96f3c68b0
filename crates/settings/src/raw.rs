//! Sections that a script recorded, before any check.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A location in a script.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Path of the file, as given.
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// In characters, counted from 1.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A value of a field, as the script gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RawValue {
    None,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    /// Microseconds.
    Time(u64),
    /// Bytes.
    Size(u64),
    /// Ten-thousandths of all calls.
    Share(u64),
    /// `keyed(...)`: the group and how long its workers remember a key, in microseconds.
    Keyed(String, u64),
    List(Vec<RawValue>),
    Dict(Vec<(String, RawValue)>),
    /// Any other value, as Starlark prints it.
    Other(String),
}

impl fmt::Display for RawValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("None"),
            Self::Bool(true) => f.write_str("True"),
            Self::Bool(false) => f.write_str("False"),
            Self::Int(n) => write!(f, "{n}"),
            Self::Float(x) => write!(f, "{x}"),
            Self::Text(text) => write!(f, "{text:?}"),
            Self::Time(us) if us % 1_000_000 == 0 => write!(f, "s({})", us / 1_000_000),
            Self::Time(us) if us % 1_000 == 0 => write!(f, "ms({})", us / 1_000),
            Self::Time(us) => write!(f, "us({us})"),
            Self::Size(bytes) => write!(f, "{bytes} bytes"),
            Self::Share(share) => write!(f, "percent({})", *share as f64 / 100.0),
            Self::Keyed(group, memory) => write!(f, "keyed({group:?}, {})", Self::Time(*memory)),
            Self::List(items) => write!(f, "a list of {}", items.len()),
            Self::Dict(items) => write!(f, "a dict of {}", items.len()),
            Self::Other(text) => f.write_str(text),
        }
    }
}

/// A call such as `call_class(...)`, with the location of each argument (of the call, where that is unknown).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Section {
    pub kind: String,
    pub place: Location,
    pub fields: Vec<(String, RawValue, Location)>,
}
