//! Retry budgets: each team may retry a share of what it finishes.
//!
//! A budget keeps failures from multiplying load: with a ratio of 0.1, a fleet whose every request
//! fails gets at most a tenth more requests.

use std::collections::HashMap;
use std::sync;

use gentianhinge_core::ids::Name;

/// Most attempts of one request, so that one that fails slowly doesn't use up its team's budget.
pub const MAX_ATTEMPTS: u32 = 3;

/// Thousandths of a retry that make up a whole one. Counted so, since a tenth as a binary fraction
/// added ten times is less than one.
const RETRY_MILLI: u32 = 1000;

/// Retries that a team may save up; it starts with as many.
const MAX_SAVED_MILLI: u32 = 10 * RETRY_MILLI;

/// Retry budgets of all teams.
#[derive(Debug)]
pub struct Budgets {
    earned_milli: u32,
    saved_milli: sync::Mutex<HashMap<Name, u32>>,
}

impl Budgets {
    /// Creates budgets that grow by `ratio` with each finished request.
    pub fn new(ratio: f64) -> Budgets {
        let earned_milli = (ratio * f64::from(RETRY_MILLI)).round() as u32;
        Budgets { earned_milli, saved_milli: sync::Mutex::default() }
    }

    /// Notes a finished request of a team.
    pub fn earn(&self, team: &Name) {
        self.change(team, |saved| {
            *saved = (*saved + self.earned_milli).min(MAX_SAVED_MILLI);
            true
        });
    }

    /// Takes one retry from a team's budget; false if there is none.
    pub fn take(&self, team: &Name) -> bool {
        self.change(team, |saved| {
            let enough = *saved >= RETRY_MILLI;
            if enough {
                *saved -= RETRY_MILLI;
            }
            enough
        })
    }

    fn change(&self, team: &Name, change: impl FnOnce(&mut u32) -> bool) -> bool {
        let mut saved = self.saved_milli.lock().unwrap_or_else(sync::PoisonError::into_inner);
        match saved.get_mut(team) {
            Some(saved) => change(saved),
            None => change(saved.entry(team.clone()).or_insert(MAX_SAVED_MILLI)),
        }
    }
}
