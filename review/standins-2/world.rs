//! Stand-ins for the platform's store, instances, clients and process control, for the cases of
//! the second review. One file, standard library only: `rustc -O world.rs`.
//!
//! Usage: world SCENARIO PROGRAM FOLDER RECORD
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

mod scenarios;

const KEYS: usize = 65_536;

// ---- time and record -------------------------------------------------------------------------

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn seconds() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_s(time: f64) {
    thread::sleep(Duration::from_secs_f64(time.max(0.0)));
}

pub fn record(line: String) {
    let now = seconds();
    RECORD.lock().unwrap().push((now, line));
}

pub fn write_record(path: &Path) {
    let mut lines = RECORD.lock().unwrap().clone();
    lines.sort_by(|left, right| left.0.total_cmp(&right.0));
    let text: String = lines
        .iter()
        .map(|(at, line)| format!("{at:9.3} {line}\n"))
        .collect();
    let _ = fs::write(path, text);
}

// ---- JSON: raw fields of an object -------------------------------------------------------------

fn value_end(text: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    let mut in_string = false;
    while at < text.len() {
        let byte = text[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return at,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    at
}

/// The raw value of a field of a JSON object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        while at < text.len() && (text[at].is_ascii_whitespace() || text[at] == b',') {
            at += 1;
        }
        if at >= text.len() || text[at] == b'}' {
            return None;
        }
        let key_end = value_end(text, at);
        let key = object[at..key_end].trim_matches('"');
        at = key_end;
        while at < text.len() && (text[at].is_ascii_whitespace() || text[at] == b':') {
            at += 1;
        }
        let end = value_end(text, at);
        if key == name {
            return Some(object[at..end].trim());
        }
        at = end;
    }
}

pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

pub fn string(object: &str, name: &str) -> Option<String> {
    Some(field(object, name)?.trim_matches('"').to_owned())
}

// ---- HTTP ----------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message with a `Content-Length`. `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    read_message_slowly(stream, buffer, |_, _| {})
}

/// Bodies that are longer count as long, in bytes.
const LONG_BODY: usize = 4 << 20;

