//! `limeway-rehearsal`: rehearsals on one machine. Exit code 0 if all five rules pass, 1 if one is broken, 2 if the scenario
//! or the set-up cannot run, 3 if the run is void.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use limeway_checker::ledger::{Change, Record};
use limeway_checker::run::Run;
use limeway_checker::{judge_run, Verdict};
use limeway_gateway_simulation::{Guards, Kind};
use limeway_rehearsal::fleet::MAX_READY;
use limeway_rehearsal::rehearsal::{interrupted, rehearse, Plan, Played, Progress};
use limeway_rehearsal::{daemon, drill, html, measure, nemesis, quotas, report, KitError};
use limeway_scenario::nemesis::{Schedule, CASES};
use limeway_scenario::{builtin, builtins, draw, Day, Scenario};
use std::fs;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit codes, beside 0.
const BROKEN: u8 = 1;
const CANNOT: u8 = 2;
const VOID: u8 = 3;
/// Without a terminal, progress is told so often, in seconds.
const PROGRESS_INTERVAL_SECONDS: f64 = 5.0;
/// Quotas beyond this share of the fleet are noted.
const QUOTAS_NOTED: f64 = 1.0;

#[derive(Parser)]
#[command(name = "limeway-rehearsal", version, about = "Rehearses bad days with the limiter that ships")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario and judge it.
    Rehearse(Rehearse),
    /// List the built-in scenarios, or print one as a file to start from.
    Scenarios {
        /// Print the text of this one.
        name: Option<String>,
    },
    /// Measure the kit's lateness and a limiter's cost against the rate of requests.
    Measure {
        /// First tries a second, one run each.
        #[arg(long, value_delimiter = ',', default_value = "120,1000,2000,4000")]
        rates: Vec<f64>,
        /// Length of each run in seconds.
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        /// Number of limiters.
        #[arg(long, default_value_t = 1)]
        limiters: u32,
        /// Seed of the days.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The limiter's program.
        #[arg(long)]
        limiter: Option<PathBuf>,
        /// Write the points as JSON here.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Play days in virtual time: gateways, counters that fail, a lossy network.
    Drill {
        /// Kind of day, or all of them.
        #[arg(long)]
        kind: Option<String>,
        /// How many days of each kind.
        #[arg(long, default_value_t = 100)]
        days: u64,
        /// The first seed; with `--days 1` and a kind, that day is told in full.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Without the guards against a counter that loses its numbers, for comparison.
        #[arg(long)]
        unguarded: bool,
        /// With the guards that the daemon runs with; without this, with all that there are.
        #[arg(long, conflicts_with = "unguarded")]
        shipped: bool,
        /// With units leased ahead of need, as `counter.lease-ahead` switches it on
        #[arg(long)]
        ahead: bool,
        /// Without this guard; may be given several times.
        #[arg(long, conflicts_with = "unguarded", value_parser = clap::builder::PossibleValuesParser::new(Guards::NAMES))]
        without: Vec<String>,
    },
    /// Play faults between several limiters, drawn by a seed or written in a file.
    Fleet(FleetOptions),
    /// Judge a ledger that was written before, by this kit or by others.
    Judge {
        /// The ledger.
        ledger: PathBuf,
        /// Write the page with charts here.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Write the verdict as JSON here.
        #[arg(long)]
        json: Option<PathBuf>,
    },
}

#[derive(Args)]
struct Rehearse {
    /// A built-in scenario, or a file.
    #[arg(default_value = "worst-quarter")]
    scenario: String,
    /// Seed of the day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of the offered load in seconds; the timeline shrinks or grows with it.
    #[arg(long)]
    seconds: Option<f64>,
    /// Number of limiters.
    #[arg(long)]
    limiters: Option<u32>,
    /// Number of nodes.
    #[arg(long)]
    nodes: Option<u32>,
    /// The limiter's program; built from this checkout where the kit runs through cargo.
    #[arg(long)]
    limiter: Option<PathBuf>,
    /// Play the same day with this program too, and show the difference.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Write the verdict as JSON here.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the page with charts here.
    #[arg(long)]
    html: Option<PathBuf>,
    /// Write the ledger as NDJSON here.
    #[arg(long)]
    ledger: Option<PathBuf>,
    /// Give all limiters this operators' file.
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Keep the limiters' configurations and logs in this folder.
    #[arg(long)]
    keep_logs: Option<PathBuf>,
}

