//! The project's own programs as processes, with settings files of a small deployment.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;
use crate::wire;

pub const HOST: &str = "app.example";
pub const PREFIX: &str = "/q/";
const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Loopback addresses of one scenario.
#[derive(Clone, Copy)]
pub struct Network([u8; 2]);

impl Network {
    /// Returns addresses that belong to this process.
    pub fn new() -> Self {
        let id = std::process::id();
        Self([(id >> 8 & 0x7f) as u8 + 64, id as u8])
    }

    fn host(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0[0], self.0[1], number))
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.host(250), 8_169)
    }

    pub fn worker(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(100 + number), 8_484)
    }

    pub fn control(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(20 + number), 8_166)
    }

    pub fn front(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(1 + number), 8_161)
    }

    pub fn ready(self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(1 + number), 8_167)
    }
}

pub fn zone(number: u8) -> &'static str {
    ZONES[usize::from(number) % ZONES.len()]
}

/// Process that is killed when it is dropped.
pub struct Process(Child);

impl Process {
    fn start(role: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let output = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/hyssop-fleet")
            .arg(role)
            .env_clear()
            .env(wire::name("settings"), settings)
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdout(Stdio::from(output.try_clone()?))
            .stderr(Stdio::from(output))
            .spawn()?;
        Ok(Self(child))
    }

    /// Sends a signal, for example `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.0.id().to_string();
        let status = Command::new("sh")
            .args(["-c", "kill -$0 $1", signal, &id])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("signal not sent")),
        }
    }

    pub fn kill(&mut self) {
        let _killed = self.0.kill();
        let _ended = self.0.wait();
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the entry or the agent with this number.
pub fn start(network: Network, dir: &Path, is_entry: bool, number: u8) -> io::Result<Process> {
    let role = if is_entry { "entry" } else { "agent" };
    let class = if is_entry { "front" } else { "side" };
    let ip = network.host(if is_entry { 1 } else { 20 } + number);
    let node = format!("{class}-{}-{number}", zone(number));
    let listen = match is_entry {
        true => format!("listen.front={ip}:8161\nlisten.ready={ip}:8167\n"),
        false => format!("listen.control={ip}:8166\napp={}\n", network.worker(number)),
    };
    let share = if is_entry { "0.25" } else { "0.15" };
    let memory = if is_entry { 260 } else { 128 };
    let text = format!(
        "node={node}\nrole={role}\nmachineClass={class}\nserves={class}\nip={ip}\nzone={}\nregion=r\n\
         zones.za=r\nzones.zb=r\nzones.zc=r\n{listen}{}=7720,7735\nseeds=\nbootstrap=true\n\
         limits.cpuShare={share}\nlimits.cores=1\nlimits.memoryMb={memory}\nlimits.maxFds=4100\n\
         discovery=local\nentry=vip\nheartbeatMs=1500\n\
         bounds.graceS=6\nbounds.maxHoldMs=6000\nbounds.contactMs=3000\nbounds.drainMs=2000\n\
         bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\nbounds.noticeMs=4500\n\
         bounds.harmMs=4000\nbounds.leaseMs=3000\norders=call\n\
         platform.addr={}\nplatform.form=log\nplatform.recordBytes=262144\n\
         platform.callBytes=2097152\nplatform.partMbS=20.0\nplatform.keep_s=300\n",
        zone(number),
        wire::name("ports"),
        network.store()
    );
    let settings = dir.join(format!("{node}.conf"));
    fs::write(&settings, text)?;
    Process::start(role, &settings, &dir.join(format!("{node}.log")))
}

/// Returns the operators' routes, with one queue.
pub fn routes(attempts: u32) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"q\",\"host\":\"{HOST}\",\"{}\":\"{PREFIX}\",\
         \"service\":\"svc\",\"priority\":0,\"attempts\":{attempts},\"stretch\":2.0,\
         \"targetLatencyMs\":1000}}],\"services\":[{{\"name\":\"svc\",\"{}\":true}}],\
         \"limits\":{{\"maxBodyBytes\":262144}}}}",
        wire::name("path"),
        wire::name("guards")
    )
}

/// Sends a request of a client to an entry.
pub fn request(front: SocketAddr, method: &str, id: &str, body: &str) -> io::Result<(u16, String)> {
    let headers = format!("Host: {HOST}\r\nDeadline-Ms: 3000\r\n");
    let path = format!("{PREFIX}{id}");
    let timeout = Duration::from_millis(3_200);
    http::call(front, method, &path, &headers, body, timeout)
}
