//! Heads, framing and bodies.

use bytes::BytesMut;
use mulberry_http1::{
    BodyDecoder, BodyError, Framing, HeadError, RequestHead, ResponseHead, encode_chunk,
    request_framing, response_framing,
};
use proptest::prelude::*;

fn request(text: &str) -> RequestHead {
    RequestHead::parse(text.as_bytes()).expect("well-formed").expect("complete").0
}

#[test]
fn a_head_keeps_its_fields_and_target() {
    let text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\nX-One: 1\r\nx-one: 2\r\n\r\nrest";
    let (head, length) = RequestHead::parse(text.as_bytes()).expect("parses").expect("complete");
    assert_eq!(length, text.len() - 4);
    assert_eq!(head.path(), "/a/b");
    assert_eq!(head.headers.all("X-ONE").count(), 2);
    let mut out = Vec::new();
    head.encode(&mut out);
    assert_eq!(out, text.as_bytes()[..length]);
}

#[test]
fn connection_fields_and_those_they_name_are_removed() {
    let mut head = request(
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: 1\r\n\r\n",
    );
    assert!(!head.keeps_alive());
    head.headers.remove_connection_fields();
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["Host", "X-Kept"]);
}

#[test]
fn lengths_that_two_parsers_could_read_differently_are_refused() {
    for fields in [
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let head = request(&format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n"));
        assert_eq!(request_framing(&head), Err(HeadError::AmbiguousLength), "{fields}");
    }
    assert_eq!(
        RequestHead::parse(b"GET / HTTP/1.1\r\nHost : h\r\n\r\n"),
        Err(HeadError::Malformed)
    );
}

#[test]
fn only_statuses_of_http_are_parsed() {
    let parse = |status: &str| {
        ResponseHead::parse(format!("HTTP/1.1 {status} S\r\nContent-Length: 0\r\n\r\n").as_bytes())
    };
    for status in 0..1_000 {
        let parsed = parse(&format!("{status:03}"));
        let parsed = parsed.ok().flatten().map(|(head, _)| head.status);
        // Nothing asks for 101, after which the connection speaks another protocol.
        let is_known = (100..600).contains(&status) && status != 101;
        assert_eq!(parsed, is_known.then_some(status), "{status:03}");
    }
    for status in
        ["-20", "+20", "2x0", "abc", "20", "2", "", "2000", "0200", " 200", "200.", "200,"]
    {
        assert!(parse(status).is_err(), "{status:?}");
    }
}

#[test]
fn a_response_without_length_ends_with_its_connection() {
    let parse =
        |text: &str| ResponseHead::parse(text.as_bytes()).expect("parses").expect("complete").0;
    let head = parse("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(response_framing("GET", &head), Ok(Framing::UntilClose));
    assert_eq!(response_framing("HEAD", &head), Ok(Framing::Length(0)));
    let mut decoder = BodyDecoder::new(Framing::UntilClose);
    let mut body = Vec::new();
    decoder.decode(&mut BytesMut::from("abc"), &mut body).expect("decodes");
    assert!(!decoder.is_done());
    decoder.end_of_input().expect("may end here");
    assert!(decoder.is_done());
    assert_eq!(body, b"abc");
}

#[test]
fn an_end_within_a_framed_body_is_no_end() {
    for (framing, bytes) in [(Framing::Length(5), "abc"), (Framing::Chunked, "3\r\nabc\r\n")] {
        let mut decoder = BodyDecoder::new(framing);
        decoder.decode(&mut BytesMut::from(bytes), &mut Vec::new()).expect("decodes");
        assert_eq!(decoder.end_of_input(), Err(BodyError::Truncated));
    }
}

#[test]
fn chunks_must_be_framed_exactly() {
    for bytes in ["3\r\nabcd\r\n", "x\r\n", "-1\r\n", "\r\nabc", "3 \nabc\r\n0\r\n\r\n\r\n"] {
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut input = BytesMut::from(bytes);
        assert_eq!(
            decoder.decode(&mut input, &mut Vec::new()),
            Err(BodyError::Malformed),
            "{bytes:?}"
        );
    }
}

proptest! {
    #[test]
    fn chunked_bodies_survive_any_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        cuts in prop::collection::vec(0usize..200, 0..6),
    ) {
        let mut wire = Vec::new();
        for part in &parts {
            encode_chunk(part, &mut wire);
        }
        wire.extend_from_slice(b"0\r\n\r\nNEXT");
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(wire.len())).collect();
        cuts.push(wire.len());
        cuts.sort_unstable();
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut input = BytesMut::new();
        let mut body = Vec::new();
        let mut from = 0;
        for cut in cuts {
            input.extend_from_slice(&wire[from..cut]);
            from = cut;
            decoder.decode(&mut input, &mut body).expect("decodes");
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(body, parts.concat());
        prop_assert_eq!(&input[..], b"NEXT");
    }
}
