//! HTTP/1.1 messages and the connections that carry them: [`http`] reads and writes messages, free of I/O; [`inbound`] reads requests of others, [`conn`] is a
//! connection of our own to another side. Shared by the limiter in service and by the whole system.
#![forbid(unsafe_code)]

pub mod conn;
pub mod http;
pub mod inbound;
pub mod tcp_info;
