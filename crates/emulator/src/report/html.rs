//! The report as an HTML page with curves.

use super::text::{seconds, text};
use super::{Latency, Point, Report};
use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;

/// One curve as an SVG picture.
fn plot(title: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> String {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|(_, c)| c.iter());
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::with_string(&mut svg, (860, 220)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
        for (i, (name, c)) in curves.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let line = LineSeries::new(c.iter().copied(), color.stroke_width(2));
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

/// The report as a page that needs nothing else.
pub fn page(r: &Report) -> String {
    let curve = |f: fn(&Point) -> f64| r.curve.iter().map(|p| (p.t, f(p))).collect::<Vec<_>>();
    let machines = plot(
        "machines and tasks",
        &[
            ("machines up", curve(|p| f64::from(p.machines_up))),
            ("booting", curve(|p| f64::from(p.machines_booting))),
            ("tasks running", curve(|p| f64::from(p.tasks_running))),
        ],
    );
    let store = plot(
        "state service, a second",
        &[("changes", curve(|p| p.changes_per_s)), ("requests", curve(|p| p.requests_per_s))],
    );
    let row = |l: &Latency| html! { @for x in [l.p50_ms, l.p90_ms, l.p99_ms, l.max_ms] { td { (seconds(x)) } } };
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Emulator run of " (r.scenario) }
                style { "body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .7em;text-align:right}th:first-child,td:first-child{text-align:left}pre{white-space:pre-wrap}" }
            }
            body {
                h1 { "Emulator run of " (r.scenario) ", seed " (r.seed) }
                p { "Simulated machines on one host; the controllers are real processes." }
                pre { (text(r)) }
                (PreEscaped(machines))
                (PreEscaped(store))
                h2 { "Times in seconds: p50, p90, p99, longest" }
                table {
                    tr { th { "class" } th { "" } th { "p50" } th { "p90" } th { "p99" } th { "max" } }
                    @for (name, c) in &r.classes {
                        tr { td { (name) } td { "accepted" } (row(&c.accept)) }
                        tr { td { } td { "tasks started" } (row(&c.start)) }
                        tr { td { } td { "done" } (row(&c.done)) }
                    }
                }
                h2 { "Faults" }
                table { @for (t, name, on) in &r.faults {
                    tr { td { (name) } td { (format!("{t:.1} s")) } td { @if *on { "begins" } @else { "ends" } } }
                } }
            }
        }
    };
    page.into_string()
}
