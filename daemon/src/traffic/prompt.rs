//! The few fields of a model request that the router reads.

use serde::Deserialize;

use gentianhinge_core::code::ResultCode;

use super::failure::Failure;

/// Bytes of a prompt that are taken for one token until the engine tells the number.
const BYTES_PER_TOKEN: f64 = 4.0;

/// What the router reads of a model request's body.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Reads the body of a model request.
///
/// # Errors
///
/// The body isn't a JSON object with a model's name.
pub fn parse(body: &[u8]) -> Result<Prompt, Failure> {
    serde_json::from_slice::<Prompt>(body)
        .map_err(|err| Failure::new(ResultCode::MalformedRequest, err.to_string()))
}

/// Number of prompt tokens guessed from the size of the body.
pub fn guess_tokens(body: &[u8]) -> f64 {
    body.len() as f64 / BYTES_PER_TOKEN
}