#[derive(Args)]
struct FleetOptions {
    /// Number of limiters.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(2..=40))]
    limiters: u32,
    /// Seed of the schedule, the customers and the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play so many seeds, and print a table.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Length of the offered load in seconds.
    #[arg(long, default_value_t = 20.0, value_parser = seconds_of_load)]
    seconds: f64,
    /// Cases that a schedule holds.
    #[arg(long, default_value_t = 3)]
    cases: usize,
    /// Draw cases of this kind only; `each` plays all kinds, one after the other.
    #[arg(long, value_parser = clap::builder::PossibleValuesParser::new(CASES.into_iter().chain(["each"])))]
    only: Option<String>,
    /// Play the schedule of this file in place of a drawn one.
    #[arg(long, conflicts_with_all = ["runs", "cases", "only"])]
    schedule: Option<PathBuf>,
    /// Write the schedule here, to be changed and played again.
    #[arg(long, conflicts_with = "runs")]
    write: Option<PathBuf>,
    /// Cut a schedule that fails down to what makes it fail.
    #[arg(long, conflicts_with = "runs")]
    shrink: bool,
    /// The limiter's program; built from this checkout where the kit runs through cargo.
    #[arg(long)]
    limiter: Option<PathBuf>,
    /// Give all limiters this operators' file.
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Keep the limiters' configurations and logs in this folder.
    #[arg(long)]
    keep_logs: Option<PathBuf>,
    /// Write the ledger as NDJSON here.
    #[arg(long, conflicts_with = "runs")]
    ledger: Option<PathBuf>,
}

/// A schedule needs some seconds before its first fault and after its last.
fn seconds_of_load(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(n) if (12.0..=600.0).contains(&n) => Ok(n),
        _ => Err("must be a number from 12 to 600".into()),
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Fleet(options) => fleet(&options),
        Command::Rehearse(options) => run(&options),
        Command::Scenarios { name } => list(name.as_deref()),
        Command::Measure { rates, seconds, limiters, seed, limiter, json } => {
            let options = (seconds, limiters, seed);
            measure_rates(&rates, options, limiter.as_deref(), json.as_deref())
        }
        Command::Drill { kind, days, seed, unguarded, shipped, ahead, without } => {
            let all = match (unguarded, shipped) {
                (true, _) => Guards::NONE,
                (_, true) => Guards::default(),
                _ => Guards::ALL,
            };
            let guards = without.iter().fold(all, |guards, name| guards.without(name).unwrap_or(guards));
            drill_days(kind.as_deref(), days, seed, guards, ahead)
        }
        Command::Judge { ledger, html, json } => judge(&ledger, html.as_deref(), json.as_deref()),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("limeway-rehearsal: {e}");
            ExitCode::from(CANNOT)
        }
    }
}

fn drill_days(kind: Option<&str>, days: u64, seed: u64, guards: Guards, ahead: bool) -> Result<u8, KitError> {
    let named = |name| Kind::named(name).ok_or_else(|| KitError::Setup(format!("no kind is named '{name}'")));
    let kind = kind.map(named).transpose()?;
    if let (Some(kind), 1) = (kind, days) {
        let (text, failed) = drill::one(kind, seed, guards, ahead);
        print!("{text}");
        return Ok(if failed { BROKEN } else { 0 });
    }
    let mut rows = Vec::new();
    let mut code = 0;
    for kind in kind.map_or(Kind::ALL.to_vec(), |kind| vec![kind]) {
        let (figures, first) = drill::many(kind, seed..seed.saturating_add(days), guards, ahead);
        if let Some((seed, finding)) = first {
            eprintln!("{} --seed {seed} --days 1: {}", kind.name(), finding.what);
            code = BROKEN;
        }
        rows.push((kind, figures));
    }
    println!("{}", drill::table(&rows));
    Ok(code)
}

