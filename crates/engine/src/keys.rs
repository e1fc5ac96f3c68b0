//! Idempotency keys: a client's repeat finds the call that the first try began, at this gateway and while the
//! call is open or its result is kept. A repeat at another gateway is not matched.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Call;

/// The tenant, the class and the client's key: one tenant can't meet another's.
type Key = (String, String, String);

#[derive(Debug, Default)]
pub struct Keys {
    calls: HashMap<Key, (String, u64)>,
    of_call: HashMap<String, Key>,
}

pub enum Match {
    /// The key is new here.
    None,
    /// A repeat of this call.
    Repeat(String),
    /// The key is in use for something else.
    Other,
}

/// Function and body, to tell a repeat from a key that was used for something else. The hasher has fixed keys.
fn digest(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&call.function, &call.body).hash(&mut hasher);
    hasher.finish()
}

impl Keys {
    pub fn find(&self, call: &Call) -> Match {
        if !call.has_own_key() {
            return Match::None;
        }
        match self.calls.get(&key(call)) {
            None => Match::None,
            Some((id, seen)) if *seen == digest(call) => Match::Repeat(id.clone()),
            Some(_) => Match::Other,
        }
    }

    pub fn put(&mut self, call: &Call, id: &str) {
        if call.has_own_key() {
            self.calls.insert(key(call), (id.into(), digest(call)));
            self.of_call.insert(id.into(), key(call));
        }
    }

    pub fn forget(&mut self, id: &str) {
        if let Some(key) = self.of_call.remove(id) {
            self.calls.remove(&key);
        }
    }
}

fn key(call: &Call) -> Key {
    (call.tenant.clone(), call.class.clone(), call.key.clone())
}
