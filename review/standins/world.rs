//! Stand-ins for the platform's store, for instances and for clients, and the router's processes.
//! They follow the users' pages. Only the standard library is used.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const ATTEMPT: &str = "X-Ledgelead-Request-Attempt-Id";
pub const DEADLINE: &str = "X-Ledgelead-Request-Deadline-Ms";
pub const SIGNATURE: &str = "X-Ledgelead-Response-Signature";
pub const TARGET: &str = "X-Ledgelead-Target-Instance";
pub const NOT_EXECUTED: &str = "X-Ledgelead-Not-Executed";
pub const INSTANCE: &str = "X-Ledgelead-Instance-Id";
pub const KEY: &str = "X-Ledgelead-Shard-Key";
pub const TENANT: &str = "X-Ledgelead-Tenant";
pub const HANDOVER: &str = "X-Ledgelead-Handover";

// ---------------------------------------------------------------- random numbers

static SEED: AtomicU64 = AtomicU64::new(0);

/// A random number; the sequence begins at the time of day.
pub fn random() -> u64 {
    if SEED.load(Ordering::Relaxed) == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        SEED.store(now.as_nanos() as u64 | 1, Ordering::Relaxed);
    }
    let mut x = SEED.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn hex() -> String {
    format!("{:016x}", random())
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line, or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|v| v.trim().parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Peer {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        let _ = stream.set_nodelay(true);
        Peer { stream, input: Vec::new() }
    }

    /// Reads some bytes. False at the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0u8; 65_536];
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads the head of a message. None if the peer closed before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { first, headers, body: Vec::new() }));
            }
            if !self.fill()? {
                let empty = self.input.is_empty();
                return if empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a body of this length.
    pub fn read_body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.input.drain(..length).collect())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        message.body = self.read_body(message.length())?;
        Ok(Some(message))
    }

    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Serves each connection on a thread of its own.
pub fn serve(ip: IpAddr, handle: impl Fn(Peer) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Peer::new(stream)));
        }
    });
    address
}

// ---------------------------------------------------------------- JSON, as far as needed

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    /// With the source text of each value.
    Object(Vec<(String, Json, String)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        Json::value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(n, _, _)| n == name).map(|(_, v, _)| v)
    }

    pub fn source(&self, name: &str) -> Option<&str> {
        let Json::Object(fields) = self else { return None };
        fields.iter().find(|(n, _, _)| n == name).map(|(_, _, s)| s.as_str())
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    fn blank(b: &[u8], at: &mut usize) {
        while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Json::blank(b, at);
        let parsed = match b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::blank(b, at);
                    match b.get(*at)? {
                        b'}' => break,
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Json::value(b, at)? else { return None };
                            Json::blank(b, at);
                            *at += 1; // the colon
                            Json::blank(b, at);
                            let from = *at;
                            let value = Json::value(b, at)?;
                            let source = String::from_utf8_lossy(&b[from..*at]).into_owned();
                            fields.push((name, value, source));
                        }
                    }
                }
                *at += 1;
                Json::Object(fields)
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::blank(b, at);
                    match b.get(*at)? {
                        b']' => break,
                        b',' => *at += 1,
                        _ => items.push(Json::value(b, at)?),
                    }
                }
                *at += 1;
                Json::List(items)
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                while b.get(*at)? != &b'"' {
                    if b[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(b[*at]);
                    *at += 1;
                }
                *at += 1;
                Json::Text(String::from_utf8_lossy(&text).into_owned())
            }
            _ => {
                let from = *at;
                while b.get(*at).is_some_and(|c| !matches!(c, b',' | b'}' | b']') && !c.is_ascii_whitespace()) {
                    *at += 1;
                }
                match &b[from..*at] {
                    b"null" => Json::Null,
                    b"true" => Json::Bool(true),
                    b"false" => Json::Bool(false),
                    other => Json::Number(std::str::from_utf8(other).ok()?.parse().ok()?),
                }
            }
        };
        Some(parsed)
    }
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
    finalizers: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":{},\"finalizers\":{},\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.created, self.finalizers, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes: revision, kind, object, whether it is gone.
    changes: Vec<(u64, String, Object, bool)>,
}

/// The platform's store: linearizable, it keeps its whole history.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub address: Mutex<Option<SocketAddr>>,
    /// Answers take this long, in milliseconds.
    pub answer_ms: AtomicU64,
}

