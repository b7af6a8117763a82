//! Decisions of a quota gateway as a sans-I/O state machine.
//!
//! A [`Gateway`] holds customers to global quotas by escrow leasing: it leases small blocks of a
//! customer's per-window budget from a shared counter, spends them locally, forfeits leftovers at
//! the window edge, and refuses once its escrow is gone and the counter is silent. It also chooses
//! servers, judges their health and decides on further attempts. It never reads a clock or a
//! socket: the host hands it [`Event`]s with the time and carries out the [`Action`]s.
//!
//! ```
//! use limeway_quota_policy::*;
//!
//! let settings = Settings {
//!     gateways: 1, me: 0, zone: 0, round: 1_000, ask: false, max_units: 1.0,
//!     classes: vec![Class { aim: 500_000, effect: Effect::Safe, scope: Scope::All, window: 0, worth: 1.0 }],
//!     plans: vec![Plan {
//!         rate: 2.0, burst: 4.0, open: 0.0, price: 1.0, ceiling_rate: 0.0, ceiling_burst: 0.0,
//!         ceiling_slack: 0.0,
//!     }],
//!     permissions: Permissions {
//!         cancel: true, second_copies: true, max_attempts: 3, max_retry_after: 1_000_000, retry_after: true,
//!         peers: false,
//!     },
//!     counter: Some(CounterSettings { limit: 50_000 }),
//!     rules: Rules { cold: 10_000_000, cold_from: 0.3, fall: 1_000_000, fall_multiple: 3.0, ask_within: 0 },
//! };
//! let mut gateway = Gateway::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let entry = Entry { server: 0, zone: 0, cell: 0, state: Lifecycle::Ready, weight: 1.0, started: 0 };
//! gateway.handle(0, Event::Servers { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let request = Event::Request(Demand {
//!     id: 1, class: 0, plan: 0, customer: "choir".into(), left: 2_000_000, units: 1.0, doors: 1, first: 0,
//! });
//! gateway.handle(1_000, request, &mut actions);
//! // The first request leases a unit from the customer's window count ...
//! let name = actions.iter().find_map(|a| match a { Action::Count { name, .. } => Some(*name), _ => None });
//! let counted = Event::Counted { name: name.unwrap(), status: Status::Ok, total: 1.0, latency: 2_000 };
//! actions.clear();
//! gateway.handle(3_000, counted, &mut actions);
//! // ... and is sent on with it.
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, server: 0, .. })));
//! ```
#![forbid(unsafe_code)]

#[doc(hidden)]
pub mod homes;
pub mod interface;
pub mod rules;
pub mod setup;
mod state;

pub use interface::*;
pub use limeway_counter_recovery::Guards;
pub use rules::{Gateway, Windows};
pub use setup::{Setup, SetupError};
pub use state::presence_name;
