//! Stand-ins for the platform's store, the workers and the callers, and the processes of a small
//! deployment. Uses the standard library only. Each case is a function at the end of the file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease that a worker holds (`hold-max-ms`).
const HOLD_MAX_MS: u64 = 10_000;
/// Time that a stop takes; below `stop-timeout-ms`, 200.
const STOP_MS: u64 = 150;
/// Time of work between two checkpoints (`checkpoint-s`).
const CHECKPOINT_MS: u64 = 500;
/// Interval of a worker's heartbeats (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Maximum size of a row's value in the store (`row-bytes`).
const ROW_BYTES: usize = 65_536;
/// Maximum number of ends in one answer of a worker.
const MAX_ENDS: usize = 500;

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(own, _)| own == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    let plain = match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'b' => 8,
                        b'f' => 12,
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let decoded = char::from_u32(code).unwrap_or('?');
                            bytes.extend(decoded.encode_utf8(&mut buffer).bytes());
                            continue;
                        }
                        other => other,
                    };
                    bytes.push(plain);
                }
                byte => {
                    self.at += 1;
                    bytes.push(byte);
                }
            }
        }
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone)]
struct Request {
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

/// Status and body; `None` closes the connection without an answer.
type Answer = Option<(u16, String)>;

fn decode_url(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head: its first line and its headers with names in lower case.
fn read_head(stream: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if stream.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(stream: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn serve_connection(stream: TcpStream, handle: &(dyn Fn(&Request) -> Answer + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader) {
        let mut words = first.split(' ');
        let target = words.nth(1).unwrap_or_default().to_owned();
        let Some(body) = read_body(&mut reader, &headers) else { break };
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, text)| (name.to_owned(), decode_url(text))).collect();
        let request = Request { path: path.to_owned(), query, headers, body };
        let Some((status, body)) = handle(&request) else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// Serves an address while `up` is set; otherwise nothing listens there and all connections are
/// closed.
fn serve_while_up(address: SocketAddr, up: Arc<AtomicBool>, handle: Handler) {
    thread::spawn(move || {
        loop {
            if !up.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(listener) = TcpListener::bind(address) else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            let mut open: Vec<TcpStream> = Vec::new();
            while up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        open.extend(stream.try_clone().ok());
                        let handle = Arc::clone(&handle);
                        thread::spawn(move || serve_connection(stream, &*handle));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            for stream in open {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    });
}

/// Makes a call on a connection of its own. Returns the status and the body.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Connection: close\r\n\r\n";
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run.
struct Record {
    file: Mutex<File>,
    begin: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let ms = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1_000, ms % 1_000);
    }
}

// ---------------------------------------------------------------- store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes: version, key, new value.
    log: Vec<(u64, Key, Option<String>)>,
}

/// The platform's metadata store.
struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Whether it answers nothing.
    silent: AtomicBool,
    begin: Instant,
    record: Arc<Record>,
}

fn row_json((table, part, key): &Key, value: Option<&str>, version: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"{part}","key":"{key}","deleted":true,"ver":{version}}}"#
        ),
    }
}

fn key_of(row: &Json) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Returns the size of a text's value in base64.
fn decoded_bytes(base64: &str) -> usize {
    base64.len() / 4 * 3 - base64.bytes().rev().take_while(|byte| *byte == b'=').count()
}

