//! `capnp-rpc` over one TCP connection, with packed messages.
//!
//! The library's own network sends messages unpacked, most of whose bytes are zero. This one packs
//! each message and puts its length before it.

use std::cell;
use std::rc;

use capnp::capability::Promise;
use capnp::message;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;
use tokio::time;

/// Largest packed message before the other side has proved who it is, in bytes.
const MAX_STRANGER_BYTES: usize = 4 << 10;

/// Largest packed message, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Most words of one message.
const MAX_WORDS: usize = 1 << 20;

/// Bits of a frame's length in each byte of it.
const LENGTH_BITS: u32 = 7;

type Builder = message::Builder<message::HeapAllocator>;

/// What is known of a connection's traffic.
#[derive(Debug)]
pub struct Meter {
    /// When the last message arrived.
    pub heard_at: cell::Cell<time::Instant>,
    /// Bytes sent.
    pub sent_bytes: cell::Cell<u64>,
    /// Bytes received.
    pub received_bytes: cell::Cell<u64>,
    max_frame_bytes: cell::Cell<usize>,
}

impl Meter {
    /// Creates the meter of a new connection.
    pub fn new(now: time::Instant) -> rc::Rc<Meter> {
        rc::Rc::new(Meter {
            heard_at: cell::Cell::new(now),
            sent_bytes: cell::Cell::new(0),
            received_bytes: cell::Cell::new(0),
            max_frame_bytes: cell::Cell::new(MAX_STRANGER_BYTES),
        })
    }

    /// Lets the other side send large messages.
    pub fn trust(&self) {
        self.max_frame_bytes.set(MAX_FRAME_BYTES);
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
    outgoing: mpsc::UnboundedSender<rc::Rc<Builder>>,
    incoming: rc::Rc<tokio::sync::Mutex<Box<dyn AsyncRead + Unpin>>>,
    meter: rc::Rc<Meter>,
}

struct Outgoing {
    message: Builder,
    sender: mpsc::UnboundedSender<rc::Rc<Builder>>,
}

struct Incoming {
    message: message::Reader<capnp::serialize::OwnedSegments>,
}

impl Network {
    /// Creates the network of one connection.
    pub fn new(
        reader: impl AsyncRead + Unpin + 'static,
        writer: impl AsyncWrite + Unpin + 'static,
        side: Side,
        meter: rc::Rc<Meter>,
    ) -> Network {
        let (outgoing, messages) = mpsc::unbounded_channel();
        let writer = Promise::from_future(write_all(writer, messages, meter.clone()));
        let reader = Box::new(BufReader::new(reader)) as Box<dyn AsyncRead + Unpin>;
        let incoming = rc::Rc::new(tokio::sync::Mutex::new(reader));
        let link = Link { side, outgoing, incoming, meter };
        Network { link: Some(link), writer: Some(writer), side }
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
        // The client's side takes its connection by `connect`.
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
        Box::new(Outgoing { message, sender: self.outgoing.clone() })
    }

    fn receive_incoming_message(
        &mut self,
    ) -> Promise<Option<Box<dyn capnp_rpc::IncomingMessage>>, capnp::Error> {
        let (incoming, meter) = (self.incoming.clone(), self.meter.clone());
        Promise::from_future(async move {
            let mut reader = incoming.lock().await;
            let message = read_frame(&mut *reader, &meter).await?;
            Ok(message.map(|message| {
                Box::new(Incoming { message }) as Box<dyn capnp_rpc::IncomingMessage>
            }))
        })
    }

    fn shutdown(&mut self, result: capnp::Result<()>) -> Promise<(), capnp::Error> {
        // The writer ends when the last sender is gone.
        self.outgoing = mpsc::unbounded_channel().0;
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
        let sent = self.sender.send(message.clone());
        let sent = sent.map_err(|_| capnp::Error::disconnected("closed".to_string()));
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

/// Writes messages until the last sender is gone; those that are ready go out together.
async fn write_all(
    mut writer: impl AsyncWrite + Unpin,
    mut messages: mpsc::UnboundedReceiver<rc::Rc<Builder>>,
    meter: rc::Rc<Meter>,
) -> capnp::Result<()> {
    let mut bytes = Vec::new();
    while let Some(message) = messages.recv().await {
        bytes.clear();
        push_frame(&mut bytes, &message)?;
        drop(message);
        while let Ok(message) = messages.try_recv() {
            push_frame(&mut bytes, &message)?;
        }
        meter.sent_bytes.set(meter.sent_bytes.get() + bytes.len() as u64);
        writer.write_all(&bytes).await?;
        writer.flush().await?;
    }
    let _ = writer.shutdown().await;
    Ok(())
}

fn push_frame(bytes: &mut Vec<u8>, message: &Builder) -> capnp::Result<()> {
    let mut packed = Vec::new();
    capnp::serialize_packed::write_message(&mut packed, message)?;
    let mut len = packed.len();
    while len >> LENGTH_BITS > 0 {
        bytes.push((len & 0x7f) as u8 | 0x80);
        len >>= LENGTH_BITS;
    }
    bytes.push(len as u8);
    bytes.extend(packed);
    Ok(())
}

/// Reads one message; `None` at the connection's end.
async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
    meter: &Meter,
) -> capnp::Result<Option<message::Reader<capnp::serialize::OwnedSegments>>> {
    let Some(len) = read_len(reader).await? else { return Ok(None) };
    if len > meter.max_frame_bytes.get() {
        return Err(capnp::Error::failed(format!("a message of {len} bytes is too large")));
    }
    let mut packed = vec![0; len];
    reader.read_exact(&mut packed).await?;
    meter.heard_at.set(time::Instant::now());
    meter.received_bytes.set(meter.received_bytes.get() + len as u64);
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(32);
    capnp::serialize_packed::read_message(&mut packed.as_slice(), options).map(Some)
}

async fn read_len(reader: &mut (impl AsyncRead + Unpin)) -> capnp::Result<Option<usize>> {
    let mut len = 0;
    for i in 0..4 {
        let byte = match reader.read_u8().await {
            Ok(byte) => byte,
            Err(err) if i == 0 && err.kind() == std::io::ErrorKind::UnexpectedEof => {
                return Ok(None);
            }
            Err(err) => return Err(err.into()),
        };
        len |= usize::from(byte & 0x7f) << (LENGTH_BITS * i);
        if byte & 0x80 == 0 {
            return Ok(Some(len));
        }
    }
    Err(capnp::Error::failed("a message's length is malformed".to_string()))
}
