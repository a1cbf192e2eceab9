//! Renders the results of a simulation as a self-contained HTML page with plots and a
//! comparison with the baselines.

use super::command::AssignerRuns;
use super::measurements::Measurements;
use super::plots::{Line, Plot};
use super::timeline::Sample;
use crate::scenario::Scenario;
use ledgelead_types::TierId;
use ledgelead_types::assigner::AssignerChoice;
use plotters::chart::SeriesLabelPosition;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const STYLE: &str = "\
body{font:15px/1.45 sans-serif;color:#222;max-width:980px;margin:24px auto;padding:0 12px}\
table{border-collapse:collapse;margin:12px 0}\
th,td{padding:4px 10px;border-bottom:1px solid #ddd;text-align:right}\
th:first-child,td:first-child{text-align:left}\
tr.planner{font-weight:600;background:#eef5fb}\
code{background:#f3f3f3;padding:2px 4px}\
svg{display:block;max-width:100%;height:auto;margin:14px 0}\
.marks{columns:4;font-size:12px;padding-left:24px}\
.note,.empty{color:#555}";

/// Writes the page into a directory, which is created if it does not exist, and returns its
/// path.
///
/// # Errors
/// Returns an error if the directory or the file can't be written.
pub fn write(
    directory: &Path,
    scenario: &Scenario,
    command: &str,
    runs: &[AssignerRuns],
) -> std::io::Result<PathBuf> {
    std::fs::create_dir_all(directory)?;
    let file = directory.join(format!("{}.html", scenario.run.name));
    std::fs::write(&file, render(scenario, command, runs))?;
    Ok(file)
}