impl Store {
    pub fn start(ip: IpAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(StoreState { revision: 100, ..StoreState::default() }),
            changed: Condvar::new(),
            address: Mutex::new(None),
            answer_ms: AtomicU64::new(4),
        });
        let serving = store.clone();
        let address = serve(ip, move |mut peer| {
            while let Ok(Some(request)) = peer.read_message() {
                thread::sleep(Duration::from_millis(serving.answer_ms.load(Ordering::Relaxed)));
                let (status, body) = serving.answer(&request);
                let json = [("Content-Type", "application/json")];
                if peer.respond(status, &json, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        *store.address.lock().unwrap() = Some(address);
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address.lock().unwrap().unwrap()
    }

    /// Creates or replaces an object without a condition.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.write(kind, name, Some(spec), None, None);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().delete(kind, name);
        self.changed.notify_all();
    }

    /// The text of an object's spec.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|o| o.spec.clone())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let parts: Vec<&str> = path.split('/').skip(3).collect();
        let (Some(kind), name) = (parts.first().copied(), parts.get(1).copied()) else {
            return (404, "{}".into());
        };
        match (request.method(), name) {
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.json()),
                    None => (404, "{}".into()),
                }
            }
            ("GET", None) if query.contains_key("watch") => {
                let since: u64 = query["watch"].parse().unwrap_or(0);
                let wait: u64 = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                self.watch(kind, since, Duration::from_millis(wait.min(30_000)))
            }
            ("GET", None) => {
                let state = self.state.lock().unwrap();
                let after = query.get("after").copied().unwrap_or("");
                let items = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
                let items: Vec<String> = items.map(|(_, o)| o.json()).collect();
                let body = format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}", items.join(","), state.revision);
                (200, body)
            }
            ("DELETE", Some(name)) => {
                let mut state = self.state.lock().unwrap();
                let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
                let condition = query.get("revision").and_then(|r| r.parse::<u64>().ok());
                match known {
                    None => (404, "{}".into()),
                    Some(o) if condition.is_some_and(|c| c != o.revision) => (409, o.json()),
                    Some(o) => {
                        state.delete(kind, name);
                        self.changed.notify_all();
                        (200, o.json())
                    }
                }
            }
            ("POST", None) | ("PUT", Some(_)) => self.write(kind, name, &parts, &query, request),
            _ => (404, "{}".into()),
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, parts: &[&str], query: &HashMap<&str, &str>, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&text) else { return (400, "{}".into()) };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let own_name = metadata.get("name").and_then(Json::text).map(str::to_owned);
        let Some(name) = name.map(str::to_owned).or(own_name) else { return (400, "{}".into()) };
        let condition = metadata.get("revision").and_then(Json::number);
        let condition = condition.or(query.get("revision").and_then(|r| r.parse().ok()));
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        if request.method() == "POST" {
            if let Some(known) = known {
                return (409, known.json());
            }
        } else {
            match &known {
                None => return (404, "{}".into()),
                Some(o) if condition.is_some_and(|c| c != o.revision) => return (409, o.json()),
                Some(_) => {}
            }
        }
        let finalizers = metadata.source("finalizers");
        if parts.get(2) == Some(&"status") {
            state.write(kind, &name, None, body.source("status"), None);
        } else {
            state.write(kind, &name, body.source("spec"), None, finalizers);
        }
        self.changed.notify_all();
        let written = &state.objects[&(kind.to_owned(), name)];
        (200, written.json())
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.iter().filter(|(at, k, _, _)| *at > since && k == kind);
            let events: Vec<String> = changes
                .map(|(_, _, object, gone)| format!("{{\"gone\":{gone},\"object\":{}}}", object.json()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>, finalizers: Option<&str>) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let next = self.revision + 1;
        let known = self.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            name: name.to_owned(),
            revision: next,
            created: next,
            spec: "null".into(),
            status: "null".into(),
            finalizers: "[]".into(),
        });
        let given = [(spec, &mut object.spec), (status, &mut object.status), (finalizers, &mut object.finalizers)];
        let mut changes = known.is_none();
        for (value, field) in given {
            if let Some(value) = value {
                changes |= field.as_str() != value;
                *field = value.to_owned();
            }
        }
        if !changes {
            return object.revision;
        }
        self.revision = next;
        object.revision = next;
        self.changes.push((next, kind.to_owned(), object.clone(), false));
        self.objects.insert(key, object);
        next
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            object.revision = self.revision;
            self.changes.push((self.revision, kind.to_owned(), object, true));
        }
    }
}

/// Keeps an instance's entry as long as `lives` is set: written each heartbeat.
pub fn keep_entry(store: Arc<Store>, id: String, spec: impl Fn(u64) -> String + Send + 'static, beat: Duration, lives: Arc<AtomicBool>) {
    store.put("servers", &id, &spec(0));
    thread::spawn(move || {
        for sequence in 1.. {
            thread::sleep(beat);
            if !lives.load(Ordering::SeqCst) {
                return;
            }
            store.put("servers", &id, &spec(sequence));
        }
    });
}

pub fn entry(service: &str, address: SocketAddr, zone: &str, capacity: u32, state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"generation\":\"v1\",\"capacity\":{capacity},\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence}}}"
    )
}

// ---------------------------------------------------------------- the router's processes

/// A loopback address of this run's own.
pub fn own_ip(number: u8) -> IpAddr {
    static NET: AtomicU64 = AtomicU64::new(0);
    if NET.load(Ordering::Relaxed) == 0 {
        NET.store(1 + random() % 60_000, Ordering::Relaxed);
    }
    let net = NET.load(Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 1 + (net >> 8) as u8 % 250, (net & 0xff) as u8, number))
}

fn free_tcp(ip: IpAddr) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

