//! Signals to the processes of a running system, by their ids.

use crate::system::System;
use rustix::process::{kill_process, Pid, Signal};

impl System {
    pub(crate) fn signal(&self, at: usize, signal: Signal) {
        let child = self.machines[at].child.lock().expect("lock").as_ref().expect("runs").id();
        let pid = Pid::from_raw(i32::try_from(child).expect("an id")).expect("an id");
        kill_process(pid, signal).expect("a signal");
    }
}
