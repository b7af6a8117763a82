//! A verdict as one HTML page that needs nothing else: the tables, and charts as SVG with the troubles marked.

use limeway_checker::ledger::Micros;
use limeway_checker::run::Run;
use limeway_checker::series::{seconds, spans, Second};
use limeway_checker::Verdict;
use plotters::prelude::*;
use std::fmt::Write;

/// Size of a chart.
const SIZE: (u32, u32) = (980, 280);
/// Nodes drawn one by one; beyond it a chart could not be read.
const MAX_NODES: usize = 40;

/// How the page begins.
const HEAD: &str =
    "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rehearsal</title><style>\
     body{font:15px/1.5 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}\
     pre{background:#f5f5f2;padding:1em;overflow-x:auto}.fail{color:#b00020}.pass{color:#1b6e3c}svg{max-width:100%}</style>";

/// A line of a chart: its name and a value for each second.
type Line = (String, Vec<f64>);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page.
pub fn page(run: &Run, verdict: &Verdict, text: &str) -> String {
    let troubles = spans(run);
    let mut page = String::from(HEAD);
    write_summary(&mut page, verdict, text);
    write_timeline(&mut page, &troubles);
    for (title, lines) in charts(run) {
        let _ = write!(page, "<h2>{}</h2>", escape(title));
        match chart(&lines, &troubles) {
            Ok(svg) => page.push_str(&svg),
            Err(e) => {
                let _ = write!(page, "<p>no chart: {}</p>", escape(&e));
            }
        }
    }
    page.push_str("</html>\n");
    page
}

/// The charts' titles and lines.
fn charts(run: &Run) -> Vec<(&str, Vec<Line>)> {
    let all = seconds(run);
    let line =
        |name: &str, of: &dyn Fn(&Second) -> f64| -> Line { (name.into(), all.iter().map(of).collect()) };
    let mut charts = vec![(
        "All requests, a second",
        vec![
            line("offered", &|s| f64::from(s.offered)),
            line("served", &|s| f64::from(s.served)),
            line("refused", &|s| f64::from(s.refused)),
            line("failed", &|s| f64::from(s.failed)),
        ],
    )];
    for (number, plan) in run.opening.plans.iter().enumerate() {
        let offered = line("offered", &|s| f64::from(s.plan_offered[number]));
        let served = line("served", &|s| f64::from(s.plan_served[number]));
        charts.push((plan.name.as_str(), vec![offered, served]));
    }
    let mut numbers: Vec<u32> = run.nodes.iter().map(|n| n.node).collect();
    numbers.sort_unstable();
    numbers.dedup();
    let nodes = numbers.iter().take(MAX_NODES);
    let nodes =
        nodes.map(|n| line(&format!("node {n}"), &|s| f64::from(s.nodes.get(n).copied().unwrap_or(0))));
    charts.push(("Attempts at each node, a second", nodes.collect()));
    charts.push((
        "Calls to the counter, a second",
        vec![line("added", &|s| f64::from(s.counts.0)), line("not added", &|s| f64::from(s.counts.1))],
    ));
    charts
}

/// The verdict, and the report as text.
fn write_summary(page: &mut String, verdict: &Verdict, text: &str) {
    let passes = verdict.passes();
    let word = match (&verdict.void, passes) {
        (Some(_), _) => "void",
        (None, true) => "all five rules pass",
        (None, false) => "a rule is broken",
    };
    let class = if passes { "pass" } else { "fail" };
    let name = escape(&verdict.scenario);
    let _ = write!(
        page,
        "<h1>{name}: <span class=\"{class}\">{word}</span>, service {:.3}</h1><pre>{}</pre>",
        verdict.service.figure,
        escape(text)
    );
}

fn write_timeline(page: &mut String, troubles: &[(Micros, Micros, String)]) {
    if troubles.is_empty() {
        return;
    }
    page.push_str("<h2>Timeline</h2><ul>");
    for (from, to, what) in troubles {
        let (from, to) = (*from as f64 / 1e6, *to as f64 / 1e6);
        let _ = write!(page, "<li>{from:.1} to {to:.1} s: {}</li>", escape(what));
    }
    page.push_str("</ul>");
}

/// A chart of lines over seconds, with the spans of troubles shaded.
fn chart(lines: &[Line], troubles: &[(Micros, Micros, String)]) -> Result<String, String> {
    let mut svg = String::new();
    let length = lines.iter().map(|l| l.1.len()).max().unwrap_or(0).max(1) as f64;
    let most = lines.iter().flat_map(|l| &l.1).fold(1.0, |a: f64, b| a.max(*b)) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let told = |e: &dyn std::fmt::Display| e.to_string();
        area.fill(&WHITE).map_err(|e| told(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..length, 0.0..most)
            .map_err(|e| told(&e))?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw().map_err(|e| told(&e))?;
        for (from, to, _) in troubles {
            let corners = [(*from as f64 / 1e6, 0.0), ((*to as f64 / 1e6).min(length), most)];
            let shade = Rectangle::new(corners, RGBColor(200, 120, 40).mix(0.12).filled());
            chart.draw_series([shade]).map_err(|e| told(&e))?;
        }
        for (number, (name, values)) in lines.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let points = (0..).zip(values).map(|(second, value)| (f64::from(second) + 0.5, *value));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(|e| told(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        if lines.len() <= 12 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE.mix(0.8))
                .draw()
                .map_err(|e| told(&e))?;
        }
        area.present().map_err(|e| told(&e))?;
    }
    Ok(svg)
}
