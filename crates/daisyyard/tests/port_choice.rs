//! Guards against tests of one process that choose the same port for their gateways, one of which
//! then fails to start.

use std::collections::HashSet;

use daisyyard_standin::ports;

/// Number of threads that choose addresses at the same time.
const THREADS: usize = 8;
/// Number of choices of five addresses in each thread.
const CHOICES: usize = 20;

/// Addresses differ, also among those that were chosen before and are not in use yet.
#[test]
fn all_differ() {
    let choose = || (0..CHOICES).flat_map(|_| ports::free_addresses::<5>());
    let threads: Vec<_> = (0..THREADS)
        .map(|_| std::thread::spawn(move || choose().collect::<Vec<_>>()))
        .collect();
    let addresses = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no panic"));
    let mut seen = HashSet::new();
    for address in addresses {
        assert!(seen.insert(address), "{address} was chosen twice");
    }
    assert_eq!(seen.len(), THREADS * CHOICES * 5);
}
