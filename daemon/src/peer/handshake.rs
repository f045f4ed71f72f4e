//! Proof that both ends of a session know the fleet's secret.
//!
//! Each side sends a nonce and answers with a keyed hash over both nonces, both routers and its own
//! part in the exchange, so that a proof serves once, in one direction, between two lives.

use gentianhinge_core::ids::RouterId;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Context that sets this use of the secret apart from others.
const KEY_CONTEXT: &str = "gentianhinge 2026-12 session handshake";

/// A number that is used once.
pub type Nonce = [u8; NONCE_BYTES];

/// Key that is derived from the fleet's secret.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

/// Which side gives a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prover {
    /// The router that connected.
    Client,
    /// The router that accepted.
    Server,
}

/// What a proof covers.
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

    /// Proves knowledge of the secret.
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

    /// Whether a proof is right; takes the same time for each wrong one.
    pub fn verify(&self, prover: Prover, exchange: &Exchange, proof: &[u8]) -> bool {
        let expected = self.prove(prover, exchange);
        <[u8; blake3::OUT_LEN]>::try_from(proof).is_ok_and(|proof| expected == proof)
    }
}