/// Like `read_message`. Of a long body a part is read, then `pause` is called with the head and
/// the length of the body, and then the rest is read.
pub fn read_message_slowly(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    pause: impl Fn(&Message, usize),
) -> Option<Message> {
    let mut chunk = [0u8; 65_536];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    let length: usize = message
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut has_paused = length < LONG_BODY;
    while buffer.len() < head_end + length {
        if !has_paused && buffer.len() > head_end + LONG_BODY / 4 {
            has_paused = true;
            pause(&message, length);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = buffer[head_end..head_end + length].to_vec();
    buffer.drain(..head_end + length);
    Some(message)
}

pub fn response(status: u16, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

// ---- the platform's store --------------------------------------------------------------------

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

struct Change {
    at: f64,
    revision: u64,
    kind: String,
    name: String,
    object: String,
    gone: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// By how many seconds stale lists are behind.
    pub stale_ms: AtomicU64,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    fn change(&self, state: &mut StoreState, kind: &str, name: &str, spec: Option<String>) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if let (Some(known), Some(spec)) = (&known, &spec)
            && known.spec == *spec
        {
            return object_json(name, known);
        }
        state.revision += 1;
        let revision = state.revision;
        let gone = spec.is_none();
        let object = Object {
            created: known.as_ref().map_or(revision, |known| known.created),
            revision,
            spec: spec.unwrap_or_else(|| known.map_or("null".to_owned(), |known| known.spec)),
        };
        let text = object_json(name, &object);
        match gone {
            true => state.objects.remove(&key),
            false => state.objects.insert(key, object),
        };
        state.changes.push(Change {
            at: seconds(),
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: text.clone(),
            gone,
        });
        self.changed.notify_all();
        text
    }

    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.state.lock().unwrap();
        self.change(&mut state, kind, name, Some(spec));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        if state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
            self.change(&mut state, kind, name, None);
        }
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.spec.clone())
    }

    fn list(&self, kind: &str, stale: bool) -> String {
        let state = self.state.lock().unwrap();
        let lag = match stale {
            true => self.stale_ms.load(Ordering::Relaxed) as f64 / 1_000.0,
            false => 0.0,
        };
        let until = seconds() - lag;
        let mut at = 0;
        let mut items: BTreeMap<&str, &str> = BTreeMap::new();
        for change in state.changes.iter().filter(|change| change.at <= until) {
            at = change.revision;
            if change.kind != kind {
                continue;
            }
            match change.gone {
                true => items.remove(change.name.as_str()),
                false => items.insert(&change.name, &change.object),
            };
        }
        let items: Vec<&str> = items.into_values().collect();
        format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{at}}}", items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.revision > after)
                .map(|change| format!("{{\"gone\":{},\"object\":{}}}", change.gone, change.object))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let at = state.revision.max(after);
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or("{}").to_owned();
        let spec = field(&body, "spec").unwrap_or("null").to_owned();
        match (request.word(0), name) {
            ("GET", None) => match query.get("watch") {
                Some(after) => {
                    let wait = query.get("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    let after = after.parse().unwrap_or(0);
                    (200, self.watch(&kind, after, Duration::from_millis(wait)))
                }
                None => (200, self.list(&kind, query.contains_key("stale"))),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object_json(&name, object)),
                    None => (404, String::new()),
                }
            }
            ("POST", None) => {
                let name = string(&metadata, "name").unwrap_or_default();
                let mut state = self.state.lock().unwrap();
                match state.objects.get(&(kind.clone(), name.clone())) {
                    Some(object) => (409, object_json(&name, object)),
                    None => (201, self.change(&mut state, &kind, &name, Some(spec))),
                }
            }
            ("PUT", Some(name)) => {
                let mut state = self.state.lock().unwrap();
                let known = state.objects.get(&(kind.clone(), name.clone())).cloned();
                match (known, number(&metadata, "revision")) {
                    (None, _) => (404, String::new()),
                    (Some(known), Some(expected)) if expected != known.revision => {
                        (409, object_json(&name, &known))
                    }
                    _ => (200, self.change(&mut state, &kind, &name, Some(spec))),
                }
            }
            _ => (400, String::new()),
        }
    }

    /// Serves on an address of its own the machines that share `gate`.
    pub fn serve(self: &Arc<Store>, gate: &Arc<Gate>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (store, gate) = (self.clone(), gate.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), gate.clone());
                thread::spawn(move || store.connection(stream, &gate));
            }
        });
        address
    }

    fn connection(&self, mut stream: TcpStream, gate: &Gate) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let answer = match gate.admits(&request) {
                true => self.answer(&request),
                false => (429, String::new()),
            };
            // A watch may have waited.
            let (status, body) = match gate.admits(&request) {
                true => answer,
                false => (429, String::new()),
            };
            if request.word(0) != "GET" {
                record(format!("store: {} -> {status}", request.first));
            } else if request.word(1).contains("ledgelead-ownership?stale") {
                let at = number(&body, "at").unwrap_or(0);
                record(format!("store: {} -> as of revision {at}", request.first));
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if stream.write_all(&response(status, &headers, &body)).is_err() {
                return;
            }
        }
    }
}

// ---- instances -----------------------------------------------------------------------------------

/// What the store turns away of the calls of some machines.
#[derive(Default)]
pub struct Gate {
    pub refuses_writes: AtomicBool,
    pub refuses_all: AtomicBool,
}

impl Gate {
    fn admits(&self, request: &Message) -> bool {
        let is_write = request.word(0) != "GET";
        let is_refused = self.refuses_all.load(Ordering::SeqCst)
            || is_write && self.refuses_writes.load(Ordering::SeqCst);
        !is_refused
    }
}

/// A start of a request at an instance.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub instance: usize,
    pub key: Option<u16>,
    pub id: String,
}

struct Held {
    until: f64,
    seen: u64,
    running: u32,
    /// Past and present holds.
    spans: Vec<(f64, f64)>,
}

pub struct Instance {
    pub index: usize,
    pub id: String,
    pub service: String,
    pub sharded: bool,
    pub zone: String,
    pub port: Mutex<u16>,
    pub work_ms: AtomicU64,
    /// How long it reads nothing within a long body.
    pub pause_ms: AtomicU64,
    /// Length of its answers, in bytes; a few if zero.
    pub answer_bytes: AtomicU64,
    keys: Mutex<Vec<Held>>,
    streams: Mutex<Vec<TcpStream>>,
    /// Cut from all machines; connections to it are refused.
    cut: AtomicBool,
    /// The next grant that covers this key is left unanswered and taken after some time.
    late: Mutex<Option<(u16, f64)>>,
    pub open: AtomicU64,
    stop: AtomicBool,
}

