//! Orders of a session that its agent has not acknowledged.

use std::collections::VecDeque;

use hyssop_jobs::Order;

use crate::NumberedOrder;
use crate::sizes::{MAX_BATCH_BYTES, MAX_ORDER_BYTES, order_bytes};

/// Orders of a session that its agent has not acknowledged, in the order of their numbers.
#[derive(Debug, Default)]
pub struct OrderQueue {
    orders: VecDeque<NumberedOrder>,
    /// Number of the last order of the session.
    last_number: u64,
}

impl OrderQueue {
    /// Adds an order with the next number. An order that does not fit into any message is not added,
    /// so that the numbers have no gap, and returned.
    ///
    /// # Errors
    ///
    /// Returns the order if it exceeds the limit.
    pub fn push(&mut self, order: Order) -> Result<(), Box<Order>> {
        if order_bytes(&order) > MAX_ORDER_BYTES {
            return Err(Box::new(order));
        }
        self.last_number += 1;
        self.orders.push_back(NumberedOrder {
            number: self.last_number,
            order,
        });
        Ok(())
    }

    /// Removes the orders that the agent has applied, up to this number.
    pub fn acknowledge(&mut self, number: u64) {
        let is_applied = |order: &NumberedOrder| order.number <= number;
        while self.orders.front().is_some_and(is_applied) {
            self.orders.pop_front();
        }
    }

    /// Returns the orders for one reply: the first ones that fit, at least one. The agent skips orders
    /// that do not follow the last one it has applied, so that the others wait until it has
    /// acknowledged these, which its next report does.
    #[must_use]
    pub fn next_batch(&self) -> Vec<NumberedOrder> {
        let mut bytes = 0;
        let fits = |order: &&NumberedOrder| {
            let is_first = bytes == 0;
            bytes += order_bytes(&order.order);
            is_first || bytes <= MAX_BATCH_BYTES
        };
        self.orders.iter().take_while(fits).cloned().collect()
    }

    /// Returns whether the agent has acknowledged all orders.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}
