//! Report of a load run.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::code::ResultCode;

use super::Config;
use super::meter::{Meter, Percentiles, Totals};
use super::workload::Team;

/// Results of a load run.
#[derive(Debug)]
pub struct Report {
    /// Teams, in the order of the configuration.
    pub teams: Vec<Team>,
    /// Meters of the teams, in the same order.
    pub meters: Vec<Arc<Meter>>,
    /// Time from the start to the last response.
    pub elapsed: Duration,
}

impl Report {
    pub(super) fn new(config: &Config, meters: Vec<Arc<Meter>>, elapsed: Duration) -> Report {
        Report { teams: config.teams.clone(), meters, elapsed }
    }

    /// Sum of the counts of all teams.
    pub fn totals(&self) -> Totals {
        let mut sum = Totals::default();
        for totals in self.meters.iter().map(|meter| meter.totals()) {
            sum.request_count += totals.request_count;
            sum.complete_count += totals.complete_count;
            sum.skipped_count += totals.skipped_count;
            sum.unanswered_count += totals.unanswered_count;
            sum.token_count += totals.token_count;
            sum.broken_count += totals.broken_count;
            sum.broken_reasons.extend(totals.broken_reasons);
            for (code, count) in totals.errors {
                *sum.errors.entry(code).or_default() += count;
            }
        }
        sum
    }

    /// A Markdown table with a row for each team and one for the total. Times are in ms, as
    /// p50/p95/p99.
    ///
    /// `charged ÷ weight` covers the charged service up to the end of sending. `head` is the time
    /// to the head of a streamed response. It includes the wait for a slot, up to the routers'
    /// keepalive interval: after that, a router sends the head with a comment.
    pub fn table(&self) -> String {
        let mut out = String::from(
            "| team | weight | requests | complete | tokens | charged ÷ weight | errors | head \
             | first token | between tokens | total time |\n\
             |---|--:|--:|--:|--:|--:|---|--:|--:|--:|--:|\n",
        );
        for (team, meter) in self.teams.iter().zip(&self.meters) {
            let totals = meter.totals();
            let [head, first_token, inter_token, total] =
                meter.percentiles().map(format_percentiles);
            let _ = writeln!(
                out,
                "| {} | {} | {} | {} | {} | {:.0} | {} | {head} | {first_token} | {inter_token} | {total} |",
                team.name,
                team.weight,
                totals.request_count,
                totals.complete_count,
                totals.token_count,
                meter.charged_cost_while_sending() / team.weight,
                format_errors(&totals),
            );
        }
        let totals = self.totals();
        let _ = writeln!(
            out,
            "| all | | {} | {} | {} | | {} | | | | |",
            totals.request_count,
            totals.complete_count,
            totals.token_count,
            format_errors(&totals),
        );
        for reason in totals.broken_reasons.iter().take(5) {
            let _ = writeln!(out, "\nbroken: {reason}");
        }
        out
    }
}

fn format_percentiles(percentiles: Percentiles) -> String {
    let Percentiles { p50_ms, p95_ms, p99_ms } = percentiles;
    format!("{p50_ms:.0}/{p95_ms:.0}/{p99_ms:.0}")
}

fn format_errors(totals: &Totals) -> String {
    let mut parts: BTreeMap<String, u64> = BTreeMap::new();
    for (&number, &count) in &totals.errors {
        let code = ResultCode::ALL.iter().find(|code| code.number() == number);
        let name = code.map_or_else(|| number.to_string(), |code| code.name().to_owned());
        parts.insert(name, count);
    }
    let others = [
        ("broken", totals.broken_count),
        ("skipped", totals.skipped_count),
        ("unanswered", totals.unanswered_count),
    ];
    parts.extend(others.into_iter().filter(|part| part.1 > 0).map(|(n, c)| (n.to_owned(), c)));
    let parts: Vec<_> = parts.into_iter().map(|(name, count)| format!("{name} {count}")).collect();
    if parts.is_empty() { "none".to_owned() } else { parts.join(", ") }
}
