//! Who is given which version.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// A part of the calls, in ten-thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct Share(u16);

impl Share {
    /// Of all calls none.
    pub const NONE: Self = Self(0);
    /// All calls.
    pub const ALL: Self = Self(10_000);

    /// So many of ten thousand; none above that.
    pub fn new(ten_thousandths: u16) -> Option<Self> {
        (ten_thousandths <= Self::ALL.0).then_some(Self(ten_thousandths))
    }

    /// In ten-thousandths.
    pub fn ten_thousandths(self) -> u16 {
        self.0
    }

    /// Whether it takes in the caller at this [`point`].
    pub fn takes(self, point: u16) -> bool {
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

/// What a caller's version sticks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stick {
    /// Each call alone; a client's repeat, known by its key or trace, gets what the first try got.
    Call,
    /// All calls of a tenant get the same.
    Tenant,
    /// All calls of an account get the same.
    Account,
}

/// What a call tells of who calls; empty where it tells nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Callers<'a> {
    /// The tenant.
    pub tenant: &'a str,
    /// The account.
    pub account: &'a str,
    /// The client's idempotency key.
    pub key: &'a str,
    /// The trace.
    pub trace: &'a str,
    /// Names this very call, at this gateway.
    pub call: &'a str,
}

impl Stick {
    /// What the choice is made from. `None`: the call does not tell it, and stays with the old version until that
    /// has no calls at all.
    pub fn key<'a>(self, callers: &Callers<'a>) -> Option<&'a str> {
        match self {
            Self::Call => [callers.key, callers.trace, callers.call].into_iter().find(|key| !key.is_empty()),
            Self::Tenant => Some(callers.tenant).filter(|key| !key.is_empty()),
            Self::Account => Some(callers.account).filter(|key| !key.is_empty()),
        }
    }
}

/// Where a caller stands among ten thousand, the same at every gateway and for as long as the plan lives. The hash
/// is keyed, so that nobody who can choose its name can choose its version.
pub fn point(salt: [u64; 2], key: &str) -> u16 {
    let mut hasher = SipHasher13::new_with_keys(salt[0], salt[1]);
    hasher.write(key.as_bytes());
    // Scaled, not reduced: every point is as likely.
    ((u128::from(hasher.finish()) * u128::from(Share::ALL.0)) >> 64) as u16
}
