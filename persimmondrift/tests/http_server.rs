//! The HTTP server: each connection gets its answer, however many come at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use persimmondrift::adapter::Http;
use rouille::Response;

const ROUNDS: usize = 40;
const CONNECTIONS: usize = 50;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn send_request(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connected");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
    stream
}

fn is_answered(stream: &mut TcpStream) -> bool {
    let mut first = [0; 1];
    stream.read_exact(&mut first).is_ok()
}

/// The library gave two connections that came at once to one idle thread: the second one
/// waited until the first was closed.
#[test]
fn connections_do_not_wait_for_each_other() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let http = Http::start(any, CONNECTIONS, |_| Response::text("whole")).expect("started");
    let mut held = Vec::new();
    for round in 0..ROUNDS {
        let mut streams: Vec<TcpStream> =
            (0..CONNECTIONS).map(|_| send_request(http.address)).collect();
        let unanswered = streams.iter_mut().filter_map(|s| (!is_answered(s)).then_some(())).count();
        assert_eq!(unanswered, 0, "round {round}");
        // All but a few are closed, so that idle threads await the next round.
        streams.truncate(2);
        held.extend(streams);
    }
    drop(held);
    http.stop();
}
