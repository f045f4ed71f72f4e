//! HTTP interface for operators to show and edit the table.

use std::sync;

use axum::{Json, extract, response, routing};
use futures_util::future;
use gentianhinge_core::table::KeyHash;
use gentianhinge_core::table::record::Edit;
use gentianhinge_core::table::replica::{EditOutcome, HistoryEntry};
use gentianhinge_core::table::row::{RowKey, VersionedRow};
use gentianhinge_wire::record::{
    self, EditAnswer, EditAnswerOutcome, EditRequest, HistoryLine, InForceAnswer, RouterOffset,
    TableAnswer,
};
use http::{HeaderMap, StatusCode, header};
use response::IntoResponse;
use serde::Deserialize;

use super::table::{EditResult, TableLog};

/// Maximum edits in one response of `/table/history`.
const MAX_HISTORY_LINES: usize = 1000;
/// Maximum length of an edit's id, in bytes.
const MAX_EDIT_ID_BYTES: usize = 64;

/// State of the interface's handlers.
#[derive(Clone)]
pub struct Context {
    /// The router's replica of the table.
    pub table: TableLog,
    /// Name of this router.
    pub router: String,
    /// Lists the live routers, including this one, with the log offset that each has applied.
    pub live_routers: LiveRouters,
}

/// Function that lists the live routers and their applied offsets.
pub type LiveRouters =
    sync::Arc<dyn Fn() -> future::BoxFuture<'static, Vec<RouterOffset>> + Send + Sync>;

/// Returns the routes of the interface, to be merged into those of the operators' listener.
pub fn routes(context: Context) -> axum::Router {
    axum::Router::new()
        .route("/table", routing::get(show))
        .route("/table/edits", routing::post(edit))
        .route("/table/edits/{id}", routing::get(outcome))
        .route("/table/history", routing::get(history))
        .route("/table/in-force", routing::get(in_force))
        .with_state(context)
}

