//! The rules, on what was recorded.
//!
//! Each allowance is the operators' own, and what the soak's threads were late by at that moment is added: a verdict
//! must not rest on a busy machine.

use std::collections::BTreeMap;

use cresswheel_protocol::{MemberState, Micros};

use crate::records::{Arrival, Dealt, End, Life, Records, Request, RequestId, Span};
use crate::roster::Events;

const MS: Micros = 1_000;
/// An event counts as told so long after it happened.
const TOLD_WITHIN: Micros = 1_500 * MS;
/// In a silence of the directory, so long after that began.
const TOLD_IN_SILENCE: Micros = 4_500 * MS;
/// Each limit of time is so much longer on sockets.
const ON_SOCKETS: Micros = 50 * MS;
/// An answer may come so much after its time; later it is lost.
const ANSWER_LATE: Micros = 500 * MS;
/// An attempt that begins so long after its client has gone is one too many.
const CLIENT_GONE: Micros = 100 * MS;
/// The time passed to a host may exceed what the client has left by so much.
const PATIENCE_SLACK: Micros = 150 * MS;
/// A request that crosses the end of its connection within this is sent again by its client.
const CROSSES_END: Micros = 50 * MS;
/// A process that should have ended is excused if the soak's own threads were late by so much.
const END_EXCUSED: Micros = 100 * MS;
/// A restarted gateway is ready within this.
const READY_WITHIN: Micros = 10_000 * MS;

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no answer, or a late one, or a second one.
    Lost,
    /// An effect twice, or a refusal after one that may have been.
    Duplicate,
    /// Something new for a host past the grace of its drain.
    Drain,
    /// An attempt for a client that has gone.
    ClientGone,
    /// More time passed to a host than the client has.
    Patience,
    /// A process ended by itself, did not end, or was not ready in time.
    Process,
    /// A gateway's own word that something left against a rule.
    OwnWord,
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// What happened.
    pub what: String,
}

/// All breaks, in the order of their times.
pub fn judge(records: &Records, events: &Events) -> Vec<Break> {
    let judge = Judge { records, events };
    let mut breaks = Vec::new();
    let by_request = judge.by_request();
    for (id, request) in &records.requests {
        let attempts = by_request.get(id).map_or(&[][..], Vec::as_slice);
        breaks.extend(judge.lost(id, request));
        breaks.extend(judge.duplicate(id, request, attempts));
        breaks.extend(attempts.iter().filter_map(|attempt| judge.client_gone(id, request, attempt)));
        breaks.extend(attempts.iter().filter_map(|attempt| judge.patience(id, request, attempt)));
    }
    breaks.extend(records.arrivals.iter().filter_map(|arrival| judge.drain(arrival)));
    for (gateway, lives) in records.lives.iter().enumerate() {
        breaks.extend(lives.iter().filter_map(|life| judge.process(gateway, life)));
    }
    breaks.extend(records.own_word.iter().map(|line| Break {
        rule: Rule::OwnWord,
        at: 0,
        what: line.clone(),
    }));
    breaks.sort_by_key(|found| found.at);
    breaks
}

struct Judge<'a> {
    records: &'a Records,
    events: &'a Events,
}