pub static RUNS: Mutex<Vec<Run>> = Mutex::new(Vec::new());

impl Instance {
    pub fn start(index: usize, service: &str, sharded: bool, zone: &str, work_ms: u64) -> Arc<Instance> {
        let keys = (0..KEYS).map(|_| Held {
            until: 0.0,
            seen: 0,
            running: 0,
            spans: Vec::new(),
        });
        let instance = Arc::new(Instance {
            index,
            id: format!("i-{:08x}", 0x5a00_0000u64 + std::process::id() as u64 * 64 + index as u64),
            service: service.to_owned(),
            sharded,
            zone: zone.to_owned(),
            port: Mutex::new(0),
            work_ms: AtomicU64::new(work_ms),
            pause_ms: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(0),
            keys: Mutex::new(keys.collect()),
            streams: Mutex::new(Vec::new()),
            cut: AtomicBool::new(false),
            late: Mutex::new(None),
            open: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        instance.listen();
        instance
    }

    pub fn address(&self) -> String {
        format!("127.0.0.1:{}", *self.port.lock().unwrap())
    }

    fn listen(self: &Arc<Instance>) {
        let mut port = self.port.lock().unwrap();
        let listener = TcpListener::bind(("127.0.0.1", *port)).expect("port of an instance");
        *port = listener.local_addr().unwrap().port();
        listener.set_nonblocking(true).unwrap();
        let instance = self.clone();
        thread::spawn(move || {
            while !instance.cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            instance.streams.lock().unwrap().push(copy);
                        }
                        let instance = instance.clone();
                        thread::spawn(move || instance.connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
        });
    }

    /// Writes the entry every `beat` seconds.
    pub fn register(self: &Arc<Instance>, store: &Arc<Store>, beat: f64) {
        let (instance, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while !instance.stop.load(Ordering::SeqCst) {
                sequence += 1;
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"generation\":\"v1\",\"capacity\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence}}}",
                    instance.service,
                    instance.address(),
                    instance.zone
                );
                // The entry counts as changed when more than `sequence` changes.
                if sequence == 1 {
                    store.put("servers", &instance.id, entry);
                }
                sleep_s(beat);
            }
        });
    }

