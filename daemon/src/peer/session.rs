//! Frames of sessions: reports to the dispatcher, and grants from it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc;

use capnp::capability::Promise;
use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::message::{GrantBatch, Report};
use gentianhinge_wire::{peer, peer_capnp};
use tokio::time;

use super::network::{Builder, OnFrame, Received};
use super::{Context, Event, LocalId};

/// Number of a session within its connection, chosen by the router that joins.
pub type Number = u32;

/// Maximum number of concurrent sessions of one connection.
pub const MAX_SESSIONS: usize = 65_536;

/// Sessions of one connection.
pub struct Sessions {
    context: rc::Rc<Context>,
    routes: RefCell<HashMap<Number, Route>>,
}

/// Session to which the frames of one number belong.
#[derive(Clone, Debug)]
pub struct Route {
    /// Identifier of the session.
    pub id: LocalId,
    /// The router at the other end.
    pub router: RouterId,
    /// Name of the cell.
    pub cell: Name,
}

impl Sessions {
    /// Creates an empty set for a connection.
    pub fn new(context: rc::Rc<Context>) -> rc::Rc<Sessions> {
        rc::Rc::new(Sessions { context, routes: RefCell::default() })
    }

    /// Adds a session; returns `false` if there are [`MAX_SESSIONS`] already.
    pub fn add(&self, number: Number, route: Route) -> bool {
        let mut routes = self.routes.borrow_mut();
        if routes.len() >= MAX_SESSIONS {
            return false;
        }
        routes.insert(number, route);
        true
    }

    /// Removes a session, unless its number now belongs to another one.
    pub fn remove(&self, number: Number, id: LocalId) {
        let mut routes = self.routes.borrow_mut();
        if routes.get(&number).is_some_and(|route| route.id == id) {
            routes.remove(&number);
        }
    }

    /// Creates the handler for the connection's frames.
    pub fn on_frame(self: &rc::Rc<Sessions>) -> OnFrame {
        let sessions = self.clone();
        Box::new(move |message| {
            let event = sessions.event(&message);
            let context = sessions.context.clone();
            Promise::from_future(async move {
                match event? {
                    Some(event) => context.send_event(event).await,
                    None => Ok(()),
                }
            })
        })
    }

    /// Decodes a frame; returns `None` if its session has ended.
    fn event(&self, message: &Received) -> capnp::Result<Option<Event>> {
        let frame = message.get_root::<peer_capnp::frame::Reader<'_>>()?;
        let route = self.routes.borrow().get(&frame.get_session()).cloned();
        let Some(Route { id: session, router, cell }) = route else { return Ok(None) };
        Ok(Some(match frame.which()? {
            peer_capnp::frame::Report(report) => {
                let report = peer::read_report(report?, router, cell, time::Instant::now())?;
                Event::Report { session, report }
            }
            peer_capnp::frame::Grants(batch) => {
                Event::Granted { session, batch: peer::read_grants(batch?, router, cell)? }
            }
        }))
    }
}

/// Encodes a report as a frame of a session.
pub fn report_frame(number: Number, report: &Report) -> Builder {
    let mut message = capnp::message::Builder::new_default();
    let mut frame = message.init_root::<peer_capnp::frame::Builder<'_>>();
    frame.set_session(number);
    peer::write_report(frame.init_report(), report, time::Instant::now());
    message
}

/// Encodes a batch of grants as a frame of a session.
pub fn grants_frame(number: Number, batch: &GrantBatch) -> Builder {
    let mut message = capnp::message::Builder::new_default();
    let mut frame = message.init_root::<peer_capnp::frame::Builder<'_>>();
    frame.set_session(number);
    peer::write_grants(frame.init_grants(), batch);
    message
}
