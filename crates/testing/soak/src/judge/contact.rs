//! Which machines are in touch when: rules with a time bound hold for these only (`RULES.md`, "In touch").

use crate::bounds::CONTACT;
use crate::fault::Fault;
use crate::layout::CORE;
use crate::ledger::{Fired, Seen};
use std::time::Duration;

/// Whether anything unplanned happened to anyone in a span, or in the time before it that counts.
pub(super) fn is_calm(seen: &Seen, from: Duration, to: Duration) -> bool {
    let from = from.saturating_sub(CONTACT);
    let overlaps = |fired: &&Fired| fired.begun <= to && fired.ended >= from;
    let unplanned = |fired: &&Fired| !fired.fault.is_planned();
    seen.faults.iter().filter(overlaps).filter(unplanned).count() == 0 && !in_power_loss(seen, from, to)
}

fn in_power_loss(seen: &Seen, from: Duration, to: Duration) -> bool {
    seen.power_loss.is_some_and(|(begun, ended)| begun <= to && ended + CONTACT >= from)
}

/// Whether a gateway was in touch throughout a span.
pub(super) fn in_touch(seen: &Seen, gateway: usize, from: Duration, to: Duration) -> bool {
    !in_power_loss(seen, from, to)
        && seen.faults.iter().all(|fired| !puts_out_of_touch(fired, gateway, from, to, seen))
}

fn puts_out_of_touch(fired: &Fired, gateway: usize, from: Duration, to: Duration, seen: &Seen) -> bool {
    let within = |begun: Duration, ended: Duration| begun <= to && ended + CONTACT >= from;
    match fired.fault {
        Fault::Kill(m) | Fault::Pause(m) | Fault::Terminate(m) | Fault::Reload(m) if m >= CORE => {
            m == gateway && within(fired.begun, fired.ended)
        }
        Fault::CutGateway(m) => m == gateway && within(fired.begun, fired.ended),
        Fault::ResetLinks => within(fired.begun, fired.ended),
        // The core is unsettled for a while after each of its events, and as long as no majority of it is connected.
        _ if fired.fault.is_of_core() => {
            let persists = loses_majority(fired, seen) && within(fired.begun, fired.ended);
            persists || within(fired.begun, fired.begun) || within(fired.ended, fired.ended)
        }
        _ => false,
    }
}

/// Whether a fault of the core overlaps another one, so that half of it or less may be left.
fn loses_majority(fired: &Fired, seen: &Seen) -> bool {
    let overlaps = |other: &&Fired| {
        let is_near = other.begun <= fired.ended + CONTACT && other.ended + CONTACT >= fired.begun;
        is_near && other.fault.is_of_core()
    };
    fired.fault == Fault::KillCore || seen.faults.iter().filter(overlaps).count() > 1
}
