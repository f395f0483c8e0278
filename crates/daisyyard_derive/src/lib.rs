//! Attribute macros that expand to the common sets of derives.
//!
//! Each attribute prepends one `#[derive(...)]` to the item and changes nothing else.

use proc_macro::TokenStream;

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq`, for owned values that are compared.
#[proc_macro_attribute]
pub fn value(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq, Eq", item)
}

/// Derives the traits of a small `Copy` value that is compared, ordered or used as a key of a map.
#[proc_macro_attribute]
pub fn key(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Derives `Debug`, `Clone`, `PartialEq`, `Eq` and `Hash`, for states that the checker stores.
#[proc_macro_attribute]
pub fn state(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq, Eq, Hash", item)
}

/// Derives `Debug`, `Clone` and `PartialEq`, for owned values with floating-point fields.
#[proc_macro_attribute]
pub fn record(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq", item)
}

/// Prepends `#[derive(traits)]` to `item`.
fn derive(traits: &str, item: TokenStream) -> TokenStream {
    let line = format!("#[derive({traits})]");
    let mut output: TokenStream = line.parse().expect("a derive line is valid Rust");
    output.extend(item);
    output
}
