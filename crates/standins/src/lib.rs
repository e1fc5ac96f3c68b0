//! Small peers for tests and rehearsals: worker and worker list.
