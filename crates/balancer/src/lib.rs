//! The parts of the whole system's one program: [`service`] starts a process, [`core`] is a core machine, [`edge`] a limiter,
//! [`switch`] a client's request, [`control`] the calls of servers and operators, [`link`] what processes say to each other.
//!
//! Decisions stand in the packages below; here are sockets, timers and what connects them. A library, so that many limiters
//! can run in one process: hollow ones, for runs at a size that one machine could not hold otherwise.
#![forbid(unsafe_code)]

pub mod clock;
pub mod control;
pub mod core;
pub mod directory;
pub mod disk;
pub mod edge;
pub mod front;
pub mod link;
pub use limeway_control_plane::messages;
pub mod outbound;
pub mod service;
pub mod switch;
pub mod wanted;
