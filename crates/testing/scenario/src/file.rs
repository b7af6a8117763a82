//! The form of the scenario file (TOML). [`Scenario::parse`] reads and checks it.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A number, or a range from which it is drawn with each run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Span(pub f64, pub f64);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Either;
        impl<'de> Visitor<'de> for Either {
            type Value = Span;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number or [least, most]")
            }

            fn visit_f64<E: de::Error>(self, n: f64) -> Result<Span, E> {
                Ok(Span(n, n))
            }

            fn visit_i64<E: de::Error>(self, n: i64) -> Result<Span, E> {
                Ok(Span(n as f64, n as f64))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
                let missing = || de::Error::custom("a range has two numbers: [least, most]");
                let least: f64 = seq.next_element()?.ok_or_else(missing)?;
                let most: f64 = seq.next_element()?.ok_or_else(missing)?;
                match seq.next_element::<f64>()? {
                    None => Ok(Span(least, most)),
                    Some(_) => Err(missing()),
                }
            }
        }
        from.deserialize_any(Either)
    }
}

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $kind,)*
        }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* }
            }
        }
    };
}

section! {
    /// The limiters and the nodes behind them.
    Fleet {
        /// Limiters.
        limiters: u32 = 3,
        /// Call nodes.
        nodes: u32 = 9,
        /// Rooms over which both are spread in turn.
        rooms: u32 = 3,
        /// Cores of a node.
        cores: u32 = 4,
        /// Seconds of work that a core does in a second.
        speed: Span = Span(0.85, 1.1),
        /// Requests that a node works on at once, for each core.
        slots_per_core: Span = Span(4.0, 12.0),
        /// Requests that wait beside these, for each core; further ones are turned away unseen.
        queue_per_core: Span = Span(8.0, 29.0),
        /// Part of its speed that a node loses with each request held a core beyond `thrash_at`.
        thrash: Span = Span(0.036, 0.25),
        /// See `thrash`.
        thrash_at: Span = Span(3.3, 7.6),
        /// Share of its capacity that a node starts with.
        cold_from: Span = Span(0.17, 0.49),
        /// Time after which it is warm, in seconds.
        cold_seconds: Span = Span(5.1, 14.0),
        /// All nodes are cold when the run begins.
        cold_start: bool = false,
        /// Share of requests that end with an error.
        error_share: Span = Span(0.0, 0.002),
        /// Work of a new connection, in milliseconds.
        handshake_ms: Span = Span(0.59, 1.8),
        /// Connections that a node holds, for each core.
        connections_per_core: Span = Span(460.0, 890.0),
        /// Time after which a node closes an idle connection, in seconds.
        idle_seconds: Span = Span(30.0, 30.0),
        /// Work goes on when its request is given up.
        works_on: bool = false,
    }
}

section! {
    /// How much is asked for.
    Load {
        /// Work asked for inside the quotas, as a share of what the fleet can do.
        inside: Span = Span(0.46, 0.59),
        /// From this share of it at the start, evenly up to the whole at half of the run; 1 for steady.
        ramp_from: Span = Span(1.0, 1.0),
        /// Asked beyond the quotas over asked inside, at most.
        most_excess: f64 = 0.9,
    }
}

section! {
    /// What kinds of customers there are, as shares of them and multiples of their quotas.
    Customers {
        /// What most of them use of their rate.
        calm_use: Span = Span(0.15, 0.49),
        /// Share that uses nearly all.
        full: Span = Span(0.15, 0.24),
        /// Share that asks for far more for long spells.
        heavy: Span = Span(0.072, 0.12),
        /// How many times its rate.
        heavy_times: Span = Span(2.4, 4.2),
        /// Share that asks for far more now and then.
        spiky: Span = Span(0.13, 0.23),
        /// How many times its rate.
        spike_times: Span = Span(2.6, 7.0),
        /// For how long, in seconds.
        spike_seconds: Span = Span(0.69, 3.0),
        /// Time between two spikes, in seconds.
        spike_every_seconds: Span = Span(12.0, 23.0),
        /// Limiters of a customer's set, as a share of all; two at least.
        spread: Span = Span(0.5, 1.0),
        /// How unevenly a customer's requests lie over its set: weights fall as 1 / place to this power.
        skew: Span = Span(0.52, 1.1),
        /// Time after which the busiest limiters of a customer change, in seconds.
        shift_seconds: Span = Span(6.5, 24.0),
        /// Share of retries that come through another limiter.
        elsewhere: Span = Span(0.024, 0.8),
    }
}

