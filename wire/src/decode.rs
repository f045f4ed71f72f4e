//! Bounds-checked decoding of message fields that come from other routers.

use std::str;

use gentianhinge_core::ids::{Name, RouterId};
use quick_error::quick_error;

use crate::generated::peer_capnp;

/// Maximum length of a name in a message.
pub const MAX_NAME_BYTES: usize = 256;

/// Maximum number of entries of a list in a message.
pub const MAX_LIST_LEN: u32 = 65_536;

quick_error! {
    /// Why a message can't be decoded.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The bytes don't match the schema.
        Malformed(err: capnp::Error) {
            display("malformed message: {err}")
            source(err)
            from()
            from(err: capnp::NotInSchema) -> (capnp::Error::from(err))
        }
        /// A text isn't valid UTF-8.
        Text(err: str::Utf8Error) {
            display("text: {err}")
            source(err)
            from()
        }
        /// A value or length is out of bounds.
        Bound(field: &'static str) {
            display("{field} is out of bounds")
        }
    }
}

impl From<DecodeError> for capnp::Error {
    fn from(err: DecodeError) -> capnp::Error {
        capnp::Error::failed(err.to_string())
    }
}

/// Decodes a name of at most `max_bytes`.
pub(crate) fn name(
    text: capnp::Result<capnp::text::Reader<'_>>,
    max_bytes: usize,
) -> Result<Name, DecodeError> {
    let text = text?;
    if text.len() > max_bytes {
        return Err(DecodeError::Bound("name"));
    }
    Ok(text.to_str()?.into())
}

/// Checks the length of a list.
pub(crate) fn list_len(len: u32) -> Result<u32, DecodeError> {
    if len > MAX_LIST_LEN {
        return Err(DecodeError::Bound("list"));
    }
    Ok(len)
}

/// Checks that a cost is finite and not negative.
pub(crate) fn cost(value: f64) -> Result<f64, DecodeError> {
    if !value.is_finite() || value < 0.0 {
        return Err(DecodeError::Bound("cost"));
    }
    Ok(value)
}

/// Decodes a router's name and incarnation.
///
/// # Errors
///
/// The name isn't valid UTF-8 or is longer than [`MAX_NAME_BYTES`].
pub fn router_id(reader: peer_capnp::router_id::Reader<'_>) -> Result<RouterId, DecodeError> {
    Ok(RouterId::new(name(reader.get_name(), MAX_NAME_BYTES)?, reader.get_incarnation()))
}

/// Encodes a router's name and incarnation.
pub fn set_router_id(mut builder: peer_capnp::router_id::Builder<'_>, id: &RouterId) {
    builder.set_name(&*id.name);
    builder.set_incarnation(id.incarnation);
}
