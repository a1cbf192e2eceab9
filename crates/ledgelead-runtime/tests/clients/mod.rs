//! The inbound connections under drawn clients, without sockets: memory and turns are bounded,
//! and clients inside the limits get all their answers, in order.

mod behavior;
mod wire;

use self::behavior::{Behavior, End};
use self::wire::{NodeEnd, Wire};
use super::{ClientEvent, Inbound};
use crate::connection_limits::ConnectionLimits;
use crate::endpoint::Endpoint;
use crate::memory::Memory;
use crate::outbound::ConnectionKey;
use crate::stream::TURN_BYTES;
use googletest::prelude::*;
use ledgelead_http::{Request, Response, ResponseProgress, ResponseReader};
use ledgelead_router::configuration::ClientLimits;
use ledgelead_router::io::ClientId;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

/// Memory of the process, in bytes.
const MEMORY_BYTES: usize = 4 << 20;
const CONNECTION_LIMIT: usize = 128;
const SEEDS: u64 = 60;
/// Drawn clients of a run.
const DRAWN: usize = 40;
/// Clients inside the limits of a run, and the requests that each sends ahead.
const SOUND: usize = 6;
const SOUND_REQUESTS: usize = 200;
/// Bytes that a drawn client sends at most.
const MAX_SENT: usize = 4_000_000;
/// Rounds of a run. In each one every client acts once.
const ROUNDS: usize = 1_500;
/// Time that passes in a round.
const ROUND: Duration = Duration::from_millis(5);
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 200_000;
/// Share of the open requests that are answered in a round.
const ANSWERED_SHARE: f64 = 0.3;

/// What is taken away from the layer, to show that the checks notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sabotage {
    None,
    /// All that clients send ahead is read.
    UnboundedReadAhead,
    /// Connections that were not read to the end get no further turn.
    NoTurns,
}

struct Drawn {
    wire: Wire,
    behavior: Behavior,
    sent: usize,
    pieces: usize,
}

/// A client that sends requests ahead, reads its answers, and expects each of them.
struct Sound {
    wire: Wire,
    requests: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    reader: ResponseReader,
    answered: usize,
}

/// What broke.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Violation {
    Memory { bytes: usize },
    Account { account: usize, sum: usize },
    Turn { bytes: usize, requests: usize },
    Connections { open: usize },
    Answer { expected: usize, got: Vec<u8> },
    Unanswered { answered: usize },
    Open { requests: usize },
}

struct World {
    inbound: Inbound<NodeEnd>,
    memory: Memory,
    wires: Vec<(ConnectionKey, Wire)>,
    open: VecDeque<(ClientId, Request)>,
    drawn: Vec<Drawn>,
    sound: Vec<Sound>,
    now: Instant,
    rng: Pcg64Mcg,
    sabotage: Sabotage,
    violations: Vec<Violation>,
}

