//! Rehearsals: a small fleet of real processes, a scripted bad day, clients, and an auditor that judges the five
//! rules from what passed on the sockets of clients and stand-ins, never from the gateways' own word.

mod client;

pub use client::Client;
