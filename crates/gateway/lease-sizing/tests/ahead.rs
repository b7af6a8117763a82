//! What is leased ahead: by recent use, out of what is spare, in time; and never at the cost of the other doors.

use limeway_lease_sizing::{Door, KEPT};
use proptest::prelude::*;

/// A door half way through a window of 4 s, with twenty units used in the last one, and a store that is full.
const BUSY: Door = Door {
    doors: 2.0,
    waiting: 0.0,
    held: 0.0,
    size: 1.0,
    used: 10.0,
    past: 20.0,
    into: 2_000_000,
    length: 4_000_000,
    left: 100.0,
    store: 40.0,
    burst: 40.0,
};

#[test]
fn it_goes_by_use_by_what_is_spare_and_by_the_next_request() {
    let cases = [
        ("as much as is sure of ten units to come", BUSY, 7.0),
        ("nothing has been asked for of late", Door { used: 0.0, past: 0.0, ..BUSY }, 0.0),
        ("the next request is covered", Door { held: 1.0, ..BUSY }, 0.0),
        ("a larger one is not", Door { held: 1.0, size: 2.0, ..BUSY }, 6.0),
        ("what is held goes to those that wait", Door { held: 1.0, waiting: 1.0, ..BUSY }, 7.0),
        ("the window is all but over", Door { into: 3_990_000, ..BUSY }, 0.0),
        ("the store is drawn on: an even split of what is spare", Door { store: 34.0, ..BUSY }, 5.0),
        ("it is close to its quota", Door { store: KEPT * 40.0 + 1.0, ..BUSY }, 0.0),
        ("little is left to lease", Door { left: 12.0, ..BUSY }, 3.0),
        ("nothing is", Door { left: 0.0, ..BUSY }, 0.0),
        ("more doors share it", Door { doors: 8.0, ..BUSY }, 2.0),
        ("less than a request would cover nothing", Door { size: 8.0, ..BUSY }, 0.0),
        ("a window that has just begun goes by the last one", Door { used: 0.0, into: 0, ..BUSY }, 8.0),
    ];
    for (what, door, units) in cases {
        assert_eq!(door.ahead(), units, "{what}: {} expected, {} spare", door.expected(), door.spare());
    }
}

proptest! {
    /// All doors at once lease ahead, and let all of it be forfeit: the store and the window keep their part.
    #[test]
    fn whatever_doors_hold_ahead_the_store_and_the_window_keep_their_part(
        doors in 1u32..40,
        used in 0.0..1e4f64,
        past in 0.0..1e4f64,
        waiting in 0.0..20.0f64,
        held in 0.0..20.0f64,
        size in 0.5..8.0f64,
        part in 0.0..1.0f64,
        (store, burst, left) in (0.0..1e3f64, 1.0..1e3f64, 0.0..1e3f64),
    ) {
        let into = (part * 4e6) as u64;
        let doors = f64::from(doors);
        let door = Door { doors, used, past, waiting, held, size, into, left, store: store.min(burst), burst, length: 4_000_000 };
        let units = door.ahead();
        prop_assert!(units >= 0.0 && units.is_finite() && units.fract() == 0.0);
        if units > 0.0 {
            prop_assert!(door.store - waiting - doors * units >= KEPT * burst - 1e-6);
            prop_assert!(doors * units <= left / 2.0 + 1e-6);
            prop_assert!(units + (held - waiting).max(0.0) >= size, "the next request is covered");
        }
    }
}
