//! Case 8: clients read slowly for some seconds, beside a planned restart of one of two routers.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

#[path = "../../stand-ins-2/tests/fleet.rs"]
mod fleet;

use fleet::{Arrivals, Channel, Fleet, HOST, KEY, Record, Server, Store};

/// Clients at each router.
const CLIENT_COUNT: usize = 4;
/// Time from the requests to the SIGTERM of the first router: by then its server has run them.
const TERM_DELAY: Duration = Duration::from_millis(300);
/// Time limit of a request.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Time for which a client reads 1 KB/s; then it reads the rest at once.
const SLOW_TIME: Duration = Duration::from_secs(7);
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER: i32 = 8 << 10;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const u8, len: u32) -> i32;
}

/// Connects with a small receive buffer.
fn connect_small(addr: SocketAddr) -> io::Result<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(addr) = addr else { return Err(io::Error::other("not an IPv4 address")) };
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&(INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&addr.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&addr.ip().octets());
    // SAFETY: the descriptor is new and owned by the stream; the pointers are valid for the calls.
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) != 0
            || connect(fd, bytes.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn main() {
    fleet::main_of(run);
}

fn request(method: &str, route: &str, attempt: &str) -> String {
    format!(
        "{method} /{route}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Sends a lookup and then, on the same channel, a request for a stream, which it reads slowly.
/// Returns the bytes of the stream's answer and whether it came whole.
fn call(
    front: SocketAddr,
    name: &str,
    record: &Record,
    is_slow: bool,
) -> io::Result<(usize, bool)> {
    let mut channel = Channel::new(connect_small(front)?);
    channel.stream.set_read_timeout(Some(DEADLINE))?;
    channel.write(request("GET", "stock", &format!("{name}-1")).as_bytes())?;
    let first = channel.read()?.ok_or_else(|| io::Error::other("no answer"))?;
    if first.status() != 200 {
        return Err(io::Error::other(first.first_line));
    }
    let attempt = format!("{name}-2");
    record.add(format!("client: sends {attempt} on the channel of {name}-1"));
    channel.write(request("POST", "brief", &attempt).as_bytes())?;
    let began_at = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; 1 << 10]);
    loop {
        if is_slow && began_at.elapsed() < SLOW_TIME {
            thread::sleep(Duration::from_secs(1));
        } else {
            buffer.resize(64 << 10, 0);
        }
        let result = channel.stream.read(&mut buffer);
        let is_end = received.ends_with(b"\r\n0\r\n\r\n");
        match result {
            Ok(len) if len > 0 => received.extend_from_slice(&buffer[..len]),
            Ok(_) => record.add(format!("client: {attempt} ends after {}", received.len())),
            Err(err) => {
                let after = began_at.elapsed().as_millis();
                let len = received.len();
                record.add(format!("client: {attempt}: {err}, {len} bytes, {after} ms"));
                return Ok((received.len(), is_end));
            }
        }
        if received.ends_with(b"\r\n0\r\n\r\n") {
            let after = began_at.elapsed().as_millis();
            record.add(format!("client: {attempt} is whole after {after} ms"));
            return Ok((received.len(), true));
        }
        if matches!(result, Ok(0)) {
            return Ok((received.len(), false));
        }
    }
}

fn run(record: &Record) -> Result<(bool, String), String> {
    let store = Store::start(record);
    let arrivals = Arrivals::default();
    fleet::put_config(&store, 12_000, 1000);
    let work = Duration::from_millis(15);
    for number in 0..3 {
        Server::start(number, work, &store, &arrivals);
    }
    let mut fleet = Fleet::start(2, &store)?;
    thread::sleep(Duration::from_secs(4));
    let is_slow = fleet::has_trouble();
    let fronts = fleet.routers.iter().map(|router| router.front).collect::<Vec<_>>();
    let results = Mutex::new(Vec::new());
    let restarted = thread::scope(|scope| {
        for (i, front) in fronts.iter().enumerate() {
            for number in 0..CLIENT_COUNT {
                let results = &results;
                scope.spawn(move || {
                    let result = call(*front, &format!("c{i}{number}"), record, is_slow);
                    fleet::lock(results).push((i, result));
                });
            }
        }
        thread::sleep(TERM_DELAY);
        fleet.restart(0)
    });
    restarted?;
    drop(fleet);
    let runs = fleet::lock(&arrivals).iter().filter(|it| it.attempt.ends_with("-2")).count();
    let results = fleet::lock(&results);
    if let Some((_, Err(err))) = results.iter().find(|(_, result)| result.is_err()) {
        return Err(format!("a client failed: {err}"));
    }
    let of_router = |number: usize| {
        let own = results.iter().filter(move |(router, _)| *router == number);
        own.filter_map(|(_, result)| result.as_ref().ok())
    };
    let lost = |number| of_router(number).filter(|(_, is_whole)| !is_whole).count();
    let bytes = |number| of_router(number).map(|(len, _)| len.to_string()).collect::<Vec<_>>();
    let text = format!(
        "of {CLIENT_COUNT} requests at the router that was stopped and started again, {} ended without \
         a whole answer (bytes received: {}), at the other one {} of {CLIENT_COUNT} ({}); {runs} runs \
         at servers",
        lost(0),
        bytes(0).join(", "),
        lost(1),
        bytes(1).join(", "),
    );
    Ok((lost(0) > 0, text))
}
