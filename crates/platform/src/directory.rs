//! The directory, asked again and again.
//!
//! An event counts as told when an answer that holds it is sent, and 1.5 s after it happened at the latest, whether
//! the answer comes here or not. So an answer that got lost must be made up for well within the grace that the
//! settings give a drain: a question without a good answer is soon asked again.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cresswheel::Micros;
use cresswheel_platform_wire::directory::{self, Listing};
use cresswheel_transport::Hub;

/// Questions within a drain's grace, besides those that are asked again: an event may happen right after an answer.
const IN_A_GRACE: Micros = 5;
/// However long the grace, it is asked that often: an event counts as told 1.5 s after it happened at the latest.
const LONGEST: Micros = 200_000;
/// However short, no more often: each gateway of a fleet asks.
const SHORTEST: Micros = 50_000;
/// A question without a good answer is asked again after this part of the period, so many times in a row; then it
/// is the directory that does not answer, and is asked at the usual pace.
const AGAIN: Micros = 4;
const AGAIN_AT_MOST: u32 = 7;
/// Questions whose answers are still good.
const RECENT: usize = 8;

/// Asks the directory, and keeps what is newer.
pub struct Directory {
    socket: Option<usize>,
    address: SocketAddr,
    period: Micros,
    asked: Micros,
    next: Micros,
    /// Questions since the last good answer.
    unanswered: u32,
    id: u16,
    recent: VecDeque<u16>,
    serial: u64,
    /// When a good answer came last.
    heard: Micros,
    silent: bool,
}

impl Directory {
    /// A directory whose events up to `serial` are known; a drain that it told is to be kept within `grace`.
    pub fn new(now: Micros, address: SocketAddr, serial: u64, seed: u64, grace: Micros) -> Self {
        Self {
            socket: None,
            address,
            period: (grace / IN_A_GRACE).clamp(SHORTEST, LONGEST),
            asked: now,
            next: now,
            unanswered: 0,
            id: seed as u16,
            recent: VecDeque::new(),
            serial,
            heard: now,
            silent: false,
        }
    }

    /// It is at another address from now on; its events are numbered on.
    pub fn move_to(&mut self, hub: &mut Hub, address: SocketAddr) {
        if address != self.address {
            tracing::info!(%address, "another directory");
            self.address = address;
            self.socket.take().into_iter().for_each(|socket| hub.close_datagrams(socket));
            self.recent.clear();
            (self.next, self.unanswered) = (0, 0);
        }
    }

    /// Whose socket it is.
    pub fn is_ours(&self, socket: usize) -> bool {
        self.socket == Some(socket)
    }

    /// When it is to be asked next.
    pub fn next_due(&self) -> Micros {
        self.next
    }

    /// The last event known.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Asks, when it is time to.
    pub fn tick(&mut self, hub: &mut Hub, now: Micros) {
        if now < self.next {
            return;
        }
        let again = self.unanswered < AGAIN_AT_MOST;
        self.next = now + if again { self.period / AGAIN } else { self.period };
        (self.asked, self.unanswered) = (now, self.unanswered.saturating_add(1));
        if !self.silent && now.saturating_sub(self.heard) > 10 * self.period {
            self.silent = true;
            tracing::warn!(serial = self.serial, "the directory is silent");
        }
        if self.unanswered > 0 && self.unanswered.is_multiple_of(AGAIN_AT_MOST + 1) {
            // Whatever no longer answers this socket may answer another: nothing tells the two apart from here.
            self.socket.take().into_iter().for_each(|socket| hub.close_datagrams(socket));
        }
        if self.socket.is_none() {
            match hub.datagrams(self.address) {
                Ok(socket) => self.socket = Some(socket),
                Err(error) => return tracing::warn!(%error, "no socket for the directory"),
            }
        }
        self.id = self.id.wrapping_add(1);
        if let (Some(socket), Ok(query)) = (self.socket, directory::query(self.id)) {
            hub.send_datagram(socket, &query);
            self.recent.push_back(self.id);
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
    }

    /// An answer came: the list, if it is newer than what is known.
    pub fn answered(&mut self, now: Micros, bytes: &[u8]) -> Option<Listing> {
        let asked = directory::answer_id(bytes).is_some_and(|id| self.recent.contains(&id));
        if !asked {
            tracing::debug!("an answer to no question");
            return None;
        }
        match directory::answer(bytes) {
            Err(error) => {
                tracing::debug!(%error, "the directory's answer tells nothing");
                None
            }
            Ok(listing) => {
                if std::mem::replace(&mut self.silent, false) {
                    tracing::info!("the directory answers again");
                }
                (self.heard, self.unanswered) = (now, 0);
                self.next = self.next.max(self.asked + self.period);
                let newer = listing.serial > self.serial;
                self.serial = self.serial.max(listing.serial);
                newer.then_some(listing)
            }
        }
    }
}

#[cfg(test)]
mod tests;
