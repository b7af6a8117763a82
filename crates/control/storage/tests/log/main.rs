//! The log on disk: which records it takes, its bounds, and what is left of it after each kind of failure.

mod faults;
#[path = "../hooked/mod.rs"]
mod hooked;
mod process;
mod rules;
mod script;
mod sim;
