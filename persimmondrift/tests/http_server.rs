//! Test of the HTTP server with many connections at once: each one is answered.

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

/// `tiny_http` may assign two connections that arrive at once to one idle thread; the second then
/// waits until the first is closed.
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
        // Keeps two connections open and closes the others, so that the next round finds idle
        // threads.
        streams.truncate(2);
        held.extend(streams);
    }
    drop(held);
    http.stop();
}
