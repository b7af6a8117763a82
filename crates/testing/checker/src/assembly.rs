//! Joins the records of a ledger, which come in any order, into a run.

use crate::ledger::*;
use crate::run::{Attempt, NodeLife, Run, Try, Used};
use std::collections::HashMap;

/// An answer to a try.
struct Answer {
    t: Micros,
    id: u64,
    status: u16,
    sound: bool,
}

/// A client that stopped waiting.
struct Departure {
    t: Micros,
    id: u64,
    why: Left,
}

/// The end of a node's process.
struct NodeEnd {
    t: Micros,
    node: u32,
    fell: bool,
}

/// A run, and the records that are still to be joined to others.
pub(crate) struct RunAssembly {
    run: Run,
    /// With their numbers.
    attempts: Vec<(u64, Attempt)>,
    /// Ends of attempts, by number.
    attempt_ends: HashMap<u64, (Micros, Fate)>,
    answers: Vec<Answer>,
    departures: Vec<Departure>,
    node_ends: Vec<NodeEnd>,
    changes: Vec<(u32, Micros, Change)>,
    usages: Vec<(u32, Micros, Used)>,
}

impl RunAssembly {
    /// The assembly of a run that has no records yet.
    pub(crate) fn new(run: Run) -> Self {
        RunAssembly {
            run,
            attempts: Vec::new(),
            attempt_ends: HashMap::new(),
            answers: Vec::new(),
            departures: Vec::new(),
            node_ends: Vec::new(),
            changes: Vec::new(),
            usages: Vec::new(),
        }
    }

    /// Adds a record.
    pub(crate) fn add(&mut self, record: Record) {
        self.run.end = self.run.end.max(record.t());
        match record {
            Record::Arrive { .. } => self.add_arrival(record),
            Record::Answer { t, id, status, sound } => self.answers.push(Answer { t, id, status, sound }),
            Record::Left { t, id, why } => self.departures.push(Departure { t, id, why }),
            Record::Attempt { t, begun, n, id, node, limiter, work_us, sound, cross } => {
                let attempt = Attempt { t, begun, id, node, limiter, work_us, sound, cross, end: None };
                self.attempts.push((n, attempt));
            }
            Record::AttemptEnd { t, n, fate } => {
                self.attempt_ends.insert(n, (t, fate));
            }
            Record::NodeStart { .. } => self.add_node(record),
            Record::NodeEnd { t, node, fell } => self.node_ends.push(NodeEnd { t, node, fell }),
            Record::Limiter { t, limiter, change } => self.changes.push((limiter, t, change)),
            Record::Usage { t, limiter, cpu_us, system_us, rss_kb, fds } => {
                self.usages.push((limiter, t, Used { cpu_us, system_us, rss_kb, fds }));
            }
            of_the_run => self.add_to_run(of_the_run),
        }
    }

    fn add_arrival(&mut self, record: Record) {
        let Record::Arrive {
            t, id, first, class, plan, customer, units, limiter, patience_us, work_us, ..
        } = record
        else {
            return;
        };
        self.run.tries.push(Try {
            t,
            id,
            first,
            class,
            plan,
            customer,
            units,
            limiter,
            patience_us,
            work_us,
            answers: Vec::new(),
            left: None,
            attempts: Vec::new(),
        });
    }

    fn add_node(&mut self, record: Record) {
        let Record::NodeStart { t, node, room, capacity, cold_from, cold_us } = record else { return };
        let (start, end, fell) = (t, Micros::MAX, false);
        self.run.nodes.push(NodeLife { node, room, start, end, capacity, cold_from, cold_us, fell });
    }

    /// Adds what is joined to nothing else.
    fn add_to_run(&mut self, record: Record) {
        let run = &mut self.run;
        match record {
            Record::Count { t, fate, .. } => run.counts.push((t, fate == Counted::Added)),
            Record::Message { bytes, .. } => {
                run.messages += 1;
                run.message_bytes += bytes as u64;
            }
            Record::Told { t, limiter, node, health, started } => {
                run.told.entry((limiter, node)).or_default().push((t, health, started));
            }
            Record::Said { t, limiter, what } => run.said.push((t, limiter, what)),
            Record::Trouble { t, name, on } => run.troubles.push((t, name, on)),
            Record::Closing(closing) => run.closing = Some(closing),
            _ => {}
        }
    }

    /// The run, in the order of its times.
    pub(crate) fn finish(mut self) -> Run {
        self.run.tries.sort_by_key(|one| (one.t, one.id));
        let tries = self.run.tries.iter().enumerate();
        let places: HashMap<u64, usize> = tries.map(|(place, one)| (one.id, place)).collect();
        self.join_attempts(&places);
        self.join_answers(&places);
        self.join_departures(&places);
        self.join_node_ends();
        let mut run = self.run;
        run.told.values_mut().for_each(|told| told.sort_by_key(|one| one.0));
        run.troubles.sort_by_key(|trouble| trouble.0);
        run.said.sort_by_key(|said| said.0);
        run.gather_lives(self.changes, self.usages);
        run.tell_later();
        run
    }

    fn join_attempts(&mut self, places: &HashMap<u64, usize>) {
        self.attempts.sort_by_key(|(number, attempt)| (attempt.t, *number));
        for (at, (number, mut attempt)) in std::mem::take(&mut self.attempts).into_iter().enumerate() {
            attempt.end = self.attempt_ends.get(&number).copied();
            match places.get(&attempt.id) {
                Some(place) => self.run.tries[*place].attempts.push(at),
                None => self.run.strange.push(at),
            }
            self.run.attempts.push(attempt);
        }
    }

    fn join_answers(&mut self, places: &HashMap<u64, usize>) {
        self.answers.sort_by_key(|answer| answer.t);
        for Answer { t, id, status, sound } in &self.answers {
            if let Some(place) = places.get(id) {
                self.run.tries[*place].answers.push((*t, *status, *sound));
            }
        }
    }

    fn join_departures(&mut self, places: &HashMap<u64, usize>) {
        for Departure { t, id, why } in std::mem::take(&mut self.departures) {
            if let Some(place) = places.get(&id) {
                self.run.tries[*place].left = Some((t, why));
            }
        }
    }

    fn join_node_ends(&mut self) {
        self.node_ends.sort_unstable_by_key(|end| (end.t, end.node, end.fell));
        for NodeEnd { t, node, fell } in &self.node_ends {
            let is_running =
                |life: &&mut NodeLife| life.node == *node && life.start <= *t && life.end == Micros::MAX;
            let running = self.run.nodes.iter_mut().filter(is_running);
            if let Some(life) = running.max_by_key(|life| life.start) {
                (life.end, life.fell) = (*t, *fell);
            }
        }
    }
}
