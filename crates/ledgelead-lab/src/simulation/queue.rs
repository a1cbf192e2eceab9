//! Event queue ordered by time. Events with the same time are taken in insertion order.

use ledgelead_types::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A queue of events.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    added: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn order(&self) -> (Time, u64) {
        (self.at, self.number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed, because the heap yields its greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.order().cmp(&self.order())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            added: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn add(&mut self, at: Time, event: E) {
        self.added += 1;
        let number = self.added;
        self.heap.push(Scheduled { at, number, event });
    }

    /// Time of the earliest event.
    pub fn next_time(&self) -> Option<Time> {
        self.heap.peek().map(|scheduled| scheduled.at)
    }

    /// Takes the earliest event if it is due.
    pub fn take_due(&mut self, now: Time) -> Option<E> {
        if self.next_time()? > now {
            return None;
        }
        self.heap.pop().map(|scheduled| scheduled.event)
    }
}
