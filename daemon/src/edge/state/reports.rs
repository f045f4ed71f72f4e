//! Applies what other routers report and what targets state.

use gentianhinge_core::report::{self, Hash};
use gentianhinge_platform::answer::Statement;
use rand::Rng;
use tokio::time::Instant;

use super::RouterState;
use crate::edge::{crash, statements};

impl RouterState {
    /// Applies a load report of another router; outdated reports are ignored but for their evidence of
    /// crashes, most of which is told once.
    /// Returns what is new of targets' statements.
    pub fn apply_report(
        &mut self,
        mut report: report::LoadReport,
        now: Instant,
    ) -> statements::ReportedNews {
        self.apply_evidence(&mut report, now);
        self.versions.apply_report(&report, now);
        if !self.load.apply_report(&report, now) {
            return statements::ReportedNews::default();
        }
        self.hear_era(report.store_era, now);
        for (view, offset) in self.topic_views.iter_mut().zip(report.offsets) {
            if report.store_era == view.era && !view.must_list() {
                view.hear(offset, now);
            }
        }
        if !report.teams.is_empty() {
            self.shares.apply_report(&report.sender, report.teams, now);
        }
        if !report.services.is_empty() {
            self.retries.apply_report(&report.sender, report.incarnation, report.services, now);
        }
        self.apply_first_events(&report.first_events, now);
        let gone = report.late_records.iter().filter_map(|late| {
            let id = self.registry.hear_late(*late)?;
            Some((id, late.target))
        });
        let gone = gone.collect::<Vec<_>>();
        for (_, hash) in &gone {
            self.forget(*hash);
        }
        let leaving = report.leaving.iter();
        statements::ReportedNews {
            leaving: leaving.filter_map(|hash| self.registry.mark_leaving(*hash)).collect(),
            limits: self.target_limits.apply_report(
                &report.sender,
                report.incarnation,
                &report.limits,
                now,
            ),
            gone: gone.into_iter().map(|(id, _)| id).collect(),
        }
    }

    fn apply_evidence(&mut self, report: &mut report::LoadReport, now: Instant) {
        let crashes = std::mem::take(&mut report.crashes).into_iter();
        let crashes = crashes.filter_map(|line| crash::from_report(line, now)).collect();
        self.quarantine.apply_report(crashes, &report.cleared_parts, now);
        let ended = std::mem::take(&mut report.ended).into_iter();
        let ended = ended.filter_map(|line| crash::ended_target(line, now)).collect();
        self.quarantine.apply_ended(ended, &report.cleared_requests, now);
    }

    /// Records what a target states in a response to a request that was sent at `sent_at`.
    pub fn record_statement(
        &mut self,
        target: Hash,
        statement: &Statement,
        sent_at: Instant,
    ) -> statements::News {
        let now = Instant::now();
        let mut news = statements::News::default();
        if !statement.is_limit_unreadable || statement.limit_per_s.is_some() {
            let limit_per_s = statement.limit_per_s;
            news.limit = self.target_limits.record_answer(target, limit_per_s, sent_at, now);
        }
        if statement.is_leaving {
            news.is_leaving = self.registry.mark_leaving(target).is_some();
            self.statements.record_leaving(target, now);
        }
        if let Some(hold) = statement.hold {
            news.hold = Some(hold).filter(|_| self.holds.ends_in(target, now).is_none());
            self.holds.record(target, hold, rand::rng().random(), now);
        }
        news.is_unreadable =
            statement.is_unreadable && self.statements.record_unreadable(target, now);
        news
    }
}