/// Plays schedules of faults between limiters.
fn fleet(options: &FleetOptions) -> Result<u8, KitError> {
    let runtime = runtime()?;
    let each = options.only.as_deref() == Some("each");
    let mut play = nemesis::Options {
        program: daemon::find(options.limiter.as_deref())?,
        limiters: options.limiters,
        seconds: options.seconds,
        cases: options.cases,
        only: options.only.clone().filter(|_| !each),
        operator: options.operator.clone(),
        logs: options.keep_logs.clone(),
        ready_timeout: MAX_READY,
    };
    if options.runs == 1 && !each {
        return one_schedule(&runtime, options, &play);
    }
    let (mut rows, mut code) = (Vec::new(), 0);
    let kinds: Vec<Option<&str>> =
        if each { CASES.into_iter().map(Some).collect() } else { vec![options.only.as_deref()] };
    for kind in kinds {
        play.only = kind.map(str::to_owned);
        let mut outcomes = Vec::new();
        for seed in (options.seed..).take(options.runs as usize) {
            let schedule = nemesis::drawn(&play, seed);
            let (outcome, played) = runtime.block_on(nemesis::play(&play, &schedule, seed, interrupted()))?;
            // Ctrl-C: the rest is not wanted either. A limiter that ended by itself is told as what it is.
            let ended = played
                .records
                .iter()
                .any(|r| matches!(r, Record::Limiter { change: Change::Crashed { .. }, .. }));
            if outcome.run.closing.as_ref().is_some_and(|c| !c.complete) && !ended {
                return Ok(VOID);
            }
            for failure in outcome.failures() {
                eprintln!("{} --seed {seed}: {failure}", kind.unwrap_or("all"));
                code = BROKEN;
            }
            outcomes.push(outcome);
        }
        rows.push((kind.unwrap_or("all").to_owned(), outcomes));
    }
    println!("{}", nemesis::table(&rows));
    Ok(code)
}

fn one_schedule(
    runtime: &tokio::runtime::Runtime,
    options: &FleetOptions,
    play: &nemesis::Options,
) -> Result<u8, KitError> {
    let schedule = match &options.schedule {
        Some(path) => {
            let text = fs::read_to_string(path).map_err(|e| KitError::File(path.display().to_string(), e))?;
            Schedule::parse(&text)?
        }
        None => nemesis::drawn(play, options.seed),
    };
    let text = |schedule: &Schedule| schedule.toml().map_err(|e| KitError::Setup(e.to_string()));
    if let Some(path) = &options.write {
        write(path, &text(&schedule)?)?;
    }
    let (outcome, played) = runtime.block_on(nemesis::play(play, &schedule, options.seed, interrupted()))?;
    if let Some(path) = &options.ledger {
        keep(path, &played)?;
    }
    print!("{}", nemesis::tell(&outcome));
    if outcome.verdict.void.is_some() {
        return Ok(VOID);
    }
    if outcome.failures().is_empty() {
        return Ok(0);
    }
    if options.shrink {
        let small = nemesis::shorten(runtime, play, &schedule, options.seed);
        println!("still fails with:\n\n{}", text(&small)?);
    }
    Ok(BROKEN)
}

fn measure_rates(
    rates: &[f64],
    (seconds, limiters, seed): (f64, u32, u64),
    limiter: Option<&Path>,
    json: Option<&Path>,
) -> Result<u8, KitError> {
    let program = daemon::find(limiter)?;
    let runtime = runtime()?;
    let mut points = Vec::new();
    for rate in rates {
        eprintln!("{rate} a second, {seconds} s");
        points.push(runtime.block_on(measure::point(&program, *rate, seconds, limiters, seed))?);
    }
    println!("{}", measure::table(&points));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&points).map_err(|e| KitError::Setup(e.to_string()))?;
        write(path, &text)?;
    }
    Ok(0)
}

fn runtime() -> Result<tokio::runtime::Runtime, KitError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|e| KitError::Setup(e.to_string()))
}

fn list(name: Option<&str>) -> Result<u8, KitError> {
    let Some(name) = name else {
        for (name, text) in builtins() {
            let scenario = Scenario::parse(text)?;
            println!("{name:16} {:>4} s  {}", scenario.seconds, scenario.about);
        }
        return Ok(0);
    };
    match builtin(name) {
        Some(text) => print!("{text}"),
        None => return Err(KitError::Setup(format!("no scenario is named '{name}'"))),
    }
    Ok(0)
}

fn write(path: &Path, text: &str) -> Result<(), KitError> {
    fs::write(path, text).map_err(|e| KitError::File(path.display().to_string(), e))
}

fn code(verdict: &Verdict) -> u8 {
    match (&verdict.void, verdict.passes()) {
        (Some(_), _) => VOID,
        (None, true) => 0,
        (None, false) => BROKEN,
    }
}

fn judge(ledger: &Path, page: Option<&Path>, json: Option<&Path>) -> Result<u8, KitError> {
    let text = fs::read_to_string(ledger).map_err(|e| KitError::File(ledger.display().to_string(), e))?;
    let run = Run::read(text.lines()).map_err(|e| KitError::Setup(e.to_string()))?;
    let verdict = tell(&run, &[], page, json)?;
    Ok(code(&verdict))
}

