//! The configuration of a gateway on the platform: JSON, read once at the start and again on HUP.

use std::net::SocketAddr;

use cresswheel::{PairError, Pairs, Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;

use crate::directory::Known;

/// The longest span that means anything, in microseconds: a year. Sums of a few of them are numbers still.
const LONGEST: u64 = 31_536_000_000_000;

/// What a gateway is told.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers, in hex digits; new with each start.
    #[serde(default)]
    pub seed: String,
    /// What it may use.
    pub limits: Limits,
    /// The directory's address.
    pub names: SocketAddr,
    /// The directory's events so far.
    #[serde(default)]
    pub known: Known,
    /// As the simulator gives them, nested.
    settings: Value,
}

/// What a gateway may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Of one core.
    pub cores: f64,
    /// Megabytes; beyond them it is killed.
    pub memory_mb: u64,
    /// File descriptors of a process.
    pub sockets: usize,
}

/// A configuration that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON of this form.
    #[error("configuration: {0}")]
    Form(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// More follows where it should end.
    #[error("configuration: {0}")]
    End(#[from] serde_json::Error),
    /// A setting is missing or means nothing.
    #[error("configuration, settings: {0}")]
    Setting(#[from] PairError),
    /// Together they make no sense.
    #[error("configuration, {0}")]
    Senseless(#[from] SettingsError),
}

impl Config {
    /// Reads the text of the file.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let mut text = serde_json::Deserializer::from_str(text);
        let config = serde_path_to_error::deserialize(&mut text)?;
        text.end()?;
        Ok(config)
    }

    /// The settings as pairs of path and text.
    pub fn pairs(&self) -> Pairs<'static> {
        let mut pairs = Vec::new();
        flatten(String::new(), &self.settings, &mut pairs);
        pairs.into_iter().collect()
    }

    /// The module's settings.
    pub fn module(&self) -> Result<Settings, ConfigError> {
        let settings = self.pairs().settings()?;
        if settings.classes.is_empty() {
            return Err(PairError::Absent("profiles".into()).into());
        }
        settings.check()?;
        let spans = [
            ("tick", settings.tick),
            ("profiles, aim", settings.classes.iter().map(|class| class.aim).max().unwrap_or(0)),
            ("profiles, give_up", settings.classes.iter().map(|class| class.give_up).max().unwrap_or(0)),
            ("specifics.keep_alive", settings.keep_alive),
            ("specifics.load_wait", settings.order_timeout),
            ("limits.connect_timeout", settings.connect_timeout),
            ("limits.max_retry_after", settings.max_retry_after),
            ("rules.drain_grace", settings.drain_grace),
            ("rules.warm_up", settings.cold.warm_up),
            ("rules.fall", settings.cold.window),
        ];
        match spans.into_iter().find(|(_, span)| *span > LONGEST) {
            Some((path, span)) => Err(PairError::Bad { path: path.into(), text: span.to_string() }.into()),
            None => Ok(settings),
        }
    }

    /// The seed as a number; 0 if it is none.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }
}

/// Lists of plain values become one text with commas; lists of objects their length under `.count` and their items
/// under `.0`, `.1` and so on.
fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let plain = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, value)| flatten(under(name), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((under("count"), items.len().to_string()));
            let numbered = items.iter().enumerate();
            numbered.for_each(|(at, item)| flatten(under(&at.to_string()), item, pairs));
        }
        Value::Array(items) => {
            pairs.push((path, items.iter().map(plain).collect::<Vec<_>>().join(",")));
        }
        Value::Null => {}
        other => pairs.push((path, plain(other))),
    }
}
