//! Bounded in-memory history of recent requests, for `gentianhinge explain`.

use std::collections::{HashMap, VecDeque};
use std::sync;

use serde::{Deserialize, Serialize};

/// Capacity of the history in requests.
pub const MAX_RECORDS: usize = 16_384;

/// One attempt to run a request on a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    /// Name of the target.
    pub target: String,
    /// Time from the arrival of the request to the start of the attempt.
    pub waited_ms: u64,
    /// Why the attempt failed, if it did.
    pub error: Option<String>,
}

/// Outcome of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The request's identifier.
    pub request_id: String,
    /// Name of the team.
    pub team: String,
    /// Name of the class.
    pub class: String,
    /// Name of the model or service; `None` if the request failed before it was known.
    pub pool: Option<String>,
    /// When the request arrived, in milliseconds since 1970.
    pub arrived_unix_ms: u64,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<Attempt>,
    /// Number of the result code.
    pub result: u16,
    /// Name of the result code.
    pub result_name: String,
    /// Whether the request ran, in the words of the response to the caller.
    pub ran: String,
    /// Error message that the caller received, if the request failed.
    pub message: Option<String>,
    /// Output tokens that were delivered to the caller.
    pub output_tokens: u64,
    /// Time from the arrival of the request to its end.
    pub whole_ms: u64,
}

/// History of recent requests, shared by the traffic threads.
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
    /// Adds a record, and evicts the oldest if there are [`MAX_RECORDS`] already.
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

    /// Returns the record of a request, if it hasn't been evicted.
    pub fn get(&self, request_id: &str) -> Option<Record> {
        let records = self.records.lock().unwrap_or_else(sync::PoisonError::into_inner);
        records.by_id.get(request_id).cloned()
    }

    /// Returns up to `count` requests of a team, newest first.
    pub fn latest(&self, team: &str, count: usize) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let newest = records.order.iter().rev().filter_map(|id| records.by_id.get(id));
        newest.filter(|record| record.team == team).take(count).cloned().collect()
    }
}
