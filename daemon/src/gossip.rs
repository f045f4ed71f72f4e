//! UDP transport of the membership protocol.

use std::net;
use std::time::Duration;

use gentianhinge_core::membership;
use gentianhinge_wire::datagram;
use gentianhinge_wire::settings;

/// Maximum number of datagrams that are read before the control loop continues with other work.
const READ_BATCH: usize = 64;

/// Socket of the membership protocol, with the key that seals its datagrams.
pub struct Gossip {
    socket: tokio::net::UdpSocket,
    sealer: datagram::Sealer,
    buffer: Vec<u8>,
}

impl Gossip {
    /// Registers a bound socket with the current runtime and waits until it can send.
    ///
    /// # Errors
    ///
    /// The socket can't be registered with the runtime.
    pub async fn new(socket: net::UdpSocket, secret: &str) -> std::io::Result<Gossip> {
        socket.set_nonblocking(true)?;
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        // Until the runtime has polled a new socket once, it refuses each send without an attempt.
        socket.writable().await?;
        let sealer = datagram::Sealer::new(secret);
        Ok(Gossip { socket, sealer, buffer: vec![0; datagram::MAX_DATAGRAM_BYTES + 1] })
    }

    /// Waits until a datagram may be read.
    ///
    /// # Errors
    ///
    /// The readiness of the socket can't be awaited.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Reads datagrams that have arrived; invalid ones are counted and dropped.
    pub fn read(&mut self) -> Vec<membership::Message> {
        let mut messages = Vec::new();
        for _ in 0..READ_BATCH {
            let Ok((len, _)) = self.socket.try_recv_from(&mut self.buffer) else { break };
            metrics::counter!("gentianhinge_membership_received_bytes_total").increment(len as u64);
            match self.sealer.open(&self.buffer[..len]) {
                Ok(message) => messages.push(message),
                Err(_) => metrics::counter!("gentianhinge_membership_dropped_total").increment(1),
            }
        }
        messages
    }

    /// Sends datagrams without waiting; one that the kernel doesn't accept is treated as lost.
    pub fn send(&self, envelopes: &[membership::Envelope]) {
        for envelope in envelopes {
            let bytes = self.sealer.seal(&envelope.message);
            metrics::counter!("gentianhinge_membership_sent_bytes_total")
                .increment(bytes.len() as u64);
            let _ = self.socket.try_send_to(&bytes, envelope.to);
        }
    }
}

/// Intervals and timeouts of the membership protocol from the settings.
pub fn settings(peers: &settings::Peers) -> membership::Settings {
    membership::Settings {
        probe_interval: Duration::from_millis(peers.probe_interval_ms),
        probe_timeout: Duration::from_millis(peers.probe_timeout_ms),
        suspicion: Duration::from_millis(peers.suspicion_ms),
    }
}