    /// Cuts the instance from all machines, or heals that.
    pub fn set_cut(self: &Arc<Instance>, cut: bool) {
        record(format!("{} {}", self.id, if cut { "is cut from all machines" } else { "is reached again" }));
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            // Until the listener is gone.
            sleep_s(0.005);
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        } else {
            self.listen();
        }
    }

    pub fn take_next_grant_late(&self, key: u16, after: f64) {
        *self.late.lock().unwrap() = Some((key, after));
    }

    pub fn has_left_a_grant_unanswered(&self) -> bool {
        self.late.lock().unwrap().is_none()
    }

    pub fn holds(&self, key: u16) -> bool {
        self.keys.lock().unwrap()[key as usize].until > seconds()
    }

    pub fn spans(&self, key: u16) -> Vec<(f64, f64)> {
        self.keys.lock().unwrap()[key as usize].spans.clone()
    }

    fn take(&self, first: usize, last: usize, fence: u64, hold_ms: u64, how: &str) -> u16 {
        let now = seconds();
        let until = now + hold_ms as f64 / 1_000.0;
        let mut keys = self.keys.lock().unwrap();
        let status = match keys[first..=last].iter().any(|held| held.seen > fence) {
            true => 409,
            false => 200,
        };
        if status == 200 {
            for held in &mut keys[first..=last] {
                held.seen = fence;
                if held.until > now {
                    if let Some(span) = held.spans.last_mut() {
                        span.1 = until;
                    }
                } else {
                    held.spans.push((now, until));
                }
                held.until = until;
            }
        }
        record(format!(
            "{} grant {first}-{last} fence {fence} hold {hold_ms} {how} -> {status}",
            self.id
        ));
        status
    }

    fn release(&self, first: usize, last: usize, fence: u64) {
        {
            let now = seconds();
            let mut keys = self.keys.lock().unwrap();
            for held in &mut keys[first..=last] {
                held.seen = held.seen.max(fence);
                if held.until > now {
                    held.until = now;
                    if let Some(span) = held.spans.last_mut() {
                        span.1 = now;
                    }
                }
            }
        }
        loop {
            let running: u32 = self.keys.lock().unwrap()[first..=last]
                .iter()
                .map(|held| held.running)
                .sum();
            if running == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        record(format!("{} release {first}-{last} fence {fence}", self.id));
    }

    /// An instance begins with a long request before it has read its body.
    fn begin_long(&self, request: &Message, length: usize) {
        let id = request.header("x-ledgelead-request-attempt-id").unwrap_or("").to_owned();
        let pause_ms = self.pause_ms.load(Ordering::SeqCst);
        record(format!(
            "{} begins work on {id}, a body of {length} bytes, and reads nothing for {pause_ms} ms",
            self.id
        ));
        RUNS.lock().unwrap().push(Run {
            at: seconds(),
            instance: self.index,
            key: None,
            id,
        });
        thread::sleep(Duration::from_millis(pause_ms));
    }

    fn connection(self: Arc<Instance>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        loop {
            let read = read_message_slowly(&mut stream, &mut buffer, |request, length| {
                self.begin_long(request, length);
            });
            let Some(request) = read else {
                if !buffer.is_empty() {
                    record(format!("{}: a connection ends inside a request, after {} bytes", self.id, buffer.len()));
                }
                return;
            };
            let Some(answer) = self.answer(&request) else {
                // Left unanswered: nothing more is said on this connection.
                let _ = read_message(&mut stream, &mut buffer);
                return;
            };
            if self.cut.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Instance>, request: &Message) -> Option<Vec<u8>> {
        let own = ("X-Ledgelead-Instance-Id", self.id.clone());
        let target = request.header("x-ledgelead-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return Some(response(421, &[own], ""));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let first = number(&body, "fromRev").unwrap_or(0) as usize;
        let last = number(&body, "targetVersion").unwrap_or(0) as usize;
        let fence = number(&body, "fence").unwrap_or(0);
        match request.word(1) {
            "/api/grant" => {
                let hold = number(&body, "holdMs").unwrap_or(0);
                let late = {
                    let mut late = self.late.lock().unwrap();
                    let is_meant = late.is_some_and(|(key, _)| (first..=last).contains(&(key as usize)));
                    if is_meant { late.take() } else { None }
                };
                if let Some((_, after)) = late {
                    record(format!(
                        "{} grant {first}-{last} fence {fence} hold {hold} is left unanswered",
                        self.id
                    ));
                    let instance = self.clone();
                    thread::spawn(move || {
                        sleep_s(after);
                        instance.take(first, last, fence, hold, "taken late");
                    });
                    return None;
                }
                Some(response(self.take(first, last, fence, hold, "answered"), &[], ""))
            }
            "/api/release" => {
                self.release(first, last, fence);
                Some(response(200, &[("X-Ledgelead-Handover", format!("h{fence}"))], ""))
            }
            "/health" => Some(response(200, &[own], "")),
            _ => Some(self.run(request)),
        }
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let Some(id) = request.header("x-ledgelead-request-attempt-id").map(str::to_owned) else {
            return response(400, &[("X-Ledgelead-Not-Executed", "1".to_owned())], "");
        };
        let key = request
            .header("x-ledgelead-shard-key")
            .and_then(|key| key.parse::<u16>().ok())
            .filter(|_| self.sharded);
        if self.sharded && !key.is_some_and(|key| self.holds(key)) {
            record(format!("{} turns {id} away, key {key:?} isn't held", self.id));
            let headers = [
                ("X-Ledgelead-Not-Executed", "1".to_owned()),
                ("X-Ledgelead-Instance-Id", self.id.clone()),
                ("X-Ledgelead-Request-Attempt-Id", id),
            ];
            return response(421, &headers, "");
        }
        if let Some(key) = key {
            self.keys.lock().unwrap()[key as usize].running += 1;
        }
        RUNS.lock().unwrap().push(Run {
            at: seconds(),
            instance: self.index,
            key,
            id: id.clone(),
        });
        record(format!("{} runs {id}, key {key:?}", self.id));
        self.open.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::SeqCst)));
        self.open.fetch_sub(1, Ordering::SeqCst);
        let mut status = 200;
        if let Some(key) = key {
            let mut keys = self.keys.lock().unwrap();
            let held = &mut keys[key as usize];
            held.running -= 1;
            if held.until <= seconds() {
                status = 500;
            }
        }
        record(format!("{} has run {id}: {status}", self.id));
        let headers = [
            ("X-Ledgelead-Request-Attempt-Id", id.clone()),
            ("X-Ledgelead-Response-Signature", format!("sig.{id}")),
        ];
        match self.answer_bytes.load(Ordering::SeqCst) {
            0 => response(status, &headers, "whole body"),
            bytes => response(status, &headers, &"x".repeat(bytes as usize)),
        }
    }
}

