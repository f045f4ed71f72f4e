//! Memory budgets for what is buffered of requests and responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use quick_error::quick_error;

/// Size up to which a message needs no reservation: far above the usual size, so that large messages
/// don't block usual ones.
const UNRESERVED_BYTES: usize = 64 << 10;

quick_error! {
    /// Error of a reservation.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BufferError {
        /// The budget is exhausted.
        Exhausted {
            display("no memory left for a message of this size")
        }
    }
}

/// Memory budget of all messages of one kind. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    free_bytes: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Creates a budget of a part of the process's memory, given in MB.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^52 bytes.
    pub fn new(memory_mb: f64, part: f64) -> BufferBudget {
        BufferBudget { free_bytes: Arc::new(AtomicUsize::new((memory_mb * 1e6 * part) as usize)) }
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of a message, with its reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Part of a budget reserved for one message; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Reserves memory for a message of which `len` bytes are buffered.
    ///
    /// # Errors
    ///
    /// The budget is exhausted; the reservation is unchanged.
    pub fn resize(&mut self, len: usize) -> Result<(), BufferError> {
        let bytes = len.saturating_sub(UNRESERVED_BYTES);
        let free_bytes = &self.budget.free_bytes;
        if let Some(more) = bytes.checked_sub(self.bytes) {
            let take = |free: usize| free.checked_sub(more);
            let taken = free_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
            taken.map_err(|_| BufferError::Exhausted)?;
        } else {
            free_bytes.fetch_add(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Releases all that is reserved.
    pub fn release(&mut self) {
        self.budget.free_bytes.fetch_add(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }

    /// Ties the reservation to the message: it is released with the last copy of the bytes.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
