//! How many machines of each kind a run has, and how they are numbered.

use std::ops::Range;

/// Core machines; their numbers come first.
pub const CORE: usize = 3;
/// The service of all servers.
pub const SERVICE: &str = "orders";
/// A large run has a server for so many gateways.
const GATEWAYS_PER_SERVER: usize = 4;
/// Fewest and most servers of a large run.
const LARGE_SERVERS: (usize, usize) = (6, 60);
/// Upper bound on the gateways: each machine has an address of its own within one byte.
pub const MAX_GATEWAYS: usize = 240;

/// The machines of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    /// Gateways.
    pub gateways: usize,
    /// Servers.
    pub servers: usize,
    /// Between each two processes there is a link whose faults are steered. Their number grows with the square of that of the processes.
    pub has_links: bool,
}

impl Layout {
    /// The small system.
    pub const SMALL: Layout = Layout { gateways: 3, servers: 6, has_links: true };
    /// Gateways enough for series of stops.
    pub const ROLLING: Layout = Layout { gateways: 8, servers: 8, has_links: true };

    /// As many gateways as are asked for, up to [`MAX_GATEWAYS`], without links between processes.
    pub fn large(gateways: usize) -> Self {
        let gateways = gateways.clamp(1, MAX_GATEWAYS);
        let servers = (gateways / GATEWAYS_PER_SERVER).clamp(LARGE_SERVERS.0, LARGE_SERVERS.1);
        Layout { gateways, servers, has_links: false }
    }

    /// Core machines and gateways.
    pub fn machines(&self) -> usize {
        CORE + self.gateways
    }

    /// The numbers of the gateways.
    pub fn gateway_numbers(&self) -> Range<usize> {
        CORE..self.machines()
    }
}
