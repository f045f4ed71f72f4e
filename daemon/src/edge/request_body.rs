//! Reads the bodies of callers' requests.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use quick_error::quick_error;
use tokio::time::{self, Instant};

use super::buffers::{BufferBudget, Reservation};

quick_error! {
    /// Why a body can't be read.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyReadError {
        /// The body exceeds the configured limit.
        TooLarge {
            display("the body is larger than the configuration allows")
        }
        /// The connection failed before the end.
        Broken {
            display("the body is incomplete")
        }
        /// The deadline passed before the end.
        TooLate {
            display("the deadline passed before the end of the body")
        }
        /// The memory for bodies is exhausted.
        NoMemory {
            display("no memory left for a body of this size")
        }
    }
}

/// A complete body. Its memory is reserved until it is dropped.
#[derive(Debug)]
pub struct RequestBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    _reservation: Reservation,
}

/// Reads a body of at most `max_bytes`. The memory of one with a length is reserved before it is read.
///
/// # Errors
///
/// The body can't be read completely; a part of it may be left on the connection.
pub async fn read(
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
    budget: &BufferBudget,
) -> Result<RequestBody, BodyReadError> {
    let len = body.size_hint().exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if len.is_some_and(|len| len > max_bytes) {
        return Err(BodyReadError::TooLarge);
    }
    let mut reservation = budget.reservation();
    reservation.resize(len.unwrap_or(0)).map_err(|_| BodyReadError::NoMemory)?;
    let bytes = BytesMut::with_capacity(len.unwrap_or(0));
    let reading = collect(body, bytes, max_bytes, &mut reservation);
    let bytes = time::timeout_at(deadline, reading).await;
    let bytes = bytes.unwrap_or(Err(BodyReadError::TooLate))?;
    Ok(RequestBody { bytes, _reservation: reservation })
}

async fn collect(
    mut body: Incoming,
    mut bytes: BytesMut,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyReadError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        let len = bytes.len() + data.len();
        if len > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        if len > bytes.capacity() {
            // The buffer doubles, and the old one is copied meanwhile.
            reservation.resize(len * 3).map_err(|_| BodyReadError::NoMemory)?;
            bytes.reserve(len);
            reservation.resize(bytes.capacity()).map_err(|_| BodyReadError::NoMemory)?;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
