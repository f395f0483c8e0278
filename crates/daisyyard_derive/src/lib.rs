//! Attribute macros that stand for the common sets of derives.
//!
//! Each attribute puts one `#[derive(...)]` line before the item and changes nothing else.

use proc_macro::TokenStream;

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq`: an owned value that is compared.
#[proc_macro_attribute]
pub fn value(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq, Eq", item)
}

/// Derives the traits of a small `Copy` value that serves as a key.
#[proc_macro_attribute]
pub fn key(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Derives `Debug`, `Clone`, `PartialEq`, `Eq` and `Hash`: a state that the protocol checker stores.
#[proc_macro_attribute]
pub fn state(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq, Eq, Hash", item)
}

/// Derives `Debug`, `Clone` and `PartialEq`: an owned value with floating-point fields.
#[proc_macro_attribute]
pub fn record(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq", item)
}

/// Puts `#[derive(traits)]` before `item`.
fn derive(traits: &str, item: TokenStream) -> TokenStream {
    let line = format!("#[derive({traits})]");
    let mut output: TokenStream = line.parse().expect("a derive line is valid Rust");
    output.extend(item);
    output
}
