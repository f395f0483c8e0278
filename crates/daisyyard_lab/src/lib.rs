//! Experiments in virtual time over the decisions of `daisyyard_core`.
