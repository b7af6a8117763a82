//! An operator who alone starts and ends the evacuation of one zone, again and again, each order once the last one is acknowledged. Nothing
//! but its own newest order may decide how the zone stands.

use crate::cluster::Cluster;
use crate::event::{Actor, SimEvent};
use crate::{Micros, SECOND};
use limeway_consensus::Slot;
use limeway_control_plane::{ApiRequest, ApiResponse};

/// The zone, which no other operator has evacuated.
pub(crate) const ZONE: &str = "z3";
/// An order is sent to another machine after this.
const REQUEST_TIMEOUT: Micros = SECOND;
/// The pause after an unclear answer.
const RETRY_PAUSE: Micros = 100_000;
/// The pause between an acknowledgement and the next order: at least, and at most.
const ORDER_PAUSE: (Micros, Micros) = (20_000, 900_000);
/// The pause before an order whose last like one is not closed yet.
const CLOSE_PAUSE: Micros = 200_000;
/// No new order is sent later than this after the last fault.
const NO_NEW_ORDER_AFTER: Micros = 6 * SECOND;

/// One attempt of an order, and the machine that it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderAttempt {
    order: u64,
    attempt: u64,
    machine: usize,
}

/// What an acknowledged order has made of the zone, until the next order is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ZoneSettled {
    /// The slot that the acknowledging machine had applied.
    pub(crate) slot: Slot,
    /// Whether the zone is evacuated.
    pub(crate) evacuated: bool,
}

/// The operator.
#[derive(Debug, Default)]
pub struct AlternatingOperator {
    /// The number of the order; odd ones start an evacuation.
    order: u64,
    attempt: u64,
    acknowledged: bool,
}

impl AlternatingOperator {
    fn starts(&self) -> bool {
        !self.order.is_multiple_of(2)
    }
}

impl Cluster {
    /// Sends the next order, or the last one once more.
    pub(crate) fn wake_alternating(&mut self, expected: Option<OrderAttempt>) {
        let operator = &mut self.workload.alternating;
        match expected {
            None if self.t > self.schedule.heal + NO_NEW_ORDER_AFTER => return,
            // A machine that stands still does not close what it has answered, and the next like order counts as its retry after half of
            // `ack-timeout`: docs/design/orders.md, "what stays open".
            None if self.invariants.has_open_call(ZONE, !operator.starts()) => {
                return self.push(self.t + CLOSE_PAUSE, SimEvent::Wake(Actor::Alternating));
            }
            None => {
                *operator =
                    AlternatingOperator { order: operator.order + 1, attempt: 0, acknowledged: false };
                self.invariants.zone_settled = None;
            }
            Some(last) => {
                let is_waiting = last.order == operator.order && last.attempt == operator.attempt;
                if !is_waiting || operator.acknowledged {
                    return;
                }
            }
        }
        let operator = &mut self.workload.alternating;
        operator.attempt += 1;
        let (order, attempt, starts) = (operator.order, operator.attempt, operator.starts());
        let machine = self.any();
        let sent = OrderAttempt { order, attempt, machine };
        self.send_ask(machine, Actor::Order(sent), ApiRequest::Evacuate { zone: ZONE.into(), starts });
        self.push(self.t + REQUEST_TIMEOUT, SimEvent::Wake(Actor::Order(sent)));
    }

    /// An answer reaches the operator, if it still waits for it.
    pub(crate) fn order_answered(&mut self, sent: OrderAttempt, response: Option<ApiResponse>) {
        let operator = &mut self.workload.alternating;
        let is_waiting =
            sent.order == operator.order && sent.attempt == operator.attempt && !operator.acknowledged;
        let Some(ApiResponse::EvacuationDone(call_id)) = response else {
            if is_waiting {
                self.push(self.t + RETRY_PAUSE, SimEvent::Wake(Actor::Order(sent)));
            }
            return;
        };
        let evacuated = operator.starts();
        operator.acknowledged |= is_waiting;
        self.push(self.t, SimEvent::Delivery(sent.machine, call_id, is_waiting));
        if !is_waiting {
            return;
        }
        self.invariants.zone_settled = Some(ZoneSettled { slot: self.invariants.newest(), evacuated });
        let next = self.t + self.rng.between(ORDER_PAUSE.0, ORDER_PAUSE.1);
        self.push(next, SimEvent::Wake(Actor::Alternating));
    }
}
