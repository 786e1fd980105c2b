//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// Request as a server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Address of the caller.
    pub from: SocketAddr,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn json(&self) -> Json {
        Json::parse(&String::from_utf8_lossy(&self.body)).unwrap_or(Json::Null)
    }
}

/// Status of a request that gets no response: its connection stays open until the server stops.
pub const NO_RESPONSE: u16 = 0;

/// Status and body of a response.
pub type Response = (u16, Vec<u8>);

pub fn json(status: u16, body: &Json) -> Response {
    (status, body.to_string().into_bytes())
}

/// Running server. It closes its port and all connections when it is stopped or dropped.
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let server = Self {
            is_stopped: Arc::clone(&is_stopped),
            connections: Arc::clone(&connections),
        };
        let handler = Arc::new(handler);
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, from)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _set = stream.set_nonblocking(false);
                let _set = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
                thread::spawn(move || serve(stream, from, &*handler, &is_stopped));
            }
        });
        Ok(server)
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread closes the port within a few milliseconds.
        thread::sleep(Duration::from_millis(8));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(
    stream: TcpStream,
    from: SocketAddr,
    handler: &(dyn Fn(&Request) -> Response + Send + Sync),
    is_stopped: &AtomicBool,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader, from) {
        let (status, body) = handler(&request);
        while status == NO_RESPONSE && !is_stopped.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, from: SocketAddr) -> Option<Request> {
    let first = read_line(reader)?;
    let mut parts = first.split(' ');
    let _method = parts.next()?;
    let target = parts.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query.map(|(n, v)| (n.to_owned(), unescape(v))).collect(),
        headers,
        body,
        from,
    })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|d| u8::from_str_radix(d, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. Returns none if there is no complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let mut body = Vec::new();
    match length.and_then(|(_, v)| v.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => {
            reader.read_to_end(&mut body).ok()?;
        }
    }
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
