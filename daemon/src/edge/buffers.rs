//! Memory budgets for what is buffered of requests and responses.

use std::cell::Cell;
use std::rc::Rc;

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
    free_bytes: Rc<Cell<usize>>,
}

impl BufferBudget {
    /// Creates a budget of a part of the process's memory, given in MB.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^52 bytes.
    pub fn new(memory_mb: f64, part: f64) -> BufferBudget {
        BufferBudget { free_bytes: Rc::new(Cell::new((memory_mb * 1e6 * part) as usize)) }
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
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
        let available_bytes = self.budget.free_bytes.get() + self.bytes;
        let remaining = available_bytes.checked_sub(bytes).ok_or(BufferError::Exhausted)?;
        self.budget.free_bytes.set(remaining);
        self.bytes = bytes;
        Ok(())
    }

    /// Releases all that is reserved.
    pub fn release(&mut self) {
        self.budget.free_bytes.update(|free| free + self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}