// ---- router processes ------------------------------------------------------------------------

pub struct Router {
    pub name: String,
    pub ip: IpAddr,
    pub child: Mutex<Option<Child>>,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

pub const FRONT_PORT: u16 = 8548;
const READY_PORT: u16 = 8542;

/// Loopback addresses on which the ports of all processes are free.
pub fn free_addresses(count: usize) -> Option<Vec<IpAddr>> {
    let seed = std::process::id();
    (0..50).find_map(|attempt| {
        let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let (second, third) = ((mixed >> 8) as u8 % 200 + 20, (mixed >> 16) as u8 % 250 + 1);
        let ips: Vec<IpAddr> = (0..count)
            .map(|index| IpAddr::V4(Ipv4Addr::new(127, second, third, 10 + index as u8)))
            .collect();
        let is_free = |ip: &IpAddr| {
            let ports = [FRONT_PORT, READY_PORT, 9464, 7540];
            ports.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
        };
        ips.iter().all(is_free).then_some(ips)
    })
}

impl Router {
    pub fn new(program: &Path, folder: &Path, index: usize, zone: &str, ip: IpAddr, store: SocketAddr, grace_s: u64) -> Router {
        let name = format!("front-{zone}-{}", index + 1);
        let router = Router {
            settings: folder.join(format!("{name}.conf")),
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            child: Mutex::new(None),
            program: program.to_owned(),
        };
        router.write_settings(zone, store, grace_s);
        router
    }

    pub fn write_settings(&self, zone: &str, store: SocketAddr, grace_s: u64) {
        let ip = self.ip;
        let text = format!(
            "nodeName={name}\nrole=router\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=r1\n\
             zones.z1=r1\nzones.z2=r1\nlisten.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             internalPorts=7540,7555\nbootstrap=true\nlossCounts=false\nlimits.cpuShare=0.2\nlimits.cpuCores=1\n\
             limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=vip\nheartbeatMs=1500\ncontracts=base,drain,config,cost,retry,recover,own,platform\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n\
             bounds.graceS={grace_s}\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n\
             bounds.maxSkewMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\nbounds.retryBudgetSlack=62\n\
             bounds.recoveryS=15\nbounds.holdMaxMs=10000\nbounds.thawSlackMs=300\ngrants=call\n\
             provider.address={store}\nprovider.form=objects\nprovider.writesPerS=400\nprovider.readsPerS=2000\n\
             provider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n",
            name = self.name
        );
        // As a whole: a reader sees the old file or the new one.
        let next = self.settings.with_extension("next");
        fs::write(&next, text).unwrap();
        fs::rename(&next, &self.settings).unwrap();
    }

