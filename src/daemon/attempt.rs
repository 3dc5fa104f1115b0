//! Sends one call to the daemon of a backend server, and retries it where that is safe.

use {
    super::{
        accounts,
        cause::retry_cause,
        entry::{RequestBody, call_outcome},
        event::{Attempt, CallId, Effect, Event},
        hedge::AttemptInFlight,
        inner::InnerCall,
        owner,
        pending::PendingAttempt,
        send_result::{FailedSend, SendResult, failure, link_outcome, peer_failure},
        shared::Shared,
    },
    crate::{
        balance::{self, Choice},
        body::{self, Body, MonitoredBody, Progress},
        call::{self, Call},
        dialect::CallerIdentity,
        events::Event as LogEvent,
        load::Load,
        log_event,
        metrics::Outcome as CallOutcome,
        model::{ServerName, Version},
        peer::OnSilence,
        refusal::{Reason, Refusal},
        retry::{self, Cause, Failure, RETRIED_HEADER},
    },
    http::{HeaderValue, Request, Response, request::Parts},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep_until,
};

/// Forwards one request of a caller to backend servers until it is answered or given up.
pub(super) struct Forwarder<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) id: CallId,
    pub(super) parts: &'a Parts,
    pub(super) request_body: RequestBody,
    /// Servers to which the request was sent so far.
    pub(super) tried: Vec<ServerName>,
    /// Number of these attempts that certainly did not reach a backend server.
    pub(super) unsent: usize,
}