impl Store {
    fn answer(&self, rows: &[String], version: u64, more: bool) -> (u16, String) {
        let now = self.begin.elapsed().as_millis() + 1_000_000;
        let rows = rows.join(",");
        (200, format!(r#"{{"rows":[{rows}],"ver":{version},"now-ms":{now},"more-pages":{more}}}"#))
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Answers a call. One that comes or waits while the store is down is never answered.
    fn receive(&self, request: &Request) -> Answer {
        let answer = if self.is_silent() { None } else { self.handle(request) };
        if self.is_silent() {
            while self.is_silent() {
                thread::sleep(Duration::from_millis(5));
            }
            return None;
        }
        answer
    }

    fn handle(&self, request: &Request) -> Answer {
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match &*request.path {
            "/-/rows-tx" => Some(self.transact(request)),
            "/-/rows-get" => {
                let (table, part, from, to) =
                    (text("table"), text("part"), text("from"), text("to"));
                let limit = text("limit").parse().unwrap_or(500).min(500);
                let state = self.rows.lock().unwrap();
                let within = state.rows.iter().filter(|((own, in_part, key), _)| {
                    *own == table
                        && *in_part == part
                        && *key >= from
                        && (to.is_empty() || *key < to)
                });
                let all: Vec<String> = within
                    .take(limit + 1)
                    .map(|(key, (value, version))| row_json(key, Some(value), *version))
                    .collect();
                let more = all.len() > limit;
                Some(self.answer(&all[..all.len().min(limit)], state.version, more))
            }
            "/-/rows-feed" => {
                let (table, after) = (text("table"), text("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(text("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut state = self.rows.lock().unwrap();
                loop {
                    let first = state.log.partition_point(|(version, ..)| *version <= after);
                    let new = state.log[first..].iter().filter(|(_, key, _)| key.0 == table);
                    let rows: Vec<String> = new
                        .map(|(version, key, value)| row_json(key, value.as_deref(), *version))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return Some(self.answer(&rows, state.version, false));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, String::new())),
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else { return (400, String::new()) };
        let (conditions, writes, removals) =
            (body.get("expected-rev").list(), body.get("writes").list(), body.get("remove").list());
        let all = || conditions.iter().chain(writes).chain(removals);
        let mut parts: Vec<Key> = all().map(key_of).collect();
        parts.dedup_by(|a, b| a.1 == b.1);
        let largest = writes.iter().map(|row| decoded_bytes(row.get("value").text())).max();
        if all().count() > 100 || request.body.len() > 1_000_000 || parts.len() > 1 {
            return (400, String::new());
        }
        if largest.is_some_and(|bytes| bytes > ROW_BYTES) {
            self.record.line(&format!(
                "the store refuses a transaction: a row has {} bytes, row-bytes is {ROW_BYTES}",
                largest.unwrap_or(0)
            ));
            return (400, String::new());
        }
        let mut state = self.rows.lock().unwrap();
        let holds = |row: &Json| {
            let known = state.rows.get(&key_of(row)).map_or(0, |(_, version)| *version);
            row.get("ver").number() == Some(known)
        };
        if !conditions.iter().all(holds) {
            let rows: Vec<String> = conditions
                .iter()
                .filter_map(|row| {
                    let key = key_of(row);
                    let (value, version) = state.rows.get(&key)?;
                    Some(row_json(&key, Some(value), *version))
                })
                .collect();
            let (_, body) = self.answer(&rows, state.version, false);
            return (412, body);
        }
        if !writes.is_empty() || !removals.is_empty() {
            state.version += 1;
        }
        let version = state.version;
        for row in writes {
            let (key, value) = (key_of(row), row.get("value").text().to_owned());
            state.rows.insert(key.clone(), (value.clone(), version));
            state.log.push((version, key, Some(value)));
        }
        for row in removals {
            let key = key_of(row);
            if state.rows.remove(&key).is_some() {
                state.log.push((version, key, None));
            }
        }
        self.changed.notify_all();
        self.answer(&[], version, false)
    }

    /// Writes a row as the operator does.
    fn operate(&self, key: &str, value: &str) {
        let mut state = self.rows.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = ("op".to_owned(), String::new(), key.to_owned());
        let value = base64(value.as_bytes());
        state.rows.insert(key.clone(), (value.clone(), version));
        state.log.push((version, key, Some(value)));
        self.changed.notify_all();
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= chunk.len() { DIGITS[value] as char } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- worker

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    work_ms: u64,
    done_ms: u64,
    checkpoint: String,
    checkpointing: bool,
    /// Time that a stop still takes.
    stop_ms: Option<u64>,
}

struct Life {
    id: String,
    born: u64,
    clock: Instant,
    lease_ms: u64,
    token: u64,
    running: BTreeMap<String, Run>,
    /// Number, work unit, run, how, checkpoint.
    finished: Vec<(u64, String, u64, &'static str, String)>,
    ends: u64,
    /// Highest run that was stopped or has ended, by work unit.
    highest: BTreeMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn new(id: String) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self {
            id,
            born,
            clock: Instant::now(),
            lease_ms: 0,
            token: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64 + 1_000
    }

    fn extend(&mut self, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            self.lease_ms = self.lease_ms.max(deadline.min(self.clock_ms() + HOLD_MAX_MS));
        }
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<Run> {
        let run = self.running.remove(task)?;
        self.ends += 1;
        self.finished.push((self.ends, task.to_owned(), run.run, how, run.checkpoint.clone()));
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.run);
        Some(run)
    }
}

/// What the work units of a job are, by the job's id.
#[derive(Clone)]
struct Work {
    work_ms: u64,
    checkpointing: bool,
    spec: String,
    /// Number of characters of a checkpoint.
    checkpoint_chars: usize,
}

type Works = Arc<Mutex<BTreeMap<String, Work>>>;

/// A worker beside an agent.
struct Worker {
    number: usize,
    app: SocketAddr,
    control: SocketAddr,
    /// Capacity in thousandths of a core, MB and accelerators.
    capacity: (u64, u64, u64),
    life: Mutex<Life>,
    ended: Condvar,
    up: Arc<AtomicBool>,
    /// Whether a partition loses all that it sends and is sent.
    cut: AtomicBool,
    /// Work unit whose next start gets no answer, and time after which it is carried out.
    late: Mutex<Option<(String, Duration)>>,
    works: Works,
    record: Arc<Record>,
    /// All starts: work unit, run, time.
    starts: Mutex<Vec<(String, u64, Instant)>>,
    /// All ends that were taken note of: work unit, how, time.
    acknowledged: Mutex<Vec<(String, &'static str, Instant)>>,
}

impl Worker {
    fn start(
        number: usize,
        app: SocketAddr,
        control: SocketAddr,
        capacity: (u64, u64, u64),
        works: &Works,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            number,
            app,
            control,
            capacity,
            life: Mutex::new(Life::new(format!("i-{number:04x}-0"))),
            ended: Condvar::new(),
            up: Arc::new(AtomicBool::new(true)),
            cut: AtomicBool::new(false),
            late: Mutex::new(None),
            works: Arc::clone(works),
            record: Arc::clone(record),
            starts: Mutex::default(),
            acknowledged: Mutex::default(),
        });
        let serving = Arc::clone(&worker);
        let handle: Handler = Arc::new(move |request| serving.receive(request));
        serve_while_up(app, Arc::clone(&worker.up), handle);
        let advancing = Arc::clone(&worker);
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(10));
                let span = last.elapsed().as_millis() as u64;
                last += Duration::from_millis(span);
                advancing.advance(span);
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn beat(&self) {
        if !self.is_up() || self.is_cut() {
            return;
        }
        let (path, body) = {
            let mut life = self.lock();
            life.sequence += 1;
            let (cpu, mem, gpu) = self.capacity;
            let body = format!(
                r#"{{"service":"app","address":"{}","zone":"z-a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"capacity":{{"cpu":{cpu},"mem-mb":{mem},"gpu":{gpu}}},"labels":["a","r{}"],"clock-ms":{},"born":{},"sequence":{}}}"#,
                self.app,
                self.number / 4,
                life.clock_ms(),
                life.born,
                life.sequence
            );
            (format!("/-/Instances.Heartbeat/{}", life.id), body)
        };
        call(self.control, "POST", &path, &[("Host", "node")], &body, Duration::from_secs(1));
    }

    fn advance(&self, span: u64) {
        if !self.is_up() {
            return;
        }
        let mut life = self.lock();
        let mut ended = Vec::new();
        let lapsed = life.clock_ms() >= life.lease_ms;
        let works = self.works.lock().unwrap();
        for (task, run) in &mut life.running {
            let job = task.split('.').next().unwrap_or_default();
            if lapsed {
                ended.push((task.clone(), "lapsed"));
            } else if let Some(left) = run.stop_ms {
                run.stop_ms = Some(left.saturating_sub(span));
                if left <= span {
                    if let Some(work) = works.get(job).filter(|_| run.checkpointing) {
                        run.checkpoint = checkpoint(run.done_ms, work.checkpoint_chars);
                    }
                    ended.push((task.clone(), "stopped"));
                }
            } else {
                let before = run.done_ms / CHECKPOINT_MS;
                run.done_ms += span;
                if run.checkpointing
                    && run.done_ms / CHECKPOINT_MS > before
                    && let Some(work) = works.get(job)
                {
                    run.checkpoint = checkpoint(run.done_ms, work.checkpoint_chars);
                }
                if run.done_ms >= run.work_ms {
                    ended.push((task.clone(), "done"));
                }
            }
        }
        drop(works);
        for (task, how) in &ended {
            if let Some(run) = life.end(task, how) {
                self.record
                    .line(&format!("worker {} ends {task} run {}: {how}", self.number, run.run));
            }
        }
        drop(life);
        if !ended.is_empty() {
            self.ended.notify_all();
        }
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Carries out a call that comes over the network, and answers it.
    fn receive(self: &Arc<Self>, request: &Request) -> Answer {
        let late = match Json::parse(&request.body) {
            Some(body) if request.path == "/-/run-start" => {
                let mut late = self.late.lock().unwrap();
                late.take_if(|(task, _)| body.get("task").text() == task)
            }
            _ => None,
        };
        if let Some((task, delay)) = late {
            self.record.line(&format!(
                "worker {} leaves a start of {task} unanswered, and carries it out {} ms later",
                self.number,
                delay.as_millis()
            ));
            let (worker, request) = (Arc::clone(self), request.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                let answer = worker.handle(&request);
                let status = answer.map(|(status, _)| status);
                worker.record.line(&format!(
                    "worker {} carries the late start out: {status:?}",
                    worker.number
                ));
            });
            thread::sleep(Duration::from_secs(15));
            return None;
        }
        let answer = if self.is_cut() { None } else { self.handle(request) };
        if self.is_cut() {
            while self.is_cut() {
                thread::sleep(Duration::from_millis(5));
            }
            return None;
        }
        answer
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body)?;
        let mut life = self.lock();
        if !self.is_up() {
            return None;
        }
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|id| *id != life.id) {
            return Some((421, String::new()));
        }
        let clock = life.clock_ms();
        let refusal =
            |reason: &str| Some((409, format!(r#"{{"clock-ms":{clock},"reason":"{reason}"}}"#)));
        let token = body.get("fencing-token").number().unwrap_or(0);
        if token < life.token {
            return refusal("fence");
        }
        life.token = token;
        let task = body.get("task").text().to_owned();
        let run = body.get("run-id").number().unwrap_or(0);
        match &*request.path {
            "/-/run-start" => {
                let deadline = body.get("deadline-ms").number()?;
                if deadline <= clock {
                    return refusal("late");
                }
                life.extend(Some(deadline));
                if life.running.get(&task).is_some_and(|own| own.run == run) {
                    return Some((200, format!(r#"{{"clock-ms":{clock}}}"#)));
                }
                if life.highest.get(&task).is_some_and(|highest| run <= *highest)
                    || life.running.contains_key(&task)
                {
                    return refusal("old");
                }
                let job = task.split('.').next().unwrap_or_default();
                let work = self.works.lock().unwrap().get(job).cloned();
                let Some(work) = work else {
                    self.record.line(&format!("UNASKED: worker {} starts {task}", self.number));
                    return Some((400, String::new()));
                };
                let text = body.get("checkpoint").text().to_owned();
                let saved =
                    text.split('-').next().and_then(|hex| u64::from_str_radix(hex, 16).ok());
                self.record.line(&format!(
                    "worker {} starts {task} run {run} spec={} checkpoint_ms={}",
                    self.number,
                    if body.get("spec").text() == work.spec { "as sent" } else { "OTHER" },
                    saved.unwrap_or(0)
                ));
                self.starts.lock().unwrap().push((task.clone(), run, Instant::now()));
                let started = Run {
                    run,
                    work_ms: work.work_ms,
                    done_ms: saved.unwrap_or(0),
                    checkpoint: text,
                    checkpointing: work.checkpointing,
                    stop_ms: None,
                };
                life.running.insert(task, started);
                Some((200, format!(r#"{{"clock-ms":{clock}}}"#)))
            }
            "/-/run-stop" => {
                match life.running.get_mut(&task) {
                    Some(own) if own.run == run => {
                        own.stop_ms.get_or_insert(STOP_MS);
                    }
                    Some(_) => {}
                    None => {
                        let highest = life.highest.entry(task).or_default();
                        *highest = (*highest).max(run);
                    }
                }
                Some((200, format!(r#"{{"clock-ms":{clock}}}"#)))
            }
            "/-/hold" => {
                life.extend(body.get("deadline-ms").number());
                let acked = body.get("ack-cursor").number().unwrap_or(0);
                for (_, task, run, how, _) in
                    life.finished.iter().filter(|(number, ..)| *number <= acked)
                {
                    self.record.line(&format!(
                        "worker {} is acknowledged {task} run {run}: {how}",
                        self.number
                    ));
                    self.acknowledged.lock().unwrap().push((task.clone(), *how, Instant::now()));
                }
                life.finished.retain(|(number, ..)| *number > acked);
                let until = Instant::now()
                    + Duration::from_millis(body.get("wait-ms").number().unwrap_or(0));
                let born = life.born;
                while life.finished.is_empty() && life.born == born && self.is_up() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    life = self
                        .ended
                        .wait_timeout(life, left.min(Duration::from_millis(20)))
                        .unwrap()
                        .0;
                }
                if life.born != born || !self.is_up() {
                    return None;
                }
                let running: Vec<String> = life
                    .running
                    .iter()
                    .map(|(task, own)| {
                        let percent = (own.done_ms * 100 / own.work_ms.max(1)).min(99);
                        format!(r#"["{task}",{},"{}",{percent},0]"#, own.run, own.checkpoint)
                    })
                    .collect();
                let finished: Vec<String> = life
                    .finished
                    .iter()
                    .take(MAX_ENDS)
                    .map(|(number, task, run, how, saved)| {
                        format!(r#"[{number},"{task}",{run},"{how}","{saved}"]"#)
                    })
                    .collect();
                Some((
                    200,
                    format!(
                        r#"{{"clock-ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
                        life.clock_ms(),
                        life.born,
                        running.join(","),
                        finished.join(",")
                    ),
                ))
            }
            _ => Some((404, String::new())),
        }
    }

    /// Is cut off for a time; crashes behind the cut and starts again under its id.
    fn reborn_behind_cut(self: &Arc<Self>, cut: Duration, crash: Duration, down: Duration) {
        self.cut.store(true, Ordering::SeqCst);
        self.record.line(&format!("worker {} is cut off for {} ms", self.number, cut.as_millis()));
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(crash);
            worker.record.line(&format!("worker {} crashes", worker.number));
            worker.lock().running.clear();
            thread::sleep(down);
            let id = worker.lock().id.clone();
            worker.record.line(&format!("worker {} starts again under its id {id}", worker.number));
            *worker.lock() = Life::new(id);
            thread::sleep(cut.saturating_sub(crash + down));
            worker.cut.store(false, Ordering::SeqCst);
            worker.record.line(&format!("worker {} is no longer cut off", worker.number));
            worker.beat();
        });
    }

    fn runs(&self, job: &str) -> usize {
        if !self.is_up() {
            return 0;
        }
        self.lock().running.keys().filter(|task| task.starts_with(job)).count()
    }
}

/// Returns a checkpoint's text of a length: the work done, in hexadecimal, and filling.
fn checkpoint(done_ms: u64, chars: usize) -> String {
    let mut text = format!("{done_ms:016x}");
    if chars > text.len() {
        text.push('-');
        while text.len() < chars {
            text.push('x');
        }
    }
    text
}

// ---------------------------------------------------------------- deployment

struct Program {
    name: String,
    child: Option<Child>,
}

/// A small deployment: entries, agents with their workers, and the store.
struct Stage {
    record: Arc<Record>,
    store: Arc<Store>,
    works: Works,
    workers: Vec<Arc<Worker>>,
    programs: Vec<Program>,
    fronts: Vec<SocketAddr>,
    dir: PathBuf,
    trouble: bool,
}

const HOST: &str = "q.example";
const KEY: &str = "key-ana";

fn socket(net: [u8; 2], number: usize, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(127, net[0], net[1], number as u8), port).into()
}

/// Returns two bytes of a loopback network on which the ports of the stand-ins are free.
fn free_net() -> [u8; 2] {
    let pid = std::process::id();
    for attempt in 0..100_u32 {
        let net = [(64 + (pid >> 8) % 128) as u8, (pid.wrapping_add(attempt) % 250 + 1) as u8];
        let is_free = |port| TcpListener::bind(socket(net, 1, port)).is_ok();
        if [8_521, 8_523, 8_524, 8_526, 7_000].into_iter().all(is_free) {
            return net;
        }
    }
    [99, 99]
}

impl Stage {
    fn start(entries: usize, workers: usize, capacity: (u64, u64, u64)) -> Stage {
        let folder = std::env::args().nth(2).expect("the folder of the case");
        let bin = std::env::args().nth(3).expect("the folder of the programs");
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let file = File::create(format!("{folder}/record.txt")).expect("the record");
        let record = Arc::new(Record { file: Mutex::new(file), begin: Instant::now() });
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        record.line(&format!("TROUBLE={}", u8::from(trouble)));
        let net = free_net();
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
            begin: Instant::now(),
            record: Arc::clone(&record),
        });
        let store_address = socket(net, 254, 8_524);
        let serving = Arc::clone(&store);
        let handle: Handler = Arc::new(move |request| {
            thread::sleep(Duration::from_millis(3));
            serving.receive(request)
        });
        serve_while_up(store_address, Arc::new(AtomicBool::new(true)), handle);
        store.operate("config", &config());
        let works = Works::default();
        let mut stage = Stage {
            record,
            store,
            works,
            workers: Vec::new(),
            programs: Vec::new(),
            fronts: Vec::new(),
            dir,
            trouble,
        };
        let seeds: Vec<String> = (1..=entries.min(3))
            .map(|number| format!("\"{}\"", socket(net, number, 8_526)))
            .collect();
        for number in 1..=entries + workers {
            let is_entry = number <= entries;
            let at = |port: u16| socket(net, number, port);
            let (role, class) = if is_entry { ("entry", "frontend") } else { ("agent", "side") };
            let listen = if is_entry {
                stage.fronts.push(at(8_521));
                format!(
                    "front = \"{}\"\nreadiness = \"{}\"\ncontrol = \"{}\"\n",
                    at(8_521),
                    at(8_523),
                    at(8_526)
                )
            } else {
                format!("control = \"{}\"\n", at(8_526))
            };
            let app = if is_entry {
                String::new()
            } else {
                let index = number - entries - 1;
                let worker = Worker::start(
                    index,
                    at(8_600),
                    at(8_526),
                    capacity,
                    &stage.works,
                    &stage.record,
                );
                stage.workers.push(worker);
                format!("app = \"{}\"\n", at(8_600))
            };
            let settings = format!(
                "node-name = \"{class}-z-a-{number}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
                 ip = \"{}\"\nzone = \"z-a\"\nregion = \"r\"\nport-range = [7000, 7015]\n\
                 seeds = [{}]\nbootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\n\
                 heartbeat-ms = 1500\norders = \"invocation\"\n{app}[zones]\nz-a = \"r\"\n\
                 [listen-addrs]\n{listen}[bounds]\ncontact-ms = 5000\nack-ms = 8000\n\
                 drain-ms = 4000\ngrace-s = 6\nconfig-apply-ms = 4000\nrevoke-strict = true\n\
                 revoke-ms = 5000\nevacuate-ms = 5000\nhold-max-ms = {HOLD_MAX_MS}\n\
                 stop-timeout-ms = 200\ngang-timeout-ms = 4000\ncancel_ms = 4000\n\
                 visible_ms = 3000\nfinish_s = 14\nstatus_s = 120\ncheckpoint-s = 0.5\n[platform]\naddress = \"{store_address}\"\n\
                 form = \"table\"\nrow-bytes = {ROW_BYTES}\nhistory-s = 20\n",
                at(0).ip(),
                seeds.join(", ")
            );
            let name = format!("{role}-{number}");
            let path = stage.dir.join(format!("{name}.toml"));
            fs::write(&path, settings).expect("settings");
            let log = File::create(stage.dir.join(format!("{name}.log"))).expect("a log");
            let child = Command::new(format!("{bin}/platform-{role}"))
                .env("PERSIMMONDRIFT_SETTINGS", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("a log"))
                .stderr(log)
                .spawn();
            match child {
                Ok(child) => stage.programs.push(Program { name, child: Some(child) }),
                Err(error) => stage.give_up(&format!("{name} can't start: {error}")),
            }
        }
        stage.wait_ready();
        stage
    }

    /// Takes a machine away for good: its agent is killed, and its worker ends.
    fn remove_machine(&mut self, index: usize) {
        let worker = &self.workers[index];
        worker.up.store(false, Ordering::SeqCst);
        worker.lock().running.clear();
        self.record.line(&format!("the machine of worker {index} is removed for good"));
        let program = &mut self.programs[self.fronts.len() + index];
        if let Some(mut child) = program.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lets the store answer nothing for a time.
    fn silence_store(&self, span: Duration) {
        self.record.line(&format!("the store is down for {} ms", span.as_millis()));
        self.store.silent.store(true, Ordering::SeqCst);
        thread::sleep(span);
        self.store.silent.store(false, Ordering::SeqCst);
        self.record.line("the store is back");
    }

    /// Ends all processes, and the script with 2.
    fn give_up(&mut self, why: &str) -> ! {
        self.record.line(&format!("the case can't run: {why}"));
        self.stop();
        std::process::exit(2);
    }

    fn stop(&mut self) {
        for program in &mut self.programs {
            if let Some(mut child) = program.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                let _ = &program.name;
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }

    fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        for front in self.fronts.clone() {
            while self.count(front) != Some(200) {
                if Instant::now() > until {
                    self.give_up("an entry does not get ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Agents report their workers after the first heartbeats.
        thread::sleep(Duration::from_secs(4));
    }

    fn client(
        &self,
        front: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", &*key),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        call(front, method, path, &headers, body, Duration::from_secs(3))
    }

    fn count(&self, front: SocketAddr) -> Option<u16> {
        self.client(front, "GET", "/work/", "").map(|(status, _)| status)
    }

    /// Submits a job until it is accepted.
    fn submit(&mut self, id: &str, work: Work, steps: &str) {
        self.works.lock().unwrap().insert(id.to_owned(), work.clone());
        let body = format!(r#"{{"spec":"{}","steps":{steps}}}"#, work.spec);
        for attempt in 0..10 {
            let front = self.fronts[attempt % self.fronts.len()];
            let answer = self.client(front, "POST", &format!("/work/{id}"), &body);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.line(&format!("POST /work/{id} {steps} -> {status:?}"));
            if status == Some(200) {
                return;
            }
            thread::sleep(Duration::from_millis(300));
        }
        self.give_up("the job is not accepted");
    }

    /// Asks for the state of a job.
    fn state(&self, id: &str) -> String {
        for front in &self.fronts {
            if let Some((status, body)) = self.client(*front, "GET", &format!("/work/{id}"), "") {
                let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
                return match (status, state) {
                    (200, Some(state)) => state,
                    _ => status.to_string(),
                };
            }
        }
        "no answer".to_owned()
    }

    /// Waits until a job has a state of a list, and returns its last state.
    fn await_state(&self, id: &str, wanted: &[&str], limit: Duration) -> String {
        let until = Instant::now() + limit;
        let mut last = String::new();
        loop {
            let state = self.state(id);
            if state != last {
                self.record.line(&format!("GET /work/{id} -> {state}"));
                last.clone_from(&state);
            }
            if wanted.contains(&&*state) || Instant::now() > until {
                return state;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until a worker runs work units of a job; returns its index.
    fn await_running(&self, id: &str, count: usize, limit: Duration) -> Option<usize> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(found) = self.workers.iter().position(|worker| worker.runs(id) >= count) {
                return Some(found);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Ends all processes and reports whether the rule held.
    fn finish(mut self, broken: Option<String>) -> ExitCode {
        let verdict = broken
            .as_ref()
            .map_or_else(|| "the rule held".to_owned(), |why| format!("BROKEN: {why}"));
        self.record.line(&verdict);
        println!("{verdict}");
        self.stop();
        ExitCode::from(u8::from(broken.is_some()))
    }
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"work","host":"{HOST}","path-prefix":"/work/","service":"app","priority":1,"max-attempts":4,"stretch":3.0,"target-latency-ms":1000}}],"services":[{{"name":"app","rejects-overload":false}}],"limits":{{"max-body-bytes":262144}},"tenants":[{{"name":"ana","api-keys":["{KEY}"],"guaranteed":{{"gpu":8}}}}]}}"#
    )
}

// ---------------------------------------------------------------- cases

include!("cases.rs");

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("late-start-behind-cut") => late_start_behind_cut(),
        Some("silence-counted-anew") => silence_counted_anew(),
        other => {
            eprintln!("no such case: {other:?}");
            ExitCode::from(2)
        }
    }
}
