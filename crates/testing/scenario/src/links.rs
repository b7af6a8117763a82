//! What may go wrong between a limiter and one other side, as the timeline words it.

use crate::file::Entry;
use crate::Micros;

/// Directions of a link, as the limiter sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Directions {
    /// What it sends.
    Out,
    /// What comes to it.
    In,
    /// Both.
    Both,
}

impl Directions {
    /// Whether what the limiter sends is concerned.
    pub fn out(self) -> bool {
        self != Directions::In
    }

    /// Whether what comes to it is.
    pub fn inwards(self) -> bool {
        self != Directions::Out
    }
}

/// The other side of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The counter.
    Counter,
    /// Its agent of discovery.
    Discovery,
}

/// What goes wrong on a TCP link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes; it follows when the fault is over.
    Hold,
    /// What is sent is taken and lost; connections that lost something are reset when the fault is over.
    Swallow,
    /// All comes so late.
    Late(Micros),
    /// New connections are refused, and those that are there are reset.
    Refuse,
    /// New connections do not come up, and those that are there are silent.
    Hang,
    /// Connections that are there are reset, once.
    Reset,
    /// Connections that are there end in order, once.
    Close,
}

/// Names of the faults in the file, for its errors.
const FAULTS: &str = "hold, swallow, late, refuse, hang, reset, close";

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkEvent {
    /// The limiter.
    pub limiter: u32,
    /// The other side.
    pub to: Side,
    /// What goes wrong.
    pub fault: LinkFault,
    /// In which directions; refused, hanging, reset and closed connections are in both.
    pub way: Directions,
}

/// Messages between limiters that are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Apart {
    /// Those of one limiter.
    One {
        /// The limiter.
        limiter: u32,
        /// From and to this one only; all others if it is none.
        other: Option<u32>,
        /// Which of its messages.
        way: Directions,
    },
    /// All but those from each to the next, counted round.
    Ring,
    /// Those between the first half of the limiters and the others.
    Halves,
}

impl Apart {
    /// Whether a message from one to another of so many limiters is lost.
    pub fn cuts(self, from: u32, to: u32, limiters: u32) -> bool {
        match self {
            Apart::One { limiter, other, way } => {
                let of = |one: u32, far: u32| one == limiter && other.is_none_or(|o| o == far);
                way.out() && of(from, to) || way.inwards() && of(to, from)
            }
            Apart::Ring => to != (from + 1) % limiters.max(1),
            Apart::Halves => (from < limiters / 2) != (to < limiters / 2),
        }
    }
}

type Fault = (&'static str, String);

pub(crate) fn directions(entry: &Entry) -> Result<Directions, Fault> {
    match entry.way.as_deref() {
        None | Some("both") => Ok(Directions::Both),
        Some("out") => Ok(Directions::Out),
        Some("in") => Ok(Directions::In),
        Some(other) => Err(("way", format!("'{other}' is none of out, in, both"))),
    }
}

pub(crate) fn link(entry: &Entry, limiter: u32) -> Result<LinkEvent, Fault> {
    let to = match entry.to.as_deref() {
        Some("counter") => Side::Counter,
        Some("discovery") => Side::Discovery,
        Some(other) => return Err(("to", format!("'{other}' is none of counter, discovery"))),
        None => return Err(("to", "is missing".into())),
    };
    let fault = match entry.fault.as_deref() {
        Some("hold") => LinkFault::Hold,
        Some("swallow") => LinkFault::Swallow,
        Some("late") => match entry.ms {
            Some(ms) if (0.1..=60_000.0).contains(&ms) => LinkFault::Late((ms * 1e3) as Micros),
            _ => return Err(("ms", "must be given, from 0.1 to 60000".into())),
        },
        Some("refuse") => LinkFault::Refuse,
        Some("hang") => LinkFault::Hang,
        Some("reset") => LinkFault::Reset,
        Some("close") => LinkFault::Close,
        Some(other) => return Err(("fault", format!("'{other}' is none of {FAULTS}"))),
        None => return Err(("fault", format!("must be one of {FAULTS}"))),
    };
    Ok(LinkEvent { limiter, to, fault, way: directions(entry)? })
}

impl LinkFault {
    /// Its name in the file.
    pub fn name(self) -> &'static str {
        match self {
            LinkFault::Hold => "hold",
            LinkFault::Swallow => "swallow",
            LinkFault::Late(_) => "late",
            LinkFault::Refuse => "refuse",
            LinkFault::Hang => "hang",
            LinkFault::Reset => "reset",
            LinkFault::Close => "close",
        }
    }

    /// Whether it happens once and does not last.
    pub fn at_once(self) -> bool {
        matches!(self, LinkFault::Reset | LinkFault::Close)
    }
}

impl Side {
    /// Its name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Side::Counter => "counter",
            Side::Discovery => "discovery",
        }
    }
}

impl Directions {
    /// Its name in the file.
    pub fn name(self) -> &'static str {
        match self {
            Directions::Out => "out",
            Directions::In => "in",
            Directions::Both => "both",
        }
    }
}
