//! What one direction of a link does with what passes through it.

use rand::Rng;
use std::time::Duration;

/// Whether anything passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pass {
    /// All does.
    #[default]
    Through,
    /// Nothing does for now; what is sent meanwhile follows later, as with packets that are sent again. Datagrams are lost.
    Held,
    /// What is sent is taken and lost. A stream that has lost bytes is reset as soon as this is over.
    Swallowed,
}

/// How late what passes is.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Delay {
    /// Not at all.
    #[default]
    None,
    /// Always as late.
    Fixed(Duration),
    /// Anything between these, each as likely.
    Between(Duration, Duration),
    /// The first for most; the second for this share of all.
    Tail(Duration, Duration, f64),
}

impl Delay {
    /// Draws one.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            Delay::None => Duration::ZERO,
            Delay::Fixed(time) => time,
            Delay::Between(least, most) if least < most => rng.random_range(least..=most),
            Delay::Between(least, _) => least,
            Delay::Tail(usual, long, share) => {
                if rng.random::<f64>() < share {
                    long
                } else {
                    usual
                }
            }
        }
    }
}

/// What a direction does. The default changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Conditions {
    /// Whether anything passes.
    pub pass: Pass,
    /// How late. Pieces of a stream keep their order; datagrams pass each other.
    pub delay: Delay,
    /// Share of datagrams that is lost.
    pub loss: f64,
    /// Share of datagrams that comes twice, the second after a delay of its own.
    pub double: f64,
    /// Share of datagrams that comes later still, by the time given: others overtake them.
    pub reorder: (f64, Duration),
    /// Bytes a second at most.
    pub bytes_per_second: Option<f64>,
    /// A stream is handed on in pieces of so many bytes at most.
    pub slice: Option<usize>,
}

impl Conditions {
    /// Nothing passes for now.
    pub fn held() -> Self {
        Conditions { pass: Pass::Held, ..Self::default() }
    }

    /// All is taken and lost.
    pub fn swallowed() -> Self {
        Conditions { pass: Pass::Swallowed, ..Self::default() }
    }

    /// All is so late.
    pub fn late(delay: Delay) -> Self {
        Conditions { delay, ..Self::default() }
    }

    /// This share of datagrams is lost.
    pub fn lossy(loss: f64) -> Self {
        Conditions { loss, ..Self::default() }
    }
}