/// Renders the page. The first run must be that of the planner.
fn render(scenario: &Scenario, command: &str, runs: &[AssignerRuns]) -> String {
    let Some(planner) = runs.first() else {
        return String::new();
    };
    let name = escape(&scenario.run.name);
    let mut html = String::from("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    // Writing to a string can't fail.
    let _ = write!(
        html,
        "<title>Simulation {name}</title><style>{STYLE}</style><h1>Simulation {name}</h1>\
         <p>Seeds {}, {} s of virtual time, {} violations. Reproduce with \
         <code>{}</code>.</p>",
        planner.report.seeds,
        planner.report.virtual_seconds,
        planner.report.violations_total(),
        escape(command),
    );
    html.push_str("<h2>Comparison with the baselines</h2>");
    html.push_str(&comparison(scenario, runs));
    html.push_str(
        "<p class=\"note\">All with the same seeds, arrivals and faults. Imbalance: the busiest \
         server's load over the mean, but not below that of the hottest key. Churn: share of \
         the position space that changed owner while its owner was alive.</p>",
    );
    let first_seed = planner.report.seeds.split("..").next().unwrap_or_default();
    let _ = write!(html, "<h2>Over time, seed {first_seed}</h2>");
    let marks = fault_times(&planner.measurements);
    balance_plots(&mut html, scenario, runs, &marks);
    load_plots(&mut html, scenario, &planner.measurements, &marks);
    html.push_str(&fault_list(&planner.measurements));
    html.push_str("<h2>Unavailable time, all seeds</h2>");
    html.push_str(&unavailable(&planner.measurements));
    html
}

fn comparison(scenario: &Scenario, runs: &[AssignerRuns]) -> String {
    let mut table = String::from("<table><tr><th>assigner</th>");
    let services: Vec<&String> = runs[0].report.services.keys().collect();
    for service in &services {
        let service = escape(service);
        let _ = write!(
            table,
            "<th>{service}: imbalance</th><th>{service}: churn, %/h</th>"
        );
    }
    for tier in &scenario.tiers {
        let _ = write!(table, "<th>{} p99, ms</th>", escape(&tier.name));
    }
    table.push_str("<th>answered, %</th><th>unavailable p99, ms</th></tr>");
    for run in runs {
        table.push_str(&comparison_row(scenario, run, &services));
    }
    table + "</table>"
}

fn comparison_row(scenario: &Scenario, run: &AssignerRuns, services: &[&String]) -> String {
    let report = &run.report;
    let class = if run.assigner == AssignerChoice::Planner {
        " class=\"planner\""
    } else {
        ""
    };
    let mut row = format!("<tr{class}><td>{}</td>", run.assigner.name());
    for service in services {
        let balance = report.services.get(*service);
        let imbalance = balance.and_then(|balance| balance.imbalance);
        let churn = balance.map(|balance| balance.churn_percent_per_hour);
        let _ = write!(
            row,
            "<td>{}</td><td>{}</td>",
            figure(imbalance, 3),
            figure(churn, 1)
        );
    }
    for tier in &scenario.tiers {
        let latency = report.latency_ms.get(&tier.name).map(|latency| latency.p99);
        let _ = write!(row, "<td>{}</td>", figure(latency, 0));
    }
    let answered = 100.0 * report.answered as f64 / report.requests.max(1) as f64;
    let lost = (report.unavailable_count > 0).then_some(report.unavailable_ms_p99);
    let _ = write!(
        row,
        "<td>{answered:.2}</td><td>{}</td></tr>",
        figure(lost, 0)
    );
    row
}

fn figure(value: Option<f64>, decimals: usize) -> String {
    value.map_or_else(|| "–".to_owned(), |value| format!("{value:.decimals$}"))
}

fn balance_plots(html: &mut String, scenario: &Scenario, runs: &[AssignerRuns], marks: &[f64]) {
    for (index, service) in scenario.services.iter().enumerate() {
        if !runs[0].report.services.contains_key(&service.name) {
            continue;
        }
        let lines = |points: &dyn Fn(&Measurements) -> Vec<Sample>| {
            let line = |run: &AssignerRuns| Line {
                name: run.assigner.name().to_owned(),
                points: points(&run.measurements),
            };
            runs.iter().map(line).collect::<Vec<_>>()
        };
        let imbalance = Plot {
            title: &format!("{}: imbalance", service.name),
            x_label: "seconds",
            y_label: "busiest / mean",
            y_from: 1.0,
            lines: lines(&|measured| settled(scenario, &measured.balance[index].imbalance)),
            legend: SeriesLabelPosition::UpperRight,
            marks,
        };
        let churn = Plot {
            title: &format!("{}: churn since the start", service.name),
            x_label: "seconds",
            y_label: "% of the space",
            y_from: 0.0,
            lines: lines(&|measured| measured.balance[index].churn.clone()),
            legend: SeriesLabelPosition::UpperLeft,
            marks,
        };
        html.push_str(&imbalance.render());
        html.push_str(&churn.render());
    }
}

/// Samples from the start of the balance measurement. Earlier ones can be far off because an
/// assigner has no load data yet, which would flatten the rest of the plot.
fn settled(scenario: &Scenario, samples: &[Sample]) -> Vec<Sample> {
    let run = &scenario.run;
    let from = (run.warm_up_seconds + run.settle_seconds) as f64;
    let samples = samples.iter().copied();
    samples.filter(|(second, _)| *second >= from).collect()
}

fn load_plots(html: &mut String, scenario: &Scenario, measured: &Measurements, marks: &[f64]) {
    for (quantile, title) in [(0.5, "latency, median"), (0.99, "latency, 99th percentile")] {
        let line = |(index, tier): (usize, &crate::scenario::TierSection)| Line {
            name: tier.name.clone(),
            points: measured.timeline.latency(TierId(index as u8), quantile),
        };
        let latency = Plot {
            title,
            x_label: "seconds",
            y_label: "ms, over 5 s",
            y_from: 0.0,
            lines: scenario.tiers.iter().enumerate().map(line).collect(),
            legend: SeriesLabelPosition::UpperRight,
            marks,
        };
        html.push_str(&latency.render());
    }
    let nodes = scenario.zones.len() * scenario.nodes.per_zone as usize;
    let control = Plot {
        title: "control traffic, mean of the nodes",
        x_label: "seconds",
        y_label: "bytes/s",
        y_from: 0.0,
        lines: vec![Line {
            name: String::new(),
            points: measured.timeline.control_bytes(nodes),
        }],
        legend: SeriesLabelPosition::UpperRight,
        marks,
    };
    html.push_str(&control.render());
}

fn fault_times(measured: &Measurements) -> Vec<f64> {
    let marks = measured.fault_marks.iter();
    marks.map(|(at, _)| at.as_seconds()).collect()
}

fn fault_list(measured: &Measurements) -> String {
    if measured.fault_marks.is_empty() {
        return "<p class=\"note\">No faults in this run.</p>".to_owned();
    }
    let mut list = String::from(
        "<p>The numbered grey lines are the faults of this run:</p><ol class=\"marks\">",
    );
    for (at, kind) in &measured.fault_marks {
        let _ = write!(list, "<li>{:.1} s {kind:?}</li>", at.as_seconds());
    }
    list + "</ol>"
}

/// Plots the share of losses that lasted no longer than a given time.
fn unavailable(measured: &Measurements) -> String {
    let losses = &measured.unavailable;
    let mut points = vec![(0.0, 0.0)];
    for step in losses.iter_recorded() {
        let millis = step.value_iterated_to() as f64 / 1_000.0;
        let percent = step.percentile();
        points.extend(points.last().map(|(_, before)| (millis, *before)));
        points.push((millis, percent));
    }
    if losses.is_empty() {
        points.clear();
    }
    let plot = Plot {
        title: &format!(
            "{} slice losses, share answered again within a time",
            losses.len()
        ),
        x_label: "ms after the loss",
        y_label: "% of losses",
        y_from: 0.0,
        lines: vec![Line {
            name: String::new(),
            points,
        }],
        legend: SeriesLabelPosition::UpperLeft,
        marks: &[],
    };
    plot.render()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
