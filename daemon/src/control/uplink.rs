//! Connections and sessions with the remote dispatchers of the cells in use.

use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_wire::peer_capnp;
use tokio::time;

use crate::peer;

/// Delay before a failed connection or join request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Length of a connection's write queue from which reports are held back, so that their changes
/// accumulate instead.
const MAX_QUEUED_MESSAGES: usize = 4;

/// Idle time after which a connection is pinged, as a fraction of the session timeout.
const PING_RATIO: f64 = 0.125;

/// Idle time after which the other router is suspected, as a fraction of the session timeout.
const SUSPECT_RATIO: f64 = 0.25;

/// Connections and sessions of this router with remote dispatchers.
pub struct Uplinks {
    context: rc::Rc<peer::Context>,
    timeout: Duration,
    links: BTreeMap<RouterId, LinkState>,
    sessions: BTreeMap<Name, Session>,
    checked_at: time::Instant,
}

struct LinkState {
    attempt: Option<peer::client::Attempt>,
    link: Option<peer::client::Link>,
    ping_pending: bool,
    retry_at: time::Instant,
}

struct Session {
    dispatcher: RouterId,
    id: peer::LocalId,
    stage: Stage,
    retry_at: time::Instant,
}

enum Stage {
    Waiting,
    Joining,
    /// Dropping the lease ends the session at the dispatcher.
    Joined {
        _lease: peer_capnp::lease::Client,
    },
}

impl Uplinks {
    /// Creates a set without connections; `timeout` is the session timeout.
    pub fn new(context: rc::Rc<peer::Context>, timeout: Duration) -> Uplinks {
        let checked_at = time::Instant::now();
        let (links, sessions) = (BTreeMap::new(), BTreeMap::new());
        Uplinks { context, timeout, links, sessions, checked_at }
    }

    /// Ensures that a session with a cell's dispatcher exists or is being opened.
    pub fn ensure_session(
        &mut self,
        cell: &Name,
        dispatcher: &RouterId,
        addr: net::SocketAddr,
        now: time::Instant,
    ) {
        let session = self.sessions.entry(cell.clone()).or_insert_with(|| Session {
            dispatcher: dispatcher.clone(),
            id: 0,
            stage: Stage::Waiting,
            retry_at: now,
        });
        if session.dispatcher != *dispatcher {
            remove_session(&self.links, session);
            // Grants of the former session are ignored from here on, since its id is replaced.
            session.dispatcher = dispatcher.clone();
            session.restart(now);
        }
        let context = &self.context;
        let state = self.links.entry(dispatcher.clone()).or_insert_with(|| LinkState {
            attempt: None,
            link: None,
            ping_pending: false,
            retry_at: now,
        });
        if state.attempt.is_none() && now >= state.retry_at {
            state.attempt = Some(peer::client::connect(context, dispatcher, addr));
        }
        let Some(link) = &state.link else { return };
        if matches!(session.stage, Stage::Waiting) && now >= session.retry_at {
            session.id = link.join(context, dispatcher, cell);
            session.stage = Stage::Joining;
        }
    }

    /// Ends the session of a cell, for example when this router becomes its dispatcher.
    pub fn drop_session(&mut self, cell: &Name) {
        if let Some(session) = self.sessions.remove(cell) {
            remove_session(&self.links, &session);
        }
    }

    /// Starts to use a new connection, unless it was abandoned in the meantime.
    pub fn connected(&mut self, router: &RouterId, link: peer::client::Link) {
        let Some(state) = self.links.get_mut(router) else { return };
        if state.attempt.as_ref().is_some_and(|attempt| attempt.id == link.id) {
            state.link = Some(link);
            state.ping_pending = false;
        }
    }

    /// Removes a connection that ended; returns the router at its other end.
    pub fn disconnected(&mut self, link: peer::LocalId, now: time::Instant) -> Option<RouterId> {
        let has_id = |state: &LinkState| state.attempt.as_ref().is_some_and(|a| a.id == link);
        let found = self.links.iter().find(|(_, state)| has_id(state));
        let router = found.map(|(router, _)| router.clone())?;
        self.reset_link(&router, now);
        Some(router)
    }

