//! HTTP/1.1 over plain sockets. Servers take one request a channel and close it, as gateways open a
//! channel for each request; clients keep theirs.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(known, _)| *known == name)?;
        Some(decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or("0");
        code.parse().unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3);
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(code) if bytes[at] == b'%' => {
                out.push(code);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(broken("the channel ended within a line"));
    }
    let line = String::from_utf8_lossy(&line);
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Message {
        start,
        headers,
        body: Vec::new(),
    })
}

/// Reads one chunk; none at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk"))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    if size == 0 {
        while !read_line(reader)?.is_empty() {}
        return Ok(None);
    }
    read_line(reader)?;
    Ok(Some(chunk))
}

pub fn is_chunked(message: &Message) -> bool {
    let coding = message.header("transfer-encoding").unwrap_or("");
    coding.to_ascii_lowercase().contains("chunked")
}

/// Reads the body of a message whose head was read.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if is_chunked(message) {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| broken("no length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.start.starts_with("HTTP/") {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn write_message(socket: &mut impl Write, message: &Message) -> io::Result<()> {
    let mut bytes = format!("{}\r\n", message.start);
    for (name, value) in &message.headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += &format!("Content-Length: {}\r\n\r\n", message.body.len());
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(&message.body);
    socket.write_all(&bytes)
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    let headers = headers.iter();
    let headers = headers.map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    let mut headers: Vec<(String, String)> = headers.collect();
    headers.push(("Connection".to_owned(), "close".to_owned()));
    Message {
        start: format!("HTTP/1.1 {status}"),
        headers,
        body: body.to_vec(),
    }
}

/// Takes requests in a thread each, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Message, TcpStream) + Send + Sync + 'static) {
    serve_while(listener, || true, handler);
}

/// The same, but takes new channels only while a condition holds.
pub fn serve_while(
    listener: TcpListener,
    takes: impl Fn() -> bool + Send + 'static,
    handler: impl Fn(Message, TcpStream) + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        loop {
            if !takes() {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok((socket, _)) = listener.accept() else {
                continue;
            };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let mut reader = BufReader::new(&socket);
                let Ok(mut request) = read_head(&mut reader) else {
                    return;
                };
                if read_body(&mut reader, &mut request).is_ok() {
                    drop(reader);
                    handler(request, socket);
                }
            });
        }
    });
}

/// A client's channel to a gateway.
pub struct Channel {
    pub socket: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    /// Sends a request and reads the head of its answer.
    pub fn send(&mut self, request: &Message) -> io::Result<Message> {
        write_message(&mut self.socket, request)?;
        read_head(&mut self.reader)
    }

    /// Sends a request and reads its whole answer.
    pub fn call(&mut self, request: &Message) -> io::Result<Message> {
        let mut answer = self.send(request)?;
        read_body(&mut self.reader, &mut answer)?;
        Ok(answer)
    }
}