section! {
    /// How clients and their front behave.
    Clients {
        /// Retries of a client, at most.
        retries: u32 = 1,
        /// Wait before a retry, in milliseconds.
        backoff_ms: Span = Span(50.0, 400.0),
        /// Share of clients that come back when they are told to.
        honour: Span = Span(0.45, 0.97),
        /// A try is given up after this share of its class's deadline.
        patience: Span = Span(0.5, 1.0),
        /// Share of tries whose client leaves early.
        early: Span = Span(0.0, 0.01),
        /// Longest advice that clients follow, in milliseconds.
        advice_most_ms: f64 = 1_000.0,
        /// Time after which the front notices a dead limiter, in seconds.
        notice_seconds: Span = Span(1.1, 3.8),
    }
}

section! {
    /// The list of nodes.
    Discovery {
        /// How late news comes to a limiter, in seconds.
        late_seconds: Span = Span(0.0, 3.0),
    }
}

section! {
    /// The shared counter.
    Counter {
        /// Calls that all parts together take in a second.
        per_second: Span = Span(750.0, 1_000.0),
        /// Parts, over which names are spread.
        parts: Span = Span(2.0, 3.0),
        /// Time that a call needs beside its turn, in milliseconds.
        call_ms: Span = Span(0.66, 1.8),
        /// Time after which a limiter gives a call up, in milliseconds.
        limit_ms: f64 = 80.0,
        /// Length of a part's line in such times; beyond it calls are turned away.
        line: Span = Span(0.5, 3.0),
    }
}

section! {
    /// Messages between limiters.
    Peers {
        /// How late they come, in milliseconds.
        late_ms: Span = Span(1.0, 13.0),
        /// Share that is lost.
        loss: Span = Span(0.029, 0.071),
        /// Messages that a limiter takes in a second.
        per_second: f64 = 60.0,
    }
}

section! {
    /// Descriptors and memory that limiters are told.
    Limits {
        /// Descriptors of a limiter.
        sockets: u32 = 1_024,
        /// Memory of a limiter, in MiB.
        memory_mb: u32 = 192,
    }
}

section! {
    /// Figures of the rules.
    Rules {
        /// Time for which work may still go to a node that drains or is gone, in seconds.
        drain_grace_seconds: f64 = 1.0,
        /// Multiple of its capacity with which a cold node may be fed.
        fall_multiple: f64 = 4.0,
        /// For how long, in seconds.
        fall_seconds: f64 = 2.0,
        /// Attempts of a try at most.
        max_attempts: u32 = 3,
        /// Time for which nodes drop repeats of a key, in seconds.
        key_seconds: f64 = 8.0,
    }
}

/// Whether a repeat does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// May be repeated.
    Safe,
    /// Carries a key.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Share of first tries.
    pub share: f64,
    /// Mean work, in milliseconds.
    pub work_ms: Span,
    /// How uneven the work is, as standard deviation over mean.
    #[serde(default = "uneven")]
    pub uneven: Span,
    /// An answer within this time earns its worth, in seconds.
    pub aim_seconds: f64,
    /// Its client gives up after this time, in seconds.
    pub deadline_seconds: f64,
    /// Worth of a unit.
    pub worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Units that it counts, from and to.
    pub units: [u32; 2],
    /// Length of its body, in bytes.
    #[serde(default)]
    pub body_bytes: u32,
}

fn uneven() -> Span {
    Span(0.6, 1.2)
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Share of the use inside quotas.
    pub share: f64,
    /// Units a second for each customer.
    pub rate: Span,
    /// How many seconds' worth of it may be used at once.
    pub burst_seconds: Span,
    /// Factor on worth.
    pub pays: f64,
    /// Part of a try's worth that is taken off if it is sent on beyond the quota.
    #[serde(default)]
    pub over_cost: f64,
    /// Hard ceiling as a multiple of rate and burst; nothing for none.
    pub ceiling: Option<Span>,
    /// Slack of the ceiling as a part of its burst; the largest request at least.
    #[serde(default = "slack")]
    pub ceiling_slack: f64,
}

