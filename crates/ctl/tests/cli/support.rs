//! A fake entry on loopback, and a runner that captures the output of a command.

use std::sync::{Arc, Mutex};

use hyssop_core::ServiceDoc;
use hyssop_core::Version;
use hyssop_core::api::{ApiError, DocumentReply, ErrorCode};
use hyssop_ctl::{Console, Env, Exit};
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

/// A request as the fake entry saw it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Method, path and query, such as `GET /v1/documents/planner`.
    pub(crate) line: String,
    pub(crate) token: Option<String>,
    pub(crate) team: Option<String>,
    pub(crate) body: String,
}

/// The fake's answer: a status and a body in JSON.
pub(crate) struct Answer(pub(crate) u16, pub(crate) String);

impl Answer {
    pub(crate) fn ok<T: Serialize>(value: &T) -> Self {
        Self(200, serde_json::to_string(value).unwrap())
    }

    pub(crate) fn error(error: &ApiError) -> Self {
        Self(error.status(), serde_json::to_string(error).unwrap())
    }

    pub(crate) fn code(code: ErrorCode) -> Self {
        Self::error(&ApiError::new(code, "as the test asks"))
    }
}

type Respond = Box<dyn Fn(&Seen, usize) -> Answer + Send + Sync>;

struct Script {
    respond: Respond,
    seen: Arc<Mutex<Vec<Seen>>>,
}

#[async_trait]
impl Handler for Script {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let body = req.payload().await.cloned().unwrap_or_default();
        let seen = Seen {
            line: format!("{} {}", req.method(), req.uri().path_and_query().unwrap()),
            token: req.header("Authorization"),
            team: req.header("Hyssop-Team"),
            body: String::from_utf8(body.to_vec()).unwrap(),
        };
        let before = self.seen.lock().unwrap().len();
        let Answer(status, body) = (self.respond)(&seen, before);
        self.seen.lock().unwrap().push(seen);
        res.status_code(StatusCode::from_u16(status).unwrap());
        res.write_body(body).unwrap();
    }
}

/// A fake entry that answers by script.
pub(crate) struct Fake {
    pub(crate) address: String,
    seen: Arc<Mutex<Vec<Seen>>>,
    task: JoinHandle<()>,
}

impl Fake {
    /// Starts a fake. The script gets each request with the number of requests before it.
    pub(crate) async fn start(
        respond: impl Fn(&Seen, usize) -> Answer + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = format!("http://{}", listener.local_addr().unwrap());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script = Script {
            respond: Box::new(respond),
            seen: seen.clone(),
        };
        let acceptor = TcpAcceptor::try_from(listener).unwrap();
        let router = Router::with_path("{**rest}").goal(script);
        let task = tokio::spawn(Server::new(acceptor).serve(router));
        Self {
            address,
            seen,
            task,
        }
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub(crate) fn lines(&self) -> Vec<String> {
        self.seen().into_iter().map(|seen| seen.line).collect()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An address that refuses connections. The port stays bound, so that no other test gets it.
pub(crate) struct Dead {
    pub(crate) address: String,
    _socket: TcpSocket,
}

/// Reserves an address where nothing listens.
pub(crate) fn dead() -> Dead {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = format!("http://{}", socket.local_addr().unwrap());
    Dead {
        address,
        _socket: socket,
    }
}

/// Starts a host that takes one connection after the other and closes each after the first bytes
/// of the request, so that its outcome is unclear.
pub(crate) async fn broken() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.readable().await.unwrap();
        }
    });
    address
}

/// What a command wrote, and its exit code.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Ran {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// Runs a command with an environment of its own.
pub(crate) async fn run_env(env: Env, args: &[&str]) -> Ran {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut console = Console::new(&mut out, &mut err);
    let exit = hyssop_ctl::run(&args, env, &mut console).await;
    Ran {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Runs a command against entries.
pub(crate) async fn run(entries: &[&str], args: &[&str]) -> Ran {
    let env = Env {
        entry: Some(entries.join(",")),
        ..Env::default()
    };
    run_env(env, args).await
}

/// Returns the path of an example document.
pub(crate) fn example(name: &str) -> String {
    format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

/// Reads an example document.
pub(crate) fn document(name: &str) -> ServiceDoc {
    ServiceDoc::parse(&std::fs::read_to_string(example(name)).unwrap()).unwrap()
}

/// Answers `GET` of a document.
pub(crate) fn in_force(version: u64, doc: ServiceDoc) -> Answer {
    let service = doc.service.clone();
    Answer::ok(&DocumentReply {
        service,
        version: Version(version),
        doc,
    })
}

/// Answers `GET` of a document that is not there; `version` is the one of its removal.
pub(crate) fn missing(version: Option<u64>) -> Answer {
    let mut error = ApiError::new(ErrorCode::NotFound, "no document");
    error.version = version.map(Version);
    Answer::error(&error)
}
