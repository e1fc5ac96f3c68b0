//! Idempotency keys: a repeated call with the same key finds the first call at this gateway, as long as that
//! is open or its result is kept. A repeat at another gateway is not detected.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Call;

/// The tenant, the class and the client's key: tenants can't collide.
type Key = (String, String, String);

/// The keys in use.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    calls_by_key: HashMap<Key, (String, u64)>,
    keys_by_call: HashMap<String, Key>,
}

/// The result of looking up a call by its key.
pub enum KeyLookup {
    /// The key is not in use, or the call has none.
    Unused,
    /// A repeat of the call with this id.
    Repeat(String),
    /// The key is in use for a different call.
    Conflict,
}

/// Hash of function and body, to distinguish a repeat from a reused key. The hasher has fixed keys.
fn digest(call: &Call) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&call.function, &call.body).hash(&mut hasher);
    hasher.finish()
}

impl IdempotencyKeys {
    pub fn lookup(&self, call: &Call) -> KeyLookup {
        if !call.deduplicates_here() {
            return KeyLookup::Unused;
        }
        match self.calls_by_key.get(&key(call)) {
            None => KeyLookup::Unused,
            Some((id, known_digest)) if *known_digest == digest(call) => KeyLookup::Repeat(id.clone()),
            Some(_) => KeyLookup::Conflict,
        }
    }

    pub fn insert(&mut self, call: &Call, id: &str) {
        if call.deduplicates_here() {
            self.calls_by_key.insert(key(call), (id.into(), digest(call)));
            self.keys_by_call.insert(id.into(), key(call));
        }
    }

    pub fn forget(&mut self, id: &str) {
        if let Some(key) = self.keys_by_call.remove(id) {
            self.calls_by_key.remove(&key);
        }
    }
}

fn key(call: &Call) -> Key {
    (call.tenant.clone(), call.class.clone(), call.key.clone())
}
