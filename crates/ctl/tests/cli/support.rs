//! A stand-in for an entry on loopback, and a runner that captures the output of a command.

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

/// A request as the stand-in received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Method, path and query, such as `GET /v1/documents/planner`.
    pub(crate) request_line: String,
    pub(crate) token: Option<String>,
    pub(crate) team: Option<String>,
    pub(crate) body: String,
}

/// Response of the stand-in: HTTP status and body.
pub(crate) struct StandInResponse(pub(crate) u16, pub(crate) String);

impl StandInResponse {
    pub(crate) fn ok<T: Serialize>(value: &T) -> Self {
        Self(200, serde_json::to_string(value).unwrap())
    }

    pub(crate) fn error(error: &ApiError) -> Self {
        Self(error.status(), serde_json::to_string(error).unwrap())
    }

    pub(crate) fn code(code: ErrorCode) -> Self {
        Self::error(&ApiError::new(code, "injected by the test"))
    }
}

type Respond = Box<dyn Fn(&ReceivedRequest, usize) -> StandInResponse + Send + Sync>;

struct ScriptHandler {
    respond: Respond,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

#[async_trait]
impl Handler for ScriptHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let body = req.payload().await.cloned().unwrap_or_default();
        let request = ReceivedRequest {
            request_line: format!("{} {}", req.method(), req.uri().path_and_query().unwrap()),
            token: req.header("Authorization"),
            team: req.header("Hyssop-Team"),
            body: String::from_utf8(body.to_vec()).unwrap(),
        };
        let index = self.received.lock().unwrap().len();
        let StandInResponse(status, body) = (self.respond)(&request, index);
        self.received.lock().unwrap().push(request);
        res.status_code(StatusCode::from_u16(status).unwrap());
        res.write_body(body).unwrap();
    }
}

/// A stand-in for an entry. A closure of the test computes its responses.
pub(crate) struct StandInEntry {
    pub(crate) address: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    task: JoinHandle<()>,
}

impl StandInEntry {
    /// Starts a stand-in on a free port. `respond` gets each request with its index, from 0.
    pub(crate) async fn start(
        respond: impl Fn(&ReceivedRequest, usize) -> StandInResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let handler = ScriptHandler {
            respond: Box::new(respond),
            received: received.clone(),
        };
        let acceptor = TcpAcceptor::try_from(listener).unwrap();
        let router = Router::with_path("{**rest}").goal(handler);
        let task = tokio::spawn(Server::new(acceptor).serve(router));
        Self {
            address,
            received,
            task,
        }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.received()
            .into_iter()
            .map(|request| request.request_line)
            .collect()
    }
}

impl Drop for StandInEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An address that refuses connections. The port stays bound so that no other test can use it.
pub(crate) struct UnreachableEntry {
    pub(crate) address: String,
    _socket: TcpSocket,
}

/// Reserves an address without a listener.
pub(crate) fn unreachable_entry() -> UnreachableEntry {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = format!("http://{}", socket.local_addr().unwrap());
    UnreachableEntry {
        address,
        _socket: socket,
    }
}

/// Starts a server that closes each connection after the first bytes of the request, which leaves
/// the outcome unknown. Returns its address.
pub(crate) async fn start_disconnecting_entry() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.readable().await.unwrap();
        }
    });
    address
}

/// Exit code and captured output of a command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) exit: Exit,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl CommandOutput {
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// Runs a command with the given environment variables.
pub(crate) async fn run_with_env(env: Env, args: &[&str]) -> CommandOutput {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
    let mut console = Console::new(&mut stdout, &mut stderr);
    let exit = hyssop_ctl::run(&args, env, &mut console).await;
    CommandOutput {
        exit,
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
    }
}

/// Runs a command against entries named by the environment.
pub(crate) async fn run_command(entries: &[&str], args: &[&str]) -> CommandOutput {
    let env = Env {
        entry: Some(entries.join(",")),
        ..Env::default()
    };
    run_with_env(env, args).await
}

/// Returns the path of an example document.
pub(crate) fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

/// Reads an example document.
pub(crate) fn example_document(name: &str) -> ServiceDoc {
    ServiceDoc::parse(&std::fs::read_to_string(example_path(name)).unwrap()).unwrap()
}

/// Response to `GET` of a document in force.
pub(crate) fn document_response(version: u64, doc: ServiceDoc) -> StandInResponse {
    let service = doc.service.clone();
    StandInResponse::ok(&DocumentReply {
        service,
        version: Version(version),
        doc,
    })
}

/// Response to `GET` without a document in force. `removal_version` is set if it was removed.
pub(crate) fn document_not_found(removal_version: Option<u64>) -> StandInResponse {
    let mut error = ApiError::new(ErrorCode::NotFound, "no document");
    error.version = removal_version.map(Version);
    StandInResponse::error(&error)
}
