//! Plots of experiments over virtual time.

use std::path::Path;

use plotters::prelude::*;

use crate::deployment::Deployment;
use crate::experiment::Experiment;
use crate::simulation::{self, Policy};
use crate::workload::Selection;
use crate::world::World;

/// Width and height of a plot.
const SIZE_PIXELS: (u32, u32) = (960, 720);
/// Length of the arrival interval that one point summarises.
const BIN_SECS: usize = 5;

/// Returns the share of the requests in each bin that met their targets.
fn target_met_shares(world: &World) -> Vec<(f64, f64)> {
    let bins = world.experiment.duration.as_secs() as usize / BIN_SECS + 1;
    let mut counts = vec![(0.0, 0.0); bins];
    for (caller, arrival) in world.callers.iter().zip(&world.arrivals) {
        let bin = &mut counts[arrival.at.as_secs() as usize / BIN_SECS];
        bin.0 += 1.0;
        bin.1 += f64::from(u8::from(
            caller.met_targets(arrival.at, world.contract(arrival.id)),
        ));
    }
    let points = counts.into_iter().enumerate();
    let points = points.filter(|(_, (all, _))| *all > 0.0);
    points
        .map(|(bin, (all, met))| ((bin * BIN_SECS) as f64, met / all))
        .collect()
}

/// Returns the share of the memory of all engines that is in use at each measurement.
fn memory_shares(world: &World) -> Vec<(f64, f64)> {
    let engines = world.engines.len();
    let total = (engines as u64 * world.deployment.profile.memory) as f64;
    let until = world.experiment.duration;
    let samples: Vec<_> = world.meter.samples.chunks(engines).collect();
    let samples = samples.into_iter().filter(|chunk| chunk[0].at <= until);
    samples
        .map(|chunk| {
            let used: u64 = chunk.iter().map(|sample| sample.stats.used_tokens).sum();
            (chunk[0].at.as_secs_f64(), used as f64 / total)
        })
        .collect()
}

/// Draws the share of targets met and the memory in use over time, with one line per policy.
pub fn draw(
    deployment: &Deployment,
    experiment: &Experiment,
    seed: u64,
    file: &Path,
) -> anyhow::Result<()> {
    let selection = Selection {
        flood: true,
        large_accounts: true,
    };
    let runs = Policy::ALL.map(|policy| {
        let world = simulation::run(deployment, experiment, policy, seed, &selection);
        (policy, target_met_shares(&world), memory_shares(&world))
    });
    let root = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE_PIXELS.1 / 2);
    let title = format!("{} at {}, seed {seed}", experiment.name, deployment.name);
    let until = experiment.duration.as_secs_f64();
    let areas = [
        (upper, format!("{title}: share of targets met")),
        (lower, "memory in use".to_owned()),
    ];
    for (index, (area, caption)) in areas.iter().enumerate() {
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..until, 0.0..1.05)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (number, (policy, met, memory)) in runs.iter().enumerate() {
            let points = if index == 0 { met } else { memory };
            let style = Palette99::pick(number).stroke_width(2);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), style))?
                .label(policy.name())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}
