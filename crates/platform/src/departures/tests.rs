//! What has not left, cleared without sockets of hosts.
