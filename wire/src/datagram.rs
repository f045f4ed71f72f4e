//! Encoding of membership datagrams: a keyed hash followed by the packed message.
//!
//! A datagram with a wrong hash is rejected before its message is decoded.
//!
//! # Replay
//!
//! A replayed datagram is accepted but has no effect: member states are ordered by incarnation and
//! version, an acknowledgement counts only for a pending probe, and the reply goes to the address in
//! the authenticated message, not to the datagram's source address.

use std::net;

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{Kind, LeavingTarget, Member, Message, Status, message};
use quick_error::quick_error;

use crate::decode::{self, DecodeError};
use crate::generated::membership_capnp;

/// Maximum size of a datagram; fits a usual link's MTU without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Length of the keyed hash, which is truncated.
const HASH_BYTES: usize = 16;

/// Key derivation context, which separates this use of the secret from others.
const KEY_CONTEXT: &str = "gentianhinge 2026-12 membership datagram";

/// Traversal limit for decoding a datagram, in words of 8 bytes.
const TRAVERSAL_LIMIT_WORDS: usize = 4096;

/// Maximum number of entries of each list in a datagram.
const MAX_LIST_ENTRIES: u32 = 256;

quick_error! {
    /// Why a received datagram is dropped.
    #[derive(Debug)]
    pub enum DatagramError {
        /// It is too short for a hash and a message, or longer than [`MAX_DATAGRAM_BYTES`].
        Size(len_bytes: usize) {
            display("invalid datagram size of {len_bytes} bytes")
        }
        /// The hash doesn't match: the message was altered, or its sender has another secret.
        Hash {
            display("wrong keyed hash")
        }
        /// The message can't be decoded.
        Decode(err: DecodeError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Encodes and decodes datagrams, authenticated with the fleet's secret.
#[derive(Clone)]
pub struct Sealer {
    key: [u8; blake3::KEY_LEN],
}

impl Sealer {
    /// Derives the hash key from the secret.
    pub fn new(secret: &str) -> Sealer {
        Sealer { key: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) }
    }

    /// Encodes a message and prepends its keyed hash.
    pub fn seal(&self, message: &Message) -> Vec<u8> {
        let mut builder = capnp::message::Builder::new_default();
        write_message(builder.init_root(), message);
        let mut bytes = vec![0; HASH_BYTES];
        // Writing to a `Vec` can't fail.
        let _ = capnp::serialize_packed::write_message(&mut bytes, &builder);
        let hash = blake3::keyed_hash(&self.key, &bytes[HASH_BYTES..]);
        bytes[..HASH_BYTES].copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
        bytes
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// The size or hash of the datagram is wrong, or its message is malformed.
    pub fn open(&self, datagram: &[u8]) -> Result<Message, DatagramError> {
        let size = HASH_BYTES + 1..=MAX_DATAGRAM_BYTES;
        if !size.contains(&datagram.len()) {
            return Err(DatagramError::Size(datagram.len()));
        }
        let (hash, mut body) = datagram.split_at(HASH_BYTES);
        let expected = blake3::keyed_hash(&self.key, body);
        if !constant_time_eq(&expected.as_bytes()[..HASH_BYTES], hash) {
            return Err(DatagramError::Hash);
        }
        let mut options = capnp::message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS)).nesting_limit(8);
        let reader = capnp::serialize_packed::read_message(&mut body, options);
        let reader = reader.map_err(DecodeError::from)?;
        Ok(read_message(reader.get_root().map_err(DecodeError::from)?)?)
    }
}

/// Compares slices in constant time, so that a forger can't find the hash byte by byte.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differing == 0
}

fn write_message(mut builder: membership_capnp::datagram::Builder<'_>, message: &Message) {
    builder.set_seq(message.seq);
    write_member(builder.reborrow().init_sender(), &message.sender);
    if !message.members.is_empty() {
        let mut list = builder.reborrow().init_members(message.members.len() as u32);
        for (i, member) in (0..).zip(&message.members) {
            write_member(list.reborrow().get(i), member);
        }
    }
    if !message.leaving_targets.is_empty() {
        let count = message.leaving_targets.len() as u32;
        let mut list = builder.reborrow().init_leaving_targets(count);
        for (i, target) in (0..).zip(&message.leaving_targets) {
            let mut entry = list.reborrow().get(i);
            entry.set_name(&*target.name);
            entry.set_incarnation(target.incarnation);
        }
    }
    match &message.kind {
        Kind::Ping => builder.set_ping(()),
        Kind::Ack => builder.set_ack(()),
        Kind::PingRequest { target_addr } => builder.set_ping_request(&addr_bytes(*target_addr)),
        Kind::Spread => builder.set_spread(()),
        Kind::Sync { after } => builder.set_sync(&**after),
        Kind::Page { more } => builder.set_page(*more),
    }
}

