//! The TCP links from limiters to counter and discovery, on days on which these fail.

use crate::book::digest;
use limeway_fault_injection::{Conditions, Delay, Door, Record, Streams};
use limeway_scenario::links::{Directions, LinkEvent, LinkFault, Side};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

/// All such links, by limiter and other side.
#[derive(Debug, Default)]
pub struct Ways {
    links: BTreeMap<(u32, Side), Streams>,
    /// The faults that are on, in the order in which they came; where several are on one link the last one holds.
    on: Mutex<Vec<LinkEvent>>,
}

impl Ways {
    /// Starts a link for each limiter to each side, where its address is given.
    ///
    /// # Errors
    /// An address cannot be had.
    pub fn start(ip: IpAddr, seed: u64, record: &Record, to: &[(Side, &[SocketAddr])]) -> io::Result<Self> {
        let mut links = BTreeMap::new();
        for (side, addresses) in to {
            for (limiter, address) in (0..).zip(*addresses) {
                let name = link_name(limiter, *side);
                let seed = digest(12, seed, name.as_bytes());
                links.insert((limiter, *side), Streams::start(&name, ip, *address, seed, record)?);
            }
        }
        Ok(Ways { links, on: Mutex::default() })
    }

    /// Where a limiter finds a side, if it finds it through a link.
    pub fn address(&self, limiter: u32, side: Side) -> Option<SocketAddr> {
        self.links.get(&(limiter, side)).map(|l| l.address)
    }

    /// Lets a fault begin, or be over.
    pub fn fault(&self, event: LinkEvent, on: bool) {
        let key = (event.limiter, event.to);
        let Some(link) = self.links.get(&key) else { return };
        match event.fault {
            LinkFault::Reset => return link.reset(),
            LinkFault::Close => return link.close(),
            _ => {}
        }
        let mut all = crate::book::lock(&self.on);
        if on {
            all.push(event);
        } else if let Some(at) = all.iter().position(|e| *e == event) {
            all.remove(at);
        }
        let here = all.iter().rev().find(|e| (e.limiter, e.to) == key).copied();
        drop(all);
        let (conditions, door) = here.map_or_else(Default::default, |e| words(e.fault));
        let way = here.map_or(Directions::Both, |e| e.way);
        let of = |concerned: bool| if concerned { conditions } else { Conditions::default() };
        link.forward.set(of(way.out()));
        link.back.set(of(way.inwards()));
        link.door(door);
        if door == Door::Refusing {
            link.reset();
        }
    }
}

/// The name of a link in the record of what fired.
pub fn link_name(limiter: u32, side: Side) -> String {
    format!("limiter {limiter} to {}", side.name())
}

fn words(fault: LinkFault) -> (Conditions, Door) {
    match fault {
        LinkFault::Hold => (Conditions::held(), Door::Open),
        LinkFault::Swallow => (Conditions::swallowed(), Door::Open),
        LinkFault::Late(us) => (Conditions::late(Delay::Fixed(Duration::from_micros(us))), Door::Open),
        LinkFault::Refuse => (Conditions::default(), Door::Refusing),
        LinkFault::Hang => (Conditions::held(), Door::Hanging),
        LinkFault::Reset | LinkFault::Close => Default::default(),
    }
}
