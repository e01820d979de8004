//! Tests of bodies read over an in-memory connection, and of the memory that they reserve.

use super::{append, discard, read_reserved, read_to_end, BodyError, BodyMemory, MAX_BODY_BYTES};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::join;
use tokio::task::{spawn_local, LocalSet};

/// Capacity of a connection in each direction, in bytes.
const PIPE_BYTES: usize = 1 << 20;

/// Returns the body of a response that begins with `head`, and the server's side of its
/// connection. Must run within a `LocalSet`.
async fn response_body(head: &str) -> (Incoming, DuplexStream) {
    let (client, mut server) = duplex(PIPE_BYTES);
    let (mut sender, connection) = http1::handshake(TokioIo::new(client)).await.unwrap();
    spawn_local(connection);
    let request = Request::new(Empty::<Bytes>::new());
    let answer = async {
        server.read_u8().await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n");
        server.write_all(head.as_bytes()).await.unwrap();
        server
    };
    let (response, server) = join!(sender.send_request(request), answer);
    (response.unwrap().into_body(), server)
}

/// Writes a text in chunks of one byte each, without the last chunk.
async fn write_chunks(server: &mut DuplexStream, text: &str) {
    for byte in text.chars() {
        server
            .write_all(format!("1\r\n{byte}\r\n").as_bytes())
            .await
            .unwrap();
    }
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

// Guards against a body that is held without a reservation, and against a reservation that
// outlives its body.
#[tokio::test]
async fn body_of_stated_length_reserves_its_length_until_its_last_clone_is_dropped() {
    run_local(async {
        let memory = BodyMemory::new(MAX_BODY_BYTES);
        let (body, mut server) = response_body("Content-Length: 5").await;
        server.write_all(b"value").await.unwrap();
        let bytes = read_reserved(body, &memory).await.unwrap();
        assert_eq!(bytes, "value");
        assert_eq!(memory.available(), MAX_BODY_BYTES - 5);
        let clone = bytes.clone();
        drop(bytes);
        assert!(!memory.has_room(), "a clone still holds the bytes");
        drop(clone);
        assert!(memory.has_room());
    })
    .await;
}

// Guards against a body without a stated length that is counted only after it was read.
#[tokio::test]
async fn body_of_unknown_length_reserves_the_maximum_while_it_is_read() {
    run_local(async {
        let memory = BodyMemory::new(MAX_BODY_BYTES);
        let (body, mut server) = response_body("Transfer-Encoding: chunked").await;
        write_chunks(&mut server, "val").await;
        let mut reading = pin!(read_reserved(body, &memory));
        let first_poll = poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_ready())).await;
        assert!(!first_poll, "the body has not ended");
        assert_eq!(memory.available(), 0);
        write_chunks(&mut server, "ue").await;
        server.write_all(b"0\r\n\r\n").await.unwrap();
        let bytes = reading.await.unwrap();
        assert_eq!(bytes, "value");
        assert_eq!(memory.available(), MAX_BODY_BYTES - 5);
    })
    .await;
}

// Guards against a body that is read although other bodies hold all the memory.
#[tokio::test]
async fn body_is_not_read_before_another_body_releases_its_memory() {
    run_local(async {
        let memory = BodyMemory::new(MAX_BODY_BYTES);
        let held = memory.reserve(MAX_BODY_BYTES).await;
        let (body, mut server) = response_body("Content-Length: 5").await;
        server.write_all(b"value").await.unwrap();
        let mut reading = pin!(read_reserved(body, &memory));
        let first_poll = poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_ready())).await;
        assert!(!first_poll, "there is no memory for the body");
        drop(held);
        assert_eq!(reading.await.unwrap(), "value");
    })
    .await;
}

// Guards against a failed or abandoned body that keeps its memory reserved.
#[tokio::test]
async fn body_that_breaks_off_or_exceeds_the_limit_releases_its_memory() {
    run_local(async {
        let memory = BodyMemory::new(MAX_BODY_BYTES);
        let (body, server) = response_body("Content-Length: 5").await;
        drop(server);
        let result = read_reserved(body, &memory).await;
        assert!(
            matches!(result, Err(BodyError::Incomplete(_))),
            "{result:?}"
        );
        let (body, mut server) = response_body("Connection: close").await;
        let endless = vec![b'x'; MAX_BODY_BYTES + 1];
        server.write_all(&endless).await.unwrap();
        let result = read_reserved(body, &memory).await;
        assert!(matches!(result, Err(BodyError::TooLarge)), "{result:?}");
        assert!(memory.has_room());
    })
    .await;
}

// Guards against a reader that accepts a body above its limit, or rejects one of exactly the limit.
#[tokio::test]
async fn every_reader_ends_at_its_limit() {
    run_local(async {
        for (length, accepted) in [(MAX_BODY_BYTES, true), (MAX_BODY_BYTES + 1, false)] {
            for head in ["Connection: close", &format!("Content-Length: {length}")] {
                let content = vec![b'x'; length];
                let (body, mut server) = response_body(head).await;
                server.write_all(&content).await.unwrap();
                drop(server);
                let kept = read_to_end(body, MAX_BODY_BYTES).await;
                assert_eq!(kept.is_ok(), accepted, "{head}: {length}");
                let (body, mut server) = response_body(head).await;
                server.write_all(&content).await.unwrap();
                drop(server);
                let discarded = discard(body).await;
                assert_eq!(discarded.is_ok(), accepted, "{head}: {length}");
            }
        }
    })
    .await;
}

// Guards against a buffer that grows by doubling to twice the limit on its content.
#[test]
fn buffer_of_a_growing_body_never_exceeds_the_limit() {
    for piece in [1, 63, 5_000, 40_000] {
        let mut bytes = Vec::new();
        while bytes.len() + piece <= MAX_BODY_BYTES {
            append(&mut bytes, &vec![b'x'; piece], MAX_BODY_BYTES);
            assert!(bytes.capacity() <= MAX_BODY_BYTES, "{}", bytes.capacity());
        }
    }
}