fn slack() -> f64 {
    0.1
}

/// One entry of the timeline.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds, where it lasts.
    #[serde(default)]
    pub seconds: f64,
    /// What happens.
    pub what: String,
    /// Which node, for what happens to nodes.
    pub node: Option<u32>,
    /// Which limiter.
    pub limiter: Option<u32>,
    /// Which room.
    pub room: Option<u32>,
    /// Which plan, by name.
    pub plan: Option<String>,
    /// How many times slower, or more.
    pub times: Option<f64>,
    /// How many customers.
    pub customers: Option<u32>,
    /// Share of all traffic.
    pub share: Option<f64>,
    /// Another limiter.
    pub other: Option<u32>,
    /// Directions, as the limiter sees them: `out`, `in`, or `both` where nothing is said.
    pub way: Option<String>,
    /// The other side of a link: `counter` or `discovery`.
    pub to: Option<String>,
    /// What is wrong with a link, or with a file that is read again.
    pub fault: Option<String>,
    /// How late, in milliseconds.
    pub ms: Option<f64>,
}

/// A checked scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it rehearses, in a line.
    #[serde(default)]
    pub about: String,
    /// Length of the offered load, in seconds.
    pub seconds: f64,
    /// Limiters and nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// How much is asked for.
    #[serde(default)]
    pub load: Load,
    /// Kinds of customers.
    #[serde(default)]
    pub customers: Customers,
    /// Clients and front.
    #[serde(default)]
    pub clients: Clients,
    /// The list of nodes.
    #[serde(default)]
    pub discovery: Discovery,
    /// The counter.
    #[serde(default)]
    pub counter: Counter,
    /// Messages.
    #[serde(default)]
    pub peers: Peers,
    /// What limiters may hold.
    #[serde(default)]
    pub limits: Limits,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Classes; those of the call nodes where none are given.
    #[serde(default = "classes")]
    pub class: Vec<Class>,
    /// Plans; those of the associations where none are given.
    #[serde(default = "plans")]
    pub plan: Vec<Plan>,
    /// The timeline.
    #[serde(default)]
    pub event: Vec<Entry>,
}

fn classes() -> Vec<Class> {
    let class = |name: &str, share, work: Span, aim, deadline, worth, effect, units, body| Class {
        name: name.into(),
        share,
        work_ms: work,
        uneven: uneven(),
        aim_seconds: aim,
        deadline_seconds: deadline,
        worth,
        effect,
        units: [units, units],
        body_bytes: body,
    };
    vec![
        class("consulta", 0.62, Span(110.0, 190.0), 1.0, 4.0, 1.0, Effect::Safe, 1, 0),
        class("marcacao", 0.38, Span(240.0, 410.0), 2.5, 8.0, 3.0, Effect::Keyed, 2, 240),
    ]
}

fn plans() -> Vec<Plan> {
    let plan = |name: &str, share, rate, burst, pays, over_cost, ceiling| Plan {
        name: name.into(),
        share,
        rate,
        burst_seconds: burst,
        pays,
        over_cost,
        ceiling,
        ceiling_slack: slack(),
    };
    vec![
        plan("basico", 0.42, Span(0.96, 1.7), Span(3.4, 5.7), 0.72, 1.0, None),
        plan("associado", 0.22, Span(3.1, 5.4), Span(3.2, 5.6), 1.2, 1.2, None),
        plan("federacao", 0.36, Span(13.0, 22.0), Span(1.0, 3.0), 1.8, 0.6, Some(Span(1.8, 2.6))),
    ]
}

/// Longest run, in seconds: an hour; more is better cut into runs, whose ledgers fit into memory.
pub const MAX_SECONDS: f64 = 3_600.0;
/// Most limiters: datagrams take a socket for each pair.
pub const MAX_LIMITERS: u32 = 40;
/// Most nodes: each takes a listener for each limiter.
pub const MAX_NODES: u32 = 400;
/// Most entries of a timeline.
pub const MAX_EVENTS: usize = 1_000;
