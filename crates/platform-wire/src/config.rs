//! Configuration of a gateway on the operators' platform: JSON, read at the start and again on SIGHUP.

use std::net::SocketAddr;

use cresswheel::{SettingPairError, SettingPairs, Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;

use crate::directory::Known;

/// Longest accepted duration in microseconds: a year. The sum of a few of them can't overflow.
const MAX_DURATION: u64 = 31_536_000_000_000;

/// Configuration of a gateway.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Name of the gateway, unchanged by a restart.
    pub name: String,
    /// Address for client connections.
    pub listen: SocketAddr,
    /// Seed of the random numbers in hex digits, new with each start.
    #[serde(default)]
    pub seed: String,
    /// Resource limits.
    pub limits: Limits,
    /// Address of the directory.
    pub names: SocketAddr,
    /// Events of the directory (numbered changes of its host list, or complete lists) up to the start.
    #[serde(default)]
    pub known: Known,
    /// The settings that the simulator gives to `cresswheel-simhost` as pairs such as
    /// `limits.max_attempts=5`, here as nested objects.
    settings: Value,
}

/// Resource limits of a gateway.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Processor time, in cores.
    pub cores: f64,
    /// Memory in megabytes; a process that exceeds it is killed.
    pub memory_mb: u64,
    /// File descriptors per process.
    pub sockets: usize,
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Not JSON of the expected form.
    #[error("configuration: {0}")]
    Syntax(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Trailing characters after the JSON value.
    #[error("configuration: {0}")]
    Trailing(#[from] serde_json::Error),
    /// A setting is missing or invalid.
    #[error("configuration, settings: {0}")]
    Setting(#[from] SettingPairError),
    /// The settings contradict each other.
    #[error("configuration, {0}")]
    Inconsistent(#[from] SettingsError),
}

impl Config {
    /// Parses the text of the file.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        let mut text = serde_json::Deserializer::from_str(text);
        let config = serde_path_to_error::deserialize(&mut text)?;
        text.end()?;
        Ok(config)
    }

    /// The settings as pairs of a path and a text.
    pub fn pairs(&self) -> SettingPairs<'static> {
        let mut pairs = Vec::new();
        flatten(String::new(), &self.settings, &mut pairs);
        pairs.into_iter().collect()
    }

    /// The settings of the decision module (`cresswheel::Dispatcher`), checked.
    pub fn module(&self) -> Result<Settings, ConfigError> {
        let settings = self.pairs().settings()?;
        if settings.classes.is_empty() {
            return Err(SettingPairError::Absent("profiles".into()).into());
        }
        settings.check()?;
        // The names in the file may differ from those of the fields; `cresswheel::Settings` explains these.
        let durations = [
            // The shortest time between two deliveries of events to the decision module.
            ("tick", settings.tick),
            (
                "profiles, aim",
                settings.classes.iter().map(|class| class.latency_objective).max().unwrap_or(0),
            ),
            (
                "profiles, give_up",
                settings.classes.iter().map(|class| class.client_timeout).max().unwrap_or(0),
            ),
            // How long an idle instance stays loaded at least.
            ("specifics.keep_alive", settings.keep_alive),
            ("specifics.load_wait", settings.order_timeout),
            ("limits.connect_timeout", settings.connect_timeout),
            ("limits.max_retry_after", settings.max_retry_after),
            ("rules.drain_grace", settings.drain_grace),
            // After its start, a worker has its full capacity by this time.
            ("rules.warm_up", settings.cold_start.warm_up),
            // Overload for this long makes a cold worker's process collapse ("fall").
            ("rules.fall", settings.cold_start.overload_window),
        ];
        match durations.into_iter().find(|(_, duration)| *duration > MAX_DURATION) {
            Some((path, duration)) => {
                Err(SettingPairError::Bad { path: path.into(), text: duration.to_string() }.into())
            }
            None => Ok(settings),
        }
    }

    /// The seed as a number, or 0 if it is not valid hex.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or(0)
    }
}

/// Flattens nested values to pairs. A list of plain values becomes one text with commas. A list of objects
/// becomes its length under `.count`, and its items under `.0`, `.1` and so on.
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
