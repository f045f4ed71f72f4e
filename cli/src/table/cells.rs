//! Fields of a row as text, for the command line and CSV files.

use gentianhinge_wire::record::RowRecord;

/// All fields of rows, in the order of the CSV columns.
pub const FIELDS: [&str; 12] = [
    "weight",
    "classes",
    "max_concurrent_requests",
    "max_tokens_per_s",
    "max_waiting_requests",
    "max_waiting_bytes",
    "price_ratio",
    "max_wait_ms",
    "default_class",
    "is_leaving",
    "max_slots",
    "key_hashes",
];

/// Fields of a kind of row; empty for an unknown kind.
pub fn fields_of(kind: &str) -> &'static [&'static str] {
    match kind {
        "team" => &[
            "weight",
            "classes",
            "max_concurrent_requests",
            "max_tokens_per_s",
            "max_waiting_requests",
            "max_waiting_bytes",
            "key_hashes",
        ],
        "class" => &["price_ratio", "max_wait_ms"],
        "target" => &["is_leaving", "max_slots"],
        "operators" => &["key_hashes"],
        "defaults" => &["default_class"],
        _ => &[],
    }
}

/// Formats a field as text; empty if the row lacks it.
pub fn get(row: &RowRecord, field: &str) -> String {
    let text = |value: Option<String>| value.unwrap_or_default();
    match field {
        "weight" => text(row.weight.map(|value| value.to_string())),
        "classes" => row.classes.join(" "),
        "max_concurrent_requests" => text(row.max_concurrent_requests.map(|v| v.to_string())),
        "max_tokens_per_s" => text(row.max_tokens_per_s.map(|value| value.to_string())),
        "max_waiting_requests" => text(row.max_waiting_requests.map(|value| value.to_string())),
        "max_waiting_bytes" => text(row.max_waiting_bytes.map(|value| value.to_string())),
        "price_ratio" => text(row.price_ratio.map(|value| value.to_string())),
        "max_wait_ms" => text(row.max_wait_ms.map(|value| value.to_string())),
        "default_class" => text(row.default_class.clone()),
        "is_leaving" => text(row.is_leaving.map(|value| value.to_string())),
        "max_slots" => text(row.max_slots.map(|value| value.to_string())),
        "key_hashes" => row.key_hashes.join(" "),
        _ => String::new(),
    }
}

/// Parses a field from text; an empty text clears it.
///
/// # Errors
///
/// The kind of row has no such field, or the text isn't a valid value.
pub fn set(row: &mut RowRecord, kind: &str, field: &str, text: &str) -> Result<(), String> {
    let text = text.trim();
    let fields = fields_of(kind);
    // A CSV file has a column for every field, blank where the kind lacks the field.
    let is_blank = text.is_empty() && FIELDS.contains(&field);
    if !fields.contains(&field) && !is_blank {
        return Err(format!("{kind} has no field {field:?}; its fields: {}", fields.join(", ")));
    }
    let words = || text.split_whitespace().map(ToString::to_string).collect();
    match field {
        "weight" => row.weight = parse_number(field, text)?,
        "classes" => row.classes = words(),
        "max_concurrent_requests" => row.max_concurrent_requests = parse_count(field, text)?,
        "max_tokens_per_s" => row.max_tokens_per_s = parse_count(field, text)?,
        "max_waiting_requests" => row.max_waiting_requests = parse_count(field, text)?,
        "max_waiting_bytes" => row.max_waiting_bytes = parse_integer(field, text)?,
        "price_ratio" => row.price_ratio = parse_number(field, text)?,
        "max_wait_ms" => row.max_wait_ms = parse_integer(field, text)?,
        "default_class" => row.default_class = Some(text.to_string()).filter(|t| !t.is_empty()),
        "is_leaving" => {
            row.is_leaving = match text.to_lowercase().as_str() {
                "" => None,
                "true" | "vrai" | "1" => Some(true),
                "false" | "faux" | "0" => Some(false),
                _ => return Err(format!("{field}: {text:?} is neither true nor false")),
            }
        }
        "max_slots" => row.max_slots = parse_count(field, text)?,
        "key_hashes" => row.key_hashes = words(),
        _ => return Err(format!("no field {field:?}")),
    }
    Ok(())
}

/// Parses a number, also with the decimal comma of French spreadsheets.
fn parse_number(field: &str, text: &str) -> Result<Option<f64>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    let value = text.replace(',', ".").parse::<f64>().ok().filter(|value| value.is_finite());
    value.map(Some).ok_or_else(|| format!("{field}: {text:?} isn't a number"))
}

fn parse_integer(field: &str, text: &str) -> Result<Option<u64>, String> {
    // Spreadsheets may write 160 as 160.0.
    let whole = text.strip_suffix(".0").or(text.strip_suffix(",0")).unwrap_or(text);
    if whole.is_empty() {
        return Ok(None);
    }
    let value = whole.parse::<u64>();
    value.map(Some).map_err(|_| format!("{field}: {text:?} isn't a whole number"))
}

fn parse_count(field: &str, text: &str) -> Result<Option<u32>, String> {
    let value = parse_integer(field, text)?.map(u32::try_from).transpose();
    value.map_err(|_| format!("{field}: {text:?} is too large"))
}
