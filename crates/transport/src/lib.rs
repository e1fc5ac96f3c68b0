//! Framed connections on non-blocking sockets, driven by calloop.
