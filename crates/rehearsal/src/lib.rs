//! Scenes, clients and the auditor that judges the rules from what passed on the sockets.