/// Response to a request without a valid operator key.
type Unauthorized = (StatusCode, &'static str);

/// Authenticates the operator by the bearer key; returns the key's hash.
fn authenticate(context: &Context, headers: &HeaderMap) -> Result<KeyHash, Unauthorized> {
    let value = headers.get(header::AUTHORIZATION).map(|value| value.as_bytes());
    let key = value.and_then(|value| value.strip_prefix(b"Bearer "));
    let hash = key.map(|key| KeyHash::from(blake3::hash(key)));
    let view = context.table.subscribe().borrow().clone();
    let is_known = |hash: &KeyHash| view.table.is_some_and(|table| table.is_operator_key(hash));
    hash.filter(is_known).ok_or((StatusCode::UNAUTHORIZED, "an operator's key is needed\n"))
}

async fn show(
    extract::State(context): extract::State<Context>,
    headers: HeaderMap,
) -> Result<Json<TableAnswer>, Unauthorized> {
    authenticate(&context, &headers)?;
    let applied_offset = context.table.subscribe().borrow().applied_offset;
    let rows = context.table.rows();
    Ok(Json(TableAnswer {
        router: context.router.clone(),
        applied_offset,
        has_gap: context.table.has_gap(),
        rows: rows.iter().map(|(key, row)| record::versioned_row_to_record(key, row)).collect(),
    }))
}

async fn edit(
    extract::State(context): extract::State<Context>,
    headers: HeaderMap,
    Json(request): Json<EditRequest>,
) -> Result<response::Response, Unauthorized> {
    let operator = authenticate(&context, &headers)?;
    let id = request.id.clone();
    let Some(edit) = parse_edit(request, &operator) else {
        let message = "the row can't be read, or the edit's id is too long or empty";
        let answer = new_answer(&id, EditAnswerOutcome::Invalid, message);
        return Ok((StatusCode::UNPROCESSABLE_ENTITY, Json(answer)).into_response());
    };
    let key = edit.key.clone();
    let (status, answer) = edit_answer(&id, &key, context.table.edit(edit).await);
    Ok((status, Json(answer)).into_response())
}

fn parse_edit(request: EditRequest, operator: &KeyHash) -> Option<Edit> {
    if request.id.is_empty() || request.id.len() > MAX_EDIT_ID_BYTES {
        return None;
    }
    let row = record::VersionedRowRecord {
        kind: request.kind,
        name: request.name,
        version: request.base_version,
        row: request.row,
    };
    let (key, VersionedRow { version, row }) = record::versioned_row_from_record(&row)?;
    // The first 8 hex digits of the key's hash identify the operator without revealing the key.
    let operator = record::encode_key_hash(operator).chars().take(8).collect::<String>();
    Some(Edit { id: request.id.into(), operator: operator.into(), key, base_version: version, row })
}

fn new_answer(id: &str, outcome: EditAnswerOutcome, message: &str) -> EditAnswer {
    EditAnswer {
        id: id.to_string(),
        outcome,
        offset: None,
        present: None,
        message: Some(message.to_string()).filter(|message| !message.is_empty()),
    }
}

fn edit_answer(id: &str, key: &RowKey, result: EditResult) -> (StatusCode, EditAnswer) {
    match result {
        EditResult::Settled(outcome) => {
            let status = match outcome {
                EditOutcome::Accepted { .. } => StatusCode::OK,
                EditOutcome::Conflict { .. } => StatusCode::CONFLICT,
                EditOutcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (
                status,
                EditAnswer { offset: Some(outcome.offset()), ..settled_answer(id, key, &outcome) },
            )
        }
        EditResult::Refused(outcome) => {
            let status = match outcome {
                EditOutcome::Conflict { .. } => StatusCode::CONFLICT,
                _ => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, settled_answer(id, key, &outcome))
        }
        EditResult::Outage(message) => {
            (StatusCode::SERVICE_UNAVAILABLE, new_answer(id, EditAnswerOutcome::Outage, &message))
        }
        EditResult::Unknown(message) => {
            (StatusCode::GATEWAY_TIMEOUT, new_answer(id, EditAnswerOutcome::Unknown, &message))
        }
    }
}

fn settled_answer(id: &str, key: &RowKey, outcome: &EditOutcome) -> EditAnswer {
    match outcome {
        EditOutcome::Accepted { .. } => new_answer(id, EditAnswerOutcome::Accepted, ""),
        EditOutcome::Conflict { present, .. } => {
            let message = format!("{key} was changed by somebody else; nothing was changed");
            let present = Some(record::versioned_row_to_record(key, present));
            EditAnswer { present, ..new_answer(id, EditAnswerOutcome::Conflict, &message) }
        }
        EditOutcome::Invalid { .. } => {
            new_answer(id, EditAnswerOutcome::Invalid, "the row can't stand in the table")
        }
    }
}

async fn outcome(
    extract::State(context): extract::State<Context>,
    extract::Path(id): extract::Path<String>,
    headers: HeaderMap,
) -> Result<response::Response, Unauthorized> {
    authenticate(&context, &headers)?;
    let entries = context.table.history(1, |entry| *entry.edit.id == *id);
    let Some(outcome) = context.table.outcome(&id) else {
        return Ok((StatusCode::NOT_FOUND, "the log holds no such edit\n").into_response());
    };
    let key = entries.first().map_or(RowKey::Defaults, |entry| entry.edit.key.clone());
    Ok(Json(edit_answer(&id, &key, EditResult::Settled(outcome)).1).into_response())
}

/// Filter on the rows whose history is returned; an absent field matches every row.
#[derive(Deserialize)]
struct HistoryQuery {
    kind: Option<String>,
    name: Option<String>,
}

async fn history(
    extract::State(context): extract::State<Context>,
    extract::Query(query): extract::Query<HistoryQuery>,
    headers: HeaderMap,
) -> Result<Json<Vec<HistoryLine>>, Unauthorized> {
    authenticate(&context, &headers)?;
    let is_match = |entry: &HistoryEntry| {
        let key = &entry.edit.key;
        query.kind.as_deref().is_none_or(|kind| kind == key.kind())
            && query.name.as_deref().is_none_or(|name| name == key.name())
    };
    let entries = context.table.history(MAX_HISTORY_LINES, is_match);
    Ok(Json(entries.iter().map(history_line).collect()))
}

fn history_line(entry: &HistoryEntry) -> HistoryLine {
    let edit = &entry.edit;
    HistoryLine {
        at_ms: entry.at_ms,
        operator: edit.operator.to_string(),
        kind: edit.key.kind().to_string(),
        name: edit.key.name().to_string(),
        row: edit.row.as_ref().map(record::row_to_record),
        answer: EditAnswer {
            offset: Some(entry.outcome.offset()),
            ..settled_answer(&edit.id, &edit.key, &entry.outcome)
        },
    }
}

async fn in_force(
    extract::State(context): extract::State<Context>,
    headers: HeaderMap,
) -> Result<Json<InForceAnswer>, Unauthorized> {
    authenticate(&context, &headers)?;
    Ok(Json(InForceAnswer { routers: (context.live_routers)().await }))
}
