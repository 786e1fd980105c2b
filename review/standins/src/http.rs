//! Blocking HTTP/1.1 server and client, one thread per connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        let found = self.query.iter().find(|(k, _)| k == key);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        self.query(key)?.parse().ok()
    }

    pub fn header(&self, key: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(key));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Status and body of a response; none closes the connection without one.
pub type Reply = Option<(u16, Vec<u8>)>;

/// Serves a handler on a free port of an address.
pub fn serve<H>(ip: &str, handler: H) -> SocketAddr
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

/// Serves a handler on a free port of an address. Nothing listens there while `is_up` does not hold.
pub fn serve_while<H>(ip: &str, is_up: impl Fn() -> bool + Send + 'static, handler: H) -> SocketAddr
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listen = |address: &str| {
        let listener = TcpListener::bind(address).expect("the port");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not wait");
        listener
    };
    let mut listener = Some(listen(&format!("{ip}:0")));
    let address = listener
        .as_ref()
        .expect("a listener")
        .local_addr()
        .expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        loop {
            if !is_up() {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let open = listener.get_or_insert_with(|| listen(&address.to_string()));
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _set = stream.set_nonblocking(false);
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _set = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            return;
        };
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

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let find = |key: &str| headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(key));
    if find("transfer-encoding").is_some_and(|(_, v)| v.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = find("content-length").and_then(|(_, v)| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut parts = line.split(' ');
    let target = parts.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: pairs
            .map(|(k, v)| (k.to_owned(), v.replace("%2F", "/")))
            .collect(),
        headers,
        body,
    })
}

/// Sends one request on a connection of its own. Returns none without a complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let status = read_line(&mut reader)?.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
