//! Takes a request in: who calls, in which class, and the body within its bounds.

use std::sync;

use axum::{body, extract, response};
use bytes::Bytes;
use gentianhinge_core::code::ResultCode;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time;

use super::Traffic;
use super::arrival::Arrival;
use super::failure::Failure;
use crate::server;

/// Header that names the class.
pub const CLASS_HEADER: &str = "gentianhinge-class";

impl Traffic {
    /// Gives a request its identifier.
    pub(super) fn request_id(&self) -> sync::Arc<str> {
        let id = &self.shared.id;
        format!("{}-{:x}-{}", id.name, id.incarnation, self.next_request()).into()
    }

    /// Finds out the caller and checks the class.
    pub(super) fn admit(
        &self,
        request_id: sync::Arc<str>,
        headers: &HeaderMap,
    ) -> Result<sync::Arc<Arrival>, Failure> {
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
        Ok(sync::Arc::new(Arrival::new(request_id, flow, request_history)))
    }

    /// Reads a whole body.
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

/// Answers for a path that the router doesn't have.
pub async fn unknown_path(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
    uri: http::Uri,
) -> response::Response {
    let failure = Failure::new(ResultCode::UnknownPath, format!("no path {}", uri.path()));
    failure.into_response(&traffic.request_id())
}

/// Answers for a method that the path doesn't take.
pub async fn method_not_allowed(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
) -> response::Response {
    let failure = Failure::new(ResultCode::MethodNotAllowed, "the path takes POST only");
    failure.into_response(&traffic.request_id())
}
