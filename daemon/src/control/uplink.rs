//! Connections to the routers that dispatch the cells in use, and the sessions over them.

use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_wire::peer_capnp;
use tokio::time;

use crate::peer;

/// Pause before a failed connection or request to join is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Most reports of one session that wait for the dispatcher's answer; changes gather meanwhile.
const MAX_UNANSWERED_REPORTS: u32 = 4;

/// Silence after which a connection is pinged, as a part of the session timeout.
const PING_RATIO: f64 = 0.125;

/// Silence after which the other router is doubted, as a part of the session timeout.
const DOUBT_RATIO: f64 = 0.25;

/// Connections and sessions of this router with dispatchers elsewhere.
pub struct Uplinks {
    context: rc::Rc<peer::Context>,
    timeout: Duration,
    links: BTreeMap<RouterId, LinkState>,
    sessions: BTreeMap<Name, Session>,
    watched_at: time::Instant,
}

struct LinkState {
    link: Option<peer::client::Link>,
    peer: Option<peer_capnp::peer::Client>,
    pinging: bool,
    retry_at: time::Instant,
}

struct Session {
    dispatcher: RouterId,
    key: peer::Key,
    stage: Stage,
    unanswered_reports: u32,
    retry_at: time::Instant,
}

enum Stage {
    Waiting,
    Joining,
    Joined(peer_capnp::session::Client),
}

impl Uplinks {
    /// Creates an empty list.
    pub fn new(context: rc::Rc<peer::Context>, timeout: Duration) -> Uplinks {
        let watched_at = time::Instant::now();
        let (links, sessions) = (BTreeMap::new(), BTreeMap::new());
        Uplinks { context, timeout, links, sessions, watched_at }
    }

    /// Makes sure that a session with a cell's dispatcher exists or is on its way.
    pub fn want(
        &mut self,
        cell: &Name,
        dispatcher: &RouterId,
        addr: net::SocketAddr,
        now: time::Instant,
    ) {
        let session = self.sessions.entry(cell.clone()).or_insert_with(|| Session {
            dispatcher: dispatcher.clone(),
            key: 0,
            stage: Stage::Waiting,
            unanswered_reports: 0,
            retry_at: now,
        });
        if session.dispatcher != *dispatcher {
            // Grants of the former session are void from here on, since its key is gone.
            session.dispatcher = dispatcher.clone();
            session.restart(now);
        }
        let context = &self.context;
        let state = self.links.entry(dispatcher.clone()).or_insert_with(|| LinkState {
            link: None,
            peer: None,
            pinging: false,
            retry_at: now,
        });
        if state.link.is_none() && now >= state.retry_at {
            state.link = Some(peer::client::connect(context, dispatcher, addr));
        }
        let Some(peer) = &state.peer else { return };
        if matches!(session.stage, Stage::Waiting) && now >= session.retry_at {
            session.key = peer::client::join(context, peer, dispatcher, cell);
            session.stage = Stage::Joining;
        }
    }

    /// Ends the session of a cell, as when this router dispatches it itself.
    pub fn drop_session(&mut self, cell: &Name) {
        self.sessions.remove(cell);
    }

    /// Takes a new connection into use.
    pub fn connected(
        &mut self,
        link: peer::Key,
        router: &RouterId,
        peer: peer_capnp::peer::Client,
    ) {
        let state = self.links.get_mut(router);
        let Some(state) = state.filter(|s| s.link.as_ref().is_some_and(|l| l.key == link)) else {
            return;
        };
        state.peer = Some(peer);
        state.pinging = false;
    }

    /// Forgets a connection that ended; returns the router at its other end.
    pub fn disconnected(&mut self, link: peer::Key, now: time::Instant) -> Option<RouterId> {
        let found = self
            .links
            .iter()
            .find(|(_, state)| state.link.as_ref().is_some_and(|known| known.key == link));
        let router = found.map(|(router, _)| router.clone())?;
        self.cut(&router, now);
        Some(router)
    }

