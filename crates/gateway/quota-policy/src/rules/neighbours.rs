//! Other gateways: a home that leases for all doors of a customer, and what gateways tell each other.

use super::*;

impl Gateway {
    /// A regional escrow in the sense of the source: where gateways talk, one door of a customer, its home,
    /// leases for all of them and leases on. A home that does not answer is passed over for a while.
    pub(super) fn ask(&mut self, key: u64, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let Some(peer) = customer.home else { return };
        let (plan, doors) = (customer.plan as u8, customer.doors as u16);
        let units = (customer.wanted() - customer.granted) as f32;
        customer.asking = Some(self.now + homes::WAIT);
        self.asks.insert((self.now + homes::WAIT, key));
        self.homes.asked(peer, self.now);
        let message = Message::Ask { customer: key, plan, doors, units };
        out.push(Action::Tell { peer, data: message.encode() });
    }

    /// Questions that are due without an answer.
    pub(super) fn check_homes(&mut self) {
        while let Some(&(at, key)) = self.asks.first().filter(|a| a.0 <= self.now) {
            self.asks.remove(&(at, key));
            let Some(customer) = self.customers.get_mut(&key).filter(|c| c.asking == Some(at)) else {
                continue;
            };
            customer.asking = None;
            let Some(home) = customer.home else { continue };
            self.homes.missed(home, self.now);
        }
    }

    /// Takes what another gateway says; what makes no sense is passed over.
    pub(super) fn on_peer(&mut self, from: u32, data: &[u8], out: &mut Vec<Action>) {
        if data.first() == Some(&word::KIND) {
            let answer = self.recovery.hear_word(self.now, from, data);
            return out.extend(answer.map(|data| Action::Tell { peer: from, data }));
        }
        let Some(message) = Message::decode(data).filter(|_| self.set.permissions.peers) else { return };
        if let Message::Lost { ago } = message {
            let verdict = self.recovery.hear(self.now, Micros::from(ago));
            return note(verdict, out);
        }
        let (Message::Ask { customer: key, .. }
        | Message::Grant { customer: key, .. }
        | Message::Deny { customer: key, .. }) = message
        else {
            return;
        };
        if let Message::Ask { plan, doors, units, .. } = message {
            self.homes.spoke(from);
            if usize::from(plan) >= self.set.plans.len() {
                return;
            }
            let through = Doors { first: None, number: u32::from(doors) };
            let customer = self.know(key, usize::from(plan), through);
            let (units, since, peer) = (f64::from(units), customer.seen, Some(from));
            customer.waiting.push_back(Waiting { id: 0, peer, units, since });
            self.holding.insert(key);
        } else {
            let now = self.now;
            self.homes.answered(from);
            let Some(customer) = self.customers.get_mut(&key) else { return };
            let window = customer.window_at(now).0;
            customer.roll(window);
            customer.asking = None;
            match message {
                Message::Grant { units, .. } => customer.granted += f64::from(units),
                Message::Deny { wait, .. } => customer.denied_until = now + Micros::from(wait),
                Message::Ask { .. } | Message::Lost { .. } => {}
            }
        }
        self.settle(key, out);
    }
}