    fn reset_link(&mut self, router: &RouterId, now: time::Instant) {
        if let Some(state) = self.links.get_mut(router) {
            (state.attempt, state.link, state.ping_pending) = (None, None, false);
            state.retry_at = now + RETRY_DELAY;
        }
        for session in self.sessions.values_mut().filter(|s| s.dispatcher == *router) {
            session.restart(now);
        }
    }

    /// Handles the response to a join request; returns the dispatcher if it accepted.
    pub fn joined(
        &mut self,
        cell: &Name,
        id: peer::LocalId,
        lease: Option<peer_capnp::lease::Client>,
        now: time::Instant,
    ) -> Option<RouterId> {
        let session = self.sessions.get_mut(cell).filter(|session| session.id == id)?;
        let Some(lease) = lease else {
            session.restart(now + RETRY_DELAY);
            return None;
        };
        session.stage = Stage::Joined { _lease: lease };
        Some(session.dispatcher.clone())
    }

    /// Records that a ping was answered or failed.
    pub fn pinged(&mut self, link: peer::LocalId) {
        let mut links = self.links.values_mut();
        let state = links.find(|s| s.link.as_ref().is_some_and(|known| known.id == link));
        if let Some(state) = state {
            state.ping_pending = false;
        }
    }

    /// Whether a session is the current one of its cell, so that its grants are valid.
    pub fn is_current(&self, cell: &Name, id: peer::LocalId) -> bool {
        self.sessions.get(cell).is_some_and(|session| session.id == id)
    }

    /// Cells with an established session, and whether a report can be sent in each now.
    pub fn joined_sessions(&self) -> Vec<(Name, bool)> {
        let joined = self.sessions.iter();
        let joined = joined.filter(|(_, session)| matches!(session.stage, Stage::Joined { .. }));
        let can_send = |session: &Session| {
            let state = self.links.get(&session.dispatcher);
            let link = state.and_then(|state| state.link.as_ref());
            link.is_some_and(|link| link.channel.queued_count() < MAX_QUEUED_MESSAGES)
        };
        joined.map(|(cell, session)| (cell.clone(), can_send(session))).collect()
    }

    /// Sends a report in the session of its cell; without a session it is dropped.
    pub fn report(&self, report: &gentianhinge_core::message::Report) {
        let Some(session) = self.sessions.get(&report.cell) else { return };
        let state = self.links.get(&session.dispatcher);
        if let Some(link) = state.and_then(|state| state.link.as_ref()) {
            link.report(session.id, report);
        }
    }

    /// Pings idle connections, closes those that exceed the session timeout, and returns the
    /// routers to suspect.
    pub fn check_liveness(&mut self, now: time::Instant) -> Vec<RouterId> {
        // After a pause of this process, responses may still be unread in the sockets.
        let paused = now.duration_since(self.checked_at) > self.timeout.mul_f64(PING_RATIO);
        self.checked_at = now;
        let in_use = self.sessions.values().map(|session| session.dispatcher.clone());
        let in_use = in_use.collect::<std::collections::BTreeSet<_>>();
        self.links.retain(|router, _| in_use.contains(router));
        let (mut suspects, mut timed_out) = (Vec::new(), Vec::new());
        for (router, state) in &mut self.links {
            let Some(link) = &state.link else { continue };
            if paused {
                link.channel.last_received_at.set(now);
            }
            let silence = now.duration_since(link.channel.last_received_at.get());
            if silence > self.timeout.mul_f64(PING_RATIO) && !state.ping_pending {
                state.ping_pending = true;
                peer::client::ping(&self.context, link);
            }
            if silence > self.timeout.mul_f64(SUSPECT_RATIO) {
                suspects.push(router.clone());
            }
            if silence > self.timeout {
                timed_out.push(router.clone());
            }
        }
        for router in &timed_out {
            metrics::counter!("gentianhinge_peer_sessions_silent_total").increment(1);
            self.reset_link(router, now);
        }
        suspects
    }
}

impl Session {
    fn restart(&mut self, retry_at: time::Instant) {
        self.id = 0;
        self.stage = Stage::Waiting;
        self.retry_at = retry_at;
    }
}

/// Removes a session from its connection, so that frames that still arrive for it are dropped.
fn remove_session(links: &BTreeMap<RouterId, LinkState>, session: &Session) {
    let state = links.get(&session.dispatcher);
    if let Some(link) = state.and_then(|state| state.link.as_ref()) {
        link.remove_session(session.id);
    }
}
