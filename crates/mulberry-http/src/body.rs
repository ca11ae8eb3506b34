//! Body of an answer: whole, or streamed from a handler thread.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Piece of a streamed body.
#[derive(Debug)]
pub(crate) enum Part {
    Data(Bytes),
    End,
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Streamed { parts: mpsc::Receiver<Part>, ended: bool },
}

/// The handler dropped its writer before the end of the body.
///
/// The connection is cut without the final chunk, so that the client does not take a part for the whole.
#[derive(Debug)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was aborted")
    }
}

impl std::error::Error for Aborted {}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Streamed { ended: true, .. } => Poll::Ready(None),
            AnswerBody::Streamed { parts, ended } => match ready!(parts.poll_recv(context)) {
                Some(Part::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Part::End) => {
                    *ended = true;
                    Poll::Ready(None)
                }
                None => {
                    *ended = true;
                    Poll::Ready(Some(Err(Aborted)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Streamed { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
