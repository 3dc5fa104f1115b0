//! Request handlers and responses of the HTTP interfaces for operators and backend servers, based
//! on gotham.

use {
    crate::{
        body::{self, Body, Start},
        memory::{self, Client, Lease, ReadError},
    },
    bytes::Bytes,
    gotham::{
        anyhow,
        handler::{Handler, HandlerFuture, NewHandler},
        helpers::http::Body as GothamBody,
        state::{FromState, State},
    },
    http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header},
    serde::Serialize,
    std::{
        fmt,
        panic::AssertUnwindSafe,
        pin::Pin,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum size of a request body in bytes; both lists at their maximum size fit.
pub const MAX_REQUEST: usize = 8 * 1024 * 1024;

/// Longest time for which the body of a refused request is read and discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// HTTP request with its whole body.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ApiRequest {
    /// Returns the value of a query parameter; `None` if it is absent. `%` escapes are not decoded,
    /// since valid names contain none.
    ///
    /// ```
    /// use anvilbeam::api::ApiRequest;
    /// let req = ApiRequest {
    ///     method: http::Method::GET,
    ///     uri: "/v1/explain?plan=clerks&service=roll".parse().unwrap(),
    ///     headers: http::HeaderMap::new(),
    ///     body: bytes::Bytes::new(),
    /// };
    /// assert_eq!(req.query("service"), Some("roll"));
    /// ```
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Future returned by a request handler.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Handler of one route: a function and the state that it gets.
pub struct Route<T> {
    shared: AssertUnwindSafe<Arc<T>>,
    handler: fn(Arc<T>, ApiRequest) -> ResponseFuture,
}

impl<T> Route<T> {
    /// Creates a route that is handled by `handler`.
    ///
    /// `shared` is asserted to be unwind safe, since its locks are held for complete updates only.
    pub const fn new(shared: Arc<T>, handler: fn(Arc<T>, ApiRequest) -> ResponseFuture) -> Self {
        Self {
            shared: AssertUnwindSafe(shared),
            handler,
        }
    }
}

impl<T> Clone for Route<T> {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.shared), self.handler)
    }
}

impl<T> fmt::Debug for Route<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Route").finish_non_exhaustive()
    }
}

impl<T: Send + Sync + 'static> NewHandler for Route<T> {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<T: Send + Sync + 'static> Handler for Route<T> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        Box::pin(async move {
            let lease = Client::try_take_from(&mut state)
                .map_or_else(Lease::unlimited, |client| client.lease());
            let response = match read_request(&mut state, &lease).await {
                Ok(req) => (self.handler)(Arc::clone(&self.shared), req).await,
                Err(response) => response,
            };
            let response = response.map(|body| body::kept(body, lease));
            let response = response.map(|body| {
                let body = http_body_util::BodyExt::map_err(body, std::io::Error::other);
                GothamBody::new(body)
            });
            Ok((state, response))
        })
    }
}

/// Reads a request, or returns the response to one whose body is too large or cannot be held.
async fn read_request(state: &mut State, lease: &Lease) -> Result<ApiRequest, Response<Body>> {
    let mut incoming = body::boxed(GothamBody::take_from(state));
    let read = memory::read_start(&mut incoming, MAX_REQUEST, None, lease).await;
    let body = match read {
        Ok(Start::Whole(body)) => body,
        Ok(Start::Part(_)) => {
            let reason = format!("body exceeds the limit of {MAX_REQUEST} bytes");
            return Err(text_response(StatusCode::PAYLOAD_TOO_LARGE, &reason));
        }
        Err(e @ (ReadError::Short(_) | ReadError::Evicted)) => {
            let now = Instant::now();
            body::discard(incoming, now + DISCARD_TIME).await;
            return Err(e.refusal(now).response(now));
        }
        Err(e) => return Err(text_response(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string())),
    };
    Ok(ApiRequest {
        method: Method::borrow_from(state).clone(),
        uri: Uri::borrow_from(state).clone(),
        headers: HeaderMap::borrow_from(state).clone(),
        body,
    })
}

/// Returns a response with `answer` as its JSON body.
pub fn json_response<A: Serialize>(status: StatusCode, answer: &A) -> Response<Body> {
    let bytes = match serde_json::to_vec(answer) {
        Ok(bytes) => bytes,
        Err(e) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    };
    respond(status, "application/json", bytes)
}

/// Returns a response with a plain text body.
pub fn text_response(status: StatusCode, message: &str) -> Response<Body> {
    respond(
        status,
        "text/plain; charset=utf-8",
        message.as_bytes().to_vec(),
    )
}

fn respond(status: StatusCode, kind: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
