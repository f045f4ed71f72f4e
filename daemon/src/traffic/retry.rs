//! Retry budgets: each team may retry a share of what it finishes.
//!
//! A budget keeps failures from multiplying load: with a ratio of 0.1, a fleet whose every request
//! fails gets at most a tenth more requests.

use std::collections::HashMap;
use std::sync;

use gentianhinge_core::ids::Name;

/// Most attempts of one request, so that one that fails slowly doesn't use up its team's budget.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retries that a team may save up; it starts with as many.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retry budgets of all teams.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    saved: sync::Mutex<HashMap<Name, f64>>,
}

impl Budgets {
    /// Creates budgets that grow by `ratio` with each finished request.
    pub fn new(ratio: f64) -> Budgets {
        Budgets { ratio, saved: sync::Mutex::default() }
    }

    /// Notes a finished request of a team.
    pub fn earn(&self, team: &Name) {
        self.change(team, |saved| {
            *saved = (*saved + self.ratio).min(MAX_SAVED_RETRIES);
            true
        });
    }

    /// Takes one retry from a team's budget; false if there is none.
    pub fn take(&self, team: &Name) -> bool {
        self.change(team, |saved| {
            let enough = *saved >= 1.0;
            if enough {
                *saved -= 1.0;
            }
            enough
        })
    }

    fn change(&self, team: &Name, change: impl FnOnce(&mut f64) -> bool) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(sync::PoisonError::into_inner);
        match saved.get_mut(team) {
            Some(saved) => change(saved),
            None => change(saved.entry(team.clone()).or_insert(MAX_SAVED_RETRIES)),
        }
    }
}
