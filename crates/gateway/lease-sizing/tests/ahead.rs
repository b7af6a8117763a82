//! What is leased ahead: by recent use, out of what is spare, in time; and never at the cost of the other limiters.

use limeway_lease_sizing::{TenantWindow, RESERVED_SHARE};
use proptest::prelude::*;

/// A limiter half way through a window of 4 s, with twenty units used in the last one, and a store that is full.
const BUSY: TenantWindow = TenantWindow {
    limiters: 2.0,
    waiting: 0.0,
    escrow: 0.0,
    size: 1.0,
    used: 10.0,
    used_before: 20.0,
    elapsed: 2_000_000,
    length: 4_000_000,
    leasable: 100.0,
    store: 40.0,
    burst: 40.0,
};

#[test]
fn it_goes_by_use_by_what_is_spare_and_by_the_next_request() {
    let cases = [
        ("as much as is sure of ten units to come", BUSY, 7.0),
        ("nothing has been asked for of late", TenantWindow { used: 0.0, used_before: 0.0, ..BUSY }, 0.0),
        ("the next request is covered", TenantWindow { escrow: 1.0, ..BUSY }, 0.0),
        ("a larger one is not", TenantWindow { escrow: 1.0, size: 2.0, ..BUSY }, 6.0),
        ("what is held goes to those that wait", TenantWindow { escrow: 1.0, waiting: 1.0, ..BUSY }, 7.0),
        ("the window is all but over", TenantWindow { elapsed: 3_990_000, ..BUSY }, 0.0),
        ("the store is drawn on: an even split of what is spare", TenantWindow { store: 34.0, ..BUSY }, 5.0),
        ("it is close to its quota", TenantWindow { store: RESERVED_SHARE * 40.0 + 1.0, ..BUSY }, 0.0),
        ("little is left to lease", TenantWindow { leasable: 12.0, ..BUSY }, 3.0),
        ("nothing is", TenantWindow { leasable: 0.0, ..BUSY }, 0.0),
        ("more limiters share it", TenantWindow { limiters: 8.0, ..BUSY }, 2.0),
        ("less than a request would cover nothing", TenantWindow { size: 8.0, ..BUSY }, 0.0),
        (
            "a window that has just begun goes by the last one",
            TenantWindow { used: 0.0, elapsed: 0, ..BUSY },
            8.0,
        ),
    ];
    for (what, window, units) in cases {
        assert_eq!(window.ahead(), units, "{what}: {} expected, {} spare", window.expected(), window.spare());
    }
}

proptest! {
    /// All limiters at once lease ahead, and let all of it be forfeit: the store and the window keep their part.
    #[test]
    fn whatever_limiters_hold_ahead_the_store_and_the_window_keep_their_part(
        limiters in 1u32..40,
        used in 0.0..1e4f64,
        used_before in 0.0..1e4f64,
        waiting in 0.0..20.0f64,
        escrow in 0.0..20.0f64,
        size in 0.5..8.0f64,
        part in 0.0..1.0f64,
        (store, burst, leasable) in (0.0..1e3f64, 1.0..1e3f64, 0.0..1e3f64),
    ) {
        let elapsed = (part * 4e6) as u64;
        let limiters = f64::from(limiters);
        let window = TenantWindow { limiters, used, used_before, waiting, escrow, size, elapsed, leasable, store: store.min(burst), burst, length: 4_000_000 };
        let units = window.ahead();
        prop_assert!(units >= 0.0 && units.is_finite() && units.fract() == 0.0);
        if units > 0.0 {
            prop_assert!(window.store - waiting - limiters * units >= RESERVED_SHARE * burst - 1e-6);
            prop_assert!(limiters * units <= leasable / 2.0 + 1e-6);
            prop_assert!(units + (escrow - waiting).max(0.0) >= size, "the next request is covered");
        }
    }
}
