//! Fuzz tests of the decoders of frames and settings: any input gives a value or an error, never a
//! panic.
//!
//! The corpus is in `fuzz/`. The seed is fixed, so the mutations are the same in each run.

use std::fs;
use std::path::Path;

use persimmondrift::declare;
use persimmondrift::settings::{self, Agent, Entry, Error};
use persimmondrift::wire::{self, MAX_FRAME_BYTES};

const SEED: u64 = 20_261_204;
const FRAME_MUTANTS: usize = 40_000;
const SETTINGS_MUTANTS: usize = 3_000;
/// Bytes at the limits of encodings and delimiters of the settings format.
const BOUNDARY_BYTES: [u8; 8] = [0, 1, 0x7f, 0x80, 0xff, b'"', b'[', b'='];
/// Changes made to one input, at most.
const MAX_CHANGES: usize = 4;

fn corpus(directory: &str) -> Vec<Vec<u8>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(directory);
    let files = fs::read_dir(directory).expect("corpus directory");
    let mut files: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    files.sort();
    assert!(!files.is_empty());
    files.iter().map(|file| fs::read(file).expect("read")).collect()
}

/// Flips, replaces, removes, inserts and splices bytes, or truncates the input.
fn mutate(random: &mut fastrand::Rng, bytes: &mut Vec<u8>, other: &[u8]) {
    for _ in 0..random.usize(1..=MAX_CHANGES) {
        if bytes.is_empty() {
            bytes.push(random.u8(..));
        }
        let at = random.usize(..bytes.len());
        match random.u8(..7) {
            0 => bytes[at] ^= 1 << random.u8(..8),
            1 => bytes[at] = random.u8(..),
            2 => bytes[at] = BOUNDARY_BYTES[random.usize(..BOUNDARY_BYTES.len())],
            3 => bytes.truncate(at),
            4 => drop(bytes.remove(at)),
            5 => bytes.insert(at, random.u8(..)),
            _ => {
                let from = random.usize(..=other.len());
                let piece = &other[from..other.len().min(from + 32)];
                bytes.splice(at..at, piece.iter().copied());
            }
        }
    }
}

fn each_mutant(directory: &str, mutants: usize, mut check: impl FnMut(&[u8])) {
    let corpus = corpus(directory);
    let mut random = fastrand::Rng::with_seed(SEED);
    for input in &corpus {
        check(input);
        for _ in 0..mutants {
            let other = random.choice(&corpus).expect("not empty");
            let mut bytes = input.clone();
            mutate(&mut random, &mut bytes, other);
            check(&bytes);
        }
    }
}

#[test]
fn frames_are_decoded_or_refused() {
    each_mutant("fuzz/frame", FRAME_MUTANTS, |bytes| {
        let Ok(frame) = wire::decode(bytes) else {
            return;
        };
        let again = wire::encode(&frame, MAX_FRAME_BYTES).expect("a decoded frame is encoded");
        assert_eq!(wire::decode(&again).expect("decoded"), frame);
    });
}

#[test]
fn streams_are_decoded_or_refused() {
    each_mutant("fuzz/frame", FRAME_MUTANTS / 4, |bytes| {
        let length = u32::try_from(bytes.len()).expect("small").to_be_bytes();
        let mut stream = [&length, bytes].concat();
        // For inputs of odd length, the length prefix is wrong.
        if bytes.len() % 2 == 1 {
            stream[3] = stream[3].wrapping_add(7);
        }
        drop(wire::read(stream.as_slice()));
    });
}

#[test]
fn settings_are_read_or_refused() {
    each_mutant("fuzz/settings", SETTINGS_MUTANTS, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let lines = text.lines().count() + 1;
        for error in [
            settings::parse::<Entry>("mutant.toml", &text).err(),
            settings::parse::<Agent>("mutant.toml", &text).err(),
        ] {
            if let Some(Error::Malformed { line, problem, .. }) = error {
                assert!((1..=lines).contains(&line), "line {line} of {lines}: {problem}\n{text}");
                assert!(!problem.is_empty());
            }
        }
        drop(declare::parse("mutant.toml", &text));
    });
}
