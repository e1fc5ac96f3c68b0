//! What the buffer gives out, and what it keeps allocated.

use super::*;

#[test]
fn bytes_come_out_in_order_and_consumed_ones_are_dropped() {
    let mut input = InputBuffer::default();
    input.push(b"headbodyrest");
    input.consume(4);
    assert_eq!((input.take(4), input.unread()), (b"body".to_vec(), &b"rest"[..]));
    input.push(b"more");
    assert_eq!(input.take(8), b"restmore");
    assert!(input.unread().is_empty() && input.bytes.capacity() == 0);
    input.push(&vec![1; 2 * MAX_CONSUMED]);
    input.consume(MAX_CONSUMED + 1);
    input.push(b"x");
    assert_eq!((input.consumed, input.unread().len()), (0, MAX_CONSUMED));
}

// Guards against a small body that keeps the memory of all that was received with it.
#[test]
fn a_taken_body_holds_no_more_memory_than_it_needs() {
    let mut input = InputBuffer::default();
    input.push(&vec![1; 64 << 10]);
    assert!(input.take(2).capacity() < 64);
    let rest = input.unread().len();
    input.consume(rest);
    let large = vec![2; 4 << 20];
    input.push(&large);
    let body = input.take(large.len());
    assert!(body == large && body.capacity() <= 2 * large.len());
}
