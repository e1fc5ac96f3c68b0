//! Bytes that came and are not used yet, and the error after which no more are taken.

#[derive(Debug, Default)]
pub struct Held {
    buffer: Vec<u8>,
    used: usize,
}

impl Held {
    /// Appends bytes. What was used up to then is given back.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.used == self.buffer.len() {
            self.buffer.clear();
            self.used = 0;
        } else if self.used > 16 << 10 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.used..]
    }

    /// The first bytes are done with. An empty buffer that was large once is not kept.
    pub fn take(&mut self, count: usize) {
        self.used += count.min(self.rest().len());
        if self.used == self.buffer.len() {
            self.clear();
        }
    }

    pub fn clear(&mut self) {
        self.buffer = Vec::new();
        self.used = 0;
    }
}

/// Held bytes up to an error, which is then for ever.
#[derive(Debug)]
pub struct UntilError<E> {
    pub held: Held,
    failed: Option<E>,
}

impl<E> Default for UntilError<E> {
    fn default() -> Self {
        Self { held: Held::default(), failed: None }
    }
}

impl<E: Copy> UntilError<E> {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.held.push(bytes);
        }
    }

    /// What `read` makes of the bytes, unless there was an error before.
    pub fn decode<T>(&mut self, read: impl FnOnce(&mut Held) -> Result<T, E>) -> Result<T, E> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let result = read(&mut self.held);
        if let Err(error) = &result {
            self.failed = Some(*error);
            self.held.clear();
        }
        result
    }
}