impl<'a> Judge<'a> {
    fn by_request(&self) -> BTreeMap<RequestId, Vec<&'a Arrival>> {
        let mut by_request: BTreeMap<RequestId, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &self.records.arrivals {
            arrival.request.into_iter().for_each(|id| by_request.entry(id).or_default().push(arrival));
        }
        by_request
    }

    /// How late the soak itself was about that time.
    fn lateness(&self, at: Micros) -> Micros {
        let tenth = at / (100 * MS);
        let around = self.records.lateness.range(tenth.saturating_sub(3)..=tenth + 3);
        around.map(|(_, late)| *late).max().unwrap_or(0)
    }

    fn life(&self, id: &RequestId) -> Option<&Life> {
        self.records.lives.get(id.gateway)?.get(id.life)
    }

    /// The end of a span in which the gateway's process was stopped and that holds this time, or the time itself.
    fn thawed(&self, gateway: usize, at: Micros) -> Micros {
        let holds = |span: &&Span| span.from <= at && at <= span.to + 50 * MS;
        let freezes = self.records.freezes.get(gateway).into_iter().flatten();
        freezes.filter(holds).map(|span| span.to).max().unwrap_or(at).max(at)
    }

    fn lost(&self, id: &RequestId, request: &Request) -> Option<Break> {
        let life = self.life(id)?;
        let deadline = self.thawed(id.gateway, request.sent + request.wait) + ANSWER_LATE;
        let limit = deadline + self.lateness(deadline);
        let found =
            |at, what: &str| Some(Break { rule: Rule::Lost, at, what: format!("{}: {what}", id.text()) });
        if request.further_answers > 0 {
            return found(request.sent, "a second answer");
        }
        match request.end {
            Some((at, End::Answered(_))) if at > limit => {
                found(at, &format!("answered {} ms after its time", (at - request.sent - request.wait) / MS))
            }
            Some((_, End::Answered(_) | End::Left)) => None,
            _ if life.killed.is_some_and(|killed| killed <= limit) => None,
            Some((at, End::Closed)) if at.saturating_sub(request.sent) <= CROSSES_END + self.lateness(at) => {
                None
            }
            Some((at, End::Closed)) => {
                let after = at.saturating_sub(request.sent) / MS;
                found(at, &format!("its connection ended without an answer {after} ms after it was sent"))
            }
            None => found(limit, "no answer"),
        }
    }

    fn duplicate(&self, id: &RequestId, request: &Request, attempts: &[&Arrival]) -> Option<Break> {
        if !request.is_unsafe {
            return None;
        }
        let ran: Vec<_> = attempts.iter().filter(|attempt| attempt.dealt == Dealt::Ran).collect();
        let refused = matches!(request.end, Some((_, End::Answered(8))));
        let found = |at, what: &str| {
            Some(Break { rule: Rule::Duplicate, at, what: format!("{}: {what}", id.text()) })
        };
        match ran.as_slice() {
            [_, second, ..] => found(second.at, "an unsafe request ran twice"),
            [only] if refused => found(only.at, "refused, though it may have run"),
            _ => None,
        }
    }

    fn client_gone(&self, id: &RequestId, request: &Request, attempt: &Arrival) -> Option<Break> {
        let Some((left, End::Left)) = request.end else { return None };
        let limit = left + CLIENT_GONE + ON_SOCKETS + self.lateness(left);
        let late = attempt.at.saturating_sub(left) / MS;
        let what = format!("{}: an attempt {late} ms after its client had gone", id.text());
        (attempt.at > limit).then_some(Break { rule: Rule::ClientGone, at: attempt.at, what })
    }

    fn patience(&self, id: &RequestId, request: &Request, attempt: &Arrival) -> Option<Break> {
        let left = (request.sent + request.wait).saturating_sub(attempt.at);
        let limit = left + PATIENCE_SLACK + self.lateness(attempt.at);
        let (named, left) = (attempt.patience / MS, left / MS);
        let what = format!("{}: {named} ms passed to a host, {left} ms left", id.text());
        (attempt.patience > limit).then_some(Break { rule: Rule::Patience, at: attempt.at, what })
    }

    fn drain(&self, arrival: &Arrival) -> Option<Break> {
        let lives = self.records.lives.get(arrival.gateway)?;
        let number = lives.iter().rposition(|life| life.started <= arrival.at)?;
        let leaves = |event: &crate::roster::Event| {
            event.host.id == arrival.host && event.host.standing != MemberState::Active
        };
        let event = self.events.0.iter().position(leaves)? + 1;
        let told = self.told(arrival.gateway, number, &lives[number], event);
        let limit = told + crate::GRACE + ON_SOCKETS + self.lateness(arrival.at);
        let kind = arrival.request.map_or("an order".to_owned(), |id| id.text());
        let late = arrival.at.saturating_sub(told) / MS;
        let what =
            format!("gateway {}: {kind} to {} {late} ms after the news", arrival.gateway, arrival.host);
        (arrival.at > limit).then_some(Break { rule: Rule::Drain, at: arrival.at, what })
    }

    /// When this start of a gateway counts as told of an event.
    fn told(&self, gateway: usize, number: usize, life: &Life, event: usize) -> Micros {
        if event <= life.knows {
            return life.started;
        }
        let happened = self.events.0[event - 1].at;
        let mut forced = happened + TOLD_WITHIN;
        for silence in &self.records.silences[gateway] {
            let concerns = silence.from <= forced && happened <= silence.to;
            if concerns {
                forced = forced.max((silence.from + TOLD_IN_SILENCE).min(silence.to + TOLD_WITHIN));
            }
        }
        let holds = |told: &&crate::records::Told| {
            told.gateway == gateway && told.life == number && told.event >= event
        };
        let sent = self.records.told.iter().filter(holds).map(|told| told.at).min();
        sent.unwrap_or(Micros::MAX).min(forced).max(life.started)
    }

    fn process(&self, gateway: usize, life: &Life) -> Option<Break> {
        let found = |at, what: &str| {
            Some(Break { rule: Rule::Process, at, what: format!("gateway {gateway}: {what}") })
        };
        match (life.ready, life.ended) {
            (None, _) if life.killed.is_none() && life.terminated.is_none() => {
                found(life.started, "never ready")
            }
            (Some(ready), _) if ready > life.started + READY_WITHIN => found(ready, "ready late"),
            (_, Some((at, _))) if life.terminated.is_none() && life.killed.is_none() => {
                found(at, "ended by itself")
            }
            (_, Some((at, false))) if life.terminated.is_some() && self.lateness(at) < END_EXCUSED => {
                found(at, "did not end in its time or not well after SIGTERM")
            }
            _ => None,
        }
    }
}
