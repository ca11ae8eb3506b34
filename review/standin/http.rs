//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads the head of a message; its body is still to be read.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next()?.to_owned();
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Some(Message { first_line, fields, body: Vec::new() })
    }

    /// Reads a whole message whose body has a length or chunks.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.field("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
            return Some(message);
        }
        let length = message.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    /// Reads a chunk; the inner `None` is the end of the body.
    #[allow(clippy::option_option)]
    pub fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                break at;
            }
            self.fill()?;
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        while self.buffer.len() < end + 2 + size + 2 {
            self.fill()?;
        }
        let chunk: Vec<u8> = self.buffer[end + 2..end + 2 + size].to_vec();
        self.buffer.drain(..end + 2 + size + 2);
        Some((size > 0).then_some(chunk))
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes).ok()?;
        if count == 0 {
            return None;
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

/// Sends a request on a connection of its own and reads the response within `wait`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
    wait: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let length = if body.is_empty() && matches!(method, "GET" | "DELETE") {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let request = format!("{method} {path} HTTP/1.1\r\n{fields}{length}\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    Reader::new(stream).read()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
