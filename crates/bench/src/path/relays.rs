//! A relay with the same two hops as the path through entry and agent (HTTP to tarpc, tarpc to
//! HTTP) that forwards every request without any checks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use futures::StreamExt;
use hyssop_core::limits::MAX_BODY_BYTES;
use hyssop_core::{
    AgentRpc, AgentRpcClient, Call, CallId, CompleteResponse, Drain, Incarnation, Load,
    MemberState, Millis, NotRun, Outcome, Reply, ServiceName, TeamName, Ticket, TicketCall,
    Unknown,
};
use salvo::conn::Listener;
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::{Request, Response, Router, Server, handler};
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, context};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Headers that apply to one connection and are not forwarded.
const HOP_HEADERS: [&str; 4] = ["connection", "content-length", "host", "transfer-encoding"];
/// Longest time for a call between the hops.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Both hops of a relay, which stop when this value is dropped.
pub(super) struct Relay {
    pub(super) address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// The second hop, which receives calls over tarpc and sends them to the backend server.
#[derive(Clone)]
struct EgressHop {
    client: reqwest::Client,
    base_url: String,
}

impl AgentRpc for EgressHop {
    async fn call(self, _: context::Context, call: Call) -> Reply {
        let id = call.id;
        let outcome = match self.forward(call).await {
            Ok(response) => Outcome::Complete(response),
            Err(_) => Outcome::Unknown(Unknown::ConnectionBroken),
        };
        Reply {
            id,
            incarnation: Incarnation(1),
            outcome,
            load: Load::default(),
        }
    }

    async fn tickets(self, _: context::Context, _: TicketCall) -> Result<Vec<Ticket>, NotRun> {
        Err(NotRun::NoService)
    }

    async fn drain(self, _: context::Context, _: Drain) -> MemberState {
        MemberState::Up
    }
}

impl EgressHop {
    async fn forward(&self, call: Call) -> Result<CompleteResponse> {
        let method = reqwest::Method::from_bytes(call.method.as_bytes())?;
        let url = format!("{}{}", self.base_url, call.path);
        let mut request = self.client.request(method, url);
        for (name, value) in &call.headers {
            request = request.header(name, &value[..]);
        }
        let response = request.body(call.body).send().await?;
        let status = response.status().as_u16();
        let headers = response.headers().iter();
        let headers = headers
            .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().to_owned(), value)
            })
            .collect();
        Ok(CompleteResponse {
            status,
            headers,
            body: response.bytes().await?,
            hash: 0,
        })
    }
}

/// The first hop, which receives HTTP requests and sends them to the second over tarpc.
struct IngressHop {
    clients: Vec<AgentRpcClient>,
    next_client: AtomicUsize,
    service: ServiceName,
    team: TeamName,
}

#[handler]
impl IngressHop {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(call) = self.read_call(req).await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let index = self.next_client.fetch_add(1, Ordering::Relaxed) % self.clients.len();
        let mut context = context::current();
        context.deadline = Instant::now() + CALL_TIMEOUT;
        let Ok(Reply {
            outcome: Outcome::Complete(response),
            ..
        }) = self.clients[index].call(context, call).await
        else {
            res.status_code(StatusCode::BAD_GATEWAY);
            return;
        };
        res.status_code(StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY));
        for (name, value) in response.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_bytes(&value);
            if let (Ok(name), Ok(value)) = (name, value) {
                res.headers_mut().insert(name, value);
            }
        }
        // Writing to the empty body of a new response does not fail.
        let _ = res.write_body(response.body);
    }
}

impl IngressHop {
    async fn read_call(&self, req: &mut Request) -> Option<Call> {
        let body = req
            .payload_with_max_size(MAX_BODY_BYTES)
            .await
            .ok()?
            .clone();
        let headers = req.headers().iter();
        let headers = headers
            .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().to_owned(), value)
            })
            .collect();
        Some(Call {
            id: CallId(1),
            team: self.team.clone(),
            service: self.service.clone(),
            method: req.method().as_str().to_owned(),
            path: req.uri().path().to_owned(),
            headers,
            body,
            budget: Millis(10_000),
            refusal: None,
            ticket: None,
            is_idempotent: true,
        })
    }
}

/// Starts a relay to `backend` with the given number of connections between its hops.
pub(super) async fn start(backend: SocketAddr, connections: usize) -> Result<Relay> {
    let mut tasks = JoinSet::new();
    let egress = EgressHop {
        client: reqwest::Client::builder().no_proxy().build()?,
        base_url: format!("http://{backend}"),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let egress_address = listener.local_addr()?;
    tasks.spawn(async move {
        let mut open_connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            open_connections.spawn(serve_connection(stream, egress.clone()));
        }
    });
    let mut clients = Vec::new();
    for _ in 0..connections {
        let transport = new_transport(TcpStream::connect(egress_address).await?)?;
        let mut config = client::Config::default();
        config.max_in_flight_requests = 1_024;
        let new_client = AgentRpcClient::new(config, transport);
        clients.push(new_client.client);
        tasks.spawn(async move {
            // Runs until the connection closes at the end of the measurement.
            let _ = new_client.dispatch.await;
        });
    }
    let ingress = IngressHop {
        clients,
        next_client: AtomicUsize::new(0),
        service: ServiceName::new("planner")?,
        team: TeamName::new("haugland")?,
    };
    let acceptor = salvo::conn::TcpListener::new("127.0.0.1:0")
        .try_bind()
        .await?;
    let address = acceptor.local_addr()?;
    let router = Router::with_path("{**rest}").goal(ingress);
    let server = Server::new(acceptor);
    tasks.spawn(async move { server.serve(router).await });
    Ok(Relay {
        address,
        _tasks: tasks,
    })
}

type Transport<In, Out> = serde_transport::Transport<TcpStream, In, Out, Bincode<In, Out>>;

fn new_transport<In, Out>(stream: TcpStream) -> std::io::Result<Transport<In, Out>>
where
    In: for<'a> serde::Deserialize<'a>,
    Out: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    let framed = codec
        .max_frame_length(MAX_BODY_BYTES * 2)
        .new_framed(stream);
    Ok(serde_transport::new(framed, Bincode::default()))
}

async fn serve_connection(stream: TcpStream, egress: EgressHop) {
    let Ok(transport) = new_transport(stream) else {
        return;
    };
    let channel = BaseChannel::with_defaults(transport);
    let mut responses = std::pin::pin!(channel.execute(egress.serve()));
    let mut running_calls = JoinSet::new();
    loop {
        tokio::select! {
            response = responses.next() => match response {
                Some(response) => { running_calls.spawn(response); }
                None => break,
            },
            Some(_) = running_calls.join_next() => {}
        }
    }
}
