//! Bodies of forwarded streams.

use bytes::Bytes;
use gentianhinged::edge::relay::{self, Chunk};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

#[tokio::test]
async fn a_stream_with_its_end_is_complete() {
    let (chunks, receiver) = mpsc::channel(4);
    chunks.send(Chunk::Events(Bytes::from("id:1\n\n"))).await.unwrap();
    chunks.send(Chunk::End).await.unwrap();
    let body = relay::body(receiver).collect().await.unwrap();
    assert_eq!(body.to_bytes(), "id:1\n\n");
}

#[tokio::test]
async fn a_stream_whose_task_panicked_is_incomplete() {
    let (chunks, receiver) = mpsc::channel(4);
    let task = tokio::spawn(async move {
        chunks.send(Chunk::Events(Bytes::from("id:1\n\n"))).await.unwrap();
        panic!("the task that forwards the stream");
    });
    assert!(relay::body(receiver).collect().await.is_err());
    assert!(task.await.is_err());
}
