//! Requests of children and peers to a daemon in the distribution tree.

use {
    super::Tree,
    crate::{
        body::{self, Body},
        error::Result,
        model::Version,
        peer,
        relays::{Event, StreamEvent, Subscribe},
        tree_wire::{FETCH_PATH, REPORT_PATH, SUBSCRIBE_PATH, VERSION_PATH, VersionAnswer},
        wire,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::sync::Arc,
};

impl Tree {
    /// Answers a request of another daemon on the peer port.
    pub async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let answered = match req.uri().path() {
            SUBSCRIBE_PATH => peer::read_message(req)
                .await
                .map(|req| self.open_child_stream(req)),
            REPORT_PATH => peer::read_message(req).await.map(|report| {
                let reply = self.step_report(report);
                reply.map_or_else(
                    || peer::empty_response(StatusCode::INTERNAL_SERVER_ERROR),
                    |reply| peer::message_response(&reply),
                )
            }),
            VERSION_PATH => Ok(peer::message_response(&VersionAnswer {
                version: self.shared.in_force(),
            })),
            FETCH_PATH => peer::read_message(req)
                .await
                .and_then(|version| self.encode_delta_parts(version)),
            _ => Ok(peer::empty_response(StatusCode::NOT_FOUND)),
        };
        answered.unwrap_or_else(|e| {
            log::warn!("refused an invalid request of a peer: {e}");
            peer::empty_response(StatusCode::BAD_REQUEST)
        })
    }

    fn open_child_stream(self: &Arc<Self>, req: Subscribe) -> Response<Body> {
        let (child, stream) = (req.member.daemon.clone(), req.stream);
        let (response, stream_end) = self.children.open(&child, stream);
        self.step(Event::Stream(StreamEvent::Subscribe(req)));
        let tree = Arc::clone(self);
        tokio::spawn(async move {
            stream_end.wait().await;
            tree.children.close(&child, stream);
            tree.step(Event::Stream(StreamEvent::ChildLost { child, stream }));
        });
        response
    }

    fn encode_delta_parts(&self, version: Version) -> Result<Response<Body>> {
        let parts = self.uplink().config_parts_since(version)?;
        let mut buf = Vec::new();
        for part in parts {
            buf.extend_from_slice(&wire::encode_frame(&part)?);
        }
        Ok(Response::new(body::full(buf)))
    }
}
