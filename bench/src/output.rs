//! The results as a Markdown page of tables.

use std::fmt::Write;

use crate::settings::Settings;
use crate::stats::Outcome;
use crate::suite::ResultRow;

/// Title of the section that compares numbers of routers and policies.
pub const ROUTERS: &str = "Routers and policies";
/// Title of the section with many teams.
pub const TEAMS: &str = "1,200 teams";
/// Title of the section that compares runs with and without one team's flood.
pub const FLOOD: &str = "One team's flood";
/// Title of the section that compares report intervals.
pub const REPORTS: &str = "Report intervals of 1, 3 and 10 s";
/// Title of the section with several cells.
pub const CELLS: &str = "Cells of 20 slots each, sums every 0 (none), 1 or 3 s";
/// Title of the section with the cell size and request rate of a full-size deployment.
pub const FULL_SIZE_CELL: &str = "One cell as at full size";
/// Title of the section with short service calls.
pub const SHORT_CALLS: &str = "Service calls of 5 ms; 1 and 8 slots, without and with look-ahead";

const SECTIONS: [&str; 7] = [ROUTERS, TEAMS, FLOOD, REPORTS, CELLS, FULL_SIZE_CELL, SHORT_CALLS];

/// Header rows of each table.
pub const HEADER: &str = "\
| policy | routers | teams | cells | sums s | costs | small | slots | reports s | flood | seed | gap | \
most/least | utilisation | \
longest idle ms | requests | messages/request | bytes/request | bytes/s and router | \
router µs/request | dispatcher µs/request | moved | memory MB |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// One row of a table.
pub fn row(settings: &Settings, outcome: &Outcome) -> String {
    let costs = format!("{} to {}", settings.min_cost, settings.max_cost);
    let columns = [
        settings.policy.name().to_owned(),
        settings.router_count.to_string(),
        settings.team_count.to_string(),
        settings.cell_count.to_string(),
        settings.summary_interval.as_secs_f64().to_string(),
        costs,
        settings.small_every.to_string(),
        settings.slots.to_string(),
        settings.report_interval.as_secs_f64().to_string(),
        settings.flood_ratio.to_string(),
        settings.seed.to_string(),
        format!("{:.2}", outcome.gap),
        format!("{:.3}", outcome.most_to_least),
        format!("{:.5}", outcome.utilisation),
        format!("{:.1}", outcome.longest_idle_s * 1e3),
        outcome.request_count.to_string(),
        format!("{:.2}", outcome.messages_per_request),
        format!("{:.0}", outcome.bytes_per_request),
        format!("{:.1}", outcome.bytes_per_s),
        format!("{:.1}", outcome.router_us_per_request),
        format!("{:.1}", outcome.dispatcher_us_per_request),
        format!("{:.1}%", outcome.moved_ratio * 100.0),
        format!("{:.1}", outcome.memory_mb),
    ];
    format!("| {} |", columns.join(" | "))
}

/// The page with a table for each section that has rows.
pub fn page(rows: &[ResultRow]) -> String {
    let mut text = String::from(
        "# Measurements of dispatch\n\nWritten by `cargo run --release -p gentianhinge-bench -- \
         suite`; don't edit. Columns are explained in `MEASUREMENTS-dispatch.md`.\n",
    );
    for section in SECTIONS {
        let of_section = rows.iter().filter(|row| row.section == section).collect::<Vec<_>>();
        if of_section.is_empty() {
            continue;
        }
        let _ = write!(text, "\n## {section}\n\n{HEADER}\n");
        for entry in &of_section {
            let _ = writeln!(text, "{}", row(&entry.settings, &entry.outcome));
        }
        if section == FLOOD {
            text.push_str(&flood_effect(&of_section));
        }
    }
    text
}

/// The effect of the flood; each pair of rows is a run without and a run with it.
fn flood_effect(rows: &[&ResultRow]) -> String {
    let mut text = String::new();
    for pair in rows.chunks_exact(2) {
        let (baseline, flooded) = (&pair[0].outcome, &pair[1].outcome);
        let bytes = flooded.bytes_per_s / baseline.bytes_per_s - 1.0;
        let _ = write!(
            text,
            "\n{} routers: the flood changes another team's share by at most {:.2}%, control bytes \
             by {:+.2}%.\n",
            pair[0].settings.router_count,
            share_change(baseline, flooded) * 100.0,
            bytes * 100.0,
        );
    }
    text
}

/// Largest relative change of a team's share, except that of the first team, which floods.
fn share_change(baseline: &Outcome, flooded: &Outcome) -> f64 {
    let share = |outcome: &Outcome, team: usize| {
        outcome.service[team] / outcome.service.iter().sum::<f64>()
    };
    let teams = 1..baseline.service.len();
    let changes = teams.map(|team| (share(flooded, team) / share(baseline, team) - 1.0).abs());
    changes.fold(0.0, f64::max)
}