/// Judges a run, prints and writes what was asked for.
fn tell(run: &Run, notes: &[String], page: Option<&Path>, json: Option<&Path>) -> Result<Verdict, KitError> {
    let verdict = judge_run(run);
    let text = report::text(&verdict, run.closing.as_ref(), notes);
    print!("{text}{}", quotas::tell(run));
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&verdict).map_err(|e| KitError::Setup(e.to_string()))?;
        write(path, &text)?;
    }
    if let Some(path) = page {
        write(path, &html::page(run, &verdict, &text))?;
    }
    Ok(verdict)
}

/// The day that the options ask for.
fn day(options: &Rehearse) -> Result<Day, KitError> {
    let text = match builtin(&options.scenario) {
        Some(text) => text.to_owned(),
        None => fs::read_to_string(&options.scenario).map_err(|e| {
            let name = format!("{} (no built-in scenario either; see `scenarios`)", options.scenario);
            KitError::File(name, e)
        })?,
    };
    let mut scenario = Scenario::parse(&text)?;
    if let Some(seconds) = options.seconds {
        let times = seconds / scenario.seconds;
        scenario.seconds = seconds;
        for event in &mut scenario.event {
            event.at *= times;
            event.seconds *= times;
        }
    }
    scenario.fleet.limiters = options.limiters.unwrap_or(scenario.fleet.limiters);
    scenario.fleet.nodes = options.nodes.unwrap_or(scenario.fleet.nodes);
    Ok(draw(&scenario, options.seed)?)
}

fn run(options: &Rehearse) -> Result<u8, KitError> {
    let day = day(options)?;
    let program = daemon::find(options.limiter.as_deref())?;
    let against = options.against.as_deref().map(|path| daemon::find(Some(path))).transpose()?;
    let runtime = runtime()?;
    let mut notes = Vec::new();
    if day.quotas > QUOTAS_NOTED {
        let share = day.quotas * 100.0;
        notes.push(format!("all quotas together come to {share:.0}% of what the fleet can do"));
    }
    notes.push(format!("inside the quotas {:.0}% of what the fleet can do is asked for", day.inside * 100.0));
    let play = |program: &Path, logs: Option<PathBuf>| {
        let operator = options.operator.clone();
        let plan = Plan {
            day: day.clone(),
            program: program.to_owned(),
            logs,
            ready_timeout: MAX_READY,
            operator,
            history: false,
        };
        play(&runtime, plan)
    };
    let mine = play(&program, options.keep_logs.clone())?;
    if let Some(path) = &options.ledger {
        keep(path, &mine)?;
    }
    let verdict = tell(&mine.run(), &notes, options.html.as_deref(), options.json.as_deref())?;
    let Some(other) = against else { return Ok(code(&verdict)) };
    let logs = options.keep_logs.as_ref().map(|folder| folder.join("against"));
    let theirs = tell(&play(&other, logs)?.run(), &notes, None, None)?;
    print!("{}", report::compare(["this one", "against"], [&verdict, &theirs]));
    Ok(code(&verdict))
}

fn keep(path: &Path, played: &Played) -> Result<(), KitError> {
    let error = |e| KitError::File(path.display().to_string(), e);
    let mut file = BufWriter::new(fs::File::create(path).map_err(error)?);
    for line in played.ledger() {
        writeln!(file, "{line}").map_err(error)?;
    }
    file.flush().map_err(error)
}

/// Plays a day with progress on standard error.
fn play(runtime: &tokio::runtime::Runtime, plan: Plan) -> Result<Played, KitError> {
    let length = plan.day.scenario.seconds;
    let terminal = std::io::stderr().is_terminal();
    let bar = if terminal { ProgressBar::new(length.ceil() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:24} {pos:>3}/{len} s  {msg}") {
        bar.set_style(style);
    }
    let mut told = f64::NEG_INFINITY;
    let progress = |p: &Progress| {
        let [offered, served, refused, other] = p.counts;
        let on = if p.on.is_empty() { String::new() } else { format!("; {}", p.on.join(", ")) };
        let line = format!("{offered} offered, {served} served, {refused} refused, {other} other{on}");
        bar.set_position(p.seconds.min(length) as u64);
        if !terminal && p.seconds >= told + PROGRESS_INTERVAL_SECONDS {
            told = p.seconds;
            eprintln!("{:5.1} s  {line}", p.seconds);
        }
        bar.set_message(line);
    };
    let played = runtime.block_on(rehearse(plan, interrupted(), progress));
    bar.finish_and_clear();
    let played = played?;
    if let Some(Record::Closing(closing)) = played.records.last() {
        if !closing.complete {
            eprintln!("broken off: the report covers what has happened until then");
        }
    }
    Ok(played)
}
