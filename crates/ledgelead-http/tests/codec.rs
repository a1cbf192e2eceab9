//! Messages that arrive in arbitrary pieces, left-over bytes, and ambiguous framing.

use googletest::prelude::*;
use ledgelead_http::{
    Request, RequestError, RequestLimits, RequestProgress, RequestReader, Response, ResponseError,
    ResponseProgress, ResponseReader, request_bytes, response_bytes, write_request, write_response,
};
use proptest::prelude::*;

const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 1_024,
    max_body_bytes: 4_096,
};

fn read_request(bytes: &[u8]) -> std::result::Result<RequestProgress, RequestError> {
    RequestReader::default().read(&mut bytes.to_vec(), LIMITS)
}

fn read_response(bytes: &[u8]) -> std::result::Result<ResponseProgress, ResponseError> {
    ResponseReader::new("GET", 4_096).read(&mut bytes.to_vec())
}

#[gtest]
fn a_request_with_ambiguous_or_invalid_framing_is_refused() {
    let both =
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    expect_that!(read_request(both), err(eq(&RequestError::Malformed)));
    let two = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
    expect_that!(read_request(two), err(eq(&RequestError::Malformed)));
    let signed = b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc";
    expect_that!(read_request(signed), err(eq(&RequestError::Malformed)));
}

#[gtest]
fn a_request_over_a_size_limit_is_refused_with_the_matching_status() {
    let mut long_head = b"GET / HTTP/1.1\r\nA: ".to_vec();
    long_head.resize(2_000, b'a');
    let error = read_request(&long_head).unwrap_err();
    expect_that!(error.status(), eq(431));
    let long_body = b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n";
    expect_that!(read_request(long_body).unwrap_err().status(), eq(413));
}

#[gtest]
fn a_chunked_body_arrives_without_its_framing() {
    let bytes = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\nGET";
    let mut input = bytes.to_vec();
    let progress = RequestReader::default().read(&mut input, LIMITS).unwrap();
    let RequestProgress::Complete(request) = progress else {
        panic!("not complete");
    };
    expect_that!(request.body, eq(b"abcde"));
    expect_that!(input, eq(b"GET"));
}

#[gtest]
fn a_truncated_response_is_an_error() {
    let mut reader = ResponseReader::new("GET", 100);
    let mut input = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc".to_vec();
    expect_that!(reader.read(&mut input), ok(eq(&ResponseProgress::Partial)));
    expect_that!(reader.finish_at_close(), err(eq(&ResponseError::Truncated)));
}

#[gtest]
fn a_response_without_framing_ends_when_the_connection_closes() {
    let mut reader = ResponseReader::new("GET", 100);
    let mut input = b"HTTP/1.1 200 OK\r\n\r\nabc".to_vec();
    expect_that!(reader.read(&mut input), ok(eq(&ResponseProgress::Partial)));
    let response = reader.finish_at_close().unwrap();
    expect_that!(response.body, eq(b"abc"));
}

#[gtest]
fn bytes_after_a_response_stay_in_the_buffer() {
    let mut input = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n".to_vec();
    let progress = ResponseReader::new("GET", 100).read(&mut input).unwrap();
    expect_that!(
        matches!(progress, ResponseProgress::Complete { reusable: true, .. }),
        eq(true)
    );
    expect_that!(input.starts_with(b"HTTP/1.1"), eq(true));
}

#[gtest]
fn three_digits_that_are_no_status_are_an_error() {
    for status in ["000", "007", "099", "600", "999"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
        let progress = read_response(answer.as_bytes());
        expect_that!(progress, err(eq(&ResponseError::Malformed)), "{status}");
    }
    for status in ["200", "299", "404", "599"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
        expect_that!(
            read_response(answer.as_bytes()).is_ok(),
            eq(true),
            "{status}"
        );
    }
}

#[gtest]
fn bytes_that_are_not_a_response_are_an_error() {
    expect_that!(read_response(b"garbage\r\n\r\n"), err(anything()));
}

proptest! {
    #[test]
    fn requests_are_read_whole_from_pieces_of_any_size(body in proptest::collection::vec(any::<u8>(), 0..300), piece_bytes in 1..40usize) {
        let mut request = Request::new("POST", "/a/b?c=d", body);
        request.headers.push("X-Name", "value");
        let mut bytes = Vec::new();
        write_request(&request, &mut bytes);
        let mut reader = RequestReader::default();
        let mut input = Vec::new();
        let mut complete = None;
        for piece in bytes.chunks(piece_bytes) {
            input.extend_from_slice(piece);
            if let RequestProgress::Complete(read) = reader.read(&mut input, LIMITS).unwrap() {
                complete = Some(read);
            }
        }
        let read = complete.expect("a complete request");
        prop_assert_eq!(&read.body, &request.body);
        prop_assert_eq!(read.path(), "/a/b");
        prop_assert_eq!(read.headers.text("x-name"), Some("value"));
    }

    #[test]
    fn responses_are_read_whole_from_pieces_of_any_size(body in proptest::collection::vec(any::<u8>(), 0..300), piece_bytes in 1..40usize) {
        let response = Response::new(200, body);
        let mut bytes = Vec::new();
        write_response(&response, false, false, &mut bytes);
        let mut reader = ResponseReader::new("GET", 4_096);
        let mut input = Vec::new();
        let mut complete = None;
        for piece in bytes.chunks(piece_bytes) {
            input.extend_from_slice(piece);
            if let ResponseProgress::Complete { response, .. } = reader.read(&mut input).unwrap() {
                complete = Some(response);
            }
        }
        prop_assert_eq!(complete.expect("a complete response").body, response.body);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read_request(&bytes);
        let _ = read_response(&bytes);
    }
}

#[gtest]
fn computed_lengths_equal_those_of_encoded_messages() {
    for method in ["GET", "POST", "DELETE"] {
        for body in [0, 1, 9, 10, 60_000] {
            let mut request = Request::new(method, "/a/b?c", vec![0; body]);
            request.headers.push("host", "h");
            request.headers.push("attempt", "one");
            let mut written = Vec::new();
            write_request(&request, &mut written);
            expect_that!(request_bytes(&request), eq(written.len()));
        }
    }
    for status in [200, 204, 304, 404, 503, 599] {
        for body in [0, 10, 60_000] {
            let mut response = Response::new(status, vec![0; body]);
            response.headers.push("signature", "s");
            let mut written = Vec::new();
            write_response(&response, false, false, &mut written);
            expect_that!(response_bytes(&response), eq(written.len()));
        }
    }
}
