//! Windows of quotas that were passed in a run, as the decision module cuts them.

use limeway_checker::quota::{fullest, Passed, Windows};
use limeway_checker::run::Run;
use std::fmt::Write;

/// The fullest window of each customer, those passed by most first.
pub fn passed(run: &Run) -> Vec<Passed> {
    let largest = run.tries.iter().map(|t| t.units).fold(1.0, f64::max);
    let windows = |customer: u64, plan: usize| {
        let figures = &run.opening.plans[plan];
        let plain = limeway_quota_policy::Plan {
            rate: figures.rate,
            burst: figures.burst,
            open: 0.0,
            price: figures.pays,
            ceiling_rate: figures.ceiling_rate,
            ceiling_burst: figures.ceiling_burst,
            ceiling_slack: figures.ceiling_slack,
        };
        let w = limeway_quota_policy::Windows::of(&plain, largest, &format!("{customer:016x}"), plan);
        Windows { length: w.length, phase: w.phase, budget: w.reach }
    };
    let limited = |p: &Passed| run.opening.plans[p.plan].rate > 0.0;
    fullest(run, windows).into_iter().filter(limited).collect()
}

/// What is said of them, one line a plan that has customers.
pub fn tell(run: &Run) -> String {
    let (all, mut text) = (passed(run), String::new());
    for (number, plan) in run.opening.plans.iter().enumerate() {
        let of: Vec<&Passed> = all.iter().filter(|p| p.plan == number).collect();
        let Some(worst) = of.first() else { continue };
        let beyond = of.iter().filter(|p| p.over() > 0.0).count();
        let most = of.iter().map(|p| p.part()).fold(0.0, f64::max);
        let _ = writeln!(
            text,
            "quotas of {}: {beyond} of {} customers passed a window; fullest {:.1} of {:.1} units at {:.3} s, {} doors; \
             beyond one largest request a door at most {:.1}%",
            plan.name,
            of.len(),
            worst.sent,
            worst.budget,
            worst.at as f64 / 1e6,
            worst.doors,
            100.0 * most
        );
    }
    text
}
