use super::*;

/// Guards against a stream that stays open for the child after the parent has closed it: daemons
/// then kept a leader that had stepped down as their parent until the heartbeat timeout of 2 s.
#[tokio::test]
async fn a_stream_closed_by_the_parent_ends_for_the_child() {
    let streams = ChildStreams::default();
    let (response, stream_end) = streams.open(&"daemon-1".into(), 1);
    let waiter = tokio::spawn(stream_end.wait());
    streams.close_all();
    waiter.await.unwrap();
    let rest = body::collect(response.into_body(), 1).await.unwrap();
    assert!(rest.is_empty());
}
