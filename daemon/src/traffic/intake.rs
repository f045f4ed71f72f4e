//! Receives a request: assigns its identifier, authenticates the caller, checks the class and reads
//! the body within its limits.

use std::sync;

use axum::{body, extract, response};
use bytes::Bytes;
use gentianhinge_core::code::ResultCode;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time;

use super::Traffic;
use super::failure::Failure;
use super::request::RequestContext;
use crate::server;

/// Request header that names the class; without it, the default class applies.
pub const CLASS_HEADER: &str = "gentianhinge-class";

impl Traffic {
    /// Returns a new request identifier: router name, incarnation and a counter.
    pub(super) fn request_id(&self) -> sync::Arc<str> {
        let id = &self.shared.id;
        format!("{}-{:x}-{}", id.name, id.incarnation, self.next_request()).into()
    }

    /// Authenticates the caller by its bearer key and checks that its team may use the class.
    pub(super) fn admit(
        &self,
        request_id: sync::Arc<str>,
        headers: &HeaderMap,
    ) -> Result<sync::Arc<RequestContext>, Failure> {
        if self.shared.phase() == server::Phase::Starting {
            return Err(Failure::new(ResultCode::NotReady, "the router is starting"));
        }
        let directory = self.shared.directory.borrow().clone();
        let key =
            bearer(headers).ok_or_else(|| Failure::new(ResultCode::UnknownKey, "no bearer key"))?;
        let team = directory
            .team(key)
            .ok_or_else(|| Failure::new(ResultCode::UnknownKey, "no team has this key"))?;
        let class = match headers.get(CLASS_HEADER).map(|value| value.to_str()) {
            None => None,
            Some(Ok(class)) => Some(class),
            Some(Err(_)) => {
                return Err(Failure::new(ResultCode::UnknownClass, "the class isn't text"));
            }
        };
        let flow = directory.flow(team, class).map_err(|code| {
            let class = class.unwrap_or("(default)");
            Failure::new(code, format!("class {class} for team {}", team.name))
        })?;
        let request_history = self.shared.request_history.clone();
        Ok(sync::Arc::new(RequestContext::new(request_id, flow, request_history)))
    }

    /// Reads a whole request body, within the limits on its size and on the time to receive it.
    pub(super) async fn read_body(&self, body: body::Body) -> Result<Bytes, Failure> {
        let limit_bytes = self.bounds.max_body_bytes;
        let collected = Limited::new(body, limit_bytes).collect();
        let Ok(collected) = time::timeout(self.bounds.body_timeout, collected).await else {
            return Err(Failure::new(ResultCode::BodyTimeout, "the body took too long"));
        };
        match collected {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(err) if err.is::<LengthLimitError>() => {
                let message = format!("the body is larger than {limit_bytes} bytes");
                Err(Failure::new(ResultCode::BodyTooLarge, message))
            }
            Err(err) => Err(Failure::new(ResultCode::MalformedRequest, err.to_string())),
        }
    }
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ")
}

/// Handles a request for a path that isn't routed.
pub async fn unknown_path(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
    uri: http::Uri,
) -> response::Response {
    let failure = Failure::new(ResultCode::UnknownPath, format!("no path {}", uri.path()));
    failure.into_response(&traffic.request_id())
}

/// Handles a request with a method that its path doesn't support.
pub async fn method_not_allowed(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
) -> response::Response {
    let failure = Failure::new(ResultCode::MethodNotAllowed, "the path takes POST only");
    failure.into_response(&traffic.request_id())
}
