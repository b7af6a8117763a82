//! Kills of processes of a running system.

use crate::system::System;

impl System {
    pub(crate) fn kill(&self, at: usize) {
        let mut child = self.machines[at].child.lock().expect("lock").take().expect("runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }
}