impl World {
    fn new(seed: u64, sabotage: Sabotage) -> World {
        let memory = Memory::default();
        memory.set_limit(Some(MEMORY_BYTES));
        let mut inbound = Inbound::new(memory.clone());
        inbound.set_limits(ClientLimits::default());
        inbound.set_connection_limits(ConnectionLimits::of(Some(CONNECTION_LIMIT)));
        if sabotage == Sabotage::UnboundedReadAhead {
            inbound.set_read_ahead(usize::MAX);
        }
        World {
            inbound,
            memory,
            wires: Vec::new(),
            open: VecDeque::new(),
            drawn: Vec::new(),
            sound: Vec::new(),
            now: Instant::now(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            sabotage,
            violations: Vec::new(),
        }
    }

    fn connect(&mut self) -> Option<Wire> {
        if !self.inbound.make_room(Endpoint::Clients, self.now) {
            return None;
        }
        let wire = Wire::default();
        let key = self.inbound.next_key();
        let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
        self.inbound
            .accepted(wire.node_end(), source, Endpoint::Clients, self.now);
        self.wires.push((key, wire.clone()));
        Some(wire)
    }

    fn connect_drawn(&mut self) {
        let behavior = Behavior::draw(&mut self.rng, "h.example", MAX_SENT);
        if let Some(wire) = self.connect() {
            self.drawn.push(Drawn {
                wire,
                behavior,
                sent: 0,
                pieces: 0,
            });
        }
    }

    fn connect_sound(&mut self, requests: usize) {
        let request = |number| format!("GET /sound/{number} HTTP/1.1\r\nHost: h\r\n\r\n");
        let wire = self.connect().expect("room");
        self.sound.push(Sound {
            wire,
            requests: (0..requests)
                .flat_map(|it| request(it).into_bytes())
                .collect(),
            sent: 0,
            input: Vec::new(),
            reader: ResponseReader::new("GET", MAX_ANSWER_BYTES),
            answered: 0,
        });
    }

    /// Handles the poller's events in any order, then the turns.
    fn poll(&mut self) {
        self.wires.shuffle(&mut self.rng);
        for (key, wire) in self.wires.clone() {
            if let Some(is_closed) = wire.take_event() {
                let before = wire.read_by_node();
                let mut events = Vec::new();
                self.inbound.ready(key, is_closed, self.now, &mut events);
                self.check_turn(wire.read_by_node() - before, events);
            }
        }
        for key in self.inbound.take_turns() {
            if self.sabotage == Sabotage::NoTurns {
                break;
            }
            let wire = self.wires.iter().find(|(of, _)| *of == key);
            let wire = wire.map(|(_, wire)| wire.clone()).unwrap_or_default();
            let before = wire.read_by_node();
            let mut events = Vec::new();
            self.inbound.take_turn(key, self.now, &mut events);
            self.check_turn(wire.read_by_node() - before, events);
        }
    }

    fn check_turn(&mut self, bytes: usize, events: Vec<ClientEvent>) {
        let requests = events.len();
        if bytes > TURN_BYTES || requests > 1 {
            self.violations.push(Violation::Turn { bytes, requests });
        }
        for event in events {
            match event {
                ClientEvent::Request {
                    client, request, ..
                } => self.open.push_back((client, request)),
                ClientEvent::RequestWithoutBody { client, .. } => {
                    self.inbound
                        .respond(client, Response::new(503, ""), self.now);
                }
                ClientEvent::Disconnected { client } => {
                    self.open.retain(|(open, _)| *open != client);
                }
            }
        }
        let bytes = self.memory.buffers.total();
        if bytes > MEMORY_BYTES {
            self.violations.push(Violation::Memory { bytes });
        }
    }

    /// Answers some of the open requests, at once or later.
    fn answer(&mut self) {
        for _ in 0..self.open.len() {
            let Some((client, request)) = self.open.pop_front() else {
                return;
            };
            let is_large = self.rng.random_bool(0.05);
            let length = match is_large {
                true => self.rng.random_range(0..MAX_ANSWER_BYTES),
                false => 0,
            };
            let is_ready = self.rng.random_bool(ANSWERED_SHARE);
            if !is_ready || !self.memory.admits_answer(0, length) {
                self.open.push_back((client, request));
                continue;
            }
            let mut body = request.target.into_bytes();
            body.resize(body.len() + length, b' ');
            let response = Response::new(200, body);
            self.inbound.respond(client, response, self.now);
        }
    }

    fn round(&mut self) {
        let Self { drawn, sound, .. } = self;
        drawn.iter_mut().for_each(Drawn::act);
        let mut violations = Vec::new();
        for client in sound.iter_mut() {
            violations.extend(client.act().err());
        }
        self.violations.extend(violations);
        self.poll();
        self.answer();
        self.now += ROUND;
        self.inbound.sweep(self.now);
        self.check();
    }

    fn check(&mut self) {
        let account = self.memory.buffers.total();
        let sum = self.inbound.buffered_bytes();
        if account != sum {
            self.violations.push(Violation::Account { account, sum });
        }
        let open = self.inbound.connections(Endpoint::Clients);
        if open > CONNECTION_LIMIT {
            self.violations.push(Violation::Connections { open });
        }
    }

    /// Whether each client inside the limits has all of its answers.
    fn expect_answered(&mut self, requests: usize) {
        for client in &self.sound {
            let answered = client.answered;
            if answered < requests {
                self.violations.push(Violation::Unanswered { answered });
            }
        }
    }
}

impl Drawn {
    fn act(&mut self) {
        let is_over = self.pieces >= self.behavior.end_after;
        if !is_over {
            let piece = self.behavior.next(self.sent);
            let is_sent = piece.is_empty();
            self.sent += self.wire.send(piece);
            self.pieces += if is_sent { self.behavior.end_after } else { 1 };
        }
        self.wire.receive(self.behavior.read);
        match self.behavior.end {
            End::Stays => {}
            End::Closes if is_over => self.wire.close(),
            End::StopsSending if is_over => self.wire.stop_sending(),
            End::Closes | End::StopsSending => {}
        }
    }
}

impl Sound {
    fn act(&mut self) -> std::result::Result<(), Violation> {
        self.sent += self.wire.send(&self.requests[self.sent..]);
        self.input.extend(self.wire.receive(usize::MAX));
        loop {
            match self.reader.read(&mut self.input) {
                Ok(ResponseProgress::Complete { response, .. }) => {
                    let expected = self.answered;
                    self.reader = ResponseReader::new("GET", MAX_ANSWER_BYTES);
                    self.answered += 1;
                    let body = response.body.trim_ascii_end();
                    if body != format!("/sound/{expected}").as_bytes() {
                        let got = body.to_vec();
                        return Err(Violation::Answer { expected, got });
                    }
                }
                Ok(ResponseProgress::Partial) => return Ok(()),
                Err(_) => {
                    return Err(Violation::Answer {
                        expected: self.answered,
                        got: self.input.clone(),
                    });
                }
            }
        }
    }
}

/// Plays a run. Returns what broke.
fn play(seed: u64, sabotage: Sabotage) -> Vec<Violation> {
    let mut world = World::new(seed, sabotage);
    for _ in 0..SOUND {
        world.connect_sound(SOUND_REQUESTS);
    }
    for round in 0..ROUNDS {
        if round < DRAWN {
            world.connect_drawn();
        }
        world.round();
    }
    world.expect_answered(SOUND_REQUESTS);
    // One that comes late, beside those that have stayed.
    world.sound.clear();
    world.connect_sound(1);
    for _ in 0..100 {
        world.round();
    }
    world.expect_answered(1);
    // Once all have gone, nothing is left of them.
    for (_, wire) in &world.wires {
        wire.close();
    }
    world.poll();
    world.poll();
    let requests = world.open.len();
    if requests > 0 || world.memory.buffers.total() > 0 {
        world.violations.push(Violation::Open { requests });
    }
    world.violations
}

#[gtest]
fn drawn_clients_cost_the_others_nothing() {
    for seed in 0..SEEDS {
        let violations = play(seed, Sabotage::None);
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn unbounded_read_ahead_is_noticed() {
    let notices = |seed| !play(seed, Sabotage::UnboundedReadAhead).is_empty();
    expect_that!((0..SEEDS).any(notices), eq(true));
}

#[gtest]
fn connections_without_turns_are_noticed() {
    let violations = play(0, Sabotage::NoTurns);
    expect_that!(violations, not(is_empty()));
}
