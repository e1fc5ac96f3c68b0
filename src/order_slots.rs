//! Free slots for load orders on this gateway's connections to one worker.
//!
//! Only the caller knows how many orders its connections can carry. The dispatcher learns that the slots have
//! run out from an order that ends as [`Outcome::NotSent`](crate::Outcome::NotSent). From then on it counts:
//! each order that ends frees a slot and each new one takes a slot. Connections may also get room without the
//! end of an order, so one order is tried after each retry interval even if no free slot is known.

use crate::interface::Micros;

/// The free order slots of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderSlots {
    /// Slots freed since an order found none; `None` if no order has found the slots exhausted yet.
    free: Option<u32>,
    /// When an order is tried although no free slot is known.
    retry_at: Micros,
}

impl OrderSlots {
    /// Whether an order may be sent now.
    pub fn is_available(&self, now: Micros) -> bool {
        self.free.is_none_or(|free| free > 0) || now >= self.retry_at
    }

    /// An order is being sent.
    pub fn take(&mut self, now: Micros, retry_interval: Micros) {
        if let Some(free) = &mut self.free {
            *free = free.saturating_sub(1);
            self.retry_at = now.saturating_add(retry_interval);
        }
    }

    /// An order that had been sent ended, and its slot is free again.
    pub fn release(&mut self) {
        if let Some(free) = &mut self.free {
            *free = free.saturating_add(1);
        }
    }

    /// An order found no free slot.
    pub fn record_exhausted(&mut self, now: Micros, retry_interval: Micros) {
        self.free = Some(0);
        self.retry_at = now.saturating_add(retry_interval);
    }
}
