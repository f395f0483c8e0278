//! HTTP/1.1 as far as the stand-ins need it, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request, read whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
        decode(found.unwrap_or(""))
    }
}

/// Returns the value of a header, or an empty text.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers; returns nothing at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; an empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok(chunk)
}

/// Reads one request; returns nothing at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else {
        let length = header(&headers, "content-length").parse().unwrap_or(0);
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        headers,
        body,
    }))
}

/// Writes a response with its length.
pub fn respond(
    socket: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// Writes the head of a response in chunks.
pub fn begin_chunks(socket: &mut TcpStream, headers: &[(&str, &str)]) -> io::Result<()> {
    let mut text = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n".to_owned();
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    socket.write_all(text.as_bytes())
}

/// Writes the head of a response that has neither a length nor chunks and ends with its channel.
pub fn begin_unframed(socket: &mut TcpStream, headers: &[(&str, &str)]) -> io::Result<()> {
    let mut text = "HTTP/1.1 200 OK\r\nconnection: close\r\n".to_owned();
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    socket.write_all(text.as_bytes())
}

/// Writes one chunk; an empty one ends the response.
pub fn write_chunk(socket: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    socket.write_all(&bytes)
}

/// Accepts connections for as long as the process runs, each with a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let _ = socket.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(socket));
        }
    });
}

/// What a client got for one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; zero if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as its head says.
    pub complete: bool,
    /// When the head arrived.
    pub began: Option<Instant>,
}

/// Sends a request on a new connection.
pub fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)?;
    Ok(socket)
}

/// Reads an answer until it is complete, the connection ends or the time is over.
pub fn read_answer(socket: TcpStream, time: Duration) -> Answer {
    let mut answer = Answer::default();
    // What was read before an error is the answer.
    let _ = collect(socket, time, &mut answer);
    answer
}

fn collect(socket: TcpStream, time: Duration, answer: &mut Answer) -> io::Result<()> {
    socket.set_read_timeout(Some(time))?;
    let deadline = Instant::now() + time;
    let mut reader = BufReader::new(socket);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(());
    };
    answer.began = Some(Instant::now());
    answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if header(&answer.headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        while Instant::now() < deadline {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend(chunk);
        }
        return Ok(());
    }
    let length = header(&answer.headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    answer.body = body;
    answer.complete = true;
    Ok(())
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
) -> Answer {
    match open(address, method, path, headers, body) {
        Ok(socket) => read_answer(socket, time),
        Err(_) => Answer::default(),
    }
}
