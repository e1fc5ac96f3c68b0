//! Settings as key-value pairs of strings, such as `limits.max_attempts=5`: the form in which the simulator
//! and the platform's configuration provide them. Unknown keys are ignored.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::str::FromStr;

use crate::interface::*;

/// Settings by path, such as `limits.max_attempts`, with their values as text.
#[derive(Clone, Debug, Default)]
pub struct SettingPairs<'a>(BTreeMap<Cow<'a, str>, Cow<'a, str>>);

/// A setting that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingPairError {
    /// A required setting is missing.
    #[error("no {0}")]
    Absent(String),
    /// The value can't be parsed.
    #[error("bad {path}: {text}")]
    Bad {
        /// The setting's path.
        path: String,
        /// The value as it was given.
        text: String,
    },
}

impl<'a, K: Into<Cow<'a, str>>, V: Into<Cow<'a, str>>> FromIterator<(K, V)> for SettingPairs<'a> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(pairs: I) -> Self {
        Self(pairs.into_iter().map(|(path, text)| (path.into(), text.into())).collect())
    }
}

impl SettingPairs<'_> {
    /// The value at a path, if there is one.
    pub fn get(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(|text| &**text)
    }

    /// The value at a required path.
    pub fn text(&self, path: &str) -> Result<&str, SettingPairError> {
        self.get(path).ok_or_else(|| SettingPairError::Absent(path.into()))
    }

    /// The number at a required path.
    pub fn number(&self, path: &str) -> Result<u64, SettingPairError> {
        self.optional(path)?.ok_or_else(|| SettingPairError::Absent(path.into()))
    }

    /// The parsed value at a path, if there is one.
    pub fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingPairError> {
        let invalid = |text: &str| SettingPairError::Bad { path: path.into(), text: text.into() };
        self.get(path).map(|text| text.parse().map_err(|_| invalid(text))).transpose()
    }

    /// The parsed value at a path, or a default if there is none.
    pub fn or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingPairError> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    /// Whether the value at a path is `1` or `true`.
    pub fn flag(&self, path: &str) -> bool {
        matches!(self.get(path), Some("1" | "true"))
    }

    /// The items of a comma-separated value; none if the path is missing.
    pub fn list(&self, path: &str) -> Vec<&str> {
        self.get(path).unwrap_or("").split(',').filter(|item| !item.is_empty()).collect()
    }

    /// The settings of the decision module.
    pub fn settings(&self) -> Result<Settings, SettingPairError> {
        let defaults = Settings::default();
        let mut classes = Vec::new();
        for at in 0..self.or("profiles.count", 0)? {
            let key = |name: &str| format!("profiles.{at}.{name}");
            let group = match self.get(&key("key_scope")) {
                Some("zone") => Group::Zone,
                Some("cell") => Group::Cell,
                _ => Group::All,
            };
            classes.push(Class {
                name: self.text(&key("name"))?.into(),
                latency_objective: self.number(&key("aim"))?,
                client_timeout: self.number(&key("give_up"))?,
                effect: match self.text(&key("semantics"))? {
                    "idempotent" => Effect::Safe,
                    "deduplicated" => Effect::Keyed { group, retention: self.or(&key("memory_span"), 0)? },
                    _ => Effect::Unsafe,
                },
                streamed: self.flag(&key("streamed")),
                worth: self.or(&key("value"), 1.0)?,
                late_worth: self.or(&key("late_value"), 0.0)?,
            });
        }
        let mut tenants = Vec::new();
        for at in 0..self.or("customers.count", 0)? {
            tenants.push(Tenant {
                name: self.text(&format!("customers.{at}.name"))?.into(),
                quota_per_s: self.or(&format!("customers.{at}.quota_per_s"), f64::INFINITY)?,
            });
        }
        let window = self.or("specifics.load_span", 0)?;
        let order_limit = OrderRateLimit {
            window,
            base_orders: self.or("specifics.loads_anyway", 0.0)?,
            per_request: self.or("specifics.loads_per_request", 0.0)?,
        };
        let memory_mb = self.list("specifics.kind_memory_mb").into_iter();
        let memory_mb = memory_mb.map(|text| text.parse().unwrap_or(0.0));
        Ok(Settings {
            gateways: self.or("balancers", defaults.gateways)?,
            zone: self.get("zone").unwrap_or("").into(),
            tick: self.or("tick", defaults.tick)?,
            classes,
            tenants,
            over_quota_worth: self.or("over_share_worth", defaults.over_quota_worth)?,
            must_subscribe: self.get("discovery") == Some("subscribe"),
            list_poll_interval: self.or("rules.ask_within", defaults.list_poll_interval)?,
            keep_alive: self.or("specifics.keep_alive", defaults.keep_alive)?,
            miss_policy: match self.get("specifics.when_absent") {
                Some("miss") => MissPolicy::Miss,
                _ => MissPolicy::Load,
            },
            may_prewarm: self.flag("specifics.may_load"),
            reports_in_flight: self.flag("specifics.counts_alike"),
            order_rate_limit: (window > 0).then_some(order_limit),
            max_instances_per_order: defaults.max_instances_per_order,
            order_timeout: self.or("specifics.load_wait", defaults.order_timeout)?,
            may_cancel: self.flag("limits.cancel"),
            may_probe: self.flag("limits.probes"),
            may_hedge: self.flag("limits.may_duplicate"),
            max_attempts: self.or("limits.max_attempts", defaults.max_attempts)?,
            // The rule on refusals of these deployments: clients try again with the same key, inside its window.
            clients_retry_within_retention: true,
            retry_after: self.flag("limits.retry_after"),
            max_retry_after: self.or("limits.max_retry_after", defaults.max_retry_after)?,
            connect_timeout: self.or("limits.connect_timeout", defaults.connect_timeout)?,
            drain_grace: self.or("rules.drain_grace", defaults.drain_grace)?,
            cold_start: ColdStart {
                initial_share: self.or("rules.cold_from", defaults.cold_start.initial_share)?,
                warm_up: self.or("rules.warm_up", defaults.cold_start.warm_up)?,
                overload_multiple: self.or("rules.tip_multiple", defaults.cold_start.overload_multiple)?,
                overload_window: self.or("rules.fall", defaults.cold_start.overload_window)?,
            },
            kind_memory_mb: self.list("kinds").into_iter().map(String::from).zip(memory_mb).collect(),
        })
    }
}
