//! The one program of the whole system. What a process does follows from its settings: one with a frontend is a gateway (a limiter
//! that clients reach), one without is a replica of the control plane.
//!
//! | module | concern |
//! | --- | --- |
//! | [`process`], [`signals`] | start and signals |
//! | [`drain_schedule`] | what a gateway still takes after SIGTERM, and until when it is answered |
//! | [`shutdown`] | the steps of a shutdown, of a gateway and of a replica |
//! | [`replica`], [`state_writer`], [`control_api`] | a control-plane replica: its sockets, its disk, the calls of servers and operators |
//! | [`gateway`] | a gateway: what it knows, follows, leases and relays |
//! | [`proxy`] | a client's request, from its first byte to its one response |
//! | [`upstream`] | connections to servers, and one attempt at one server |
//! | [`metrics`] | figures of the process, as text |
//! | [`transport`] | calls between processes |
//! | `directory`, `readiness`, [`settings_file`], [`clock`] | where clients go; probes; the settings file; time and random numbers |
//!
//! Decisions are made in the packages below; here are sockets, timers and what connects them. It is a library, so that many gateways
//! can run in one process for runs at a size that one machine could not hold otherwise.
#![forbid(unsafe_code)]

mod accept;
pub mod clock;
pub mod control_api;
mod directory;
pub mod drain_schedule;
pub mod gateway;
pub mod metrics;
pub use limeway_control_plane::messages;
pub mod process;
pub mod proxy;
mod readiness;
pub mod replica;
pub mod settings_file;
pub mod shutdown;
pub mod signals;
pub mod state_writer;
pub mod transport;
pub mod upstream;
