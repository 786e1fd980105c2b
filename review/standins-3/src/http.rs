//! Minimal HTTP/1.1 server and client with one thread a connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

pub struct Request {
    pub path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query.get(key).map(String::as_str)
    }

    pub fn query_number(&self, key: &str) -> Option<u64> {
        self.query(key)?.parse().ok()
    }

    pub fn header(&self, key: &str) -> &str {
        self.headers.get(key).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Status and body of a response; none closes the connection.
pub type Response = Option<(u16, Vec<u8>)>;

/// Server that closes all connections and refuses others once it is stopped.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, opened) = (Arc::clone(&is_stopped), Arc::clone(&streams));
        let handle = Arc::new(handle);
        let thread = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(clone) = stream.try_clone() else {
                    continue;
                };
                opened.lock().unwrap().push(clone);
                let handle = Arc::clone(&handle);
                thread::spawn(move || serve(stream, &*handle));
            }
        });
        Ok(Self {
            address,
            is_stopped,
            streams,
            thread: Some(thread),
        })
    }

    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.is_stopped.store(true, Ordering::SeqCst);
        let _woken = TcpStream::connect(self.address);
        let _ended = thread.join();
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handle: &dyn Fn(Request) -> Response) {
    let _set = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let Some((status, body)) = handle(request) else {
            break;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    let _closed = stream.shutdown(Shutdown::Both);
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), decode_percent(value)));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1);
    let status = status.and_then(|status| status.parse().ok());
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    match status {
        Some(status) => Ok((status, String::from_utf8_lossy(&body).into_owned())),
        None => Err(io::ErrorKind::InvalidData.into()),
    }
}
