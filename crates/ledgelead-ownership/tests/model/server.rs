//! A model server that implements the rules of `ledgelead_types::server`.

use ledgelead_types::server::*;
use ledgelead_types::*;

/// Requests that a server still executes for a slice that it has released.
#[derive(Clone, Copy, Debug)]
pub struct Executing {
    pub slice: GrantedSlice,
    /// On the server's clock.
    pub until: Time,
}

pub struct ModelServer {
    pub id: ServerId,
    pub run: u64,
    pub alive: bool,
    /// Real time until which the process is frozen.
    pub frozen_until: Time,
    pub leaving: bool,
    highest: FencingToken,
    slices: Vec<GrantedSlice>,
    holding: FencingToken,
    lease_until: Time,
    started: Time,
    releasing: Vec<Executing>,
    /// How long requests for a slice continue after it was released.
    pub release_delay: Span,
}

impl ModelServer {
    pub fn new(id: ServerId) -> ModelServer {
        ModelServer {
            id,
            run: u64::from(id.0) + 1,
            alive: true,
            frozen_until: Time::ZERO,
            leaving: false,
            highest: FencingToken::default(),
            slices: Vec::new(),
            holding: FencingToken::default(),
            lease_until: Time::ZERO,
            started: Time::ZERO,
            releasing: Vec::new(),
            release_delay: Span::from_millis(5),
        }
    }

    /// Restarts the server with a new process that has no state.
    pub fn restart(&mut self, local: Time) {
        let run = self.run + 1_000;
        *self = ModelServer::new(self.id);
        self.run = run;
        self.started = local;
    }

    /// The slices for which a request may be executing at this local time.
    pub fn executable(&self, local: Time) -> Vec<GrantedSlice> {
        if !self.alive || local >= self.lease_until {
            return Vec::new();
        }
        let running = self.releasing.iter().filter(|work| local < work.until);
        let running = running.map(|work| work.slice);
        self.slices.iter().copied().chain(running).collect()
    }

    /// Whether the server would start a request for the position.
    pub fn serves(&self, local: Time, position: Position) -> bool {
        let leased = self.alive && local < self.lease_until;
        leased
            && self
                .slices
                .iter()
                .any(|slice| slice.range.contains(position))
    }

    pub fn renew(&mut self, local: Time, renewal: &LeaseRenewal) -> RenewalReply {
        let verdict = self.evaluate(local, renewal);
        let releasing = self.releasing.iter().filter(|work| local < work.until);
        let tells_held = verdict != RenewalVerdict::Taken;
        RenewalReply {
            stamp: local,
            run: self.run,
            verdict,
            holding: self.holding,
            releasing: releasing.map(|work| work.slice).collect(),
            held: List(if tells_held {
                self.slices.clone()
            } else {
                Vec::new()
            }),
            load: LoadReport::default(),
            leaving: self.leaving,
        }
    }

    fn evaluate(&mut self, local: Time, renewal: &LeaseRenewal) -> RenewalVerdict {
        if renewal.authority < self.highest {
            let highest = self.highest;
            return RenewalVerdict::Fenced { highest };
        }
        self.highest = renewal.authority;
        let of_this_run = |stamp: &Time| self.started <= *stamp && *stamp <= local;
        let Some(stamp) = renewal.echoed_stamp.filter(of_this_run) else {
            return RenewalVerdict::StampOnly;
        };
        match &renewal.slices {
            Some(slices) => self.set_slices(local, slices, renewal.unchanged_since),
            None if self.holding != renewal.unchanged_since => return RenewalVerdict::SetUnknown,
            None => {}
        }
        self.lease_until = self.lease_until.max(stamp + renewal.lease);
        RenewalVerdict::Taken
    }

    fn set_slices(&mut self, local: Time, slices: &List<GrantedSlice>, set: FencingToken) {
        let kept = |old: &GrantedSlice| {
            slices
                .iter()
                .any(|new| new.token == old.token && new.range.overlaps(&old.range))
        };
        // Without a lease no request was started recently.
        let leased = local < self.lease_until;
        let until = local + self.release_delay;
        let given_up = self.slices.iter().filter(|old| leased && !kept(old));
        let work = given_up.map(|slice| Executing {
            slice: *slice,
            until,
        });
        self.releasing.extend(work);
        self.slices = slices.0.clone();
        self.holding = set;
    }
}