impl Forwarder<'_> {
    pub(super) async fn run(
        mut self,
        mut call: Box<Call>,
        mut choice: Choice,
        arrived: Instant,
    ) -> Response<Body> {
        let _inner = call.inner.then(|| InnerCall::start(self.shared));
        // Failure of an earlier attempt that may have run.
        let mut earlier = None;
        self.shared.dispatch(None, Event::CallSent { call: &call });
        loop {
            log_event!(
                LogEvent::CallRouted,
                request = self.request_id(),
                call = self.id,
                plan = call.plan,
                service = call.service,
                rank = call.rank,
                server = choice.endpoint.server,
                distance = choice.distance,
                probe = choice.probe,
                inner = call.inner,
                attempt = self.tried.len() + 1,
            );
            self.tried.push(choice.endpoint.server.clone());
            let pending = PendingAttempt::new(self.shared, choice.clone());
            let attempt = AttemptInFlight {
                call,
                choice,
                pending,
            };
            let (attempt, result) = self.send_hedged(attempt).await;
            let mut pending;
            AttemptInFlight {
                call,
                choice,
                pending,
            } = attempt;
            pending.disarm();
            let failed = match result {
                SendResult::Answer(mut response) => {
                    self.on_answer(&call, &choice, &response, pending.start);
                    self.log_answer(&call, &choice, &response, arrived);
                    self.record_added_latency(&call, &mut response, arrived);
                    return response;
                }
                SendResult::Failure(failed) => failed,
            };
            let cause = failed.cause;
            let counts_unsent = cause.is_unsent() && self.shared.state().has_downloads();
            self.unsent += usize::from(counts_unsent);
            let effect = self.on_failure(&call, &choice, &failed, pending.start);
            match effect {
                Some(Effect::Forward {
                    call: next_call,
                    choice: next,
                    not_before,
                    ..
                }) => {
                    log_event!(
                        LogEvent::CallRetried,
                        request = self.request_id(),
                        call = self.id,
                        plan = call.plan,
                        service = call.service,
                        cause = cause,
                        server = next.endpoint.server,
                        detail = failed.detail,
                    );
                    self.shared.metrics.record_retry();
                    // Releases the chosen server if the caller disconnects during the backoff.
                    let mut waiting = PendingAttempt::new(self.shared, next.clone());
                    sleep_until(not_before.into()).await;
                    if accounts::recheck(self.shared, &next_call).is_err() {
                        // The earlier attempt may have run, so its failure is the answer.
                        waiting.disarm();
                        waiting.report_neutral(&next);
                        return self.give_up(&call, failed.reported(earlier), None);
                    }
                    waiting.disarm();
                    if !cause.is_not_run() {
                        earlier = Some(failed);
                    }
                    (call, choice) = (next_call, next);
                }
                Some(Effect::Refuse { refusal, .. }) => {
                    self.shared.metrics.early().record(refusal.early);
                    let failed = failed.refused(refusal);
                    return self.give_up(&call, failed.reported(earlier), None);
                }
                effect => return self.give_up(&call, failed.reported(earlier), effect.as_ref()),
            }
        }
    }

    /// Returns the request id that the caller sent.
    pub(super) fn request_id(&self) -> &str {
        self.shared.dialect.request_id_of(&self.parts.headers)
    }

    fn log_answer(
        &self,
        call: &Call,
        choice: &Choice,
        response: &Response<Body>,
        arrived: Instant,
    ) {
        let load = Load::read(response.headers());
        let server = load.and_then(|load| load.server_time).unwrap_or_default();
        log_event!(
            LogEvent::CallAnswered,
            request = self.request_id(),
            call = self.id,
            service = call.service,
            server = choice.endpoint.server,
            status = response.status().as_u16(),
            total_ms = arrived.elapsed().as_millis(),
            server_ms = server.as_millis(),
            attempts = self.tried.len(),
        );
    }

    /// Records the latency added by the mesh: the total time without the backend server's time.
    fn record_added_latency(&self, call: &Call, response: &mut Response<Body>, arrived: Instant) {
        response.headers_mut().remove(call::LOAD);
        let server_time = response.headers_mut().remove(call::SERVER_US);
        let server_time = server_time.and_then(|value| value.to_str().ok()?.parse().ok());
        if call.streamed {
            return;
        }
        // A response replayed from the claims group has no server time.
        let server = server_time.map_or(Duration::ZERO, Duration::from_micros);
        let added = arrived.elapsed().saturating_sub(server);
        self.shared.metrics.record_added_latency(added);
    }

    fn on_answer(&self, call: &Call, choice: &Choice, response: &Response<Body>, start: Instant) {
        let failed = response.status().is_server_error();
        let attempt = Attempt {
            choice,
            outcome: match (failed, call.streamed) {
                (true, _) => balance::Outcome::Failed,
                // The duration of an upload depends more on the caller than on the server.
                (false, true) => balance::Outcome::Neutral,
                (false, false) => balance::Outcome::Succeeded,
            },
            start,
            load: Load::read(response.headers()),
        };
        self.shared.dispatch(None, Event::AttemptEnded(attempt));
        let outcome = if failed {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered
        };
        self.shared.metrics.record_call(call.rank, outcome);
    }

    fn on_failure(
        &self,
        call: &Call,
        choice: &Choice,
        failed: &FailedSend,
        start: Instant,
    ) -> Option<Effect> {
        let retry = retry::Call {
            idempotent: call.idempotent,
            deadline: call.deadline,
            body: self.request_body.kind(),
            tried: self.tried.clone(),
            unsent: self.unsent,
            max_attempts: call.max_attempts,
            // Set by the reducer, which knows the other servers.
            other_server_available: false,
            is_retry: self.parts.headers.contains_key(RETRIED_HEADER),
        };
        let load = Load::read(failed.response.headers());
        let event = Event::Failed {
            id: self.id,
            call,
            retry: &retry,
            attempt: Attempt {
                choice,
                outcome: link_outcome(call, failed.outcome, load.as_ref()),
                start,
                load,
            },
            failure: Failure {
                cause: failed.cause,
                retried_downstream: failed.response.headers().contains_key(RETRIED_HEADER),
            },
        };
        self.shared.dispatch(Some(self.id), event)
    }

    fn give_up(&self, call: &Call, failed: FailedSend, effect: Option<&Effect>) -> Response<Body> {
        let FailedSend {
            cause,
            mut response,
            detail,
            ..
        } = failed;
        response.headers_mut().remove(call::LOAD);
        response.headers_mut().remove(call::SERVER_US);
        let now = Instant::now();
        let refusal = Refusal::read(response.headers(), now);
        let reason = match effect {
            Some(Effect::GiveUp { reason, .. }) => *reason,
            _ => retry::GiveUp::Cause,
        };
        log_event!(
            LogEvent::CallRefused,
            request = self.request_id(),
            call = self.id,
            plan = call.plan,
            service = call.service,
            reason = refusal
                .as_ref()
                .map_or("failed".to_owned(), |r| r.reason.to_string()),
            outcome = refusal
                .as_ref()
                .map_or("answered".to_owned(), |r| r.outcome.to_string()),
            cause = cause,
            no_retry = reason,
            server = self.tried.last().map_or("?", ServerName::as_str),
            detail = detail,
        );
        if reason.sets_retried_header() {
            response
                .headers_mut()
                .insert(RETRIED_HEADER, HeaderValue::from_static("1"));
        }
        let outcome = refusal.as_ref().map_or(CallOutcome::Failed, call_outcome);
        self.shared.metrics.record_call(call.rank, outcome);
        response
    }

    pub(super) async fn send(
        &self,
        req: Request<Body>,
        call: &Call,
        choice: &Choice,
    ) -> SendResult {
        let response = if choice.endpoint.daemon == self.shared.cfg.name {
            let call = Call {
                repeated: req.headers().contains_key(RETRIED_HEADER),
                ..call.clone()
            };
            owner::run(Arc::clone(self.shared), call, req).await
        } else {
            match self.send_to_peer(call, choice, req).await {
                Ok(response) => response,
                Err(failure) => return failure,
            }
        };
        let now = Instant::now();
        match Refusal::read(response.headers(), now) {
            Some(refusal) => failure(retry_cause(&refusal, now), &refusal, response),
            None if self.shared.dialect.requires_signature()
                && response.status().is_server_error() =>
            {
                let refusal =
                    Refusal::unknown(Reason::Failed, "the backend server answered with an error");
                failure(Cause::ServerFault, &refusal, response)
            }
            None => SendResult::Answer(response),
        }
    }

    async fn send_to_peer(
        &self,
        call: &Call,
        choice: &Choice,
        mut req: Request<Body>,
    ) -> Result<Response<Body>, SendResult> {
        let shared = self.shared;
        let address = choice.endpoint.address;
        call.write(req.headers_mut(), Instant::now());
        if self.request_body.is_buffered() {
            req.headers_mut()
                .insert(call::BUFFERED, HeaderValue::from_static("1"));
        }
        if let Some(Version(version)) = shared.in_force() {
            req.headers_mut().insert(call::VERSION, version.into());
        }
        if let Ok(name) = HeaderValue::from_str(shared.cfg.name.as_str()) {
            req.headers_mut().insert(call::DAEMON, name);
        }
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{address}{path}").parse();
        *req.uri_mut() = uri.map_err(|e| {
            let refusal =
                Refusal::not_run(Reason::BadRequest, format!("invalid request path: {e}"));
            failure(Cause::NoGrant, &refusal, refusal.response(Instant::now()))
        })?;
        let deadline = if call.streamed {
            Instant::now() + call::MAX_TIMEOUT
        } else {
            call.deadline
        };
        let on_silence = if call.idempotent {
            OnSilence::Fail
        } else {
            OnSilence::Wait
        };
        let sent = shared.client.send(address, req, deadline, on_silence).await;
        sent.map(|response| {
            response.map(|incoming| {
                let watched = MonitoredBody::new(body::boxed(incoming), Progress::new(), |_| ());
                body::boxed(watched)
            })
        })
        .map_err(|e| peer_failure(&e, choice))
    }

    /// Builds the request of one attempt; `repeated` marks it as a retry.
    pub(super) fn build_request(&self, repeated: bool, call: &Call) -> Request<Body> {
        let mut req = Request::new(self.request_body.next_body());
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.parts.uri.clone();
        *req.headers_mut() = self.parts.headers.clone();
        call::strip_hop_by_hop(req.headers_mut());
        call::strip_mesh_headers(req.headers_mut());
        let dialect = &self.shared.dialect;
        if dialect.caller_identity == CallerIdentity::Key {
            // The key authenticates the caller to the daemon only.
            req.headers_mut().remove(http::header::AUTHORIZATION);
            self.set_host(call, &mut req);
        }
        if let (Some(name), Some(service)) = (&dialect.caller_service, self.shared.own_service())
            && let Ok(value) = HeaderValue::from_str(service.as_str())
        {
            req.headers_mut().insert(name, value);
        }
        accounts::set_account(self.shared, call, req.headers_mut());
        let retried = repeated || self.parts.headers.contains_key(RETRIED_HEADER);
        if retried {
            req.headers_mut()
                .insert(RETRIED_HEADER, HeaderValue::from_static("1"));
        }
        req
    }

    fn set_host(&self, call: &Call, req: &mut Request<Body>) {
        match HeaderValue::from_str(call.service.as_str()) {
            Ok(host) => drop(req.headers_mut().insert(http::header::HOST, host)),
            Err(e) => log::warn!("call {}: invalid Host {:?}: {e}", self.id, call.service),
        }
    }
}
