//! HTTP/1.1 of targets that write responses byte by byte.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads a request with the body of [`super::request`]; returns its head.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= "body".len()
        {
            return Some(head.to_string());
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(len) if len > 0 => bytes.extend_from_slice(&buffer[..len]),
            _ => return None,
        }
    }
}

/// Value of a header in a request head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_string())
}

/// Refuses a request that isn't for the target `id`; returns whether it did.
pub async fn refuse_misdirected(stream: &mut TcpStream, head: &str, id: &str) -> bool {
    let is_misdirected = header(head, "expect-instance").as_deref() != Some(id);
    if is_misdirected {
        let refusal = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(refusal.as_bytes()).await.ok();
    }
    is_misdirected
}

/// Head of a response to a request, with more header lines.
pub fn response_head(head: &str, lines: &str) -> String {
    let id = header(head, "attempt-id").unwrap();
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n{lines}\r\n")
}
