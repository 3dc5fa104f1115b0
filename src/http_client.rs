//! Minimal HTTP/1 client that opens a connection per request; used by stand-ins, `dev` and tests.

use {
    crate::{
        body::{self, Body, BoxError},
        serve,
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BODY: usize = 64 * 1024 * 1024;

/// Sends one request and reads the whole response.
///
/// # Errors
/// Fails if the connection fails, or if the response is incomplete or larger than 64 MiB.
pub async fn send(address: SocketAddr, req: Request<Body>) -> Result<Response<Bytes>, BoxError> {
    let stream = TcpStream::connect(address).await?;
    serve::set_socket_options(&stream);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let (parts, incoming) = sender.send_request(req).await?.into_parts();
    let bytes = body::collect(body::boxed(incoming), MAX_RESPONSE_BODY).await?;
    drop(sender);
    driver.await??;
    Ok(Response::from_parts(parts, bytes))
}