fn write_member(mut builder: membership_capnp::member::Builder<'_>, member: &Member) {
    builder.set_name(&*member.id.name);
    builder.set_incarnation(member.id.incarnation);
    builder.set_version(member.version);
    builder.set_status(match member.status {
        Status::Alive => membership_capnp::member::Status::Alive,
        Status::Suspect => membership_capnp::member::Status::Suspect,
        Status::Dead => membership_capnp::member::Status::Dead,
        Status::Left => membership_capnp::member::Status::Left,
    });
    builder.set_draining(member.draining);
    builder.set_applied_offset(member.applied_offset);
    builder.set_peers_addr(&addr_bytes(member.peers_addr));
    builder.set_region(&*member.region);
    builder.set_zone(&*member.zone);
}

fn read_message(reader: membership_capnp::datagram::Reader<'_>) -> Result<Message, DecodeError> {
    use membership_capnp::datagram::Which;
    let kind = match reader.which()? {
        Which::Ping(()) => Kind::Ping,
        Which::Ack(()) => Kind::Ack,
        Which::PingRequest(addr) => Kind::PingRequest { target_addr: read_addr(addr?)? },
        Which::Spread(()) => Kind::Spread,
        Which::Sync(after) => Kind::Sync { after: decode::name(after, message::MAX_NAME_BYTES)? },
        Which::Page(more) => Kind::Page { more },
    };
    let (members, targets) = (reader.get_members()?, reader.get_leaving_targets()?);
    if members.len() > MAX_LIST_ENTRIES || targets.len() > MAX_LIST_ENTRIES {
        return Err(DecodeError::Bound("list"));
    }
    let read_target = |line: membership_capnp::leaving_target::Reader<'_>| {
        let name = decode::name(line.get_name(), message::MAX_NAME_BYTES)?;
        Ok(LeavingTarget { name, incarnation: line.get_incarnation() })
    };
    Ok(Message {
        kind,
        seq: reader.get_seq(),
        sender: read_member(reader.get_sender()?)?,
        members: members.iter().map(read_member).collect::<Result<_, _>>()?,
        leaving_targets: targets.iter().map(read_target).collect::<Result<_, DecodeError>>()?,
    })
}

fn read_member(reader: membership_capnp::member::Reader<'_>) -> Result<Member, DecodeError> {
    let name = decode::name(reader.get_name(), message::MAX_NAME_BYTES)?;
    if name.is_empty() {
        return Err(DecodeError::Bound("name"));
    }
    Ok(Member {
        id: RouterId { name, incarnation: reader.get_incarnation() },
        version: reader.get_version(),
        status: match reader.get_status()? {
            membership_capnp::member::Status::Alive => Status::Alive,
            membership_capnp::member::Status::Suspect => Status::Suspect,
            membership_capnp::member::Status::Dead => Status::Dead,
            membership_capnp::member::Status::Left => Status::Left,
        },
        draining: reader.get_draining(),
        applied_offset: reader.get_applied_offset(),
        peers_addr: read_addr(reader.get_peers_addr()?)?,
        region: decode::name(reader.get_region(), message::MAX_NAME_BYTES)?,
        zone: decode::name(reader.get_zone(), message::MAX_NAME_BYTES)?,
    })
}

/// Encodes an address as its IP address and port in network byte order.
fn addr_bytes(addr: net::SocketAddr) -> Vec<u8> {
    let mut bytes = match addr.ip() {
        net::IpAddr::V4(ip) => ip.octets().to_vec(),
        net::IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(addr.port().to_be_bytes());
    bytes
}

fn read_addr(bytes: &[u8]) -> Result<net::SocketAddr, DecodeError> {
    let (ip, port) =
        bytes.split_last_chunk::<2>().ok_or(DecodeError::Bound("length of an address"))?;
    let port = u16::from_be_bytes(*port);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((ip, port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).map_err(|_| DecodeError::Bound("length of an address"))?;
    Ok((ip, port).into())
}
