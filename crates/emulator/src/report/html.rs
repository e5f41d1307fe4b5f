//! Writes a report as an HTML page with charts.

use super::text::{seconds, text};
use super::{Latency, Point, Report};
use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;

/// Draws curves into one chart, as SVG; empty if it cannot be drawn.
fn chart(title: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> String {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|(_, c)| c.iter());
    let x_max = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::with_string(&mut svg, (860, 220)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
        for (i, (name, curve)) in curves.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(curve.iter().copied(), color.stroke_width(2));
            chart
                .draw_series(line)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
        Ok(())
    }();
    if drawn.is_err() { String::new() } else { svg }
}

/// Writes a report as a self-contained HTML page.
pub fn page(report: &Report) -> String {
    let curve = |value: fn(&Point) -> f64| report.curve.iter().map(|p| (p.t, value(p))).collect::<Vec<_>>();
    let machines = chart(
        "machines and tasks",
        &[
            ("machines up", curve(|p| f64::from(p.machines_up))),
            ("booting", curve(|p| f64::from(p.machines_booting))),
            ("tasks running", curve(|p| f64::from(p.tasks_running))),
        ],
    );
    let store = chart(
        "state service, per second",
        &[("changes", curve(|p| p.changes_per_s)), ("requests", curve(|p| p.requests_per_s))],
    );
    let cells = |latency: &Latency| {
        html! { @for ms in [latency.p50_ms, latency.p90_ms, latency.p99_ms, latency.max_ms] { td { (seconds(ms)) } } }
    };
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Emulator run of " (report.scenario) }
                style { "body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}th:first-child,td:first-child{text-align:left}pre{white-space:pre-wrap}" }
            }
            body {
                h1 { "Emulator run of " (report.scenario) ", seed " (report.seed) }
                p { "The machines, the cloud and the state service are emulated on one host; the controllers are real processes." }
                pre { (text(report)) }
                (PreEscaped(machines))
                (PreEscaped(store))
                h2 { "Latencies in seconds" }
                table {
                    tr { th { "class" } th { "" } th { "p50" } th { "p90" } th { "p99" } th { "max" } }
                    @for (name, class) in &report.classes {
                        tr { td { (name) } td { "accepted" } (cells(&class.accept)) }
                        tr { td { } td { "tasks started" } (cells(&class.start)) }
                        tr { td { } td { "done" } (cells(&class.done)) }
                    }
                }
                h2 { "Faults" }
                table { @for (t, name, on) in &report.faults {
                    tr { td { (name) } td { (format!("{t:.1} s")) } td { @if *on { "begins" } @else { "ends" } } }
                } }
            }
        }
    };
    page.into_string()
}