/// A port that is free for both TCP and UDP.
fn free_internal(ip: IpAddr) -> u16 {
    loop {
        let port = free_tcp(ip);
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Writes the settings file of a machine like those of a small deployment.
    pub fn new(folder: &PathBuf, number: u8, zone: &str, zones: &[&str], store: SocketAddr) -> Router {
        let ip = own_ip(number);
        let front = SocketAddr::new(ip, free_tcp(ip));
        let ready = SocketAddr::new(ip, free_tcp(ip));
        let control = SocketAddr::new(ip, free_tcp(ip));
        let internal = free_internal(ip);
        let name = format!("front-{zone}-{number}");
        let mut text = format!(
            "nodeName={name}\nrole=router\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=bogota\n"
        );
        for zone in zones {
            let _ = writeln!(text, "zones.{zone}=bogota");
        }
        let _ = write!(
            text,
            "listen.front={front}\nlisten.ready={ready}\nlisten.control={control}\ninternalPorts={internal},{}\nseeds=\nbootstrap=true\nlossCounts=false\n\
             limits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n\
             discovery=platform\nentry=vip\nheartbeatMs=1300\ncontracts=base,drain,config,cost,retry,recover,own,platform\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.retryBudgetRatio=0.2\n\
             bounds.retryWindowS=10\nbounds.retryBudgetSlack=62\nbounds.recoveryS=15\nbounds.holdMaxMs=10000\nbounds.thawSlackMs=300\ngrants=call\n\
             provider.address={store}\nprovider.form=objects\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n",
            internal.saturating_add(15)
        );
        let settings = folder.join(format!("{name}.conf"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, text).unwrap();
        Router { name, front, ready, ip, settings, log, child: None }
    }

    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/ledgelead-platform")
            .arg("serve")
            .env("LEDGELEAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("target/release/ledgelead-platform: {error}")),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, timeout) else { return false };
        let _ = stream.set_read_timeout(Some(timeout));
        let mut peer = Peer::new(stream);
        let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        let sent = peer.stream.write_all(request.as_bytes());
        sent.is_ok() && matches!(peer.read_message(), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the script: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2);
}

/// Waits until all routers are ready.
pub fn wait_ready(routers: &mut [Router]) {
    let until = Instant::now() + Duration::from_secs(20);
    while !routers.iter().all(Router::is_ready) {
        let ended = routers.iter_mut().any(Router::has_ended);
        if ended || Instant::now() > until {
            for router in routers {
                router.kill();
            }
            cannot_run("a router was not ready within 20 s");
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// A temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ledgelead-review-{}-{}", std::process::id(), hex()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

// ---------------------------------------------------------------- clients

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A whole answer.
    Answer(Message),
    /// The connection ended without a whole answer.
    Closed(String),
    /// Nothing within the client's deadline.
    Nothing,
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer(answer) => answer.status(),
            _ => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Seen::Answer(answer) => {
                let signature = answer.header(SIGNATURE).unwrap_or("none");
                format!("{} signature {signature} body {} bytes", answer.status(), answer.body.len())
            }
            Seen::Closed(why) => format!("closed without an answer ({why})"),
            Seen::Nothing => "no answer within the deadline".to_owned(),
        }
    }
}

/// Sends one request on a new connection and waits for its answer until the deadline.
pub fn send(front: SocketAddr, request: &[u8], deadline: Duration) -> Seen {
    let until = Instant::now() + deadline;
    let stream = match TcpStream::connect_timeout(&front, deadline) {
        Ok(stream) => stream,
        Err(error) => return Seen::Closed(format!("connect: {error}")),
    };
    let mut peer = Peer::new(stream);
    let _ = peer.stream.set_write_timeout(Some(deadline));
    if let Err(error) = peer.stream.write_all(request) {
        // The answer may have come before the whole request was sent.
        if error.kind() == io::ErrorKind::WouldBlock {
            return Seen::Nothing;
        }
    }
    read_answer(&mut peer, until)
}

pub fn read_answer(peer: &mut Peer, until: Instant) -> Seen {
    let mut head: Option<Message> = None;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = peer.stream.shutdown(Shutdown::Both);
            return Seen::Nothing;
        }
        let _ = peer.stream.set_read_timeout(Some(left));
        let result = match &mut head {
            None => peer.read_head().map(|message| match message {
                Some(message) => {
                    head = Some(message);
                    None
                }
                None => Some(Seen::Closed("before an answer".into())),
            }),
            Some(message) => peer.read_body(message.length()).map(|body| {
                message.body = body;
                Some(Seen::Answer(message.clone()))
            }),
        };
        match result {
            Ok(Some(seen)) => return seen,
            Ok(None) => {}
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Seen::Closed(error.to_string()),
        }
    }
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: String) {
        self.lines.lock().unwrap().push((Instant::now(), line));
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn write(&self, file: &str, result: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", (at - self.started).as_secs_f64());
        }
        text.push_str(result);
        text.push('\n');
        fs::write(file, text).unwrap();
        println!("{result}");
    }
}
