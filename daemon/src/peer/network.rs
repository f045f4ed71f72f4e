//! `capnp-rpc` over one TCP connection, with packed messages.
//!
//! The library's own network sends messages unpacked, most of whose bytes are zero. This one packs
//! each message and prefixes it with its length. It carries session frames as well as RPC messages.

use std::cell;
use std::rc;

use capnp::capability::Promise;
use capnp::message;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;
use tokio::time;

/// Largest packed message from a peer that isn't authenticated yet, in bytes.
const MAX_UNAUTHENTICATED_BYTES: usize = 4 << 10;

/// Largest packed message from an authenticated peer, in bytes.
const MAX_PACKED_BYTES: usize = 1 << 20;

/// Maximum number of words that may be read from one message.
const MAX_WORDS: usize = 1 << 20;

/// Value bits in each byte of a message header; the highest bit marks a continuation.
const HEADER_BITS_PER_BYTE: u32 = 7;

/// Size of a write from which no further message is added to it.
const MAX_WRITE_BYTES: usize = 64 << 10;

/// A message being built.
pub type Builder = message::Builder<message::HeapAllocator>;

/// A received message.
pub type Received = message::Reader<capnp::serialize::OwnedSegments>;

/// Handles each received session frame; nothing more is read until the promise resolves.
pub type OnFrame = Box<dyn Fn(Received) -> Promise<(), capnp::Error>>;

/// An entry of the write queue.
enum Message {
    Rpc(rc::Rc<Builder>),
    Frame(Builder),
    /// Stops the writer, which closes the connection.
    Close,
}

/// Write queue and traffic counters of one connection.
pub struct Channel {
    /// When the last message arrived.
    pub last_received_at: cell::Cell<time::Instant>,
    /// Bytes sent.
    pub sent_bytes: cell::Cell<u64>,
    /// Bytes received.
    pub received_bytes: cell::Cell<u64>,
    max_frame_bytes: cell::Cell<usize>,
    queued_count: cell::Cell<usize>,
    outgoing: mpsc::UnboundedSender<Message>,
}

impl Channel {
    /// Raises the message size limit after the peer has been authenticated.
    pub fn set_authenticated(&self) {
        self.max_frame_bytes.set(MAX_PACKED_BYTES);
    }

    /// Number of messages in the write queue.
    pub fn queued_count(&self) -> usize {
        self.queued_count.get()
    }

    /// Queues a session frame; it is dropped if the connection has ended.
    pub fn send(&self, frame: Builder) {
        if self.outgoing.send(Message::Frame(frame)).is_ok() {
            self.queued_count.set(self.queued_count.get() + 1);
        }
    }
}

/// One connection as `capnp-rpc` sees it.
pub struct Network {
    link: Option<Link>,
    writer: Option<Promise<(), capnp::Error>>,
    side: Side,
}

struct Link {
    side: Side,
    incoming: rc::Rc<tokio::sync::Mutex<Box<dyn AsyncRead + Unpin>>>,
    channel: rc::Rc<Channel>,
    on_frame: rc::Rc<OnFrame>,
}

struct Outgoing {
    message: Builder,
    channel: rc::Rc<Channel>,
}

struct Incoming {
    message: Received,
}

impl Network {
    /// Creates the network and the channel of one connection; `on_frame` creates its frame handler.
    pub fn new(
        reader: impl AsyncRead + Unpin + 'static,
        writer: impl AsyncWrite + Unpin + 'static,
        side: Side,
        on_frame: impl FnOnce(&rc::Rc<Channel>) -> OnFrame,
    ) -> (Network, rc::Rc<Channel>) {
        let (outgoing, messages) = mpsc::unbounded_channel();
        let channel = rc::Rc::new(Channel {
            last_received_at: cell::Cell::new(time::Instant::now()),
            sent_bytes: cell::Cell::new(0),
            received_bytes: cell::Cell::new(0),
            max_frame_bytes: cell::Cell::new(MAX_UNAUTHENTICATED_BYTES),
            queued_count: cell::Cell::new(0),
            outgoing,
        });
        let on_frame = rc::Rc::new(on_frame(&channel));
        let writer = write_all(writer, messages, rc::Rc::downgrade(&channel));
        let reader = Box::new(BufReader::new(reader)) as Box<dyn AsyncRead + Unpin>;
        let incoming = rc::Rc::new(tokio::sync::Mutex::new(reader));
        let link = Link { side, incoming, channel: channel.clone(), on_frame };
        let writer = Some(Promise::from_future(writer));
        (Network { link: Some(link), writer, side }, channel)
    }
}

