//! Retry budgets: each team may retry a fraction of the number of its finished requests.
//!
//! A budget keeps retries from amplifying the load of a failing fleet: with a ratio of 0.1, retries
//! add at most a tenth to the number of requests.

use std::collections::HashMap;
use std::sync;

use gentianhinge_core::ids::Name;

/// Maximum attempts per request, so that one request that fails slowly doesn't use up its team's
/// budget.
pub const MAX_ATTEMPTS: u32 = 3;

/// Budgets are counted in integer thousandths of a retry: ten times a tenth is less than one in
/// binary floating point.
const MILLI_PER_RETRY: u32 = 1000;

/// Maximum balance of a team, and its initial balance: ten retries.
const MAX_BALANCE_MILLI: u32 = 10 * MILLI_PER_RETRY;

/// Retry budgets of all teams.
#[derive(Debug)]
pub struct Budgets {
    deposit_milli: u32,
    balance_milli: sync::Mutex<HashMap<Name, u32>>,
}

impl Budgets {
    /// Creates budgets to which each finished request adds `ratio` retries.
    pub fn new(ratio: f64) -> Budgets {
        let deposit_milli = (ratio * f64::from(MILLI_PER_RETRY)).round() as u32;
        Budgets { deposit_milli, balance_milli: sync::Mutex::default() }
    }

    /// Adds a finished request to a team's budget.
    pub fn deposit(&self, team: &Name) {
        self.update(team, |balance| {
            *balance = (*balance + self.deposit_milli).min(MAX_BALANCE_MILLI);
            true
        });
    }

    /// Withdraws one retry from a team's budget; returns false if less than one is left.
    pub fn withdraw(&self, team: &Name) -> bool {
        self.update(team, |balance| {
            let has_retry = *balance >= MILLI_PER_RETRY;
            if has_retry {
                *balance -= MILLI_PER_RETRY;
            }
            has_retry
        })
    }

    fn update(&self, team: &Name, update: impl FnOnce(&mut u32) -> bool) -> bool {
        let mut balance = self.balance_milli.lock().unwrap_or_else(sync::PoisonError::into_inner);
        match balance.get_mut(team) {
            Some(balance) => update(balance),
            None => update(balance.entry(team.clone()).or_insert(MAX_BALANCE_MILLI)),
        }
    }
}
