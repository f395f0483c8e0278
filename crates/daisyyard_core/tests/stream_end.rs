//! Guards against a stopped run whose stream is taken for complete, and against complete ones that are
//! taken for stopped.

use daisyyard_core::stream_end::{Effect, Ending, Framing, Orders, Reply, Verdict};

const FRAMINGS: [Framing; 2] = [Framing::Explicit, Framing::Connection];
const EFFECTS: [Effect; 3] = [Effect::None, Effect::Open, Effect::Possible];
/// Number of orders in a history.
const HISTORY: u32 = 4;

/// Returns the verdict on a stream that ends after a complete event.
fn judge(framing: Framing, effect: Effect) -> Verdict {
    let ending = Ending {
        framing,
        whole: true,
        effect,
    };
    ending.judge()
}

/// The end of a connection shows the end of a run only if no order can have stopped the run.
#[test]
fn possible_stop() {
    assert_eq!(judge(Framing::Connection, Effect::None), Verdict::Complete);
    assert_eq!(judge(Framing::Connection, Effect::Open), Verdict::Await);
    assert_eq!(
        judge(Framing::Connection, Effect::Possible),
        Verdict::Stopped
    );
}

/// A length or the last chunk shows the end whatever was ordered.
#[test]
fn explicit_end() {
    for effect in EFFECTS {
        assert_eq!(judge(Framing::Explicit, effect), Verdict::Complete);
    }
}

/// A stream that ends inside an event, or without one, has broken off.
#[test]
fn partial_event() {
    for framing in FRAMINGS {
        for effect in EFFECTS {
            let ending = Ending {
                framing,
                whole: false,
                effect,
            };
            assert_eq!(ending.judge(), Verdict::Cut);
        }
    }
}

/// In every history of answers, an order that may have stopped the run counts from then on, and a void
/// answer to a later one does not undo it.
#[test]
fn every_history() {
    for history in 0..3_usize.pow(HISTORY) {
        let mut orders = Orders::default();
        let mut effective = false;
        for number in 0..HISTORY {
            assert_eq!(orders.effect() == Effect::Possible, effective);
            orders.send();
            assert_ne!(orders.effect(), Effect::None);
            let reply =
                [Reply::Void, Reply::Effective, Reply::Lost][history / 3_usize.pow(number) % 3];
            orders.settle(reply);
            effective |= reply != Reply::Void;
        }
        let expected = if effective {
            Effect::Possible
        } else {
            Effect::None
        };
        assert_eq!(orders.effect(), expected);
    }
}

/// Of two orders that are open at once, the unanswered one keeps the effect open.
#[test]
fn overlapping_orders() {
    let mut orders = Orders::default();
    orders.send();
    orders.send();
    orders.settle(Reply::Void);
    assert_eq!(orders.effect(), Effect::Open);
    orders.settle(Reply::Effective);
    assert_eq!(orders.effect(), Effect::Possible);
}

/// Returns what one order with this answer, or without one, may have done after a change.
fn effect_after(reply: Option<Reply>, change: fn(&mut Orders)) -> Effect {
    let mut orders = Orders::default();
    orders.send();
    if let Some(reply) = reply {
        orders.settle(reply);
    }
    change(&mut orders);
    orders.effect()
}

/// Orders that are withdrawn keep what they may have done, whether or not the run goes on elsewhere.
#[test]
fn withdrawn_orders() {
    for (reply, expected) in [
        (Some(Reply::Void), Effect::None),
        (Some(Reply::Effective), Effect::Possible),
        (Some(Reply::Lost), Effect::Possible),
        (None, Effect::Possible),
    ] {
        let effect = effect_after(reply, Orders::withdraw);
        assert_eq!(effect, expected, "{reply:?}");
    }
    let mut unknown = Orders::default();
    unknown.suspect();
    assert_eq!(unknown.effect(), Effect::Possible);
}

/// An order whose answer was lost or is missing may still stop a run that goes on at the same engine, but an
/// answered one may not.
#[test]
fn resumed_run() {
    for (reply, expected) in [
        (Some(Reply::Void), Effect::None),
        (Some(Reply::Effective), Effect::None),
        (Some(Reply::Lost), Effect::Possible),
        (None, Effect::Possible),
    ] {
        let effect = effect_after(reply, Orders::resume);
        assert_eq!(effect, expected, "{reply:?}");
    }
}
