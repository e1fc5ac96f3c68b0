//! Output buffer that tracks which frames have not begun to be sent.

use std::collections::VecDeque;

/// How much of a frame was handed to the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte: it can be withdrawn.
    Nothing,
    /// Some bytes, not all: the peer has no complete frame, and gets none if the connection is closed now.
    Part,
    /// All of it, or the connection never had such a frame.
    Whole,
}

/// Bytes that were sent are kept until there are so many of them.
const MIN_COMPACTION: usize = 256 << 10;

#[derive(Debug, Default)]
pub struct OutputBuffer {
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that were handed to the kernel.
    sent: usize,
    /// Stream offset of the first byte in the buffer.
    base: u64,
    /// Marked frames that are not completely sent: start, end, mark.
    marks: VecDeque<(u64, u64, u64)>,
}

impl OutputBuffer {
    pub fn len(&self) -> usize {
        self.buffer.len() - self.sent
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends the output of `write` as one frame.
    pub fn push(&mut self, mark: Option<u64>, write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.base + self.buffer.len() as u64;
        write(&mut self.buffer);
        let end = self.base + self.buffer.len() as u64;
        self.marks.extend(mark.map(|mark| (start, end, mark)));
    }

    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.sent..]
    }

    /// Records that the kernel accepted this many bytes.
    pub fn advance(&mut self, count: usize) {
        self.sent += count;
        let at = self.base + self.sent as u64;
        while self.marks.front().is_some_and(|(_, end, _)| *end <= at) {
            self.marks.pop_front();
        }
        if self.sent == self.buffer.len() {
            self.base = at;
            self.sent = 0;
            // A large buffer is not kept for an idle connection.
            if self.buffer.capacity() > 4 << 10 { self.buffer = Vec::new() } else { self.buffer.clear() }
        } else if self.sent > MIN_COMPACTION && self.sent > self.buffer.len() / 2 {
            // Moves no more bytes than were sent, so that the cost of a large backlog stays linear.
            self.buffer.drain(..self.sent);
            self.base = at;
            self.sent = 0;
        }
    }

    /// Withdraws a frame if no byte of it was sent.
    pub fn withdraw(&mut self, mark: u64) -> bool {
        let at = self.base + self.sent as u64;
        let Some(index) = self.marks.iter().position(|(start, _, m)| *m == mark && *start >= at) else {
            return false;
        };
        let Some((start, end, _)) = self.marks.remove(index) else { return false };
        let range = (start - self.base) as usize..(end - self.base) as usize;
        self.buffer.drain(range);
        for (later, end_later, _) in self.marks.iter_mut().skip(index) {
            *later -= end - start;
            *end_later -= end - start;
        }
        true
    }

    /// How much of a marked frame was sent.
    pub fn sent(&self, mark: u64) -> Sent {
        let at = self.base + self.sent as u64;
        match self.marks.iter().find(|(.., m)| *m == mark) {
            Some((start, ..)) if *start >= at => Sent::Nothing,
            Some(_) => Sent::Part,
            None => Sent::Whole,
        }
    }

    /// Marks of the frames of which no byte was sent.
    pub fn unsent(&self) -> Vec<u64> {
        let at = self.base + self.sent as u64;
        self.marks.iter().filter(|(start, ..)| *start >= at).map(|(.., mark)| *mark).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::{OutputBuffer, Sent};

    #[test]
    fn frames_are_unsent_until_their_first_byte_leaves() {
        let mut out = OutputBuffer::default();
        for mark in 1..=4 {
            out.push(Some(mark), |b| b.extend([mark as u8; 10]));
        }
        assert_eq!(out.unsent(), [1, 2, 3, 4]);
        out.advance(10);
        assert_eq!(out.unsent(), [2, 3, 4], "whole frames that left are not unsent");
        out.advance(1);
        assert_eq!(out.unsent(), [3, 4], "one byte is enough");
        assert_eq!([1, 2, 3].map(|mark| out.sent(mark)), [Sent::Whole, Sent::Part, Sent::Nothing]);
        assert!(!out.withdraw(2) && !out.withdraw(1) && out.withdraw(3));
        assert_eq!(out.rest(), [[2u8; 9].as_slice(), [4u8; 10].as_slice()].concat());
        out.advance(9);
        assert_eq!(out.unsent(), [4]);
        out.advance(10);
        assert_eq!((out.len(), out.unsent()), (0, vec![]));
        out.push(Some(5), |b| b.extend([5; 3]));
        out.advance(2);
        assert!(!out.withdraw(5));
        out.advance(1);
        assert_eq!(out.len(), 0);
    }
}
