//! What clients ask for at a moment. The operator and faults change it, clients read it.

use std::cell::{Cell, RefCell};

/// What clients ask for at a moment.
#[derive(Debug, Default)]
pub struct Demand {
    /// Routes added by versions that may be in force, oldest first.
    pub routes: RefCell<Vec<u32>>,
    /// Keys of the tenant `ample`: in force, or taken away.
    pub keys: RefCell<Vec<String>>,
    /// Keys that were taken away lately.
    pub revoked: RefCell<Vec<String>>,
    /// The tenant `tight` asks for many times its quota.
    pub is_hot: Cell<bool>,
    /// Clients leave in the middle of requests.
    pub impatient: Cell<bool>,
    /// No more requests begin.
    pub stopped: Cell<bool>,
}
