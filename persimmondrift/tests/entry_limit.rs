//! An entry at its limit refuses further requests at once and keeps serving.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use persimmondrift::member::{ANNOUNCE_INTERVAL, Announce, Capacity, Load, Location, State};
use persimmondrift::place::Policy;
use persimmondrift::unit::{
    Accelerators, Boot, Connections, Cores, Mebibytes, Millis, Sequence, Slots, Version,
};
use persimmondrift::wire::{self, Body, Frame, MAX_DATAGRAM_BYTES};
use persimmondrift::{entry, settings};

const REQUEST_COUNT: usize = 300;
const ANNOUNCEMENTS: u64 = 100;
const POLL: Duration = Duration::from_millis(20);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn place() -> Location {
    Location {
        region: "a".parse().expect("valid"),
        zone: "a1".parse().expect("valid"),
        rack: "r".parse().expect("valid"),
    }
}

fn start_entry() -> entry::Handle {
    entry::start(settings::Entry {
        node: "entry".parse().expect("valid"),
        place: place(),
        callers: loopback(),
        operators: loopback(),
        listen: loopback(),
        entries: Vec::new(),
        table: "http://127.0.0.1:1".to_owned(),
        objects: "http://127.0.0.1:1".to_owned(),
        tokens: Vec::new(),
        policy: Policy::default(),
        process: settings::Process::default(),
    })
    .expect("started")
}

/// Announces an agent at an address that accepts connections and never answers.
fn announce(entry: SocketAddr, address: SocketAddr, number: u64) {
    let capacity = Capacity {
        slots: Slots(1_000),
        connections: Connections(1_000),
        accelerators: Accelerators(0),
        cores: Cores(1),
        memory: Mebibytes(1),
    };
    let announce = Announce {
        service: "shop".parse().expect("valid"),
        place: place(),
        address,
        capacity,
        load: Load { uptime: Millis(60_000), number, ..Load::default() },
        state: State::Serving,
        version: Version(0),
        tasks: Vec::new(),
    };
    let frame = Frame {
        node: "agent".parse().expect("valid"),
        boot: Boot(1),
        sequence: Sequence(number),
        body: Body::Announce(announce),
    };
    let bytes = wire::encode(&frame, MAX_DATAGRAM_BYTES).expect("encoded");
    let socket = UdpSocket::bind(loopback()).expect("bound");
    socket.send_to(&bytes, entry).expect("sent");
}

fn send(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connected");
    let text = "POST /shop/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\
                Persimmon-Timeout-Ms: 1500\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

fn status(stream: TcpStream) -> String {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("a response");
    line.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[test]
fn a_full_entry_refuses_and_keeps_serving() {
    let silent = TcpListener::bind(loopback()).expect("bound");
    let address = silent.local_addr().expect("bound");
    thread::spawn(move || silent.incoming().collect::<Vec<_>>());
    let entry = start_entry();
    let entry_address = entry.address();
    thread::spawn(move || {
        for number in 1..=ANNOUNCEMENTS {
            announce(entry_address, address, number);
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
    while status(send(entry.callers())) == "404" {
        thread::sleep(POLL);
    }
    let streams: Vec<TcpStream> = (0..REQUEST_COUNT).map(|_| send(entry.callers())).collect();
    let statuses: Vec<String> = streams.into_iter().map(status).collect();
    let count = |wanted: &str| statuses.iter().filter(|status| *status == wanted).count();
    assert_eq!(count("503") + count("504"), REQUEST_COUNT, "{statuses:?}");
    assert!(count("503") > 0 && count("504") > REQUEST_COUNT / 2, "{statuses:?}");
    assert_eq!(entry.in_flight(), 0, "all capacity is released");
    assert_eq!(status(send(entry.callers())), "504", "the entry accepts requests again");
    entry.stop();
}