impl capnp_rpc::VatNetwork<Side> for Network {
    fn connect(&mut self, side: Side) -> Option<Box<dyn capnp_rpc::Connection<Side>>> {
        if side == self.side {
            return None;
        }
        self.link.take().map(|link| Box::new(link) as Box<dyn capnp_rpc::Connection<Side>>)
    }

    fn accept(&mut self) -> Promise<Box<dyn capnp_rpc::Connection<Side>>, capnp::Error> {
        // The client's side obtains its connection from `connect`.
        if self.side == Side::Client {
            return Promise::from_future(std::future::pending());
        }
        match self.link.take() {
            Some(link) => Promise::ok(Box::new(link) as Box<dyn capnp_rpc::Connection<Side>>),
            None => Promise::from_future(std::future::pending()),
        }
    }

    fn drive_until_shutdown(&mut self) -> Promise<(), capnp::Error> {
        self.writer.take().unwrap_or_else(|| Promise::from_future(std::future::pending()))
    }
}

impl capnp_rpc::Connection<Side> for Link {
    fn get_peer_vat_id(&self) -> Side {
        self.side
    }

    fn new_outgoing_message(&mut self, words: u32) -> Box<dyn capnp_rpc::OutgoingMessage> {
        let allocator = message::HeapAllocator::new().first_segment_words(words);
        let message = message::Builder::new(allocator);
        Box::new(Outgoing { message, channel: self.channel.clone() })
    }

    fn receive_incoming_message(
        &mut self,
    ) -> Promise<Option<Box<dyn capnp_rpc::IncomingMessage>>, capnp::Error> {
        let (incoming, channel) = (self.incoming.clone(), self.channel.clone());
        let on_frame = self.on_frame.clone();
        Promise::from_future(async move {
            let mut reader = incoming.lock().await;
            loop {
                match read_message(&mut *reader, &channel).await? {
                    None => return Ok(None),
                    Some((message, true)) => on_frame(message).await?,
                    Some((message, false)) => {
                        let incoming = Incoming { message };
                        return Ok(Some(Box::new(incoming) as Box<dyn capnp_rpc::IncomingMessage>));
                    }
                }
            }
        })
    }

    fn shutdown(&mut self, result: capnp::Result<()>) -> Promise<(), capnp::Error> {
        let _ = self.channel.outgoing.send(Message::Close);
        match result {
            Ok(()) => Promise::ok(()),
            Err(err) => Promise::err(err),
        }
    }
}

impl capnp_rpc::OutgoingMessage for Outgoing {
    fn get_body(&mut self) -> capnp::Result<capnp::any_pointer::Builder<'_>> {
        self.message.get_root()
    }

    fn get_body_as_reader(&self) -> capnp::Result<capnp::any_pointer::Reader<'_>> {
        self.message.get_root_as_reader()
    }

    fn send(self: Box<Self>) -> (Promise<(), capnp::Error>, rc::Rc<Builder>) {
        let message = rc::Rc::new(self.message);
        let sent = self.channel.outgoing.send(Message::Rpc(message.clone()));
        let sent = sent.map_err(|_| capnp::Error::disconnected("closed".to_string()));
        if sent.is_ok() {
            self.channel.queued_count.set(self.channel.queued_count.get() + 1);
        }
        (Promise::from_future(std::future::ready(sent)), message)
    }

    fn take(self: Box<Self>) -> Builder {
        self.message
    }

    fn size_in_words(&self) -> usize {
        self.message.size_in_words()
    }
}