    pub fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(&self.program)
            .arg("serve")
            .env_clear()
            .env("LEDGELEAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the program starts");
        record(format!("{} starts", self.name));
        // For the script, should it have to end what is left.
        let ids = self.log.with_file_name("started");
        if let Ok(mut ids) = fs::OpenOptions::new().create(true).append(true).open(ids) {
            let _ = writeln!(ids, "{}", child.id());
        }
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            record(format!("{} gets SIG{name}", self.name));
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {}", child.id()))
                .status();
        }
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            if matches!(child.try_wait(), Ok(None)) {
                record(format!("{} gets SIGKILL", self.name));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&self) -> bool {
        match self.child.lock().unwrap().as_mut() {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&SocketAddr::new(self.ip, READY_PORT), Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        if stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").is_err() {
            return false;
        }
        read_message(&mut stream, &mut Vec::new()).is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- clients -----------------------------------------------------------------------------------

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answered(u16),
    /// The connection was not established.
    NotConnected,
    /// The connection closed without a complete answer.
    Closed,
    Deadline,
}

/// A client with a kept connection.
pub struct Client {
    pub to: SocketAddr,
    stream: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    pub fn connect(&mut self) -> bool {
        if self.stream.is_none()
            && let Ok(stream) = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))
        {
            let _ = stream.set_nodelay(true);
            self.stream = Some((stream, Vec::new()));
        }
        self.stream.is_some()
    }

    /// Sends a request, and reads its answer at this rate, after `slow_s` as fast as it comes.
    /// Returns how many bytes of the body came, and how many were announced.
    pub fn read_slowly(
        &mut self,
        path: &str,
        deadline_ms: u64,
        bytes_per_s: f64,
        slow_s: f64,
    ) -> (String, Option<u16>, usize, usize) {
        let id = format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: h1.example\r\nX-Ledgelead-Request-Attempt-Id: {id}\r\nX-Ledgelead-Request-Deadline-Ms: {deadline_ms}\r\n\r\n"
        );
        if !self.connect() {
            return (id, None, 0, 0);
        }
        let Some((mut stream, _)) = self.stream.take() else {
            return (id, None, 0, 0);
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
        if stream.write_all(request.as_bytes()).is_err() {
            return (id, None, 0, 0);
        }
        let began = Instant::now();
        let mut received = Vec::new();
        let mut chunk = vec![0u8; 131_072];
        let (mut status, mut head, mut length) = (None, 0, 0);
        while began.elapsed() < Duration::from_millis(deadline_ms) {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => received.extend_from_slice(&chunk[..count]),
            }
            if status.is_none()
                && let Some(at) = received.windows(4).position(|window| window == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&received[..at]).to_lowercase();
                head = at + 4;
                status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
                let announced = text.lines().find_map(|line| line.strip_prefix("content-length:"));
                length = announced.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
            }
            if status.is_some() && received.len() >= head + length {
                break;
            }
            let due = received.len() as f64 / bytes_per_s;
            let now = began.elapsed().as_secs_f64();
            sleep_s(due.min(slow_s) - now);
        }
        (id, status, received.len().saturating_sub(head), length)
    }

    pub fn send(&mut self, method: &str, path: &str, key: Option<u16>, deadline_ms: u64) -> (String, End) {
        self.send_body(method, path, key, deadline_ms, &[])
    }

    pub fn send_body(
        &mut self,
        method: &str,
        path: &str,
        key: Option<u16>,
        deadline_ms: u64,
        body: &[u8],
    ) -> (String, End) {
        let id = format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed));
        if !self.connect() {
            return (id, End::NotConnected);
        }
        let key = key.map_or(String::new(), |key| format!("X-Ledgelead-Shard-Key: {key}\r\n"));
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h1.example\r\nX-Ledgelead-Request-Attempt-Id: {id}\r\nX-Ledgelead-Request-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let Some((stream, buffer)) = self.stream.as_mut() else {
            return (id, End::NotConnected);
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
        let began = Instant::now();
        let answer = match stream.write_all(request.as_bytes()).and_then(|()| stream.write_all(body)) {
            Ok(()) => read_message(stream, buffer),
            Err(_) => None,
        };
        let end = match &answer {
            Some(answer) => End::Answered(answer.status()),
            None if began.elapsed() >= Duration::from_millis(deadline_ms) => End::Deadline,
            None => End::Closed,
        };
        let closes = answer.is_none_or(|answer| {
            answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
        });
        if closes {
            self.stream = None;
        }
        (id, end)
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, folder, path] = arguments.as_slice() else {
        eprintln!("usage: world SCENARIO PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    seconds();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let program = fs::canonicalize(program).unwrap_or_else(|_| PathBuf::from(program));
    let code = scenarios::play(scenario, &program, Path::new(folder), trouble);
    record(format!("result {code}"));
    write_record(Path::new(path));
    std::process::exit(code);
}
