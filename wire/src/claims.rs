//! JSON encoding of records in the log's claim streams.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use gentianhinge_core::claim::{Answer, CallHash, Event, KeyId, Outcome, Owner};
use gentianhinge_core::ids::RouterId;

use crate::record::{
    self, ClaimBatch, ClaimRecord, SettlementRecord, SettlementRecordOutcome as OutcomeRecord,
};
use crate::settings;

/// Encodes events as one record. Claims come before settlements, whatever the order in `events`.
pub fn encode(events: &[Event]) -> Vec<u8> {
    let mut batch = ClaimBatch::default();
    for event in events {
        match event {
            Event::Claim { key, call, owner } => batch.claims.push(ClaimRecord {
                key: record::encode_key_hash(&key.0),
                call: record::encode_key_hash(&call.0),
                router: owner.router.name.to_string(),
                incarnation: owner.router.incarnation,
                nonce: owner.nonce,
            }),
            Event::Settle { key, owner, outcome } => {
                batch.settlements.push(settlement_to_record(key, owner, outcome));
            }
        }
    }
    serde_json::to_vec(&batch)
        .expect("a record serializes to JSON, as all its map keys are strings")
}

/// Decodes a record; `None` if it is invalid. The result depends on the bytes alone, so all readers
/// agree on it.
pub fn decode(bytes: &[u8]) -> Option<Vec<Event>> {
    if bytes.len() > record::MAX_RECORD_BYTES {
        return None;
    }
    let batch = serde_json::from_slice::<ClaimBatch>(bytes).ok()?;
    let claims = batch.claims.iter().map(claim_from_record);
    let settlements = batch.settlements.iter().map(settlement_from_record);
    claims.chain(settlements).collect()
}

fn claim_from_record(claim: &ClaimRecord) -> Option<Event> {
    Some(Event::Claim {
        key: KeyId(settings::check::decode_key_hash(&claim.key)?),
        call: CallHash(settings::check::decode_key_hash(&claim.call)?),
        owner: owner(&claim.router, claim.incarnation, claim.nonce),
    })
}

fn owner(router: &str, incarnation: u64, nonce: u64) -> Owner {
    Owner { router: RouterId::new(router, incarnation), nonce }
}

fn settlement_to_record(key: &KeyId, owner: &Owner, outcome: &Outcome) -> SettlementRecord {
    let (outcome_record, answer) = match outcome {
        Outcome::Answered(answer) => (OutcomeRecord::Answered, Some(answer)),
        Outcome::AnsweredTooLarge => (OutcomeRecord::AnsweredTooLarge, None),
        Outcome::Unknown => (OutcomeRecord::Unknown, None),
        Outcome::NotRun => (OutcomeRecord::NotRun, None),
    };
    SettlementRecord {
        key: record::encode_key_hash(&key.0),
        router: owner.router.name.to_string(),
        incarnation: owner.router.incarnation,
        nonce: owner.nonce,
        outcome: outcome_record,
        status: answer.map(|answer| answer.status),
        content_type: answer.and_then(|answer| answer.content_type.as_deref()).map(String::from),
        body_base64: answer.map(|answer| BASE64_STANDARD.encode(&answer.body)),
    }
}

fn settlement_from_record(settlement: &SettlementRecord) -> Option<Event> {
    let outcome = match settlement.outcome {
        OutcomeRecord::Answered => Outcome::Answered(Answer {
            status: settlement.status?,
            content_type: settlement.content_type.as_deref().map(Into::into),
            body: BASE64_STANDARD.decode(settlement.body_base64.as_deref()?).ok()?,
        }),
        OutcomeRecord::AnsweredTooLarge => Outcome::AnsweredTooLarge,
        OutcomeRecord::Unknown => Outcome::Unknown,
        OutcomeRecord::NotRun => Outcome::NotRun,
    };
    Some(Event::Settle {
        key: KeyId(settings::check::decode_key_hash(&settlement.key)?),
        owner: owner(&settlement.router, settlement.incarnation, settlement.nonce),
        outcome,
    })
}
