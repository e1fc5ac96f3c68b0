//! The calloop shell of the gateway.
