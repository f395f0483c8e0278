//! Memory, batching and preemption of the simulated engine.

use std::collections::HashMap;

use daisyyard_lab::engine::{Engine, Job, Profile};

/// Returns a job without a cacheable prefix.
fn job(request: u64, priority: u8, prompt: u64, output: u64) -> Job {
    Job {
        request,
        priority,
        prompt,
        output,
        prefix: Vec::new(),
    }
}

/// Returns an engine with the given memory in tokens.
fn small(memory: u64) -> Engine {
    Engine::new(Profile {
        memory,
        ..Profile::standard()
    })
}

/// Runs the engine until it is idle and returns the offsets of the tokens of each request.
fn drain(engine: &mut Engine, memory: u64) -> HashMap<u64, Vec<u64>> {
    let mut offsets: HashMap<u64, Vec<u64>> = HashMap::new();
    while engine.start_step().is_some() {
        assert!(engine.stats().used_tokens <= memory);
        for token in engine.finish_step() {
            offsets.entry(token.request).or_default().push(token.offset);
        }
    }
    offsets
}

/// Guards against a batch that exceeds the memory, and against lost or repeated tokens when a
/// preempted job is recomputed.
#[test]
fn full_memory_preempts() {
    let mut engine = small(1_000);
    for request in 0..4 {
        engine.submit(job(request, 0, 200, 200));
    }
    let offsets = drain(&mut engine, 1_000);
    assert!(engine.stats().preemptions > 0);
    for request in 0..4 {
        assert_eq!(offsets[&request], (0..200).collect::<Vec<_>>());
    }
}

/// Guards against preemption of urgent jobs before deferrable ones.
#[test]
fn lowest_priority_is_preempted_first() {
    let mut engine = small(1_000);
    engine.submit(job(1, 1, 400, 500));
    engine.submit(job(2, 0, 400, 300));
    let mut order = Vec::new();
    while engine.start_step().is_some() {
        let last = engine.finish_step().into_iter().filter(|token| token.last);
        order.extend(last.map(|token| token.request));
    }
    assert_eq!(order, [2, 1]);
    assert!(engine.stats().preemptions > 0);
}

/// Guards against a step duration that ignores the batch size or the prompt lengths.
#[test]
fn step_grows_with_batch() {
    let time = |jobs: u64, prompt: u64| {
        let mut engine = small(65_536);
        for request in 0..jobs {
            engine.submit(job(request, 0, prompt, 10));
        }
        let first = engine.start_step().expect("the engine has work");
        drop(engine.finish_step());
        (first, engine.start_step().expect("the engine has work"))
    };
    assert!(time(1, 400).0 > time(1, 10).0);
    assert!(time(20, 10).1 > time(2, 10).1);
}

/// Guards against a prefix cache without effect or without a capacity limit.
#[test]
fn cached_prefix_saves_time() {
    let mut engine = small(65_536);
    let prefixed = |request| Job {
        prefix: vec![1, 2],
        ..job(request, 0, 300, 1)
    };
    let mut times = Vec::new();
    for request in 0..2 {
        engine.submit(prefixed(request));
        times.push(engine.start_step().expect("the engine has work"));
        drop(engine.finish_step());
    }
    assert!(times[1] < times[0]);
    for block in 100..200 {
        engine.submit(Job {
            prefix: vec![block],
            ..job(block as u64, 0, 130, 1)
        });
    }
    drain(&mut engine, 65_536);
    let changes = engine.cache().take_changes();
    assert!(changes.iter().any(|change| !change.stored));
    engine.submit(prefixed(9));
    assert_eq!(engine.start_step().expect("the engine has work"), times[0]);
}
