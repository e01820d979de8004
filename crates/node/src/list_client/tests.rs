//! Tests of calls for the endpoint list, against a listener that answers one connection with given
//! bytes.

use super::{connect, exchange, DiscoveryError, ListRequest, MAX_LIST_BYTES};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers the first connection with a head and a body. Returns the head of the request.
async fn answer_once(listener: TcpListener, head: String, body: Vec<u8>) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = vec![0; 4096];
    let length = stream.read(&mut request).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    // The client may close the connection before it has read the whole body.
    let _ = stream.write_all(&body).await;
    String::from_utf8(request[..length].to_vec()).unwrap()
}

/// Returns the result of a call that is answered with this status and body, the head of its
/// request, and the address that was called.
async fn call_answered_with(
    list_request: ListRequest,
    status: &str,
    body: Vec<u8>,
) -> (Result<Vec<u8>, DiscoveryError>, String, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let client = async {
        let (mut sender, connection) = connect(address).await.unwrap();
        tokio::spawn(connection);
        exchange(&mut sender, address, list_request, MAX_LIST_BYTES).await
    };
    let (result, request) = tokio::join!(client, answer_once(listener, head, body));
    (result, request, address)
}

// Guards against a request in a form that discovery does not support.
#[tokio::test]
async fn request_target_contains_list_path_version_and_wait() {
    let calls = [
        (ListRequest::Complete, "/v1/servers"),
        (
            ListRequest::ChangesAfter {
                version: 7,
                wait: Duration::from_millis(1500),
            },
            "/v1/servers?after=7&wait_ms=1500",
        ),
    ];
    for (call, target) in calls {
        let (result, request, address) = call_answered_with(call, "200 OK", b"{}".to_vec()).await;
        assert_eq!(result.unwrap(), b"{}");
        assert_eq!(
            request,
            format!("GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n")
        );
    }
}

// Guards against an answer of unbounded size that exhausts memory, and against the rejection of an
// answer of exactly the maximum length.
#[tokio::test]
async fn body_longer_than_the_maximum_returns_too_large() {
    let longest = vec![b' '; MAX_LIST_BYTES];
    let (result, ..) = call_answered_with(ListRequest::Complete, "200 OK", longest).await;
    assert_eq!(result.unwrap().len(), MAX_LIST_BYTES);
    let too_long = vec![b' '; MAX_LIST_BYTES + 1];
    let (result, ..) = call_answered_with(ListRequest::Complete, "200 OK", too_long).await;
    assert!(
        matches!(
            result,
            Err(DiscoveryError::TooLarge {
                max_bytes: MAX_LIST_BYTES
            })
        ),
        "{result:?}"
    );
}

// Guards against an error response whose body is read as a list.
#[tokio::test]
async fn answer_with_status_other_than_200_is_an_error() {
    let body = br#"{"seq":1,"whole":true,"hosts":[]}"#.to_vec();
    let (result, ..) =
        call_answered_with(ListRequest::Complete, "503 Service Unavailable", body).await;
    let error = result.unwrap_err();
    assert_eq!(
        error.to_string(),
        "unexpected status of the answer: 503 Service Unavailable"
    );
}