impl capnp_rpc::IncomingMessage for Incoming {
    fn get_body(&self) -> capnp::Result<capnp::any_pointer::Reader<'_>> {
        self.message.get_root()
    }
}

/// Writes messages until the connection is closed; queued ones are combined into one write.
async fn write_all(
    mut writer: impl AsyncWrite + Unpin,
    mut messages: mpsc::UnboundedReceiver<Message>,
    channel: rc::Weak<Channel>,
) -> capnp::Result<()> {
    let mut bytes = Vec::new();
    while let Some(message) = messages.recv().await {
        bytes.clear();
        let mut closed = push_message(&mut bytes, message)?;
        let mut count = 1;
        while !closed && bytes.len() < MAX_WRITE_BYTES {
            let Ok(message) = messages.try_recv() else { break };
            closed = push_message(&mut bytes, message)?;
            count += 1;
        }
        writer.write_all(&bytes).await?;
        writer.flush().await?;
        if let Some(channel) = channel.upgrade() {
            channel.sent_bytes.set(channel.sent_bytes.get() + bytes.len() as u64);
            channel.queued_count.set(channel.queued_count.get().saturating_sub(count));
        }
        if closed {
            break;
        }
    }
    let _ = writer.shutdown().await;
    Ok(())
}

/// Appends a message with its header, a variable-length integer that holds the length of the
/// message, shifted left by one, and a lowest bit that is set for frames. Returns `true` for
/// [`Message::Close`].
fn push_message(bytes: &mut Vec<u8>, message: Message) -> capnp::Result<bool> {
    let mut packed = Vec::new();
    let is_frame = match &message {
        Message::Rpc(message) => {
            capnp::serialize_packed::write_message(&mut packed, &**message)?;
            false
        }
        Message::Frame(message) => {
            capnp::serialize_packed::write_message(&mut packed, message)?;
            true
        }
        Message::Close => return Ok(true),
    };
    let mut header = packed.len() << 1 | usize::from(is_frame);
    while header >> HEADER_BITS_PER_BYTE > 0 {
        bytes.push((header & 0x7f) as u8 | 0x80);
        header >>= HEADER_BITS_PER_BYTE;
    }
    bytes.push(header as u8);
    bytes.extend(packed);
    Ok(false)
}

/// Reads one message and whether it is a frame; `None` at the end of the connection.
async fn read_message(
    reader: &mut (impl AsyncRead + Unpin),
    channel: &Channel,
) -> capnp::Result<Option<(Received, bool)>> {
    let Some(header) = read_header(reader).await? else { return Ok(None) };
    let (len, is_frame) = (header >> 1, header & 1 == 1);
    if len > channel.max_frame_bytes.get() {
        return Err(capnp::Error::failed(format!("a message of {len} bytes is too large")));
    }
    let mut packed = vec![0; len];
    reader.read_exact(&mut packed).await?;
    channel.last_received_at.set(time::Instant::now());
    channel.received_bytes.set(channel.received_bytes.get() + len as u64 + 1);
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(32);
    let message = capnp::serialize_packed::read_message(&mut packed.as_slice(), options)?;
    Ok(Some((message, is_frame)))
}

async fn read_header(reader: &mut (impl AsyncRead + Unpin)) -> capnp::Result<Option<usize>> {
    let mut header = 0;
    for i in 0..4 {
        let byte = match reader.read_u8().await {
            Ok(byte) => byte,
            Err(err) if i == 0 && err.kind() == std::io::ErrorKind::UnexpectedEof => {
                return Ok(None);
            }
            Err(err) => return Err(err.into()),
        };
        header |= usize::from(byte & 0x7f) << (HEADER_BITS_PER_BYTE * i);
        if byte & 0x80 == 0 {
            return Ok(Some(header));
        }
    }
    Err(capnp::Error::failed("a message's length is malformed".to_string()))
}
