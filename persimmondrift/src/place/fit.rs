//! Best-fit search for a place: the worker or rack with the least room that holds a shape.

use super::ledger::{Ledger, Resources, Slot, Worker, WorkerKey, lowest_bits};
use super::{Adjacency, Reason, Shape};
use crate::unit::Rack;

/// A worker on which at least one part fits.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    worker: WorkerKey,
    room: Resources,
    parts: u32,
}

/// Finds the place with the least room that holds a shape.
///
/// `room` returns what each worker offers. Of the racks that hold the shape, the one that offers
/// the fewest accelerators is chosen, so that the others stay free for large jobs.
pub fn find(
    ledger: &Ledger,
    shape: &Shape,
    room: impl Fn(WorkerKey, &Worker) -> Resources,
) -> Option<(Vec<Slot>, Reason)> {
    let parts = u32::from(shape.parts);
    let mut best: Option<(u32, &Rack, Vec<Candidate>)> = None;
    let mut all: Vec<Candidate> = Vec::new();
    let mut total = 0;
    let wide = shape.adjacency == Adjacency::Zone;
    for (rack, keys) in &ledger.racks {
        let Some((score, candidates)) = fit_rack(ledger, keys, shape, &room) else {
            continue;
        };
        let sum: u32 = candidates.iter().map(|c| c.parts).sum();
        if sum >= parts {
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, rack, candidates));
            }
        } else if wide {
            total += sum;
            all.extend(candidates);
        }
    }
    if let Some((_, rack, mut candidates)) = best {
        let slots = fill(&mut candidates, shape);
        return Some((slots, Reason::TightestRack(rack.clone())));
    }
    if !wide || total < parts {
        return None;
    }
    Some((fill(&mut all, shape), Reason::AcrossRacks))
}

/// Returns the accelerators that a rack offers, and its workers on which parts fit.
fn fit_rack(
    ledger: &Ledger,
    keys: &[WorkerKey],
    shape: &Shape,
    room: &impl Fn(WorkerKey, &Worker) -> Resources,
) -> Option<(u32, Vec<Candidate>)> {
    let wanted = u32::from(shape.parts);
    let mut score = 0;
    let mut candidates: Vec<Candidate> = Vec::new();
    for &key in keys {
        let worker = &ledger.workers[key];
        let room = room(key, worker);
        score += room.mask.count_ones();
        let parts = room.count_fitting(shape, wanted);
        if parts > 0 {
            candidates.push(Candidate { worker: key, room, parts });
        }
    }
    if shape.adjacency == Adjacency::Worker {
        candidates.retain(|c| c.parts >= wanted);
        candidates.sort_by_key(|c| c.room.mask.count_ones());
        candidates.truncate(1);
    }
    (!candidates.is_empty()).then_some((score, candidates))
}

/// Assigns the parts to slots, first on the workers that offer the fewest accelerators.
fn fill(candidates: &mut [Candidate], shape: &Shape) -> Vec<Slot> {
    candidates.sort_by_key(|c| c.room.mask.count_ones());
    let mut slots = Vec::with_capacity(usize::from(shape.parts));
    for candidate in candidates {
        let mut free = candidate.room.mask;
        for _ in 0..candidate.parts {
            if slots.len() == usize::from(shape.parts) {
                return slots;
            }
            let mask = lowest_bits(free, shape.accelerators);
            free &= !mask;
            slots.push(Slot { worker: candidate.worker, mask });
        }
    }
    slots
}