    fn cut(&mut self, router: &RouterId, now: time::Instant) {
        if let Some(state) = self.links.get_mut(router) {
            (state.link, state.peer, state.pinging) = (None, None, false);
            state.retry_at = now + RETRY_DELAY;
        }
        for session in self.sessions.values_mut().filter(|s| s.dispatcher == *router) {
            session.restart(now);
        }
    }

    /// Takes a dispatcher's answer to a request to join; returns the dispatcher if it accepted.
    pub fn joined(
        &mut self,
        cell: &Name,
        key: peer::Key,
        client: Option<peer_capnp::session::Client>,
        now: time::Instant,
    ) -> Option<RouterId> {
        let session = self.sessions.get_mut(cell).filter(|session| session.key == key)?;
        let Some(client) = client else {
            session.restart(now + RETRY_DELAY);
            return None;
        };
        session.stage = Stage::Joined(client);
        session.unanswered_reports = 0;
        Some(session.dispatcher.clone())
    }

    /// Takes a dispatcher's answer to a report.
    pub fn reported(&mut self, cell: &Name, key: peer::Key, taken: bool, now: time::Instant) {
        let session = self.sessions.get_mut(cell).filter(|session| session.key == key);
        let Some(session) = session else { return };
        session.unanswered_reports = session.unanswered_reports.saturating_sub(1);
        if !taken {
            session.restart(now + RETRY_DELAY);
        }
    }

    /// Notes that a ping was answered.
    pub fn pinged(&mut self, link: peer::Key) {
        let mut links = self.links.values_mut();
        let state = links.find(|s| s.link.as_ref().is_some_and(|known| known.key == link));
        if let Some(state) = state {
            state.pinging = false;
        }
    }

    /// Whether grants of a session are valid.
    pub fn is_current(&self, cell: &Name, key: peer::Key) -> bool {
        self.sessions.get(cell).is_some_and(|session| session.key == key)
    }

    /// Sessions that can take a report now.
    pub fn ready(&self) -> Vec<Name> {
        let ready = self.sessions.iter().filter(|(_, session)| {
            matches!(session.stage, Stage::Joined(_))
                && session.unanswered_reports < MAX_UNANSWERED_REPORTS
        });
        ready.map(|(cell, _)| cell.clone()).collect()
    }

    /// Sends a report in the session of its cell.
    pub fn report(&mut self, report: &gentianhinge_core::message::Report) {
        let Some(session) = self.sessions.get_mut(&report.cell) else { return };
        if let Stage::Joined(client) = &session.stage {
            session.unanswered_reports += 1;
            peer::client::report(&self.context, client, session.key, report);
        }
    }

    /// Pings silent connections, cuts those that stay silent, and returns the routers to doubt.
    pub fn watch(&mut self, now: time::Instant) -> Vec<RouterId> {
        // After a pause of this process the answers may still wait in the sockets.
        let paused = now.duration_since(self.watched_at) > self.timeout.mul_f64(PING_RATIO);
        self.watched_at = now;
        let used = self.sessions.values().map(|session| session.dispatcher.clone());
        let used = used.collect::<std::collections::BTreeSet<_>>();
        self.links.retain(|router, _| used.contains(router));
        let (mut doubted, mut silent) = (Vec::new(), Vec::new());
        for (router, state) in &mut self.links {
            let (Some(link), Some(peer)) = (&state.link, &state.peer) else { continue };
            if paused {
                link.meter.heard_at.set(now);
            }
            let silence = now.duration_since(link.meter.heard_at.get());
            if silence > self.timeout.mul_f64(PING_RATIO) && !state.pinging {
                state.pinging = true;
                peer::client::ping(&self.context, link.key, peer);
            }
            if silence > self.timeout.mul_f64(DOUBT_RATIO) {
                doubted.push(router.clone());
            }
            if silence > self.timeout {
                silent.push(router.clone());
            }
        }
        for router in &silent {
            metrics::counter!("peer_sessions_silent_total").increment(1);
            self.cut(router, now);
        }
        doubted
    }
}

impl Session {
    fn restart(&mut self, retry_at: time::Instant) {
        self.key = 0;
        self.stage = Stage::Waiting;
        self.unanswered_reports = 0;
        self.retry_at = retry_at;
    }
}
