//! Assignment of a version to each caller.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// A share of the calls, in ten-thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct Share(u16);

impl Share {
    /// No calls.
    pub const NONE: Self = Self(0);
    /// All calls.
    pub const ALL: Self = Self(10_000);

    /// This many ten-thousandths; `None` above 10,000.
    pub fn new(ten_thousandths: u16) -> Option<Self> {
        (ten_thousandths <= Self::ALL.0).then_some(Self(ten_thousandths))
    }

    /// In ten-thousandths.
    pub fn ten_thousandths(self) -> u16 {
        self.0
    }

    /// Whether the share includes callers with this [`point`].
    pub fn includes(self, point: u16) -> bool {
        point < self.0
    }
}

impl TryFrom<u16> for Share {
    type Error = String;

    fn try_from(value: u16) -> Result<Self, String> {
        Self::new(value).ok_or_else(|| format!("a share of {value} ten-thousandths"))
    }
}

impl From<Share> for u16 {
    fn from(share: Share) -> u16 {
        share.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / 100, self.0 % 100);
        match (rest, rest % 10) {
            (0, _) => write!(f, "{whole}%"),
            (_, 0) => write!(f, "{whole}.{}%", rest / 10),
            _ => write!(f, "{whole}.{rest:02}%"),
        }
    }
}

/// Affinity of versions: which calls get the same version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Affinity {
    /// Each call on its own; a client's retry, recognized by its key or trace, gets the version of the first
    /// try.
    Call,
    /// All calls of a tenant.
    Tenant,
    /// All calls of an account.
    Account,
}

/// Identity of a caller as the call states it; empty where it does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerIdentity<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// The account.
    pub account: &'a str,
    /// The client's idempotency key.
    pub key: &'a str,
    /// The trace.
    pub trace: &'a str,
    /// Unique id of the call at this gateway.
    pub call: &'a str,
}

impl Affinity {
    /// The key that is hashed. `None`: the call does not state it, and gets the old version until the new one
    /// has all calls.
    pub fn key<'a>(self, callers: &CallerIdentity<'a>) -> Option<&'a str> {
        match self {
            Self::Call => [callers.key, callers.trace, callers.call].into_iter().find(|key| !key.is_empty()),
            Self::Tenant => Some(callers.tenant).filter(|key| !key.is_empty()),
            Self::Account => Some(callers.account).filter(|key| !key.is_empty()),
        }
    }
}

/// Hash bucket of a caller from 0 to 9,999, the same at every gateway throughout a plan. The hash is keyed,
/// so that a caller who chooses its own name can't choose its version.
pub fn point(salt: [u64; 2], key: &str) -> u16 {
    let mut hasher = SipHasher13::new_with_keys(salt[0], salt[1]);
    hasher.write(key.as_bytes());
    // Multiply and shift instead of modulo: all buckets are equally likely.
    ((u128::from(hasher.finish()) * u128::from(Share::ALL.0)) >> 64) as u16
}
