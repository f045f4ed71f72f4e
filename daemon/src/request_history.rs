//! Bounded memory of what became of recent requests, for `gentianhinge explain`.

use std::collections::{HashMap, VecDeque};
use std::sync;

use serde::{Deserialize, Serialize};

/// Requests that a router remembers.
pub const MAX_RECORDS: usize = 16_384;

/// One attempt to run a request at a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    /// Name of the target.
    pub target: String,
    /// Time from the request's arrival to the attempt.
    pub waited_ms: u64,
    /// Why the attempt failed, if it did.
    pub error: Option<String>,
}

/// What became of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The request's identifier.
    pub request_id: String,
    /// Name of the team.
    pub team: String,
    /// Name of the class.
    pub class: String,
    /// Model or service, if the request was read so far.
    pub pool: Option<String>,
    /// When the request arrived, in milliseconds since 1970.
    pub arrived_unix_ms: u64,
    /// Attempts, first to last.
    pub attempts: Vec<Attempt>,
    /// Number of the result code.
    pub result: u16,
    /// Name of the result code.
    pub result_name: String,
    /// Whether the request ran.
    pub ran: String,
    /// Explanation that the caller got, if the request failed.
    pub message: Option<String>,
    /// Tokens delivered.
    pub output_tokens: u64,
    /// Time from arrival to the end.
    pub whole_ms: u64,
}

/// Recent requests by identifier.
#[derive(Debug, Default)]
pub struct RequestHistory {
    records: sync::Mutex<Records>,
}

#[derive(Debug, Default)]
struct Records {
    by_id: HashMap<String, Record>,
    order: VecDeque<String>,
}

impl RequestHistory {
    /// Adds a record; the oldest goes if there are [`MAX_RECORDS`].
    pub fn push(&self, record: Record) {
        let mut records = self.records.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if records.order.len() >= MAX_RECORDS
            && let Some(oldest) = records.order.pop_front()
        {
            records.by_id.remove(&oldest);
        }
        records.order.push_back(record.request_id.clone());
        records.by_id.insert(record.request_id.clone(), record);
    }

    /// Finds a request.
    pub fn get(&self, request_id: &str) -> Option<Record> {
        let records = self.records.lock().unwrap_or_else(sync::PoisonError::into_inner);
        records.by_id.get(request_id).cloned()
    }

    /// The latest requests of a team, newest first.
    pub fn latest(&self, team: &str, count: usize) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let newest = records.order.iter().rev().filter_map(|id| records.by_id.get(id));
        newest.filter(|record| record.team == team).take(count).cloned().collect()
    }
}
