use super::*;

/// Guards against a stream that stays open for the child after it was closed here: daemons then
/// followed a leader that had stepped down until it had been silent for 2 s.
#[tokio::test]
async fn a_stream_that_is_closed_here_ends_for_the_child() {
    let streams = ChildStreams::default();
    let (response, lifetime) = streams.open(&"daemon-1".into(), 1);
    let watching = tokio::spawn(lifetime.end());
    streams.close_all();
    watching.await.unwrap();
    let rest = body::collect(response.into_body(), 1).await.unwrap();
    assert!(rest.is_empty());
}
