//! The measurement as pictures (SVG).

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use crate::measure::{Found, Wave};

const SIZE: (u32, u32) = (720, 420);
const INK: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189)];

/// A line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

struct Plot<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
    lines: Vec<Line>,
    /// A value of y to draw a line at, with its name.
    mark: Option<(f64, &'a str)>,
    x_from: f64,
}

fn draw(file: &Path, plot: &Plot) -> anyhow::Result<()> {
    let points = || plot.lines.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(0.0, f64::max).max(1e-9);
    let (x, y) = (most(|p| p.0), most(|p| p.1).max(plot.mark.map_or(0.0, |(y, _)| y)));
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    let wrong = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", file.display());
    area.fill(&WHITE).map_err(|e| wrong(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d((plot.x_from..x * 1.02).log_scale(), 0.0..y * 1.08)
        .map_err(|e| wrong(&e))?;
    chart
        .configure_mesh()
        .x_desc(plot.x)
        .y_desc(plot.y)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| wrong(&e))?;
    for (n, (name, points)) in plot.lines.iter().enumerate() {
        let ink = INK[n % INK.len()];
        let line = LineSeries::new(points.iter().copied(), ink.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(line).map_err(|e| wrong(&e))?;
        drawn.label(name.as_str()).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], ink));
    }
    if let Some((y, name)) = plot.mark {
        let line = LineSeries::new([(plot.x_from, y), (x * 1.02, y)], BLACK.mix(0.5));
        let drawn = chart.draw_series(line).map_err(|e| wrong(&e))?;
        drawn.label(name).legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK.mix(0.5)));
    }
    let legend = chart.configure_series_labels();
    { legend }.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| wrong(&e))?;
    area.present().map_err(|e| wrong(&e))
}

/// Draws all plots into a folder.
pub fn draw_all(folder: &Path, all: &[Found]) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder)?;
    let line = |name: &str, value: fn(&Found) -> f64| -> Line {
        (name.into(), all.iter().map(|f| (f.connections as f64, value(f))).collect())
    };
    let x_from = all.iter().map(|f| f.connections as f64).fold(f64::INFINITY, f64::min) * 0.9;
    let x = "idle connections";
    let by_size = |file: &str, title, y, lines, mark| {
        draw(&folder.join(file), &Plot { title, x, y, lines, mark, x_from })
    };
    let memory = vec![
        line("process, idle", |f| f.process_bytes),
        line("process, after the waves", |f| f.after_bytes),
        line("kernel, both ends", |f| f.kernel_bytes),
    ];
    by_size("idle-memory.svg", "Memory of a connection", "bytes", memory, Some((1024.0, "1 KiB")))?;
    let cpu = vec![
        line("no pings due", |f| f.idle_cpu * 100.0),
        line("each pinged every 600 s", |f| f.pinged_cpu * 100.0),
    ];
    by_size("idle-cpu.svg", "CPU while idle", "% of a core", cpu, Some((1.0, "1%")))?;
    let in_time = |class: &'static str, pick: fn(&Found) -> Option<&Wave>| -> Line {
        let share = |f: &Found| {
            let wave = pick(f)?;
            let outcome = wave.classes.iter().find(|outcome| outcome.class == class)?;
            Some((f.connections as f64, outcome.in_time_percent()))
        };
        (class.into(), all.iter().filter_map(share).collect())
    };
    let classes = ["balance-check", "payment-post", "charge-estimate"];
    let tenth = classes.iter().map(|class| in_time(class, |f| f.waves.last())).collect();
    by_size(
        "wake-tenth.svg",
        "A share wakes together: served within the aim",
        "% of the calls",
        tenth,
        None,
    )?;
    let whole = classes.iter().map(|class| in_time(class, |f| Some(&f.all))).collect();
    by_size("wake-all.svg", "All wake together: served within the aim", "% of the calls", whole, None)?;
    if let Some(last) = all.last()
        && let Some(wave) = last.waves.last()
    {
        let lines = wave.classes.iter().map(|outcome| {
            let points = outcome.times_ms.iter().enumerate();
            (outcome.class.clone(), points.map(|(n, ms)| (ms.max(0.1), (n + 1) as f64 / 2.0)).collect())
        });
        let title = format!("Answers after the wake, {} connections", last.connections);
        let plot = Plot {
            title: &title,
            x: "ms from the call to its answer",
            y: "% of those served",
            lines: lines.collect(),
            mark: None,
            x_from: 0.1,
        };
        draw(&folder.join("wake-times.svg"), &plot)?;
    }
    Ok(())
}
