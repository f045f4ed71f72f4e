//! Mutual authentication of two routers by the fleet's shared secret.
//!
//! Each side sends a nonce and proves itself by a keyed hash over both nonces, both router ids and
//! its own role in the exchange. A proof is therefore valid for one exchange, in one direction,
//! between two incarnations.

use gentianhinge_core::ids::RouterId;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Key derivation context, which separates this use of the secret from others.
const KEY_CONTEXT: &str = "gentianhinge 2026-12 session handshake";

/// Random value that is used for one exchange.
pub type Nonce = [u8; NONCE_BYTES];

/// Key of the proofs, derived from the fleet's secret.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

/// Side of the exchange that a proof authenticates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prover {
    /// The router that connected.
    Client,
    /// The router that accepted.
    Server,
}

/// Data that a proof covers.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The router that connected.
    pub client: RouterId,
    /// The router that accepted.
    pub server: RouterId,
    /// Nonce of the client.
    pub client_nonce: Nonce,
    /// Nonce of the server.
    pub server_nonce: Nonce,
}

impl Key {
    /// Derives the key from the secret.
    pub fn new(secret: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Computes a proof that the prover knows the secret.
    pub fn prove(&self, prover: Prover, exchange: &Exchange) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match prover {
            Prover::Client => b"client",
            Prover::Server => b"server",
        });
        hasher.update(&exchange.client_nonce).update(&exchange.server_nonce);
        for router in [&exchange.client, &exchange.server] {
            hasher.update(&(router.name.len() as u64).to_le_bytes());
            hasher.update(router.name.as_bytes());
            hasher.update(&router.incarnation.to_le_bytes());
        }
        hasher.finalize()
    }

    /// Whether a proof is valid; proofs of the right length are compared in constant time.
    pub fn verify(&self, prover: Prover, exchange: &Exchange, proof: &[u8]) -> bool {
        let expected = self.prove(prover, exchange);
        <[u8; blake3::OUT_LEN]>::try_from(proof).is_ok_and(|proof| expected == proof)
    }
}
